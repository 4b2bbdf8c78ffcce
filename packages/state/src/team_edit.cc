#include "team_edit.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>
#include <string_view>
#include <utility>

#include "html.h"

namespace sequoiapath {
namespace internal {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kChangeIdLength = 32;

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
         });
}

bool IsChangeId(std::string_view text) {
  return text.size() == kChangeIdLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string GenerateChangeId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(),
                     device());
}

void ReadQuota(std::string_view text, const std::string& key, int* quota,
               DocumentErrors* errors) {
  const auto number = ParseNumber<int>(text);
  if (number && *number >= 0) {
    *quota = *number;
  } else {
    errors->push_back(
        {0, key, std::string(text), "a whole number from 0 to 2147483647"});
  }
}

void ReadWeight(std::string_view text, const std::string& key, double* weight,
                DocumentErrors* errors) {
  const auto number = ParseNumber<double>(text);
  if (number && std::isfinite(*number) && *number > 0) {
    *weight = *number;
  } else {
    errors->push_back({0, key, std::string(text), "a number above 0"});
  }
}

void ReplaceTeam(Document* document, const std::string& name,
                 const std::optional<TeamSpec>& team) {
  std::erase_if(document->teams, [&name](const TeamSpec& candidate) {
    return candidate.name == name;
  });
  if (!team) return;
  const auto position = std::lower_bound(
      document->teams.begin(), document->teams.end(), *team,
      [](const TeamSpec& a, const TeamSpec& b) { return a.name < b.name; });
  document->teams.insert(position, *team);
}

}  // namespace
}  // namespace internal

std::variant<TeamEdit, DocumentErrors> ReadTeamEdit(const Form& form) {
  TeamEdit edit;
  DocumentErrors errors;
  edit.proposed.name = FieldOf(form, "name");
  if (!internal::IsName(edit.proposed.name)) {
    errors.push_back({0, "name", edit.proposed.name,
                      "1 to 64 lower-case letters, digits and '-'"});
  }
  internal::ReadQuota(FieldOf(form, "quota"), "quota", &edit.proposed.quota,
                      &errors);
  internal::ReadWeight(FieldOf(form, "weight"), "weight", &edit.proposed.weight,
                       &errors);
  edit.base_generation =
      internal::ParseNumber<std::uint64_t>(FieldOf(form, "base_generation"))
          .value_or(0);
  if (form.contains("base_quota")) {
    edit.base = TeamSpec{edit.proposed.name};
    internal::ReadQuota(FieldOf(form, "base_quota"), "base_quota",
                        &edit.base->quota, &errors);
    internal::ReadWeight(FieldOf(form, "base_weight"), "base_weight",
                         &edit.base->weight, &errors);
  }
  edit.change_id = FieldOf(form, "change_id");
  if (!internal::IsChangeId(edit.change_id)) {
    edit.change_id = internal::GenerateChangeId();
  }
  if (!errors.empty()) return errors;
  return edit;
}

std::string RenderTeamBase(const TeamEdit& edit) {
  std::string html = RenderHiddenInput("base_generation",
                                       std::to_string(edit.base_generation));
  if (edit.base) {
    html += RenderHiddenInput("base_quota", std::to_string(edit.base->quota));
    html +=
        RenderHiddenInput("base_weight", fmt::format("{}", edit.base->weight));
  }
  return html;
}

ConfigProposal MakeProposal(const TeamEdit& edit, const Catalog& current,
                            std::string author, std::string remote_address) {
  ConfigProposal proposal{edit.change_id,    edit.base_generation,
                          current.document,  current.document,
                          std::move(author), std::move(remote_address)};
  internal::ReplaceTeam(&proposal.base, edit.proposed.name, edit.base);
  internal::ReplaceTeam(&proposal.proposed, edit.proposed.name, edit.proposed);
  return proposal;
}

}  // namespace sequoiapath
