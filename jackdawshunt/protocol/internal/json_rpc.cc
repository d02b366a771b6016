#include "jackdawshunt/protocol/internal/json_rpc.h"

#include <cmath>
#include <concepts>
#include <exception>
#include <sstream>
#include <type_traits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/protocol/internal/schema.h"
#include "json/json.h"
#include "jsonrpccpp/server/abstractserver.h"
#include "jsonrpccpp/server/abstractserverconnector.h"

namespace jackdawshunt::protocol::internal {
namespace {

std::string_view EnumName(RequestClass value) {
  return RequestClassName(value);
}
std::string_view EnumName(StartKind value) {
  return StartKindName(value);
}
std::string_view EnumName(base::ErrorKind value) {
  return base::ErrorKindName(value);
}
std::string_view EnumName(base::Executed value) {
  return base::ExecutedName(value);
}

void ParseEnum(std::string_view name, std::optional<RequestClass>& out) {
  out = ParseRequestClass(name);
}
void ParseEnum(std::string_view name, std::optional<StartKind>& out) {
  out = ParseStartKind(name);
}
void ParseEnum(std::string_view name, std::optional<base::ErrorKind>& out) {
  out = base::ParseErrorKind(name);
}
void ParseEnum(std::string_view name, std::optional<base::Executed>& out) {
  out = base::ParseExecuted(name);
}

Json::Value JsonString(std::string_view text) {
  return {text.data(), text.data() + text.size()};
}

template <typename T>
concept EnumType = std::is_enum_v<T>;

// Schema visitor that writes the fields to a JSON object and the contents of
// blob fields to `blobs`.
class Writer {
 public:
  Writer(Json::Value& object, std::string& blobs)
      : object_(object), blobs_(blobs) {}

  template <typename T>
  void operator()(const char* name, const T& value) {
    object_[Json::StaticString(name)] = ToJson(value);
  }
  void Blob(const char* name, const std::string& value) {
    object_[Json::StaticString(name)] = Json::Value::UInt64{value.size()};
    blobs_ += value;
  }

 private:
  static Json::Value ToJson(bool value) { return value; }
  static Json::Value ToJson(int32_t value) { return value; }
  static Json::Value ToJson(int64_t value) {
    return static_cast<Json::Value::Int64>(value);
  }
  static Json::Value ToJson(uint64_t value) {
    return static_cast<Json::Value::UInt64>(value);
  }
  static Json::Value ToJson(double value) { return value; }
  static Json::Value ToJson(const std::string& value) {
    return JsonString(value);
  }
  static Json::Value ToJson(const base::Incarnation& value) {
    return value.ToString();
  }
  static Json::Value ToJson(const std::pair<std::string, uint64_t>& value) {
    Json::Value pair(Json::arrayValue);
    pair.append(ToJson(value.first));
    pair.append(ToJson(value.second));
    return pair;
  }
  template <EnumType T>
  static Json::Value ToJson(T value) {
    return JsonString(EnumName(value));
  }
  template <typename T>
  Json::Value ToJson(const std::vector<T>& values) {
    Json::Value list(Json::arrayValue);
    for (const T& value : values) {
      list.append(ToJson(value));
    }
    return list;
  }
  template <typename T>
  requires requires { sizeof(Schema<T>); }
  Json::Value ToJson(const T& value) {
    Json::Value object(Json::objectValue);
    Writer writer(object, blobs_);
    Schema<T>::Visit(writer, value);
    return object;
  }

  Json::Value& object_;
  std::string& blobs_;
};

// Schema visitor that reads the fields from a JSON object and the contents of
// blob fields from `blobs`. Sets `malformed_field` to the name of the first
// field that cannot be read.
class Reader {
 public:
  Reader(const Json::Value& object,
         std::string_view& blobs,
         std::string& malformed_field)
      : object_(object), blobs_(blobs), malformed_field_(malformed_field) {}

  template <typename T>
  void operator()(const char* name, T& value) {
    const Json::Value* const member = Find(name);
    if (member != nullptr && !FromJson(*member, value)) {
      SetMalformedField(name);
    }
  }
  void Blob(const char* name, std::string& value) {
    const Json::Value* const member = Find(name);
    if (member == nullptr) {
      return;
    }
    if (!member->isUInt64() || member->asUInt64() > blobs_.size()) {
      SetMalformedField(name);
      return;
    }
    value = blobs_.substr(0, member->asUInt64());
    blobs_.remove_prefix(value.size());
  }

 private:
  const Json::Value* Find(const char* name) const {
    return object_.find(name, name + std::char_traits<char>::length(name));
  }
  void SetMalformedField(const char* name) {
    if (malformed_field_.empty()) {
      malformed_field_ = name;
    }
  }

  static bool FromJson(const Json::Value& json, bool& value) {
    value = json.isBool() && json.asBool();
    return json.isBool();
  }
  static bool FromJson(const Json::Value& json, int32_t& value) {
    value = json.isInt() ? json.asInt() : 0;
    return json.isInt();
  }
  static bool FromJson(const Json::Value& json, int64_t& value) {
    value = json.isInt64() ? json.asInt64() : 0;
    return json.isInt64();
  }
  static bool FromJson(const Json::Value& json, uint64_t& value) {
    value = json.isUInt64() ? json.asUInt64() : 0;
    return json.isUInt64();
  }
  static bool FromJson(const Json::Value& json, double& value) {
    value = json.isNumeric() ? json.asDouble() : NAN;
    return std::isfinite(value);
  }
  static bool FromJson(const Json::Value& json, std::string& value) {
    if (!json.isString()) {
      return false;
    }
    value = json.asString();
    return true;
  }
  static bool FromJson(const Json::Value& json, base::Incarnation& value) {
    const auto parsed =
        base::Incarnation::Parse(json.isString() ? json.asString() : "");
    value = parsed.value_or(base::Incarnation());
    return parsed.ok();
  }
  static bool FromJson(const Json::Value& json,
                       std::pair<std::string, uint64_t>& value) {
    return json.isArray() && json.size() == 2 &&
           FromJson(json[0], value.first) && FromJson(json[1], value.second);
  }
  template <EnumType T>
  static bool FromJson(const Json::Value& json, T& value) {
    std::optional<T> parsed;
    ParseEnum(json.isString() ? json.asString() : "", parsed);
    value = parsed.value_or(value);
    return parsed.has_value();
  }
  template <typename T>
  bool FromJson(const Json::Value& json, std::vector<T>& values) {
    if (!json.isArray()) {
      return false;
    }
    for (const Json::Value& item : json) {
      if (!FromJson(item, values.emplace_back())) {
        return false;
      }
    }
    return true;
  }
  template <typename T>
  requires requires { sizeof(Schema<T>); }
  bool FromJson(const Json::Value& json, T& value) {
    if (!json.isObject()) {
      return false;
    }
    Reader reader(json, blobs_, malformed_field_);
    Schema<T>::Visit(reader, value);
    return malformed_field_.empty();
  }

  const Json::Value& object_;
  std::string_view& blobs_;
  std::string& malformed_field_;
};

const Json::StreamWriterBuilder& WriterSettings() {
  static const Json::StreamWriterBuilder settings = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["commentStyle"] = "None";
    builder["emitUTF8"] = true;
    return builder;
  }();
  return settings;
}

// Passes the text of a notification to libjsonrpccpp. A notification has no
// response, so any response text reports an error.
class Connector final : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* /*info*/) override {
    error_response_ = response;
    return true;
  }
  // Returns the last error response and clears it.
  std::string TakeErrorResponse() { return std::exchange(error_response_, {}); }

 private:
  std::string error_response_;
};

// Decodes notifications with one libjsonrpccpp procedure for each message type.
class Dispatcher final : public jsonrpc::AbstractServer<Dispatcher> {
 public:
  explicit Dispatcher(Connector& connector)
      : AbstractServer(connector), connector_(connector) {
    BindAll(std::type_identity<Message>());
  }

  absl::StatusOr<Message> Dispatch(std::string_view json,
                                   std::string_view blobs);

 private:
  template <typename... M>
  void BindAll(std::type_identity<std::variant<M...>> /*types*/) {
    (Bind<M>(), ...);
  }
  template <typename M>
  void Bind() {
    if constexpr (!std::is_same_v<M, Chunk> && !std::is_same_v<M, Counters>) {
      bindAndAddNotification(
          jsonrpc::Procedure(std::string(Schema<M>::kName),
                             jsonrpc::PARAMS_BY_NAME, nullptr),
          &Dispatcher::Handle<M>);
    }
  }
  template <typename M>
  void Handle(const Json::Value& params) {
    if (!params.isObject()) {
      malformed_field_ = "params";
      return;
    }
    M message;
    Reader reader(params, blobs_, malformed_field_);
    Schema<M>::Visit(reader, message);
    if (malformed_field_.empty()) {
      message_ = std::move(message);
    }
  }

  Connector& connector_;
  std::string_view blobs_;
  std::string malformed_field_;
  std::optional<Message> message_;
};

absl::StatusOr<Message> Dispatcher::Dispatch(std::string_view json,
                                             std::string_view blobs) {
  // A JSON-RPC batch would be an array; this protocol does not use batches.
  if (!json.starts_with('{')) {
    return absl::InvalidArgumentError("JSON-RPC text is not an object");
  }
  blobs_ = blobs;
  malformed_field_.clear();
  message_.reset();
  try {
    connector_.OnRequest(std::string(json));
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("malformed JSON-RPC text: ", error.what()));
  }
  const std::string error_response = connector_.TakeErrorResponse();
  if (!message_.has_value()) {
    constexpr size_t kMaxQuotedBytes = 200;
    return absl::InvalidArgumentError(
        malformed_field_.empty()
            ? absl::StrCat("JSON-RPC error: ",
                           error_response.substr(0, kMaxQuotedBytes))
            : absl::StrCat("field \"", malformed_field_, "\" is malformed"));
  }
  if (!blobs_.empty()) {
    return absl::InvalidArgumentError("bytes after the last blob field");
  }
  return *std::exchange(message_, std::nullopt);
}

}  // namespace

JsonRpcText EncodeJsonRpc(const Message& message) {
  JsonRpcText text;
  Json::Value root(Json::objectValue);
  root["jsonrpc"] = "2.0";
  root["method"] = JsonString(MessageName(message));
  Json::Value& params = root["params"] = Json::Value(Json::objectValue);
  Writer writer(params, text.blobs);
  std::visit(
      [&writer]<typename M>(const M& content) {
        if constexpr (requires { Schema<M>::Visit(writer, content); }) {
          Schema<M>::Visit(writer, content);
        }
      },
      message);
  text.json = Json::writeString(WriterSettings(), root);
  return text;
}

struct JsonRpcDecoder::Impl {
  Connector connector;
  Dispatcher dispatcher{connector};
};

JsonRpcDecoder::JsonRpcDecoder() : impl_(std::make_unique<Impl>()) {}

JsonRpcDecoder::~JsonRpcDecoder() = default;

absl::StatusOr<Message> JsonRpcDecoder::Decode(std::string_view json,
                                               std::string_view blobs) {
  return impl_->dispatcher.Dispatch(json, blobs);
}

}  // namespace jackdawshunt::protocol::internal
