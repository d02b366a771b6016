#include "jackdawshunt/settings/settings.h"

#include <array>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "jackdawshunt/object_api/address.h"
#include "jackdawshunt/records/fields.h"

namespace jackdawshunt::settings {
namespace {

using protocol::Role;
using records::Presence;
using records::TextRule;

bool IsListenAddress(std::string_view text) {
  return object_api::ParseAddress(text).has_value();
}

bool IsRemoteAddress(std::string_view text) {
  const auto address = object_api::ParseAddress(text);
  return address.has_value() && address->port != 0;
}

bool IsFleetKey(std::string_view text) {
  constexpr size_t kMinFleetKeyBytes = 16;
  return text.size() >= kMinFleetKeyBytes;
}

bool IsPath(std::string_view text) {
  return !text.empty() && text.find('\0') == std::string_view::npos;
}

const TextRule kListenRule = {
    IsListenAddress,
    "must be \"ip:port\" without host name; port 0 lets the kernel choose"};
const TextRule kRemoteRule = {
    IsRemoteAddress,
    "must be \"ip:port\" without host name, port from 1 to 65535"};
const TextRule kFleetKeyRule = {IsFleetKey,
                                "must be a text of at least 16 characters",
                                /*is_secret=*/true};
const TextRule kPathRule = {IsPath, "must be the path of a file"};

struct TextField {
  std::string_view name;
  std::string Settings::*member;
  const TextRule& rule;
  Presence presence;
  std::optional<Role> only_role;  // Absent: both roles.
};

struct AddressField {
  std::string_view name;
  http::Address Settings::*member;
  const TextRule& rule;
  std::optional<Role> only_role;
};

struct IntegerField {
  std::string_view name;
  int64_t Settings::*member;
  int64_t min;
  int64_t max;
  std::optional<Role> only_role;
};

const std::array kTextFields = {
    TextField{"instance", &Settings::instance, records::kNameRule,
              Presence::kRequired},
    TextField{"region", &Settings::region, records::kNameRule,
              Presence::kRequired},
    TextField{"data_centre", &Settings::data_centre, records::kNameRule,
              Presence::kRequired},
    TextField{"fleet_key", &Settings::fleet_key, kFleetKeyRule,
              Presence::kRequired},
    TextField{"operator_token_sha256", &Settings::operator_token_sha256,
              records::kSha256Rule, Presence::kRequired},
    TextField{"upstream", &Settings::upstream, records::kNameRule,
              Presence::kRequired, Role::kSide},
    TextField{"ports_file", &Settings::ports_file, kPathRule,
              Presence::kOptional},
};

const std::array kAddressFields = {
    AddressField{"caller", &Settings::caller, kListenRule, Role::kEntry},
    AddressField{"process", &Settings::process, kListenRule},
    AddressField{"operator", &Settings::operator_address, kListenRule},
    AddressField{"platform", &Settings::platform, kRemoteRule},
    AddressField{"upstream_address", &Settings::upstream_address, kRemoteRule,
                 Role::kSide},
};

constexpr int64_t kKibibyte = 1024;
constexpr int64_t kMebibyte = 1024 * kKibibyte;
constexpr int64_t kMaxDrainLagMs = 600'000;

// A body above 1 MiB would not fit a frame between processes.
const std::array kIntegerFields = {
    IntegerField{"drain_lag_ms", &Settings::drain_lag_ms, 0, kMaxDrainLagMs,
                 Role::kEntry},
    IntegerField{"max_header_bytes", &Settings::max_header_bytes, kKibibyte,
                 kMebibyte, Role::kEntry},
    IntegerField{"max_body_bytes", &Settings::max_body_bytes, 1, kMebibyte,
                 Role::kEntry},
    IntegerField{"stream_buffer_bytes", &Settings::stream_buffer_bytes,
                 kKibibyte, 64 * kMebibyte},
};

template <typename Field>
bool AppliesTo(const Field& field, Role role) {
  return !field.only_role.has_value() || *field.only_role == role;
}

void ReadFields(records::FieldReader& reader, Role role, Settings& settings) {
  constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info",
                                                          "warning", "error"};
  for (const TextField& field : kTextFields) {
    if (AppliesTo(field, role)) {
      reader.Text(field.name, field.presence, field.rule,
                  settings.*field.member);
    }
  }
  for (const AddressField& field : kAddressFields) {
    std::string text;
    if (AppliesTo(field, role)) {
      reader.Text(field.name, Presence::kRequired, field.rule, text);
      settings.*field.member =
          object_api::ParseAddress(text).value_or(http::Address{});
    }
  }
  for (const IntegerField& field : kIntegerFields) {
    if (AppliesTo(field, role)) {
      reader.Integer(field.name, Presence::kOptional, field.min, field.max,
                     settings.*field.member);
    }
  }
  reader.Choice("log_level", Presence::kOptional, kLogLevels,
                settings.log_level);
}

Settings ParseSettings(std::string_view text,
                       Role role,
                       std::vector<std::string>& errors) {
  Settings settings;
  const auto json = records::ParseJson(text, errors);
  if (json.has_value()) {
    records::FieldReader reader(*json, "", errors);
    ReadFields(reader, role, settings);
    reader.Finish();
  }
  settings.operator_token_sha256 =
      absl::AsciiStrToLower(settings.operator_token_sha256);
  return settings;
}

void PrependFileName(std::string_view file, std::vector<std::string>& errors) {
  for (std::string& error : errors) {
    error = absl::StrCat(std::string(file), ": ", error);
  }
}

}  // namespace

std::vector<std::string> ValidationErrors(std::string_view file,
                                          std::string_view text,
                                          protocol::Role role) {
  std::vector<std::string> errors;
  ParseSettings(text, role, errors);
  PrependFileName(file, errors);
  return errors;
}

absl::StatusOr<Settings> Load(const std::string& path, protocol::Role role) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return absl::NotFoundError(absl::StrCat(path, ": cannot be read"));
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  if (file.bad()) {
    return absl::NotFoundError(absl::StrCat(path, ": cannot be read"));
  }
  std::vector<std::string> errors;
  Settings settings = ParseSettings(text, role, errors);
  if (!errors.empty()) {
    PrependFileName(path, errors);
    return absl::InvalidArgumentError(absl::StrJoin(errors, "\n"));
  }
  return settings;
}

}  // namespace jackdawshunt::settings
