#include "jackdawshunt/protocol/internal/binary.h"

#include <cmath>
#include <map>
#include <vector>

#include "jackdawshunt/protocol/internal/frame.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::protocol::internal {
namespace {

using nlohmann::json;

constexpr size_t kMaxCborDepth = 8;

absl::Status MalformedError(std::string_view message) {
  return absl::InvalidArgumentError(
      absl::string_view(message.data(), message.size()));
}

// Assigns an index to each distinct key, in the order of first use.
template <typename Key>
class IndexTable {
 public:
  size_t IndexOf(const Key& key) {
    const auto [entry, inserted] = indices_.emplace(key, keys_.size());
    if (inserted) {
      keys_.push_back(key);
    }
    return entry->second;
  }
  const std::vector<Key>& keys() const { return keys_; }

 private:
  std::map<Key, size_t> indices_;
  std::vector<Key> keys_;
};

using Origin = std::pair<std::string, base::Incarnation>;

// Decodes the six parts of a counters frame.
class CountersReader {
 public:
  explicit CountersReader(const json& root) : root_(root) {}

  absl::StatusOr<Message> Read();

 private:
  void ReadOrigins(const json& list);
  void ReadWorkspaces(const json& list);
  void ReadCounters(const json& list);
  void ReadLifts(const json& list);
  void ReadBacklogged(const json& list);
  double ReadNumber(const json& value);
  std::string WorkspaceAt(const json& index);

  const json& root_;
  bool ok_ = true;  // False after the first error.
  std::vector<Origin> origins_;
  std::vector<std::string> workspaces_;
  Counters result_;
};

absl::StatusOr<Message> CountersReader::Read() {
  constexpr size_t kParts = 6;
  if (!root_.is_array() || root_.size() != kParts) {
    return MalformedError("counters frame does not have six parts");
  }
  for (size_t i = 0; i + 1 < kParts; ++i) {
    if (!root_[i].is_array()) {
      return MalformedError("counters frame with a part that is not a list");
    }
  }
  ReadOrigins(root_[0]);
  ReadWorkspaces(root_[1]);
  ReadCounters(root_[2]);
  ReadLifts(root_[3]);
  ReadBacklogged(root_[4]);
  result_.virtual_time = ReadNumber(root_[5]);
  if (!ok_) {
    return MalformedError("counters frame with a value out of range");
  }
  return Message(std::move(result_));
}

void CountersReader::ReadOrigins(const json& list) {
  for (const json& item : list) {
    if (!item.is_array() || item.size() != 3 || !item[0].is_string() ||
        !item[1].is_number_integer() || !item[2].is_number_unsigned()) {
      ok_ = false;
      return;
    }
    origins_.emplace_back(
        item[0].get<std::string>(),
        base::Incarnation{item[1].get<int64_t>(), item[2].get<uint32_t>()});
  }
}

void CountersReader::ReadWorkspaces(const json& list) {
  for (const json& item : list) {
    if (!item.is_string()) {
      ok_ = false;
      return;
    }
    workspaces_.push_back(item.get<std::string>());
  }
}

double CountersReader::ReadNumber(const json& value) {
  const double number = value.is_number() ? value.get<double>() : NAN;
  ok_ = ok_ && std::isfinite(number);
  return number;
}

std::string CountersReader::WorkspaceAt(const json& index) {
  if (!index.is_number_unsigned() ||
      index.get<uint64_t>() >= workspaces_.size()) {
    ok_ = false;
    return {};
  }
  return workspaces_[index.get<uint64_t>()];
}

void CountersReader::ReadCounters(const json& list) {
  if (list.size() % 3 != 0) {
    ok_ = false;
    return;
  }
  for (size_t i = 0; ok_ && i < list.size(); i += 3) {
    const json& index = list[i];
    if (!index.is_number_unsigned() ||
        index.get<uint64_t>() >= origins_.size()) {
      ok_ = false;
      return;
    }
    const Origin& origin = origins_[index.get<uint64_t>()];
    result_.counters.push_back({origin.first, origin.second,
                                WorkspaceAt(list[i + 1]),
                                ReadNumber(list[i + 2])});
  }
}

void CountersReader::ReadLifts(const json& list) {
  if (list.size() % 2 != 0) {
    ok_ = false;
    return;
  }
  for (size_t i = 0; ok_ && i < list.size(); i += 2) {
    result_.lifts.push_back({WorkspaceAt(list[i]), ReadNumber(list[i + 1])});
  }
}

void CountersReader::ReadBacklogged(const json& list) {
  for (const json& index : list) {
    result_.backlogged.push_back(WorkspaceAt(index));
  }
}

// Major type and argument of a CBOR item.
struct CborHead {
  unsigned major_type;
  uint64_t argument;
};

std::optional<uint64_t> TakeCborArgument(unsigned additional_info,
                                         std::string_view& in) {
  switch (additional_info) {
    case 24:
      return TakeBigEndian<uint8_t>(in);
    case 25:
      return TakeBigEndian<uint16_t>(in);
    case 26:
      return TakeBigEndian<uint32_t>(in);
    case 27:
      return TakeBigEndian<uint64_t>(in);
    default:
      // The values 28 to 31 are reserved or mean an indefinite length.
      return additional_info < 24 ? std::optional<uint64_t>(additional_info)
                                  : std::nullopt;
  }
}

std::optional<CborHead> TakeCborHead(std::string_view& in) {
  const auto initial_byte = TakeBigEndian<uint8_t>(in);
  if (!initial_byte.has_value()) {
    return std::nullopt;
  }
  const auto argument = TakeCborArgument(*initial_byte & 0x1fU, in);
  if (!argument.has_value()) {
    return std::nullopt;
  }
  return CborHead{static_cast<unsigned>(*initial_byte >> 5U), *argument};
}

}  // namespace

std::string EncodeChunk(const Chunk& chunk) {
  std::string body;
  body.reserve(chunk.request.size() + chunk.data.size() + 14);
  AppendBigEndian(body, static_cast<uint16_t>(chunk.request.size()));
  body += chunk.request;
  AppendBigEndian(body, static_cast<uint32_t>(chunk.attempt));
  AppendBigEndian(body, static_cast<uint64_t>(chunk.offset));
  body += chunk.data;
  return body;
}

absl::StatusOr<Message> DecodeChunk(std::string_view body) {
  Chunk chunk;
  const auto length = TakeBigEndian<uint16_t>(body);
  if (!length.has_value() || *length > body.size()) {
    return MalformedError("chunk frame shorter than its request id");
  }
  chunk.request = body.substr(0, *length);
  body.remove_prefix(*length);
  const auto attempt = TakeBigEndian<uint32_t>(body);
  const auto offset = TakeBigEndian<uint64_t>(body);
  if (!attempt.has_value() || !offset.has_value()) {
    return MalformedError("chunk frame shorter than its fields");
  }
  chunk.attempt = static_cast<int32_t>(*attempt);
  chunk.offset = static_cast<int64_t>(*offset);
  chunk.data = body;
  return Message(std::move(chunk));
}

std::string EncodeCounters(const Counters& counters) {
  IndexTable<Origin> origins;
  IndexTable<std::string> workspaces;
  json entries = json::array();
  for (const CounterEntry& entry : counters.counters) {
    entries.push_back(origins.IndexOf({entry.origin, entry.incarnation}));
    entries.push_back(workspaces.IndexOf(entry.workspace));
    entries.push_back(entry.service);
  }
  json lifts = json::array();
  for (const LiftEntry& entry : counters.lifts) {
    lifts.push_back(workspaces.IndexOf(entry.workspace));
    lifts.push_back(entry.lift);
  }
  json backlogged = json::array();
  for (const std::string& workspace : counters.backlogged) {
    backlogged.push_back(workspaces.IndexOf(workspace));
  }
  json origin_list = json::array();
  for (const auto& [instance, incarnation] : origins.keys()) {
    origin_list.push_back(
        json::array({instance, incarnation.start_us, incarnation.random}));
  }
  const json root = json::array({std::move(origin_list), workspaces.keys(),
                                 std::move(entries), std::move(lifts),
                                 std::move(backlogged), counters.virtual_time});
  std::string body;
  json::to_cbor(root, body);
  return body;
}

absl::StatusOr<Message> DecodeCounters(std::string_view body) {
  if (!IsBoundedCbor(body)) {
    return MalformedError("counters frame is not CBOR of the allowed form");
  }
  const json root = json::from_cbor(body.begin(), body.end(), /*strict=*/true,
                                    /*allow_exceptions=*/false);
  return CountersReader(root).Read();
}

bool IsBoundedCbor(std::string_view data) {
  constexpr unsigned kTextString = 3;
  constexpr unsigned kArray = 4;
  constexpr unsigned kSimpleOrFloat = 7;
  // Number of unread items at each open level.
  std::vector<uint64_t> remaining = {1};
  while (!remaining.empty()) {
    if (remaining.back() == 0) {
      remaining.pop_back();
      continue;
    }
    --remaining.back();
    const auto head = TakeCborHead(data);
    if (!head.has_value()) {
      return false;
    }
    if (head->major_type == kTextString) {
      if (head->argument > data.size()) {
        return false;
      }
      data.remove_prefix(head->argument);
    } else if (head->major_type == kArray) {
      if (remaining.size() > kMaxCborDepth) {
        return false;
      }
      remaining.push_back(head->argument);
    } else if (head->major_type > 1 && head->major_type != kSimpleOrFloat) {
      return false;  // Byte strings, maps and tags are not used.
    }
  }
  return data.empty();
}

}  // namespace jackdawshunt::protocol::internal
