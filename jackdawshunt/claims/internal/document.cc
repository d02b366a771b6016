#include "jackdawshunt/claims/internal/document.h"

#include <array>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/json_depth.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::claims::internal {
namespace {

using Json = nlohmann::json;

constexpr int kSchema = 1;
constexpr std::string_view kHead = R"({"schema":1,"claims":[)";
constexpr std::string_view kTail = "]}";
// Space reserved for the outcome of a claim, without body and content type.
constexpr size_t kOutcomeBytes = 64;
constexpr std::array<const char*, 3> kStateNames = {"claimed", "done",
                                                    "unknown"};

Json AnswerJson(const RecordedAnswer& answer) {
  Json json = {{"status", answer.http_status}, {"has_body", answer.has_body}};
  if (!answer.content_type.empty()) {
    json["content_type"] = answer.content_type;
  }
  if (!answer.body.empty()) {
    json["body"] = absl::Base64Escape(answer.body);  // May be binary.
  }
  return json;
}

RecordedAnswer ParseAnswer(const Json& json) {
  RecordedAnswer answer;
  answer.http_status = json.at("status").get<int32_t>();
  answer.has_body = json.at("has_body").get<bool>();
  answer.content_type = json.value("content_type", "");
  if (!absl::Base64Unescape(json.value("body", ""), &answer.body)) {
    answer.has_body = false;
  }
  return answer;
}

std::string ClaimText(const Claim& claim) {
  Json json = {{"key", claim.key},
               {"workspace", claim.workspace},
               {"request", claim.request},
               {"fingerprint", claim.fingerprint},
               {"state", kStateNames.at(static_cast<size_t>(claim.state))},
               {"time", claim.time},
               {"write", claim.write_id}};
  if (claim.state == State::kDone) {
    json["answer"] = AnswerJson(claim.answer);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Claim ParseClaim(const Json& json) {
  Claim claim;
  claim.key = json.at("key").get<std::string>();
  claim.workspace = json.at("workspace").get<std::string>();
  claim.request = json.at("request").get<std::string>();
  claim.fingerprint = json.at("fingerprint").get<std::string>();
  claim.time = json.at("time").get<int64_t>();
  claim.write_id = json.at("write").get<std::string>();
  const auto state = json.at("state").get<std::string>();
  // A state that only a later version of the software knows still means that
  // the key was used.
  claim.state = state == "claimed" ? State::kClaimed
                : state == "done"  ? State::kDone
                                   : State::kUnknown;
  if (claim.state == State::kDone) {
    claim.answer = ParseAnswer(json.at("answer"));
  }
  return claim;
}

size_t BytesWithReserve(const Claim& claim, const std::string& text) {
  return text.size() + 1 + (claim.state == State::kDone ? 0 : kOutcomeBytes);
}

}  // namespace

absl::StatusOr<Document> Document::Parse(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    if (!base::NestsAtMost(json, base::kMaxJsonDepth)) {
      return absl::DataLossError("claims object that nests too deeply");
    }
    if (json.at("schema").get<int>() != kSchema) {
      return absl::DataLossError("claims object of an unknown schema");
    }
    Document document;
    for (const Json& entry : json.at("claims")) {
      // Keeps the text unchanged, so that fields of later versions of the
      // software survive.
      document.Insert(ParseClaim(entry), entry.dump());
    }
    return document;
  } catch (const Json::exception& error) {
    return absl::DataLossError(
        absl::StrCat("malformed claims object: ", error.what()));
  }
}

std::string Document::Serialise() const {
  std::string result(kHead);
  result.reserve(bytes_ + kHead.size() + kTail.size());
  bool first = true;
  for (const auto& [key, row] : rows_) {
    if (!first) {
      result += ',';
    }
    first = false;
    result += row.text;
  }
  result += kTail;
  return result;
}

const Claim* Document::Find(std::string_view key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? nullptr : &found->second.claim;
}

bool Document::Put(Claim claim) {
  std::string text = ClaimText(claim);
  const auto found = rows_.find(claim.key);
  const size_t replaced_bytes =
      found == rows_.end()
          ? 0
          : BytesWithReserve(found->second.claim, found->second.text);
  if (bytes_ - replaced_bytes + BytesWithReserve(claim, text) + kHead.size() +
          kTail.size() >
      kMaxObjectBytes) {
    return false;
  }
  Insert(std::move(claim), std::move(text));
  return true;
}

void Document::Insert(Claim claim, std::string text) {
  Erase(claim.key);
  bytes_ += BytesWithReserve(claim, text);
  std::string key = claim.key;
  rows_.insert_or_assign(std::move(key),
                         Row{std::move(claim), std::move(text)});
}

void Document::Erase(std::string_view key) {
  const auto found = rows_.find(key);
  if (found != rows_.end()) {
    bytes_ -= BytesWithReserve(found->second.claim, found->second.text);
    rows_.erase(found);
  }
}

void Document::RemoveExpired(int64_t now) {
  std::erase_if(rows_, [&](const auto& entry) {
    const Row& row = entry.second;
    if (row.claim.time + kExpirySeconds > now) {
      return false;
    }
    bytes_ -= BytesWithReserve(row.claim, row.text);
    return true;
  });
}

}  // namespace jackdawshunt::claims::internal
