#include "sequoiapath/protocol/document.h"

#include <fmt/format.h>
#include <openssl/evp.h>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

std::int64_t Count(std::chrono::milliseconds duration) {
  return duration.count();
}

Json ToJson(const ServiceSpec& service) {
  return {{"name", service.name},
          {"idempotent", service.idempotent},
          {"longest_run_ms", Count(service.longest_run)},
          {"deadline_ms", Count(service.deadline)},
          {"max_payload_bytes", service.max_payload_bytes},
          {"max_tasks", service.max_tasks},
          {"priority", ToString(service.priority)}};
}

Json ToJson(const WorkerSpec& worker) {
  return {{"name", worker.name},
          {"data_centre", worker.data_centre},
          {"rack", worker.rack},
          {"address", ToString(worker.address)},
          {"slots", worker.slots},
          {"connections", worker.connections},
          {"cores", worker.cores},
          {"memory_mb", worker.memory_mb},
          {"accelerators", worker.accelerators},
          {"leaving", worker.leaving}};
}

Json ToJson(const TeamSpec& team) {
  return {{"name", team.name}, {"quota", team.quota}, {"weight", team.weight}};
}

Json ToJson(const DataCentreSpec& data_centre) {
  return {{"name", data_centre.name},
          {"region", data_centre.region},
          {"neighbours", data_centre.neighbours}};
}

template <typename Spec>
Json ListToJson(const std::vector<Spec>& specs) {
  Json list = Json::array();
  for (const Spec& spec : specs) list.push_back(ToJson(spec));
  return list;
}

void FromJson(const Json& json, ServiceSpec* service) {
  service->name = json.at("name");
  service->idempotent = json.value("idempotent", service->idempotent);
  service->longest_run = std::chrono::milliseconds(
      json.value("longest_run_ms", Count(service->longest_run)));
  service->deadline = std::chrono::milliseconds(
      json.value("deadline_ms", Count(service->deadline)));
  service->max_payload_bytes =
      json.value("max_payload_bytes", service->max_payload_bytes);
  service->max_tasks = json.value("max_tasks", service->max_tasks);
  service->priority = ParsePriority(json.value("priority", "normal"))
                          .value_or(Priority::kNormal);
}

void FromJson(const Json& json, WorkerSpec* worker) {
  worker->name = json.at("name");
  worker->data_centre = json.at("data_centre");
  worker->rack = json.value("rack", "");
  worker->address =
      ParseEndpoint(json.at("address").get<std::string>()).value_or(Endpoint{});
  worker->slots = json.value("slots", worker->slots);
  worker->connections = json.value("connections", worker->connections);
  worker->cores = json.value("cores", worker->cores);
  worker->memory_mb = json.value("memory_mb", worker->memory_mb);
  worker->accelerators = json.value("accelerators", worker->accelerators);
  worker->leaving = json.value("leaving", worker->leaving);
}

void FromJson(const Json& json, TeamSpec* team) {
  team->name = json.at("name");
  team->quota = json.at("quota");
  team->weight = json.value("weight", team->weight);
}

void FromJson(const Json& json, DataCentreSpec* data_centre) {
  data_centre->name = json.at("name");
  data_centre->region = json.value("region", "");
  data_centre->neighbours =
      json.value("neighbours", std::vector<std::string>{});
}

template <typename Spec>
std::vector<Spec> ListFromJson(const Json& json, const char* key) {
  std::vector<Spec> specs;
  if (!json.contains(key)) return specs;
  for (const Json& entry : json.at(key)) {
    FromJson(entry, &specs.emplace_back());
  }
  std::sort(specs.begin(), specs.end(),
            [](const Spec& a, const Spec& b) { return a.name < b.name; });
  return specs;
}

Json ParseJson(std::string_view text) {
  return Json::parse(text, /*cb=*/nullptr, /*allow_exceptions=*/false);
}

}  // namespace
}  // namespace internal

DocumentResult ParseDocumentToml(std::string_view text) {
  const toml::parse_result parsed = toml::parse(text);
  if (!parsed) {
    const auto line = static_cast<int>(parsed.error().source().begin.line);
    return DocumentErrors{
        {line, "", std::string(parsed.error().description()), "valid TOML"}};
  }
  std::ostringstream json;
  json << toml::json_formatter(parsed.table());
  return ParseDocumentJson(json.str());
}

DocumentResult ParseDocumentJson(std::string_view text) {
  const internal::Json json = internal::ParseJson(text);
  if (json.is_discarded()) {
    return DocumentErrors{{0, "", "malformed text", "valid JSON"}};
  }
  try {
    Document document;
    document.data_centres =
        internal::ListFromJson<DataCentreSpec>(json, "data_centres");
    document.services = internal::ListFromJson<ServiceSpec>(json, "services");
    document.teams = internal::ListFromJson<TeamSpec>(json, "teams");
    document.workers = internal::ListFromJson<WorkerSpec>(json, "workers");
    return document;
  } catch (const internal::Json::exception& error) {
    return DocumentErrors{{0, "", error.what(), "the documented keys"}};
  }
}

std::string EncodeDocument(const Document& document) {
  const internal::Json json{
      {"data_centres", internal::ListToJson(document.data_centres)},
      {"services", internal::ListToJson(document.services)},
      {"teams", internal::ListToJson(document.teams)},
      {"workers", internal::ListToJson(document.workers)}};
  return json.dump();
}

std::string EncodeConfigRecord(const ConfigRecord& record) {
  const internal::Json json{{"generation", record.generation},
                            {"change_id", record.change_id},
                            {"digest", record.digest},
                            {"document", record.document}};
  return json.dump();
}

Result<ConfigRecord> DecodeConfigRecord(std::string_view text) {
  const Failure failure{Verdict::kNotRun, Reason::kInternal,
                        RetryAdvice::kNever, std::nullopt,
                        "malformed configuration record"};
  const internal::Json json = internal::ParseJson(text);
  if (json.is_discarded()) return failure;
  try {
    ConfigRecord record{json.at("generation"), json.at("change_id"),
                        json.at("digest"), json.at("document")};
    if (Sha256Hex(record.document) != record.digest) return failure;
    return record;
  } catch (const internal::Json::exception&) {
    return failure;
  }
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  std::string hex;
  for (unsigned int i = 0; i < length; ++i) {
    hex += fmt::format("{:02x}", digest[i]);
  }
  return hex;
}

}  // namespace sequoiapath
