#include "sequoiapath/protocol/document.h"

#include <fmt/format.h>
#include <openssl/evp.h>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>
#include <type_traits>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace sequoiapath {
namespace internal {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameLength = 64;
// Limits the part of a rejected value that an error message repeats.
constexpr std::size_t kMaxFoundBytes = 80;
constexpr const char* kNameRule = "1 to 64 lower-case letters, digits and '-'";

// Constraints on a field. The bounds, both inclusive, apply to numbers.
struct Rule {
  bool required = false;
  std::int64_t min = 0;
  std::int64_t max = 0;
};

constexpr Rule kOptional{};
constexpr Rule kRequired{.required = true};
constexpr std::int64_t kHourMs = 3'600'000;

// VisitFields calls `visit(key, field, rule)` for each field of an entry. The
// encoder and both parsers use it, so that a field is declared only once.

template <typename Spec, typename Visit>
requires std::is_same_v<std::remove_const_t<Spec>, ServiceSpec>
void VisitFields(Spec& service, Visit visit) {
  visit("name", service.name, kRequired);
  visit("idempotent", service.idempotent, kOptional);
  visit("longest_run_ms", service.longest_run, Rule{false, 1, kHourMs});
  visit("deadline_ms", service.deadline, Rule{false, 1, 24 * kHourMs});
  visit("max_payload_bytes", service.max_payload_bytes,
        Rule{false, 1, 16 << 20});
  visit("max_tasks", service.max_tasks, Rule{false, 1, 100'000});
  visit("priority", service.priority, kOptional);
  visit("max_rack_percent", service.max_rack_percent, Rule{false, 1, 100});
  visit("places", service.places, kOptional);
}

template <typename Spec, typename Visit>
requires std::is_same_v<std::remove_const_t<Spec>, WorkerSpec>
void VisitFields(Spec& worker, Visit visit) {
  visit("name", worker.name, kRequired);
  visit("data_centre", worker.data_centre, kRequired);
  visit("rack", worker.rack, kOptional);
  visit("address", worker.address, kRequired);
  visit("slots", worker.slots, Rule{false, 1, 1'024});
  visit("connections", worker.connections, Rule{false, 1, 65'535});
  visit("cores", worker.cores, Rule{false, 0, 65'536});
  visit("memory_mb", worker.memory_mb, Rule{false, 0, 1 << 30});
  visit("accelerators", worker.accelerators, Rule{false, 0, 1'024});
  visit("leaving", worker.leaving, kOptional);
}

template <typename Spec, typename Visit>
requires std::is_same_v<std::remove_const_t<Spec>, TeamSpec>
void VisitFields(Spec& team, Visit visit) {
  visit("name", team.name, kRequired);
  visit("quota", team.quota, Rule{true, 1, 10'000'000});
  visit("weight", team.weight, Rule{false, 0, 1'000'000});
}

template <typename Spec, typename Visit>
requires std::is_same_v<std::remove_const_t<Spec>, DataCentreSpec>
void VisitFields(Spec& data_centre, Visit visit) {
  visit("name", data_centre.name, kRequired);
  visit("region", data_centre.region, kOptional);
  visit("neighbours", data_centre.neighbours, kOptional);
}

// ValueToJson returns the JSON form of a field's value.

template <typename T>
Json ValueToJson(const T& value) {
  return value;
}
Json ValueToJson(std::chrono::milliseconds value) { return value.count(); }
Json ValueToJson(Priority value) { return ToString(value); }
Json ValueToJson(const Endpoint& value) { return ToString(value); }

template <typename Spec>
void AppendList(const char* key, const std::vector<Spec>& specs,
                std::string* out) {
  *out += fmt::format("\"{}\":[", key);
  bool first = true;
  for (const Spec& spec : specs) {
    if (!std::exchange(first, false)) *out += ',';
    Json json = Json::object();
    VisitFields(spec, [&json](const char* field, const auto& value, Rule) {
      json.emplace(field, ValueToJson(value));
    });
    // Replaces invalid UTF-8 instead of throwing; a valid document has none.
    *out += json.dump(-1, ' ', false, Json::error_handler_t::replace);
  }
  *out += ']';
}

// The functions below read JSON and TOML values through the same overloads. A
// conversion returns an empty optional or false if the value has another type.

int Line(const Json& /*node*/) { return 0; }
int Line(const toml::node& node) {
  return static_cast<int>(node.source().begin.line);
}

std::optional<std::string> AsString(const Json& node) {
  if (!node.is_string()) return std::nullopt;
  return node.get_ref<const std::string&>();
}
std::optional<std::string> AsString(const toml::node& node) {
  return node.value_exact<std::string>();
}

std::optional<bool> AsBool(const Json& node) {
  if (!node.is_boolean()) return std::nullopt;
  return node.get<bool>();
}
std::optional<bool> AsBool(const toml::node& node) {
  return node.value_exact<bool>();
}

std::optional<std::int64_t> AsInteger(const Json& node) {
  if (!node.is_number_integer()) return std::nullopt;
  if (node.is_number_unsigned() &&
      node.get<std::uint64_t>() > std::uint64_t{INT64_MAX}) {
    return INT64_MAX;
  }
  return node.get<std::int64_t>();
}
std::optional<std::int64_t> AsInteger(const toml::node& node) {
  return node.value_exact<std::int64_t>();
}

std::optional<double> AsNumber(const Json& node) {
  if (!node.is_number()) return std::nullopt;
  return node.get<double>();
}
std::optional<double> AsNumber(const toml::node& node) {
  if (!node.is_number()) return std::nullopt;
  return node.value<double>();
}

template <typename Visit>
bool ForEachElement(const Json& node, Visit visit) {
  if (!node.is_array()) return false;
  for (const Json& element : node) visit(element);
  return true;
}
template <typename Visit>
bool ForEachElement(const toml::node& node, Visit visit) {
  const toml::array* array = node.as_array();
  if (array == nullptr) return false;
  for (const toml::node& element : *array) visit(element);
  return true;
}

bool IsTable(const Json& node) { return node.is_object(); }
bool IsTable(const toml::node& node) { return node.is_table(); }

std::size_t MemberCount(const Json& node) { return node.size(); }
std::size_t MemberCount(const toml::node& node) {
  return node.as_table()->size();
}

const Json* FindMember(const Json& node, const char* key) {
  const auto it = node.find(key);
  return it == node.end() ? nullptr : &*it;
}
const toml::node* FindMember(const toml::node& node, const char* key) {
  return node.as_table()->get(key);
}

template <typename Visit>
void ForEachMember(const Json& node, Visit visit) {
  for (const auto& [key, value] : node.items()) visit(key, value);
}
template <typename Visit>
void ForEachMember(const toml::node& node, Visit visit) {
  for (const auto& [key, value] : *node.as_table()) {
    visit(std::string(key.str()), value);
  }
}

std::string Truncate(std::string text) {
  if (text.size() <= kMaxFoundBytes) return text;
  text.resize(kMaxFoundBytes);
  // Removes trailing non-ASCII bytes, because the limit may have cut a
  // multi-byte character.
  while (!text.empty() && (text.back() & 0x80) != 0) text.pop_back();
  return text + "...";
}

std::string Describe(const Json& node) {
  if (node.is_structured()) return node.is_array() ? "an array" : "a table";
  return Truncate(node.dump());
}
std::string Describe(const toml::node& node) {
  if (node.is_array()) return "an array";
  if (node.is_table()) return "a table";
  if (const auto text = node.value_exact<std::string>()) {
    return Truncate(fmt::format("\"{}\"", *text));
  }
  std::ostringstream out;
  node.visit([&out](const auto& value) {
    if constexpr (toml::is_value<decltype(value)>) out << value.get();
  });
  return out.str();
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
         });
}

std::string EntryPath(std::string_view section, std::size_t index) {
  return fmt::format("{}[{}]", section, index);
}

// Reads one entry of a section and reports its errors.
template <typename Node>
class EntryReader {
 public:
  EntryReader(const Node& table, const char* section, std::size_t index,
              DocumentErrors* errors)
      : table(table), section(section), index(index), errors(errors) {}

  template <typename Field>
  void operator()(const char* key, Field& field, const Rule& rule) {
    const Node* node = FindMember(this->table, key);
    if (node == nullptr) {
      if (rule.required) this->Report(this->table, key, "nothing", "a value");
      return;
    }
    ++this->read_count;
    this->Read(*node, key, rule, &field);
  }

  // Reports members whose keys VisitFields does not list.
  template <typename Spec>
  void ReportUnknownKeys(Spec* spec) {
    if (this->read_count == MemberCount(this->table)) return;
    std::vector<std::string> known;
    VisitFields(*spec, [&known](const char* key, const auto&, const Rule&) {
      known.emplace_back(key);
    });
    ForEachMember(this->table, [&](const std::string& key, const Node& node) {
      if (std::find(known.begin(), known.end(), key) != known.end()) return;
      this->Report(node, Truncate(key), "an unknown key",
                   fmt::format("{}", fmt::join(known, ", ")));
    });
  }

 private:
  void Report(const Node& node, std::string_view key, std::string found,
              std::string allowed) {
    this->errors->push_back(
        {Line(node),
         fmt::format("{}.{}", EntryPath(this->section, this->index), key),
         std::move(found), std::move(allowed)});
  }

  void Read(const Node& node, const char* key, const Rule& rule,
            std::string* field) {
    auto text = AsString(node);
    if (!text || !(IsName(*text) || (text->empty() && !rule.required))) {
      this->Report(node, key, Describe(node), kNameRule);
      return;
    }
    *field = *std::move(text);
  }

  void Read(const Node& node, const char* key, const Rule& /*rule*/,
            bool* field) {
    const auto value = AsBool(node);
    if (!value) return this->Report(node, key, Describe(node), "true or false");
    *field = *value;
  }

  template <typename Integer>
  requires std::is_integral_v<Integer>
  void Read(const Node& node, const char* key, const Rule& rule,
            Integer* field) {
    const auto value = AsInteger(node);
    if (!value || *value < rule.min || *value > rule.max) {
      this->Report(node, key, Describe(node),
                   fmt::format("an integer from {} to {}", rule.min, rule.max));
      return;
    }
    *field = static_cast<Integer>(*value);
  }

  void Read(const Node& node, const char* key, const Rule& rule,
            double* field) {
    const auto value = AsNumber(node);
    // The negated comparison also rejects NaN.
    if (!value || !(*value >= static_cast<double>(rule.min) &&
                    *value <= static_cast<double>(rule.max))) {
      this->Report(node, key, Describe(node),
                   fmt::format("a number from {} to {}", rule.min, rule.max));
      return;
    }
    // Converts negative zero to zero, which keeps the canonical form unique.
    *field = *value + 0.0;
  }

  void Read(const Node& node, const char* key, const Rule& rule,
            std::chrono::milliseconds* field) {
    std::int64_t count = field->count();
    this->Read(node, key, rule, &count);
    *field = std::chrono::milliseconds(count);
  }

  void Read(const Node& node, const char* key, const Rule& /*rule*/,
            Priority* field) {
    const auto text = AsString(node);
    const auto priority = text ? ParsePriority(*text) : std::nullopt;
    if (!priority) {
      this->Report(node, key, Describe(node),
                   R"("urgent", "normal" or "bulk")");
      return;
    }
    *field = *priority;
  }

  void Read(const Node& node, const char* key, const Rule& /*rule*/,
            Endpoint* field) {
    const auto text = AsString(node);
    const auto endpoint = text ? ParseEndpoint(*text) : std::nullopt;
    // The text comparison rejects other spellings of an endpoint, such as port
    // "080", and so keeps the canonical form unique.
    if (!endpoint || endpoint->port == 0 || ToString(*endpoint) != *text) {
      this->Report(node, key, Describe(node),
                   "\"IPv4 address:port\" with a port from 1 to 65535");
      return;
    }
    *field = *endpoint;
  }

  void Read(const Node& node, const char* key, const Rule& /*rule*/,
            std::vector<std::string>* field) {
    const bool is_array = ForEachElement(node, [&](const Node& element) {
      auto text = AsString(element);
      if (!text || !IsName(*text)) {
        this->Report(element, key, Describe(element), kNameRule);
      } else if (std::find(field->begin(), field->end(), *text) !=
                 field->end()) {
        this->Report(element, key, fmt::format("\"{}\" twice", *text),
                     "each name at most once");
      } else {
        field->push_back(*std::move(text));
      }
    });
    if (!is_array) {
      this->Report(node, key, Describe(node), "an array of names");
    }
  }

  const Node& table;
  const char* section;
  std::size_t index;
  DocumentErrors* errors;
  std::size_t read_count = 0;  // Members that VisitFields has read.
};

// The entries of a section in source order. An entry that is not a table is
// represented by a default value, so that the indexes match the source.
template <typename Spec>
struct Section {
  const char* key;
  std::vector<Spec> specs;
  std::vector<int> lines;
};

struct Sections {
  Section<DataCentreSpec> data_centres{"data_centres", {}, {}};
  Section<ServiceSpec> services{"services", {}, {}};
  Section<TeamSpec> teams{"teams", {}, {}};
  Section<WorkerSpec> workers{"workers", {}, {}};
};

template <typename Visit>
void VisitSections(Sections* sections, Visit visit) {
  visit(&sections->data_centres);
  visit(&sections->services);
  visit(&sections->teams);
  visit(&sections->workers);
}

template <typename Node, typename Spec>
void ReadSection(const Node& root, Section<Spec>* section,
                 DocumentErrors* errors) {
  const Node* list = FindMember(root, section->key);
  if (list == nullptr) return;
  const bool is_array = ForEachElement(*list, [&](const Node& entry) {
    const std::size_t index = section->specs.size();
    Spec& spec = section->specs.emplace_back();
    section->lines.push_back(Line(entry));
    if (!IsTable(entry)) {
      errors->push_back({Line(entry), EntryPath(section->key, index),
                         Describe(entry), "a table"});
      return;
    }
    EntryReader<Node> reader(entry, section->key, index, errors);
    VisitFields(spec,
                [&reader](const char* key, auto& field, const Rule& rule) {
                  reader(key, field, rule);
                });
    reader.ReportUnknownKeys(&spec);
  });
  if (!is_array) {
    errors->push_back(
        {Line(*list), section->key, Describe(*list), "an array of tables"});
  }
}

template <typename Node>
void ReportUnknownSections(const Node& root, DocumentErrors* errors) {
  constexpr std::array<std::string_view, 4> kKnown{"data_centres", "services",
                                                   "teams", "workers"};
  ForEachMember(root, [&](const std::string& key, const Node& node) {
    if (std::find(kKnown.begin(), kKnown.end(), key) != kKnown.end()) return;
    errors->push_back({Line(node), Truncate(key), "an unknown key",
                       fmt::format("{}", fmt::join(kKnown, ", "))});
  });
}

// Reports an error of the field `field` of the entry `index`.
template <typename Spec>
void ReportEntry(const Section<Spec>& section, std::size_t index,
                 const char* field, std::string found, std::string allowed,
                 DocumentErrors* errors) {
  errors->push_back({section.lines[index],
                     EntryPath(section.key, index) + "." + field,
                     std::move(found), std::move(allowed)});
}

template <typename Spec>
void CheckUniqueNames(const Section<Spec>& section, DocumentErrors* errors) {
  std::unordered_map<std::string_view, std::size_t> first;
  for (std::size_t i = 0; i < section.specs.size(); ++i) {
    const std::string& name = section.specs[i].name;
    if (name.empty()) continue;
    const auto [it, inserted] = first.emplace(name, i);
    if (inserted) continue;
    ReportEntry(section, i, "name",
                fmt::format("\"{}\", which {} also uses", name,
                            EntryPath(section.key, it->second)),
                "a name that no other entry uses", errors);
  }
}

using NameSet = std::unordered_set<std::string_view>;

void CheckDataCentres(const Section<DataCentreSpec>& section,
                      const NameSet& known, DocumentErrors* errors) {
  for (std::size_t i = 0; i < section.specs.size(); ++i) {
    for (const std::string& neighbour : section.specs[i].neighbours) {
      if (known.contains(neighbour) && neighbour != section.specs[i].name) {
        continue;
      }
      ReportEntry(section, i, "neighbours", fmt::format("\"{}\"", neighbour),
                  "another data centre of the document", errors);
    }
  }
}

void CheckWorkers(const Section<WorkerSpec>& section, const NameSet& known,
                  DocumentErrors* errors) {
  std::unordered_map<std::string, std::size_t> first;
  for (std::size_t i = 0; i < section.specs.size(); ++i) {
    const WorkerSpec& worker = section.specs[i];
    if (!worker.data_centre.empty() && !known.contains(worker.data_centre)) {
      ReportEntry(section, i, "data_centre",
                  fmt::format("\"{}\"", worker.data_centre),
                  "a data centre of the document", errors);
    }
    if (worker.connections < worker.slots) {
      ReportEntry(
          section, i, "connections", fmt::format("{}", worker.connections),
          fmt::format("at least the worker's {} slots", worker.slots), errors);
    }
    if (worker.address.port == 0) continue;
    const auto [it, inserted] = first.emplace(ToString(worker.address), i);
    if (inserted) continue;
    ReportEntry(section, i, "address",
                fmt::format("\"{}\", which {} also uses", it->first,
                            EntryPath(section.key, it->second)),
                "an address that no other worker uses", errors);
  }
}

void CheckServices(const Section<ServiceSpec>& section, const NameSet& places,
                   DocumentErrors* errors) {
  for (std::size_t i = 0; i < section.specs.size(); ++i) {
    for (const std::string& place : section.specs[i].places) {
      if (places.contains(place)) continue;
      ReportEntry(section, i, "places", fmt::format("\"{}\"", place),
                  "a data centre of the document or a rack of its workers",
                  errors);
    }
  }
}

// Capacity is divided in proportion to the weights, so a team with weight zero
// would get none.
void CheckTeams(const Section<TeamSpec>& section, DocumentErrors* errors) {
  for (std::size_t i = 0; i < section.specs.size(); ++i) {
    if (section.specs[i].weight > 0) continue;
    ReportEntry(section, i, "weight", "0", "a number greater than 0", errors);
  }
}

void CheckReferences(Sections* sections, DocumentErrors* errors) {
  NameSet data_centres;
  for (const auto& spec : sections->data_centres.specs) {
    data_centres.insert(spec.name);
  }
  NameSet places = data_centres;
  for (const auto& spec : sections->workers.specs) places.insert(spec.rack);
  VisitSections(sections, [errors](const auto* section) {
    CheckUniqueNames(*section, errors);
  });
  CheckDataCentres(sections->data_centres, data_centres, errors);
  CheckWorkers(sections->workers, data_centres, errors);
  CheckServices(sections->services, places, errors);
  CheckTeams(sections->teams, errors);
}

Document MakeDocument(Sections sections) {
  VisitSections(&sections, [](auto* section) {
    std::sort(section->specs.begin(), section->specs.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
  });
  return {std::move(sections.data_centres.specs),
          std::move(sections.services.specs), std::move(sections.teams.specs),
          std::move(sections.workers.specs)};
}

template <typename Node>
DocumentResult ReadDocument(const Node& root) {
  if (!IsTable(root)) {
    return DocumentErrors{{Line(root), "", Describe(root), "a table"}};
  }
  DocumentErrors errors;
  Sections sections;
  ReportUnknownSections(root, &errors);
  VisitSections(&sections,
                [&](auto* section) { ReadSection(root, section, &errors); });
  CheckReferences(&sections, &errors);
  if (!errors.empty()) {
    std::stable_sort(
        errors.begin(), errors.end(),
        [](const auto& a, const auto& b) { return a.line < b.line; });
    return errors;
  }
  Document document = MakeDocument(std::move(sections));
  const std::size_t size = EncodeDocument(document).size();
  if (size > kMaxDocumentBytes) {
    return DocumentErrors{{0, "", fmt::format("{} bytes encoded", size),
                           fmt::format("at most {} bytes", kMaxDocumentBytes)}};
  }
  return document;
}

Json ParseJson(std::string_view text) {
  return Json::parse(text, /*cb=*/nullptr, /*allow_exceptions=*/false);
}

DocumentErrors TooLong(std::size_t size, std::size_t limit) {
  return {{0, "", fmt::format("{} bytes", size),
           fmt::format("at most {} bytes", limit)}};
}

}  // namespace
}  // namespace internal

DocumentResult ParseDocumentToml(std::string_view text) {
  if (text.size() > kMaxTomlBytes) {
    return internal::TooLong(text.size(), kMaxTomlBytes);
  }
  const toml::parse_result parsed = toml::parse(text);
  if (!parsed) {
    const auto line = static_cast<int>(parsed.error().source().begin.line);
    return DocumentErrors{
        {line, "", std::string(parsed.error().description()), "valid TOML"}};
  }
  const toml::node& root = parsed.table();
  return internal::ReadDocument(root);
}

DocumentResult ParseDocumentJson(std::string_view text) {
  // The limit exceeds kMaxDocumentBytes, because the text may contain white
  // space that the canonical form lacks.
  if (text.size() > kMaxTomlBytes) {
    return internal::TooLong(text.size(), kMaxTomlBytes);
  }
  const internal::Json json = internal::ParseJson(text);
  if (json.is_discarded()) {
    return DocumentErrors{{0, "", "malformed text", "valid JSON"}};
  }
  return internal::ReadDocument(json);
}

std::string EncodeDocument(const Document& document) {
  std::string out = "{";
  internal::AppendList("data_centres", document.data_centres, &out);
  out += ',';
  internal::AppendList("services", document.services, &out);
  out += ',';
  internal::AppendList("teams", document.teams, &out);
  out += ',';
  internal::AppendList("workers", document.workers, &out);
  return out + '}';
}

std::string EncodeConfigRecord(const ConfigRecord& record) {
  const internal::Json change_id = record.change_id;
  return fmt::format(
      R"({{"change_id":{},"digest":"{}","document":{},"generation":{}}})",
      change_id.dump(), record.digest, record.document, record.generation);
}

Result<ConfigRecord> DecodeConfigRecord(std::string_view text) {
  const Failure failure{
      Verdict::kNotRun, Reason::kInternal, RetryAdvice::kNever, std::nullopt,
      "configuration record is malformed or does not match its digest"};
  const internal::Json json = internal::ParseJson(text);
  if (json.is_discarded()) return failure;
  try {
    const internal::Json& document = json.at("document");
    ConfigRecord record{
        json.at("generation"), json.at("change_id"), json.at("digest"),
        document.is_string() ? document.get<std::string>() : document.dump()};
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
