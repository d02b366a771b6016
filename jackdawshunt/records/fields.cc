#include "jackdawshunt/records/fields.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "jackdawshunt/base/json_depth.h"

namespace jackdawshunt::records {
namespace {

constexpr size_t kMaxShownBytes = 80;

bool IsName(std::string_view text) {
  constexpr size_t kMaxNameBytes = 64;
  const auto is_alphanumeric = [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0;
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         is_alphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), [&](char c) {
           return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
         });
}

bool IsSha256(std::string_view text) {
  constexpr size_t kDigits = 64;
  return text.size() == kDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return std::isxdigit(static_cast<unsigned char>(c)) != 0;
         });
}

std::string ArrayRequirement(std::string_view element_name,
                             size_t min,
                             size_t max) {
  return absl::StrCat("must be an array of ", min, " to ", max, " ",
                      std::string(element_name));
}

}  // namespace

const TextRule kNameRule = {
    IsName,
    "must be 1 to 64 letters, digits, '.', '_' or '-', starting with a letter "
    "or digit"};
const TextRule kSha256Rule = {IsSha256,
                              "must be a SHA-256 of 64 hexadecimal digits"};

std::optional<nlohmann::json> ParseJson(std::string_view text,
                                        std::vector<std::string>& errors) {
  using Json = nlohmann::json;
  // Of two fields with the same name the parser keeps only the last, which
  // would hide a mistake of the operator.
  std::vector<std::set<std::string>> open_objects;
  std::set<std::string> duplicates;
  const auto on_event = [&](int, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::object_start) {
      open_objects.emplace_back();
    } else if (event == Json::parse_event_t::object_end) {
      open_objects.pop_back();
    } else if (event == Json::parse_event_t::key) {
      const auto& name = parsed.get_ref<const std::string&>();
      if (!open_objects.back().insert(name).second) {
        duplicates.insert(name);
      }
    }
    return true;
  };
  try {
    Json json = Json::parse(text, on_event, /*allow_exceptions=*/true,
                            /*ignore_comments=*/true);
    if (!base::NestsAtMost(json, base::kMaxJsonDepth)) {
      errors.push_back(absl::StrCat(": must not nest deeper than ",
                                    base::kMaxJsonDepth, " levels"));
      return std::nullopt;
    }
    if (duplicates.empty()) {
      return json;
    }
    for (const std::string& name : duplicates) {
      errors.push_back(MakeValidationError("", name, "must not occur twice"));
    }
  } catch (const Json::exception& error) {
    errors.push_back(absl::StrCat(": ", error.what(), ": must be JSON"));
  }
  return std::nullopt;
}

std::string MakeValidationError(std::string_view pointer,
                                const nlohmann::json& value,
                                std::string_view requirement) {
  std::string shown =
      value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (shown.size() > kMaxShownBytes) {
    shown = shown.substr(0, kMaxShownBytes) + "...";
  }
  return absl::StrCat(std::string(pointer), ": ", shown, ": ",
                      std::string(requirement));
}

std::string ChildPointer(std::string_view pointer, std::string_view name) {
  return absl::StrCat(
      std::string(pointer), "/",
      absl::StrReplaceAll(std::string(name), {{"~", "~0"}, {"/", "~1"}}));
}

FieldReader::FieldReader(const nlohmann::json& object,
                         std::string pointer,
                         std::vector<std::string>& errors)
    : object_(object), pointer_(std::move(pointer)), errors_(errors) {
  if (!object_.is_object()) {
    errors_.push_back(
        MakeValidationError(pointer_, object_, "must be an object"));
  }
}

bool FieldReader::Has(std::string_view name) const {
  return object_.is_object() && object_.contains(name);
}

void FieldReader::Reject(std::string_view name, std::string_view requirement) {
  const nlohmann::json* value = Has(name) ? &*object_.find(name) : nullptr;
  errors_.push_back(MakeValidationError(
      ChildPointer(pointer_, name),
      value == nullptr ? nlohmann::json() : *value, requirement));
}

const nlohmann::json* FieldReader::Find(std::string_view name,
                                        Presence presence,
                                        std::string_view requirement) {
  read_fields_.emplace(name);
  if (!object_.is_object()) {
    return nullptr;
  }
  const auto found = object_.find(name);
  if (found != object_.end()) {
    return &*found;
  }
  if (presence == Presence::kRequired) {
    errors_.push_back(absl::StrCat(ChildPointer(pointer_, name),
                                   ": missing: ", std::string(requirement)));
  }
  return nullptr;
}

void FieldReader::Text(std::string_view name,
                       Presence presence,
                       const TextRule& rule,
                       std::string& out) {
  const nlohmann::json* value = Find(name, presence, rule.requirement);
  if (value == nullptr) {
    return;
  }
  if (value->is_string() &&
      rule.is_allowed(value->get_ref<const std::string&>())) {
    out = value->get<std::string>();
    return;
  }
  errors_.push_back(MakeValidationError(
      ChildPointer(pointer_, name),
      rule.is_secret ? nlohmann::json("(secret)") : *value, rule.requirement));
}

void FieldReader::Texts(std::string_view name,
                        Presence presence,
                        const TextRule& rule,
                        size_t min_count,
                        size_t max_count,
                        std::vector<std::string>& out) {
  const nlohmann::json* values = Array(name, presence, min_count, max_count);
  if (values == nullptr) {
    return;
  }
  std::vector<std::string> texts;
  const std::string pointer = ChildPointer(pointer_, name);
  for (size_t i = 0; i < values->size(); ++i) {
    const nlohmann::json& value = (*values)[i];
    const std::string element = ChildPointer(pointer, std::to_string(i));
    if (!value.is_string() ||
        !rule.is_allowed(value.get_ref<const std::string&>())) {
      errors_.push_back(MakeValidationError(element, value, rule.requirement));
    } else if (std::find(texts.begin(), texts.end(),
                         value.get_ref<const std::string&>()) != texts.end()) {
      errors_.push_back(
          MakeValidationError(element, value, "must not occur twice"));
    } else {
      texts.push_back(value.get<std::string>());
    }
  }
  out = std::move(texts);
}

void FieldReader::Choice(std::string_view name,
                         Presence presence,
                         std::span<const std::string_view> choices,
                         std::string& out) {
  const std::string requirement = absl::StrCat(
      "must be one of ",
      absl::StrJoin(choices, ", ", [](std::string* text, std::string_view c) {
        absl::StrAppend(text, "\"", std::string(c), "\"");
      }));
  const nlohmann::json* value = Find(name, presence, requirement);
  if (value == nullptr) {
    return;
  }
  if (value->is_string() &&
      std::find(choices.begin(), choices.end(),
                value->get_ref<const std::string&>()) != choices.end()) {
    out = value->get<std::string>();
    return;
  }
  errors_.push_back(
      MakeValidationError(ChildPointer(pointer_, name), *value, requirement));
}

void FieldReader::Number(std::string_view name,
                         Presence presence,
                         double min,
                         double max,
                         double& out) {
  const std::string requirement =
      absl::StrCat("must be a number from ", min, " to ", max);
  const nlohmann::json* value = Find(name, presence, requirement);
  if (value == nullptr) {
    return;
  }
  if (value->is_number() && value->get<double>() >= min &&
      value->get<double>() <= max) {
    out = value->get<double>();
    return;
  }
  errors_.push_back(
      MakeValidationError(ChildPointer(pointer_, name), *value, requirement));
}

void FieldReader::Flag(std::string_view name, Presence presence, bool& out) {
  constexpr std::string_view kRequirement = "must be true or false";
  const nlohmann::json* value = Find(name, presence, kRequirement);
  if (value == nullptr) {
    return;
  }
  if (value->is_boolean()) {
    out = value->get<bool>();
    return;
  }
  errors_.push_back(
      MakeValidationError(ChildPointer(pointer_, name), *value, kRequirement));
}

std::optional<int64_t> FieldReader::CheckedInteger(std::string_view name,
                                                   Presence presence,
                                                   int64_t min,
                                                   int64_t max) {
  const std::string requirement =
      absl::StrCat("must be an integer from ", min, " to ", max);
  const nlohmann::json* value = Find(name, presence, requirement);
  if (value == nullptr) {
    return std::nullopt;
  }
  // Converting an unsigned value above the signed range would make it negative.
  const bool fits =
      value->is_number_unsigned()
          ? value->get<uint64_t>() <= static_cast<uint64_t>(max)
          : value->is_number_integer() && value->get<int64_t>() <= max;
  if (fits && value->get<int64_t>() >= min) {
    return value->get<int64_t>();
  }
  errors_.push_back(
      MakeValidationError(ChildPointer(pointer_, name), *value, requirement));
  return std::nullopt;
}

const nlohmann::json* FieldReader::Object(std::string_view name,
                                          Presence presence) {
  constexpr std::string_view kRequirement = "must be an object";
  const nlohmann::json* value = Find(name, presence, kRequirement);
  if (value != nullptr && !value->is_object()) {
    errors_.push_back(MakeValidationError(ChildPointer(pointer_, name), *value,
                                          kRequirement));
    return nullptr;
  }
  return value;
}

const nlohmann::json* FieldReader::Array(std::string_view name,
                                         Presence presence,
                                         size_t min_count,
                                         size_t max_count) {
  const std::string requirement =
      ArrayRequirement("elements", min_count, max_count);
  const nlohmann::json* value = Find(name, presence, requirement);
  if (value != nullptr && (!value->is_array() || value->size() < min_count ||
                           value->size() > max_count)) {
    errors_.push_back(
        MakeValidationError(ChildPointer(pointer_, name), *value, requirement));
    return nullptr;
  }
  return value;
}

void FieldReader::Finish() {
  if (!object_.is_object()) {
    return;
  }
  for (const auto& [name, value] : object_.items()) {
    if (!read_fields_.contains(name)) {
      errors_.push_back(
          MakeValidationError(ChildPointer(pointer_, name), value,
                              absl::StrCat("unknown field, must be one of ",
                                           absl::StrJoin(read_fields_, ", "))));
    }
  }
}

}  // namespace jackdawshunt::records
