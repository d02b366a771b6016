#include "jackdawshunt/platform/records.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/object_api/address.h"
#include "jackdawshunt/platform/json_text.h"

namespace jackdawshunt::platform {
namespace {

using nlohmann::json;

// The configuration is the object of this name; others of its kind are ignored.
constexpr char kDesiredStateName[] = "main";
constexpr char kStoreEra[] = "Store-Era";
constexpr char kWorkspaces[] = "tenants";

struct KindRow {
  std::string_view name;       // In log lines.
  std::string_view wire_name;  // In paths of the store's API.
};
constexpr std::array kKinds = {KindRow{"desired_state", "config"},
                               KindRow{"upstream", "servers"},
                               KindRow{"evacuation", "evacuations"}};

const KindRow& RowFor(RecordKind kind) {
  return kKinds.at(static_cast<size_t>(kind));
}

// A double holds all whole numbers up to this one.
constexpr uint64_t kMaxExactInDouble = uint64_t{1} << 53;
// Within what a Duration holds.
constexpr uint64_t kMaxMilliseconds = uint64_t{1} << 52;

// Reads typed fields of one JSON object. status() is the first error.
class ObjectReader {
 public:
  explicit ObjectReader(const json& object) : object_(object) {
    if (!object.is_object()) {
      status_ = absl::InvalidArgumentError("not an object");
    }
  }

  std::string RequiredText(const char* name) {
    const json* field = Find(name);
    if (field == nullptr || !field->is_string() ||
        field->get_ref<const std::string&>().empty()) {
      Fail(name);
      return {};
    }
    return field->get<std::string>();
  }

  // Returns a text or the digits of a number; empty when the field is missing
  // or null.
  std::string Label(const char* name) {
    const json* field = Find(name);
    if (field == nullptr || field->is_null()) {
      return {};
    }
    if (!field->is_string() && !field->is_number()) {
      Fail(name);
      return {};
    }
    return field->is_string() ? field->get<std::string>() : field->dump();
  }

  // Reads a whole number of at most what T holds.
  template <typename T = uint64_t>
  T Required(const char* name) {
    const auto value = Optional<T>(name);
    if (!value.has_value()) {
      Fail(name);
    }
    return value.value_or(0);
  }

  // Returns nullopt when the field is missing or null.
  template <typename T = uint64_t>
  std::optional<T> Optional(const char* name) {
    const json* field = Find(name);
    if (field == nullptr || field->is_null()) {
      return std::nullopt;
    }
    std::optional<uint64_t> value;
    if (field->is_number_unsigned()) {
      value = field->get<uint64_t>();
    } else if (field->is_number_float()) {
      const double number = field->get<double>();
      if (number >= 0 && number <= static_cast<double>(kMaxExactInDouble)) {
        value = static_cast<uint64_t>(number);
      }
    }
    if (!value.has_value() || *value > std::numeric_limits<T>::max()) {
      Fail(name);
      return std::nullopt;
    }
    return static_cast<T>(*value);
  }

  // Returns nullopt when the field is missing or null.
  std::optional<kernel::Duration> Milliseconds(const char* name) {
    const auto count = Optional(name);
    if (count.value_or(0) > kMaxMilliseconds) {
      Fail(name);
      return std::nullopt;
    }
    return count.has_value()
               ? std::optional<kernel::Duration>(
                     std::chrono::milliseconds(static_cast<int64_t>(*count)))
               : std::nullopt;
  }

  // Returns nullopt when the field is missing or null.
  std::optional<double> Number(const char* name) {
    const json* field = Find(name);
    if (field == nullptr || field->is_null()) {
      return std::nullopt;
    }
    const double number = field->is_number() ? field->get<double>() : -1;
    if (!std::isfinite(number) || number < 0 || number >= 1e9) {
      Fail(name);
      return std::nullopt;
    }
    return number;
  }

  bool Boolean(const char* name) {
    const json* field = Find(name);
    if (field == nullptr || field->is_null()) {
      return false;
    }
    if (!field->is_boolean()) {
      Fail(name);
      return false;
    }
    return field->get<bool>();
  }

  const json* Find(const char* name) const {
    if (!object_.is_object()) {
      return nullptr;
    }
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
  }

  const json* Array(const char* name) const {
    const json* field = Find(name);
    return field != nullptr && field->is_array() ? field : nullptr;
  }

  void Fail(const char* name) {
    if (status_.ok()) {
      status_ = absl::InvalidArgumentError(
          absl::StrCat("field ", name, " is missing or has another type"));
    }
  }

  const absl::Status& status() const { return status_; }

 private:
  const json& object_;
  absl::Status status_;
};

std::optional<routing::RouteKind> ParseKind(std::string_view name) {
  if (name == "safe") {
    return routing::RouteKind::kSafe;
  }
  if (name == "unsafe") {
    return routing::RouteKind::kUnsafe;
  }
  if (name == "streaming") {
    return routing::RouteKind::kStream;
  }
  return std::nullopt;
}

void DecodeServicesOfRoute(ObjectReader& reader, routing::Route& route) {
  const json* split = reader.Array("split");
  if (split == nullptr) {
    route.services.push_back({reader.RequiredText("service"), 1});
    return;
  }
  for (const json& item : *split) {
    ObjectReader entry(item);
    routing::WeightedService service;
    service.service = entry.RequiredText("service");
    service.weight = entry.Required<uint32_t>("weight");
    if (!entry.status().ok()) {
      reader.Fail("split");
      return;
    }
    route.services.push_back(std::move(service));
  }
}

absl::StatusOr<routing::Route> DecodeRoute(const json& object) {
  ObjectReader reader(object);
  routing::Route route;
  route.name = reader.RequiredText("name");
  route.host = reader.RequiredText("host");
  route.path_prefix = reader.RequiredText("pathPrefix");
  const auto kind = ParseKind(reader.RequiredText("kind"));
  if (kind.has_value()) {
    route.kind = *kind;
  } else {
    reader.Fail("kind");
  }
  if (const auto timeout = reader.Milliseconds("timeoutMs")) {
    route.timeout = *timeout;
  } else {
    reader.Fail("timeoutMs");
  }
  route.latency_objective =
      reader.Milliseconds("targetLatencyMs").value_or(kernel::Duration::zero());
  route.priority = reader.Optional<int>("priority").value_or(0);
  route.attempts =
      std::max<uint32_t>(1, reader.Optional<uint32_t>("attempts").value_or(1));
  route.is_public = reader.Boolean("public");
  route.is_resumable = reader.Boolean("resumable");
  DecodeServicesOfRoute(reader, route);
  if (!reader.status().ok()) {
    return reader.status();
  }
  return route;
}

absl::StatusOr<routing::Service> DecodeService(const json& object) {
  ObjectReader reader(object);
  routing::Service service;
  service.name = reader.RequiredText("name");
  service.connection_limit =
      reader.Optional<uint32_t>("connectionLimit").value_or(0);
  service.cold_time = std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double>(reader.Number("coldStartS").value_or(0)));
  service.cold_requests_per_second = reader.Number("coldPerS").value_or(0);
  const json* engine = reader.Find("engine");
  if (engine != nullptr && engine->is_object()) {
    ObjectReader fields(*engine);
    routing::EngineProfile profile;
    profile.slots = fields.Optional<uint32_t>("slots").value_or(0);
    profile.cache_tokens = fields.Optional("kvTokens").value_or(0);
    if (!fields.status().ok()) {
      reader.Fail("engine");
    }
    service.engine = profile;
  }
  if (!reader.status().ok()) {
    return reader.status();
  }
  return service;
}

absl::StatusOr<routing::Workspace> DecodeWorkspace(const json& object) {
  ObjectReader reader(object);
  routing::Workspace workspace;
  workspace.name = reader.RequiredText("name");
  if (const json* keys = reader.Array("apiKeys")) {
    for (const json& key : *keys) {
      if (key.is_string()) {
        workspace.api_keys.push_back(key.get<std::string>());
      }
    }
  }
  if (const auto priority = reader.Optional<int>("priority")) {
    workspace.priority = *priority;
  }
  if (!reader.status().ok()) {
    return reader.status();
  }
  return workspace;
}

routing::Limits DecodeLimits(const json* object) {
  routing::Limits limits;
  if (object == nullptr) {
    return limits;
  }
  ObjectReader reader(*object);
  limits.header_bytes =
      reader.Optional("headerBytes").value_or(limits.header_bytes);
  limits.body_bytes = reader.Optional("bodyBytes").value_or(limits.body_bytes);
  limits.request_timeout =
      reader.Milliseconds("headerTimeoutMs").value_or(limits.request_timeout);
  limits.idle_timeout =
      reader.Milliseconds("idleTimeoutMs").value_or(limits.idle_timeout);
  limits.tokens_per_second =
      static_cast<double>(reader.Optional("tokensPerS").value_or(0));
  return limits;
}

// Decodes the valid entries of an array and logs the others.
template <typename T>
std::vector<T> DecodeArray(ObjectReader& reader,
                           const char* name,
                           absl::StatusOr<T> (*decode)(const json&)) {
  std::vector<T> decoded;
  const json* array = reader.Array(name);
  if (array == nullptr) {
    return decoded;
  }
  for (const json& item : *array) {
    absl::StatusOr<T> entry = decode(item);
    if (entry.ok()) {
      decoded.push_back(*std::move(entry));
    } else {
      base::Log(
          base::LogLevel::kWarning, "record_entry_unusable",
          {{"field", name}, {"error", std::string(entry.status().message())}});
    }
  }
  return decoded;
}

absl::StatusOr<json> ParseBody(std::string_view body) {
  json parsed = json::parse(RepairJson(body), nullptr, false);
  if (!parsed.is_object()) {
    return absl::InvalidArgumentError(
        "the store's answer is not a JSON object");
  }
  return parsed;
}

// Returns whether a server can be reached at the address; a connection to the
// unspecified address leads to this machine.
bool NamesServer(const http::Address& address) {
  return address.port != 0 && address.ip != "0.0.0.0" && address.ip != "::";
}

RecordValue DecodeValue(RecordKind kind,
                        const std::string& name,
                        const json& object) {
  if (kind == RecordKind::kEvacuation) {
    return Evacuation{};  // The name says all.
  }
  const auto specification = object.find("specification");
  if (specification == object.end()) {
    return Absent{};
  }
  absl::Status status;
  if (kind == RecordKind::kDesiredState) {
    auto state = DecodeDesiredState(*specification);
    if (state.ok()) {
      return *std::move(state);
    }
    status = state.status();
  } else {
    auto upstream = DecodeUpstream(name, *specification);
    if (upstream.ok()) {
      return *std::move(upstream);
    }
    status = upstream.status();
  }
  base::Log(base::LogLevel::kWarning, "record_unusable",
            {{"kind", RecordKindName(kind)},
             {"name", name},
             {"error", std::string(status.message())}});
  return Absent{};
}

// Appends the object's record; ignores an object without a name.
void AppendRecord(RecordKind kind,
                  const json& object,
                  bool is_removed,
                  RecordList& list) {
  const json* metadata = ObjectReader(object).Find("metadata");
  if (metadata == nullptr) {
    return;
  }
  ObjectReader fields(*metadata);
  const std::string name = fields.RequiredText("name");
  if (!fields.status().ok()) {
    return;
  }
  list.last_name = name;
  if (kind == RecordKind::kDesiredState && name != kDesiredStateName) {
    return;
  }
  list.records.push_back({name, is_removed ? RecordValue(Absent{})
                                           : DecodeValue(kind, name, object)});
}

void AppendItem(RecordKind kind, const json& item, RecordList& list) {
  AppendRecord(kind, item, false, list);
}

void AppendEvent(RecordKind kind, const json& event, RecordList& list) {
  ObjectReader fields(event);
  const bool is_removed = fields.Boolean("removed");
  if (const json* object = fields.Find("object")) {
    AppendRecord(kind, *object, is_removed, list);
  }
}

// Layout of the answer to a list or a watch.
struct AnswerFormat {
  const char* array;
  bool has_pages;
  void (*append)(RecordKind, const json&, RecordList&);
};
constexpr AnswerFormat kListFormat = {"items", true, &AppendItem};
constexpr AnswerFormat kWatchFormat = {"events", false, &AppendEvent};

absl::StatusOr<RecordList> DecodeAnswer(RecordKind kind,
                                        std::string_view body,
                                        const AnswerFormat& format) {
  const absl::StatusOr<json> parsed = ParseBody(body);
  if (!parsed.ok()) {
    return parsed.status();
  }
  ObjectReader reader(*parsed);
  RecordList list;
  list.revision.revision = reader.Required("storeRevision");
  list.has_more = format.has_pages && reader.Boolean("hasMore");
  const json* entries = reader.Array(format.array);
  if (entries == nullptr) {
    reader.Fail(format.array);
  }
  if (!reader.status().ok()) {
    return reader.status();
  }
  for (const json& entry : *entries) {
    format.append(kind, entry, list);
  }
  return list;
}

}  // namespace

std::string_view RecordKindName(RecordKind kind) {
  return RowFor(kind).name;
}

absl::StatusOr<routing::DesiredState> DecodeDesiredState(
    const json& specification) {
  ObjectReader reader(specification);
  routing::DesiredState state;
  state.version = reader.Required("version");
  if (reader.Array("routes") == nullptr) {
    reader.Fail("routes");
  }
  if (!reader.status().ok()) {
    return reader.status();
  }
  state.routes = DecodeArray(reader, "routes", &DecodeRoute);
  state.services = DecodeArray(reader, "services", &DecodeService);
  state.workspaces = DecodeArray(reader, kWorkspaces, &DecodeWorkspace);
  // Not whether any could be decoded: a list without keys opens no route.
  state.requires_keys = reader.Find(kWorkspaces) != nullptr;
  state.limits = DecodeLimits(reader.Find("limits"));
  return state;
}

absl::StatusOr<routing::Upstream> DecodeUpstream(std::string_view name,
                                                 const json& specification) {
  ObjectReader reader(specification);
  routing::Upstream upstream;
  upstream.id = std::string(name);
  upstream.service = reader.RequiredText("service");
  upstream.data_centre = reader.RequiredText("zone");
  const auto address = object_api::ParseAddress(reader.RequiredText("address"));
  if (address.has_value() && NamesServer(*address)) {
    upstream.address = *address;
  } else {
    reader.Fail("address");
  }
  upstream.slots = std::max<uint32_t>(1, reader.Required<uint32_t>("slots"));
  upstream.software_version = reader.Label("version");
  const std::string state = reader.RequiredText("state");
  if (state == "draining") {
    upstream.is_draining = true;
  } else if (state != "ready") {
    reader.Fail("state");
  }
  // The time when the process started, not when the record was created.
  upstream.started_unix_ms = reader.Optional<int64_t>("born").value_or(0);
  if (const auto ms = reader.Number("coldRemainingMs")) {
    upstream.cold_remaining = std::chrono::duration_cast<kernel::Duration>(
        std::chrono::duration<double, std::milli>(*ms));
  }
  if (!reader.status().ok()) {
    return reader.status();
  }
  return upstream;
}

absl::StatusOr<RecordList> DecodeList(RecordKind kind, std::string_view body) {
  return DecodeAnswer(kind, body, kListFormat);
}

absl::StatusOr<RecordList> DecodeWatch(RecordKind kind, std::string_view body) {
  return DecodeAnswer(kind, body, kWatchFormat);
}

uint64_t DecodeStoreEra(const http1::ResponseHead& head) {
  const std::string_view text = http::FindHeader(head.headers, kStoreEra);
  uint64_t era = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), era);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    if (!text.empty()) {
      base::Log(base::LogLevel::kWarning, "store_era_unreadable",
                {{"value", std::string(text)}});
    }
    return 0;
  }
  return era;
}

std::string ListPath(RecordKind kind, std::string_view after) {
  std::string path = absl::StrCat("/jackdawshunt/objects/",
                                  std::string(RowFor(kind).wire_name));
  if (!after.empty()) {
    absl::StrAppend(&path, "?after=", http::PercentEncode(after));
  }
  return path;
}

std::string WatchPath(RecordKind kind,
                      uint64_t revision,
                      std::chrono::milliseconds wait) {
  return absl::StrCat(ListPath(kind, {}), "?watch=", revision,
                      "&waitMs=", wait.count());
}

}  // namespace jackdawshunt::platform
