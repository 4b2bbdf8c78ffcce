#include "sequoiapath/state/peer_service.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <optional>

namespace sequoiapath {
namespace internal {
namespace {

// The peer token is computed from this text, so that it differs from the
// signatures of session ids, which use the same cluster key.
constexpr std::string_view kTokenPurpose = "sequoiapath peer token v1";
constexpr std::string_view kAuthorizationHeader = "authorization";
constexpr int kStatusOk = 200;

Failure PeerFailure(Verdict verdict, Reason reason, std::string detail) {
  return {verdict, reason, RetryAdvice::kSameSequence, std::nullopt,
          std::move(detail)};
}

// Compares in constant time, so that the time does not reveal how much of the
// token is right.
bool HasToken(const HttpRequest& request, const std::string& expected) {
  const auto presented = FindHeader(request.headers, kAuthorizationHeader);
  return presented.has_value() && presented->size() == expected.size() &&
         CRYPTO_memcmp(presented->data(), expected.data(), expected.size()) ==
             0;
}

Result<std::string> ToBody(HttpResult result) {
  if (const auto* error = std::get_if<HttpError>(&result)) {
    return PeerFailure(
        error->may_have_been_sent ? Verdict::kMayHaveRun : Verdict::kNotRun,
        Reason::kOwnerUnreachable,
        fmt::format("{}: {}", ToString(error->kind), error->message));
  }
  auto& response = std::get<HttpResponse>(result);
  if (response.status == kStatusOk) return std::move(response.body);
  auto refusal = DecodePeerMessage<PeerErrorReply>(response.body);
  if (GetFailure(refusal) == nullptr) {
    return std::move(std::get<PeerErrorReply>(refusal).failure);
  }
  return PeerFailure(
      Verdict::kMayHaveRun, Reason::kInternal,
      fmt::format("the peer answered with status {}", response.status));
}

}  // namespace

void RespondToPeer(const HttpResponder& responder, std::string body) {
  responder.Respond({kStatusOk, {}, std::move(body)});
}

void RefusePeer(const HttpResponder& responder, const Failure& failure) {
  responder.Respond(
      {HttpStatus(failure), {}, EncodePeerMessage(PeerErrorReply{failure})});
}

Failure UnreadableReply(const Failure& cause) {
  return PeerFailure(Verdict::kMayHaveRun, Reason::kInternal,
                     "the peer's reply could not be decoded: " + cause.detail);
}

}  // namespace internal

std::string DerivePeerToken(std::string_view cluster_key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), cluster_key.data(), static_cast<int>(cluster_key.size()),
       reinterpret_cast<const unsigned char*>(internal::kTokenPurpose.data()),
       internal::kTokenPurpose.size(), digest.data(), &length);
  std::string hex;
  for (unsigned int i = 0; i < length; ++i) {
    hex += fmt::format("{:02x}", digest[i]);
  }
  return hex;
}

PeerService::PeerService(std::string token, std::unique_ptr<PeerClient> client)
    : authorization("Bearer " + std::move(token)), client(std::move(client)) {}

void PeerService::Dispatch(const HttpRequest& request,
                           const HttpResponder& responder) const {
  if (!internal::HasToken(request, this->authorization)) {
    internal::RefusePeer(
        responder,
        internal::PeerFailure(Verdict::kNotRun, Reason::kUnauthorized,
                              "authorization: the peer token is missing or "
                              "wrong"));
    return;
  }
  const auto handler = this->handlers.find(request.path);
  if (request.method != "POST" || handler == this->handlers.end()) {
    internal::RefusePeer(
        responder,
        internal::PeerFailure(Verdict::kNotRun, Reason::kInvalidRequest,
                              fmt::format("expected POST to the path of a peer "
                                          "message, found {} {}",
                                          request.method, request.path)));
    return;
  }
  handler->second(request.body, responder);
}

void PeerService::Post(const Endpoint& endpoint, std::string_view name,
                       std::string body, Duration timeout,
                       std::function<void(Result<std::string>)> callback) {
  PeerCall call;
  call.path = std::string(kPeerPathPrefix) + std::string(name);
  call.headers = {
      {std::string(internal::kAuthorizationHeader), this->authorization}};
  call.body = std::move(body);
  this->client->Call(endpoint, std::move(call), timeout,
                     [callback = std::move(callback)](HttpResult result) {
                       callback(internal::ToBody(std::move(result)));
                     });
}

const Endpoint& PeerService::endpoint() const {
  return this->server->endpoint();
}

void PeerService::BeginStop() {
  this->server->StopAccepting();
  this->server->BeginGracefulShutdown();
}

std::size_t PeerService::PendingRequests() const {
  return this->server->PendingRequests();
}

PeerServiceBuilder::PeerServiceBuilder(EventLoop* loop) : loop(loop) {}

PeerServiceBuilder& PeerServiceBuilder::Listen(Endpoint endpoint) {
  this->listen_endpoint = std::move(endpoint);
  return *this;
}

PeerServiceBuilder& PeerServiceBuilder::ClusterKey(std::string key) {
  this->cluster_key = std::move(key);
  return *this;
}

PeerServiceBuilder& PeerServiceBuilder::ConnectTimeout(Duration timeout) {
  this->connect_timeout = timeout;
  return *this;
}

std::variant<std::unique_ptr<PeerService>, ListenError>
PeerServiceBuilder::Build() {
  auto client = PeerClientBuilder(this->loop)
                    .ConnectTimeout(this->connect_timeout)
                    .Build();
  std::unique_ptr<PeerService> service(
      new PeerService(DerivePeerToken(this->cluster_key), std::move(client)));
  auto server =
      HttpServerBuilder(this->loop)
          .Listen(this->listen_endpoint)
          .MaxBodySize(kMaxPeerMessageBytes)
          .Handler([service = service.get()](const HttpRequest& request,
                                             const HttpResponder& responder) {
            service->Dispatch(request, responder);
          })
          .Build();
  if (const auto* error = std::get_if<ListenError>(&server)) return *error;
  service->server = std::get<std::unique_ptr<HttpServer>>(std::move(server));
  return service;
}

}  // namespace sequoiapath
