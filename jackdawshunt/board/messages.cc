#include "jackdawshunt/board/messages.h"

#include <algorithm>
#include <array>
#include <utility>

#include "nlohmann/json.hpp"

namespace jackdawshunt::board {
namespace {

using nlohmann::json;

// A message is encoded as an array of its type and its fields, in order.
enum class MessageType : uint8_t {
  kQuery = 1,
  kOffer,
  kClaim,
  kProgress,
  kShareUpdate,
  kShareTotals,
};

// Longer lists are rejected.
constexpr size_t kMaxParts = 64;
constexpr size_t kMaxShareReports = 4096;

json EncodeReports(const std::vector<routing::ShareReport>& reports) {
  json rows = json::array();
  for (const routing::ShareReport& row : reports) {
    rows.push_back(
        {row.workspace_hash, row.count.requested, row.count.admitted});
  }
  return rows;
}

json NewMessage(MessageType type) {
  return json::array({static_cast<uint8_t>(type)});
}

json ToJson(const Query& query) {
  json out = NewMessage(MessageType::kQuery);
  out.insert(out.end(),
             {query.nonce, query.engine.incarnation, query.engine.cache_tokens,
              query.engine.sustained_tokens_per_s, query.part_keys,
              query.part_tokens});
  return out;
}

json ToJson(const Offer& offer) {
  json out = NewMessage(MessageType::kOffer);
  out.insert(
      out.end(),
      {offer.nonce, offer.cost.wait.count(), offer.cost.ahead_of_pace.count(),
       offer.cost.prefill_time.count(), offer.cost.uncached_tokens,
       offer.cost.uncached_shared_tokens, offer.is_reachable});
  return out;
}

json ToJson(const Claim& claim) {
  json out = NewMessage(MessageType::kClaim);
  out.insert(out.end(),
             {claim.request, claim.engine.incarnation,
              claim.engine.cache_tokens, claim.engine.sustained_tokens_per_s,
              claim.part_keys, claim.part_tokens, claim.output_tokens});
  return out;
}

json ToJson(const ProgressReport& report) {
  json out = NewMessage(MessageType::kProgress);
  out.insert(out.end(),
             {report.request, static_cast<uint8_t>(report.progress)});
  return out;
}

json ToJson(const ShareUpdate& update) {
  json out = NewMessage(MessageType::kShareUpdate);
  out.insert(out.end(),
             {update.gateway, update.sequence, update.wants_totals,
              update.store.upstreams_revision,
              update.store.configuration_version, update.store.current_as_of_us,
              EncodeReports(update.reports)});
  return out;
}

json ToJson(const ShareTotals& totals) {
  json out = NewMessage(MessageType::kShareTotals);
  out.insert(
      out.end(),
      {totals.sequence, totals.gateways, totals.board, totals.board_time_us,
       totals.store.upstreams_revision, totals.store.configuration_version,
       totals.store.current_as_of_us, EncodeReports(totals.reports)});
  return out;
}

// Reads the fields of a message in order. A missing field, or one of another
// type, gives an empty value and makes the message invalid.
class FieldReader {
 public:
  explicit FieldReader(const json& message) : message_(message) {}

  uint64_t ReadUnsigned() {
    const json* field = NextField();
    if (field == nullptr || !field->is_number_unsigned()) {
      is_valid_ = false;
      return 0;
    }
    return field->get<uint64_t>();
  }

  int64_t ReadSigned() {
    const json* field = NextField();
    if (field == nullptr || !field->is_number_integer()) {
      is_valid_ = false;
      return 0;
    }
    return field->get<int64_t>();
  }

  bool ReadBoolean() {
    const json* field = NextField();
    if (field == nullptr || !field->is_boolean()) {
      is_valid_ = false;
      return false;
    }
    return field->get<bool>();
  }

  template <typename T>
  std::vector<T> ReadNumbers() {
    std::vector<T> numbers;
    const json* field = NextArray(kMaxParts);
    if (field == nullptr) {
      return numbers;
    }
    for (const json& item : *field) {
      is_valid_ = is_valid_ && item.is_number_unsigned();
      numbers.push_back(is_valid_ ? static_cast<T>(item.get<uint64_t>()) : T{});
    }
    return numbers;
  }

  std::vector<routing::ShareReport> ReadReports() {
    std::vector<routing::ShareReport> reports;
    const json* field = NextArray(kMaxShareReports);
    if (field == nullptr) {
      return reports;
    }
    for (const json& item : *field) {
      FieldReader row(item);
      row.position_ = 0;
      routing::ShareReport report;
      report.workspace_hash = row.ReadUnsigned();
      report.count.requested = row.ReadSigned();
      report.count.admitted = row.ReadSigned();
      is_valid_ = is_valid_ && row.is_valid_;
      reports.push_back(report);
    }
    return reports;
  }

  EngineIdentity ReadEngine() {
    EngineIdentity engine;
    engine.incarnation = ReadUnsigned();
    engine.cache_tokens = ReadUnsigned();
    engine.sustained_tokens_per_s = ReadUnsigned();
    return engine;
  }

  StoreState ReadStoreState() {
    StoreState store;
    store.upstreams_revision = ReadUnsigned();
    store.configuration_version = ReadUnsigned();
    store.current_as_of_us = ReadUnsigned();
    return store;
  }

  bool is_valid() const { return is_valid_; }

 private:
  const json* NextField() {
    if (!message_.is_array() || position_ >= message_.size()) {
      is_valid_ = false;
      return nullptr;
    }
    return &message_[position_++];
  }

  const json* NextArray(size_t max_size) {
    const json* field = NextField();
    if (field == nullptr || !field->is_array() || field->size() > max_size) {
      is_valid_ = false;
      return nullptr;
    }
    return field;
  }

  const json& message_;
  size_t position_ = 1;  // After the type.
  bool is_valid_ = true;
};

Message ReadQuery(FieldReader& reader) {
  Query query;
  query.nonce = reader.ReadUnsigned();
  query.engine = reader.ReadEngine();
  query.part_keys = reader.ReadNumbers<uint64_t>();
  query.part_tokens = reader.ReadNumbers<uint32_t>();
  return query;
}

Message ReadOffer(FieldReader& reader) {
  Offer offer;
  offer.nonce = reader.ReadUnsigned();
  offer.cost.wait =
      kernel::Duration(static_cast<int64_t>(reader.ReadUnsigned()));
  offer.cost.ahead_of_pace =
      kernel::Duration(static_cast<int64_t>(reader.ReadUnsigned()));
  offer.cost.prefill_time =
      kernel::Duration(static_cast<int64_t>(reader.ReadUnsigned()));
  offer.cost.uncached_tokens = reader.ReadUnsigned();
  offer.cost.uncached_shared_tokens = reader.ReadUnsigned();
  offer.is_reachable = reader.ReadBoolean();
  return offer;
}

Message ReadClaim(FieldReader& reader) {
  Claim claim;
  claim.request = reader.ReadUnsigned();
  claim.engine = reader.ReadEngine();
  claim.part_keys = reader.ReadNumbers<uint64_t>();
  claim.part_tokens = reader.ReadNumbers<uint32_t>();
  claim.output_tokens = static_cast<uint32_t>(reader.ReadUnsigned());
  return claim;
}

Message ReadProgress(FieldReader& reader) {
  ProgressReport report;
  report.request = reader.ReadUnsigned();
  report.progress = static_cast<Progress>(
      std::min(reader.ReadUnsigned(), static_cast<uint64_t>(kLastProgress)));
  return report;
}

Message ReadShareUpdate(FieldReader& reader) {
  ShareUpdate update;
  update.gateway = reader.ReadUnsigned();
  update.sequence = reader.ReadUnsigned();
  update.wants_totals = reader.ReadBoolean();
  update.store = reader.ReadStoreState();
  update.reports = reader.ReadReports();
  return update;
}

Message ReadShareTotals(FieldReader& reader) {
  ShareTotals totals;
  totals.sequence = reader.ReadUnsigned();
  totals.gateways = static_cast<uint32_t>(reader.ReadUnsigned());
  totals.board = reader.ReadUnsigned();
  totals.board_time_us = reader.ReadUnsigned();
  totals.store = reader.ReadStoreState();
  totals.reports = reader.ReadReports();
  return totals;
}

using MessageReader = Message (*)(FieldReader&);
constexpr std::array<MessageReader, 6> kReaders = {
    &ReadQuery,    &ReadOffer,       &ReadClaim,
    &ReadProgress, &ReadShareUpdate, &ReadShareTotals};

}  // namespace

std::vector<routing::PromptPart> ToPromptParts(
    const std::vector<uint32_t>& tokens) {
  std::vector<routing::PromptPart> parts;
  parts.reserve(tokens.size());
  for (const uint32_t count : tokens) {
    parts.push_back({.id = 0, .tokens = count});
  }
  return parts;
}

std::string Encode(const Message& message) {
  const json fields =
      std::visit([](const auto& typed) { return ToJson(typed); }, message);
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

absl::StatusOr<Message> Decode(std::string_view bytes) {
  json message;
  try {
    message = json::from_cbor(bytes);
  } catch (const json::exception& error) {
    // The parser reports impossible sizes only by exception.
    return absl::InvalidArgumentError(error.what());
  }
  if (!message.is_array() || message.empty() ||
      !message[0].is_number_unsigned()) {
    return absl::InvalidArgumentError("not a message");
  }
  const auto type = message[0].get<uint64_t>();
  if (type < 1 || type > kReaders.size()) {
    return absl::InvalidArgumentError("unknown message type");
  }
  FieldReader reader(message);
  Message decoded = kReaders.at(type - 1)(reader);
  if (!reader.is_valid()) {
    return absl::InvalidArgumentError(
        "a field is missing or has an unexpected type");
  }
  return decoded;
}

}  // namespace jackdawshunt::board
