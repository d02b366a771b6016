#include "jackdawshunt/platform/engine_report.h"

#include <limits>
#include <optional>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/http1/message.h"
#include "jackdawshunt/platform/json_text.h"
#include "jackdawshunt/routing/prompt.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::platform {
namespace {

constexpr char kReportPath[] = "/jackdawshunt/report";
// Longer lists are rejected. An engine runs tens of requests at once.
constexpr size_t kMaxRuns = 4096;

// Returns whether `value` is a whole number of at most 32 bits.
bool IsCount(const nlohmann::json& value) {
  return value.is_number_unsigned() &&
         value.get<uint64_t>() <= std::numeric_limits<uint32_t>::max();
}

// Callers choose the ids of requests. One that cannot be decoded belongs to no
// request that is known here.
uint64_t HashOfRequest(const nlohmann::json& id) {
  if (id.is_number_unsigned()) {
    return id.get<uint64_t>();
  }
  return routing::HashOf(id.is_string() ? id.get<std::string>() : id.dump());
}

// Reads one row of `runs`: [id, tokens in memory, events made, priority]. The
// priority is not used.
absl::StatusOr<routing::EngineRun> DecodeRun(const nlohmann::json& row) {
  const bool is_valid = row.is_array() && row.size() >= 3 &&
                        (row[0].is_string() || row[0].is_number_unsigned() ||
                         IsReplacement(row[0])) &&
                        row[1].is_number_unsigned() && IsCount(row[2]);
  if (!is_valid) {
    return absl::InvalidArgumentError(
        "field runs has an entry that is not [id, tokens, events, ...]");
  }
  return routing::EngineRun{.request = HashOfRequest(row[0]),
                            .tokens = row[1].get<uint64_t>(),
                            .events = row[2].get<uint32_t>()};
}

}  // namespace

std::string EngineReportRequest(const http::Address& address) {
  http1::RequestHead head;
  head.target = kReportPath;
  head.headers = {{"Host", address.ToString()}};
  return http1::Serialize(head, std::nullopt);
}

absl::StatusOr<routing::EngineReport> DecodeEngineReport(
    std::string_view body) {
  const auto parsed = nlohmann::json::parse(RepairJson(body), nullptr, false);
  if (!parsed.is_object()) {
    return absl::InvalidArgumentError("the report is not a JSON object");
  }
  absl::Status status;
  const auto reject = [&status](const char* name) {
    if (status.ok()) {
      status = absl::InvalidArgumentError(
          absl::StrCat("field ", name, " is missing or has another type"));
    }
  };
  const auto tokens = [&](const char* name) -> uint64_t {
    const auto field = parsed.find(name);
    if (field == parsed.end() || !field->is_number_unsigned()) {
      reject(name);
      return 0;
    }
    return field->get<uint64_t>();
  };
  const auto count = [&](const char* name, bool is_required) -> uint32_t {
    const auto field = parsed.find(name);
    if (field != parsed.end() && IsCount(*field)) {
      return field->get<uint32_t>();
    }
    if (is_required) {
      reject(name);
    }
    return 0;
  };
  routing::EngineReport report;
  report.waiting = count("queueDepth", true);
  report.running = count("activeRequests", true);
  report.unevictable_tokens = tokens("kvUsed");
  report.cache_tokens = tokens("kvTotal");
  report.next_prompt_tokens = count("next", false);
  if (!status.ok()) {
    return status;
  }
  const auto runs = parsed.find("runs");
  if (runs == parsed.end()) {
    return report;
  }
  if (!runs->is_array() || runs->size() > kMaxRuns) {
    return absl::InvalidArgumentError(
        "field runs is not a list of at most 4096 entries");
  }
  for (const auto& row : *runs) {
    const auto run = DecodeRun(row);
    if (!run.ok()) {
      return run.status();
    }
    report.runs.push_back(*run);
  }
  return report;
}

}  // namespace jackdawshunt::platform
