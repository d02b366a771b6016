#include "jackdawshunt/board/messages.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include "msgpack.h"

namespace jackdawshunt::board {
namespace {

// A message is encoded as an array of its type and its fields, in order.
enum class MessageType : uint8_t {
  kQuery = 1,
  kOffer,
  kClaim,
  kProgress,
  kShareUpdate,
  kShareTotals,
  kOriginRecord,
  kOriginQuery,
  kOriginReply,
  kFactUpdate,
  kFactReply,
  kPermitQuery,
  kPermitReply,
};

// Longer lists are rejected.
constexpr size_t kMaxParts = 64;
constexpr size_t kMaxShareReports = 4096;
// Memory of a decoded message that is allocated at once.
constexpr size_t kZoneBytes = 2048;

// Packs the fields of a message into a string.
class FieldWriter {
 public:
  FieldWriter(MessageType type, size_t fields, std::string& out) {
    msgpack_packer_init(&packer_, &out,
                        [](void* text, const char* bytes, size_t size) {
                          static_cast<std::string*>(text)->append(bytes, size);
                          return 0;
                        });
    msgpack_pack_array(&packer_, fields + 1);
    Add(static_cast<uint8_t>(type));
  }

  FieldWriter& Add(uint64_t value) {
    msgpack_pack_uint64(&packer_, value);
    return *this;
  }
  FieldWriter& AddNumber(double value) {
    msgpack_pack_double(&packer_, value);
    return *this;
  }
  FieldWriter& AddSigned(int64_t value) {
    msgpack_pack_int64(&packer_, value);
    return *this;
  }
  FieldWriter& AddBoolean(bool value) {
    value ? msgpack_pack_true(&packer_) : msgpack_pack_false(&packer_);
    return *this;
  }
  FieldWriter& Add(kernel::Duration value) {
    return Add(static_cast<uint64_t>(value.count()));
  }
  template <typename T>
  FieldWriter& Add(const std::vector<T>& numbers) {
    msgpack_pack_array(&packer_, numbers.size());
    for (const T number : numbers) {
      Add(uint64_t{number});
    }
    return *this;
  }
  FieldWriter& Add(const EngineIdentity& engine) {
    return Add(engine.incarnation)
        .AddSigned(engine.started_unix_ms)
        .Add(engine.cache_tokens)
        .Add(engine.sustained_tokens_per_s);
  }
  FieldWriter& Add(const StoreState& store) {
    return Add(store.upstreams_revision.era)
        .Add(store.upstreams_revision.revision)
        .Add(store.evacuations_revision.era)
        .Add(store.evacuations_revision.revision)
        .Add(store.configuration_version)
        .Add(store.current_as_of_us);
  }
  FieldWriter& Add(const AgedFact& fact) {
    msgpack_pack_array(&packer_, 7);
    Add(static_cast<uint64_t>(fact.kind))
        .Add(fact.subject)
        .Add(fact.source)
        .Add(fact.age);
    AddNumber(fact.value);
    return Add(IdsOf(fact.suspects, routing::SubjectKind::kPart))
        .Add(IdsOf(fact.suspects, routing::SubjectKind::kRequest));
  }
  FieldWriter& Add(const std::vector<AgedFact>& facts) {
    msgpack_pack_array(&packer_, facts.size());
    for (const AgedFact& fact : facts) {
      Add(fact);
    }
    return *this;
  }
  FieldWriter& Add(const std::vector<routing::ShareReport>& reports) {
    msgpack_pack_array(&packer_, reports.size());
    for (const routing::ShareReport& row : reports) {
      msgpack_pack_array(&packer_, 3);
      Add(row.workspace_hash)
          .AddSigned(row.count.requested)
          .AddSigned(row.count.admitted);
    }
    return *this;
  }

 private:
  msgpack_packer packer_;
};

void Write(const Query& query, std::string& out) {
  FieldWriter(MessageType::kQuery, 8, out)
      .Add(query.nonce)
      .Add(query.engine)
      .Add(query.part_keys)
      .Add(query.part_tokens)
      .Add(query.engine.slots);
}

void Write(const Offer& offer, std::string& out) {
  FieldWriter(MessageType::kOffer, 8, out)
      .Add(offer.nonce)
      .Add(offer.cost.wait)
      .Add(offer.cost.ahead_of_pace)
      .Add(offer.cost.prefill_time)
      .Add(offer.cost.idle_time)
      .Add(offer.cost.uncached_tokens)
      .Add(offer.cost.uncached_shared_tokens)
      .AddBoolean(offer.is_reachable);
}

void Write(const Claim& claim, std::string& out) {
  FieldWriter(MessageType::kClaim, 9, out)
      .Add(claim.request)
      .Add(claim.engine)
      .Add(claim.part_keys)
      .Add(claim.part_tokens)
      .Add(uint64_t{claim.output_tokens})
      .Add(claim.engine.slots);
}

void Write(const ProgressReport& report, std::string& out) {
  FieldWriter(MessageType::kProgress, 2, out)
      .Add(report.request)
      .Add(static_cast<uint64_t>(report.progress));
}

void Write(const ShareUpdate& update, std::string& out) {
  FieldWriter(MessageType::kShareUpdate, 11, out)
      .Add(update.gateway)
      .Add(update.sequence)
      .AddBoolean(update.wants_totals)
      .Add(update.store)
      .Add(update.reports)
      .Add(update.store.watches_renewed_at_us);
}

void Write(const ShareTotals& totals, std::string& out) {
  FieldWriter(MessageType::kShareTotals, 13, out)
      .Add(totals.sequence)
      .Add(uint64_t{totals.gateways})
      .Add(totals.board)
      .Add(totals.board_time_us)
      .Add(totals.store)
      .Add(totals.facts_revision)
      .Add(totals.reports)
      .Add(totals.store.watches_renewed_at_us);
}

void Write(const OriginRecord& record, std::string& out) {
  FieldWriter(MessageType::kOriginRecord, 3, out)
      .Add(record.request)
      .Add(record.origin)
      .Add(record.resumable_for);
}

void Write(const OriginQuery& query, std::string& out) {
  FieldWriter(MessageType::kOriginQuery, 2, out)
      .Add(query.nonce)
      .Add(query.request);
}

void Write(const OriginReply& reply, std::string& out) {
  FieldWriter(MessageType::kOriginReply, 3, out)
      .Add(reply.nonce)
      .Add(reply.request)
      .Add(reply.origin);
}

void Write(const FactUpdate& update, std::string& out) {
  FieldWriter(MessageType::kFactUpdate, 4, out)
      .Add(update.sequence)
      .Add(update.board)
      .Add(update.known_revision)
      .Add(update.facts);
}

void Write(const FactReply& reply, std::string& out) {
  FieldWriter(MessageType::kFactReply, 5, out)
      .Add(reply.sequence)
      .Add(reply.board)
      .Add(reply.revision)
      .Add(reply.last_revision)
      .Add(reply.facts);
}

void Write(const PermitQuery& query, std::string& out) {
  FieldWriter(MessageType::kPermitQuery, 4, out)
      .Add(query.nonce)
      .Add(query.start)
      .AddNumber(query.cold_per_second)
      .Add(query.limits);
}

void Write(const PermitReply& reply, std::string& out) {
  FieldWriter(MessageType::kPermitReply, 3, out)
      .Add(reply.nonce)
      .AddBoolean(reply.is_granted)
      .Add(reply.wait);
}

// Owns the memory of one decoded message.
class Zone {
 public:
  Zone() { msgpack_zone_init(&zone_, kZoneBytes); }
  ~Zone() { msgpack_zone_destroy(&zone_); }
  Zone(const Zone&) = delete;
  Zone& operator=(const Zone&) = delete;

  msgpack_zone* get() { return &zone_; }

 private:
  msgpack_zone zone_;
};

bool IsUnsigned(const msgpack_object& object) {
  return object.type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

// Reads the fields of a message in order. A missing field, or one of another
// type, gives an empty value and makes the message invalid.
class FieldReader {
 public:
  explicit FieldReader(const msgpack_object& message, size_t position = 1)
      : message_(message), position_(position) {}

  uint64_t ReadUnsigned() {
    const msgpack_object* field = NextField();
    if (field == nullptr || !IsUnsigned(*field)) {
      is_valid_ = false;
      return 0;
    }
    return field->via.u64;
  }

  int64_t ReadSigned() {
    const msgpack_object* field = NextField();
    const bool is_signed =
        field != nullptr &&
        (field->type == MSGPACK_OBJECT_NEGATIVE_INTEGER ||
         (IsUnsigned(*field) &&
          field->via.u64 <=
              static_cast<uint64_t>(std::numeric_limits<int64_t>::max())));
    if (!is_signed) {
      is_valid_ = false;
      return 0;
    }
    return field->via.i64;
  }

  kernel::Duration ReadDuration() { return kernel::Duration(ReadSigned()); }

  bool ReadBoolean() {
    const msgpack_object* field = NextField();
    if (field == nullptr || field->type != MSGPACK_OBJECT_BOOLEAN) {
      is_valid_ = false;
      return false;
    }
    return field->via.boolean;
  }

  template <typename T>
  std::vector<T> ReadNumbers() {
    std::vector<T> numbers;
    const msgpack_object* field = NextArray(kMaxParts);
    if (field == nullptr) {
      return numbers;
    }
    numbers.reserve(field->via.array.size);
    for (uint32_t i = 0; i < field->via.array.size; ++i) {
      const msgpack_object& item = field->via.array.ptr[i];
      is_valid_ = is_valid_ && IsUnsigned(item);
      numbers.push_back(is_valid_ ? static_cast<T>(item.via.u64) : T{});
    }
    return numbers;
  }

  std::vector<routing::ShareReport> ReadReports() {
    std::vector<routing::ShareReport> reports;
    const msgpack_object* field = NextArray(kMaxShareReports);
    if (field == nullptr) {
      return reports;
    }
    reports.reserve(field->via.array.size);
    for (uint32_t i = 0; i < field->via.array.size; ++i) {
      FieldReader row(field->via.array.ptr[i], 0);
      routing::ShareReport report;
      report.workspace_hash = row.ReadUnsigned();
      report.count.requested = row.ReadSigned();
      report.count.admitted = row.ReadSigned();
      is_valid_ = is_valid_ && row.is_valid_;
      reports.push_back(report);
    }
    return reports;
  }

  double ReadNumber() {
    const msgpack_object* field = NextField();
    if (field == nullptr || (field->type != MSGPACK_OBJECT_FLOAT64 &&
                             field->type != MSGPACK_OBJECT_FLOAT32)) {
      is_valid_ = false;
      return 0;
    }
    return field->via.f64;
  }

  // Reads a finite number that is not negative.
  double ReadRate() {
    const double rate = ReadNumber();
    is_valid_ = is_valid_ && std::isfinite(rate) && rate >= 0;
    return is_valid_ ? rate : 0;
  }

  AgedFact ReadFact() {
    const msgpack_object* field = NextField();
    if (field == nullptr) {
      return {};
    }
    FieldReader row(*field, 0);
    const uint64_t kind = row.ReadUnsigned();
    AgedFact fact;
    fact.subject = row.ReadUnsigned();
    fact.source = row.ReadUnsigned();
    fact.age = row.ReadDuration();
    fact.value = row.ReadNumber();
    for (const routing::SubjectKind subject_kind :
         {routing::SubjectKind::kPart, routing::SubjectKind::kRequest}) {
      for (const uint64_t id : row.ReadNumbers<uint64_t>()) {
        fact.suspects.push_back({subject_kind, id});
      }
    }
    is_valid_ = is_valid_ && row.is_valid_ &&
                kind <= static_cast<uint64_t>(routing::kLastFactKind) &&
                fact.age >= kernel::Duration::zero() &&
                std::isfinite(fact.value) && fact.value >= 0;
    if (is_valid_) {
      fact.kind = static_cast<routing::FactKind>(kind);
    }
    return fact;
  }

  std::vector<AgedFact> ReadFacts() {
    std::vector<AgedFact> facts;
    const msgpack_object* field = NextArray(kMaxFactsPerMessage);
    if (field == nullptr) {
      return facts;
    }
    FieldReader rows(*field, 0);
    for (uint32_t i = 0; i < field->via.array.size; ++i) {
      facts.push_back(rows.ReadFact());
    }
    is_valid_ = is_valid_ && rows.is_valid_;
    return facts;
  }

  EngineIdentity ReadEngine() {
    EngineIdentity engine;
    engine.incarnation = ReadUnsigned();
    engine.started_unix_ms = ReadSigned();
    engine.cache_tokens = ReadUnsigned();
    engine.sustained_tokens_per_s = ReadUnsigned();
    return engine;
  }

  StoreState ReadStoreState() {
    StoreState store;
    store.upstreams_revision.era = ReadUnsigned();
    store.upstreams_revision.revision = ReadUnsigned();
    store.evacuations_revision.era = ReadUnsigned();
    store.evacuations_revision.revision = ReadUnsigned();
    store.configuration_version = ReadUnsigned();
    store.current_as_of_us = ReadUnsigned();
    return store;
  }

  // Returns whether there is another field; senders of earlier versions leave
  // out fields that were added at the end.
  bool HasMore() const {
    return message_.type == MSGPACK_OBJECT_ARRAY &&
           position_ < message_.via.array.size;
  }
  bool is_valid() const { return is_valid_; }

 private:
  const msgpack_object* NextField() {
    if (message_.type != MSGPACK_OBJECT_ARRAY ||
        position_ >= message_.via.array.size) {
      is_valid_ = false;
      return nullptr;
    }
    return &message_.via.array.ptr[position_++];
  }

  const msgpack_object* NextArray(size_t max_size) {
    const msgpack_object* field = NextField();
    if (field == nullptr || field->type != MSGPACK_OBJECT_ARRAY ||
        field->via.array.size > max_size) {
      is_valid_ = false;
      return nullptr;
    }
    return field;
  }

  const msgpack_object& message_;
  size_t position_;  // Of the next field; the message's type is at 0.
  bool is_valid_ = true;
};

Message ReadQuery(FieldReader& reader) {
  Query query;
  query.nonce = reader.ReadUnsigned();
  query.engine = reader.ReadEngine();
  query.part_keys = reader.ReadNumbers<uint64_t>();
  query.part_tokens = reader.ReadNumbers<uint32_t>();
  query.engine.slots = reader.HasMore() ? reader.ReadUnsigned() : 0;
  return query;
}

Message ReadOffer(FieldReader& reader) {
  Offer offer;
  offer.nonce = reader.ReadUnsigned();
  offer.cost.wait = reader.ReadDuration();
  offer.cost.ahead_of_pace = reader.ReadDuration();
  offer.cost.prefill_time = reader.ReadDuration();
  offer.cost.idle_time = reader.ReadDuration();
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
  claim.engine.slots = reader.HasMore() ? reader.ReadUnsigned() : 0;
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
  update.store.watches_renewed_at_us =
      reader.HasMore() ? reader.ReadUnsigned() : 0;
  return update;
}

Message ReadShareTotals(FieldReader& reader) {
  ShareTotals totals;
  totals.sequence = reader.ReadUnsigned();
  totals.gateways = static_cast<uint32_t>(reader.ReadUnsigned());
  totals.board = reader.ReadUnsigned();
  totals.board_time_us = reader.ReadUnsigned();
  totals.store = reader.ReadStoreState();
  totals.facts_revision = reader.ReadUnsigned();
  totals.reports = reader.ReadReports();
  totals.store.watches_renewed_at_us =
      reader.HasMore() ? reader.ReadUnsigned() : 0;
  return totals;
}

Message ReadOriginRecord(FieldReader& reader) {
  OriginRecord record;
  record.request = reader.ReadUnsigned();
  record.origin = reader.ReadUnsigned();
  record.resumable_for = reader.ReadDuration();
  return record;
}

Message ReadOriginQuery(FieldReader& reader) {
  OriginQuery query;
  query.nonce = reader.ReadUnsigned();
  query.request = reader.ReadUnsigned();
  return query;
}

Message ReadOriginReply(FieldReader& reader) {
  OriginReply reply;
  reply.nonce = reader.ReadUnsigned();
  reply.request = reader.ReadUnsigned();
  reply.origin = reader.ReadUnsigned();
  return reply;
}

Message ReadFactUpdate(FieldReader& reader) {
  FactUpdate update;
  update.sequence = reader.ReadUnsigned();
  update.board = reader.ReadUnsigned();
  update.known_revision = reader.ReadUnsigned();
  update.facts = reader.ReadFacts();
  return update;
}

Message ReadFactReply(FieldReader& reader) {
  FactReply reply;
  reply.sequence = reader.ReadUnsigned();
  reply.board = reader.ReadUnsigned();
  reply.revision = reader.ReadUnsigned();
  reply.last_revision = reader.ReadUnsigned();
  reply.facts = reader.ReadFacts();
  return reply;
}

Message ReadPermitQuery(FieldReader& reader) {
  PermitQuery query;
  query.nonce = reader.ReadUnsigned();
  query.start = reader.ReadUnsigned();
  query.cold_per_second = reader.ReadRate();
  query.limits = reader.ReadFacts();
  return query;
}

Message ReadPermitReply(FieldReader& reader) {
  PermitReply reply;
  reply.nonce = reader.ReadUnsigned();
  reply.is_granted = reader.ReadBoolean();
  reply.wait = reader.ReadDuration();
  return reply;
}

using MessageReader = Message (*)(FieldReader&);
constexpr std::array<MessageReader, 13> kReaders = {
    &ReadQuery,       &ReadOffer,       &ReadClaim,        &ReadProgress,
    &ReadShareUpdate, &ReadShareTotals, &ReadOriginRecord, &ReadOriginQuery,
    &ReadOriginReply, &ReadFactUpdate,  &ReadFactReply,    &ReadPermitQuery,
    &ReadPermitReply};

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

AgedFact ToAged(const routing::Fact& fact, kernel::TimePoint now) {
  return {.kind = fact.kind,
          .subject = fact.subject,
          .source = fact.source,
          .age = std::max(now - fact.at, kernel::Duration::zero()),
          .value = fact.value,
          .suspects = fact.suspects};
}

routing::Fact FromAged(const AgedFact& aged, kernel::TimePoint now) {
  routing::Fact fact{.kind = aged.kind,
                     .subject = aged.subject,
                     .source = aged.source,
                     .at = now - aged.age,
                     .value = aged.value,
                     .suspects = aged.suspects};
  std::sort(fact.suspects.begin(), fact.suspects.end());
  return fact;
}

std::string Encode(const Message& message) {
  std::string bytes;
  bytes.reserve(128);
  std::visit([&bytes](const auto& typed) { Write(typed, bytes); }, message);
  return bytes;
}

absl::StatusOr<Message> Decode(std::string_view bytes) {
  Zone zone;
  msgpack_object message;
  size_t end = 0;
  const msgpack_unpack_return result =
      msgpack_unpack(bytes.data(), bytes.size(), &end, zone.get(), &message);
  if (result != MSGPACK_UNPACK_SUCCESS) {
    return absl::InvalidArgumentError("not one MessagePack object");
  }
  if (message.type != MSGPACK_OBJECT_ARRAY || message.via.array.size == 0 ||
      !IsUnsigned(message.via.array.ptr[0])) {
    return absl::InvalidArgumentError("not a message");
  }
  const uint64_t type = message.via.array.ptr[0].via.u64;
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
