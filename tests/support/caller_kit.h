// Defines CallerKit, which serves the caller API with one worker on the
// loopback interface, and functions that exchange raw bytes with it.

#ifndef SEQUOIAPATH_TESTS_SUPPORT_CALLER_KIT_H_
#define SEQUOIAPATH_TESTS_SUPPORT_CALLER_KIT_H_

#include <fcntl.h>
#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sequoiapath/state/caller_api.h"
#include "sequoiapath/transport/http_server.h"
#include "support/raw_server.h"

namespace sequoiapath::test {

inline Settings MakeSettings(std::size_t body_limit) {
  Settings settings;
  settings.data_centre = "heredia";
  settings.vm = "heredia-1";
  settings.peer_listen = {"127.0.0.1", 1};
  settings.cluster_key = "key";
  settings.max_request_bytes = body_limit;
  return settings;
}

struct CallerKit {
  explicit CallerKit(std::size_t body_limit, Incarnation incarnation = 1)
      : settings(MakeSettings(body_limit)),
        api(&this->loop, &this->settings, incarnation, &this->runner) {
    this->worker_server = this->Serve(
        [this](const HttpRequest& request, const HttpResponder& responder) {
          if (request.method == "POST") ++this->tasks;
          responder.Respond({200, {}, request.body});
        });
    this->server = this->Serve(
        [this](const HttpRequest& request, const HttpResponder& responder) {
          this->api.Handle(request, responder);
        });
    Document document;
    document.services.resize(1);
    document.services[0].name = "check";
    document.services[0].idempotent = true;
    document.teams.resize(1);
    document.teams[0].name = "clerks";
    document.workers.resize(1);
    WorkerSpec& worker = document.workers[0];
    worker.name = "w1";
    worker.data_centre = "heredia";
    worker.address = this->worker_server->endpoint();
    worker.cores = 16;
    worker.memory_mb = 32'000;
    const auto catalog = MakeCatalog({}, std::move(document));
    this->runner.SetCatalog(catalog);
    this->api.SetCatalog(catalog);
  }

  const Endpoint& endpoint() const { return this->server->endpoint(); }

  std::unique_ptr<HttpServer> Serve(HttpHandler handler) {
    auto built = HttpServerBuilder(&this->loop)
                     .Listen({"127.0.0.1", 0})
                     .MaxBodySize(2 * this->settings.max_request_bytes)
                     .Handler(std::move(handler))
                     .Build();
    return std::get<std::unique_ptr<HttpServer>>(std::move(built));
  }

  EventLoop loop;
  Settings settings;
  JobRunner runner{&this->loop, "t"};
  CallerApi api;
  int tasks = 0;  // Number of tasks that arrived at the worker.
  std::unique_ptr<HttpServer> worker_server;
  std::unique_ptr<HttpServer> server;
};

// Returns an HTTP request as text; `headers` holds complete header lines, each
// with its CRLF.
inline std::string Format(const std::string& method, const std::string& path,
                          const std::string& body,
                          const std::string& headers = "") {
  return fmt::format(
      "{} {} HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n{}\r\n{}", method,
      path, body.size(), headers, body);
}

// Returns a connected non-blocking socket.
inline int ConnectRaw(const Endpoint& endpoint) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
            0);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  return fd;
}

// Reads a chunked body at offset `*at` and advances `*at` past it; returns
// nothing if the body is incomplete.
inline std::optional<std::string> ReadChunks(const std::string& text,
                                             std::size_t* at) {
  std::string body;
  while (true) {
    const std::size_t line_end = text.find("\r\n", *at);
    if (line_end == std::string::npos) return std::nullopt;
    const std::size_t size = std::stoul(text.substr(*at), nullptr, 16);
    const std::size_t end = line_end + 2 + size + 2;
    if (end > text.size()) return std::nullopt;
    body += text.substr(line_end + 2, size);
    *at = end;
    if (size == 0) return body;
  }
}

// Returns the complete responses in `text` with their bodies decoded.
inline std::vector<std::string> SplitResponses(const std::string& text,
                                               bool is_head) {
  std::vector<std::string> responses;
  std::size_t at = 0;
  while (true) {
    const std::size_t end = text.find("\r\n\r\n", at);
    if (end == std::string::npos) return responses;
    const std::string head = text.substr(at, end + 4 - at);
    at = end + 4;
    const std::size_t length = head.find("content-length: ");
    if (is_head) {
      responses.push_back(head);
    } else if (head.find("transfer-encoding: chunked") != std::string::npos) {
      const auto body = ReadChunks(text, &at);
      if (!body) return responses;
      responses.push_back(head + *body);
    } else {
      const std::size_t size = length == std::string::npos
                                   ? text.size() - at
                                   : std::stoul(head.substr(length + 16));
      if (at + size > text.size()) return responses;
      responses.push_back(head + text.substr(at, size));
      at += size;
    }
  }
}

// Sends bytes over a new connection while the kit's loop runs. Returns the
// received responses once there are `answers` of them or the connection has
// ended.
inline std::string Exchange(CallerKit* kit, const std::string& request,
                            std::size_t answers = 1, bool half_close = false) {
  const bool is_head = request.starts_with("HEAD");
  const int fd = ConnectRaw(kit->endpoint());
  std::string text;
  std::size_t sent = 0;
  const bool ended = RunUntil(&kit->loop, [&] {
    if (sent < request.size()) {
      const ssize_t count =
          send(fd, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
      if (count > 0) sent += static_cast<std::size_t>(count);
      if (half_close && sent == request.size()) shutdown(fd, SHUT_WR);
    }
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
      text.append(buffer, static_cast<std::size_t>(count));
    }
    return count == 0 || SplitResponses(text, is_head).size() >= answers;
  });
  EXPECT_TRUE(ended) << "no answer to " << request.substr(0, 80);
  close(fd);
  std::string decoded;
  for (const std::string& one : SplitResponses(text, is_head)) decoded += one;
  return decoded;
}

// Opens a session and returns its path.
inline std::string OpenRawSession(CallerKit* kit) {
  const std::string response =
      Exchange(kit, Format("POST", "/v1/sessions", R"({"team":"clerks"})"));
  const auto body = nlohmann::json::parse(
      response.substr(response.find("\r\n\r\n") + 4), nullptr, false);
  return "/v1/sessions/" + body.value("session", "");
}

}  // namespace sequoiapath::test

#endif  // SEQUOIAPATH_TESTS_SUPPORT_CALLER_KIT_H_
