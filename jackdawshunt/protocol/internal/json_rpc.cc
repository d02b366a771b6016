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

Json::Value Text(std::string_view text) {
  return {text.data(), text.data() + text.size()};
}

template <typename T>
concept Named = std::is_enum_v<T>;

// Visitor that writes the fields into a JSON object.
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
  static Json::Value ToJson(const std::string& value) { return Text(value); }
  static Json::Value ToJson(const base::Incarnation& value) {
    return value.ToString();
  }
  static Json::Value ToJson(const std::pair<std::string, uint64_t>& value) {
    Json::Value pair(Json::arrayValue);
    pair.append(ToJson(value.first));
    pair.append(ToJson(value.second));
    return pair;
  }
  template <Named T>
  static Json::Value ToJson(T value) {
    return Text(EnumName(value));
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

// Visitor that reads the fields from a JSON object; `fault` names the first
// field that cannot be read.
class Reader {
 public:
  Reader(const Json::Value& object, std::string_view& blobs, std::string& fault)
      : object_(object), blobs_(blobs), fault_(fault) {}

  template <typename T>
  void operator()(const char* name, T& value) {
    const Json::Value* const member = Find(name);
    if (member != nullptr && !FromJson(*member, value)) {
      Fail(name);
    }
  }
  void Blob(const char* name, std::string& value) {
    const Json::Value* const member = Find(name);
    if (member == nullptr) {
      return;
    }
    if (!member->isUInt64() || member->asUInt64() > blobs_.size()) {
      Fail(name);
      return;
    }
    value = blobs_.substr(0, member->asUInt64());
    blobs_.remove_prefix(value.size());
  }

 private:
  const Json::Value* Find(const char* name) const {
    return object_.find(name, name + std::char_traits<char>::length(name));
  }
  void Fail(const char* name) {
    if (fault_.empty()) {
      fault_ = name;
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
  template <Named T>
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
    Reader reader(json, blobs_, fault_);
    Schema<T>::Visit(reader, value);
    return fault_.empty();
  }

  const Json::Value& object_;
  std::string_view& blobs_;
  std::string& fault_;
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

// Hands the text of one notification to libjsonrpccpp. A notification has no
// response, so any response text is a report of a fault.
class Connector final : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* /*info*/) override {
    fault_ = response;
    return true;
  }
  std::string TakeFault() { return std::exchange(fault_, {}); }

 private:
  std::string fault_;
};

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
      fault_ = "params";
      return;
    }
    M message;
    Reader reader(params, blobs_, fault_);
    Schema<M>::Visit(reader, message);
    if (fault_.empty()) {
      message_ = std::move(message);
    }
  }

  Connector& connector_;
  std::string_view blobs_;
  std::string fault_;
  std::optional<Message> message_;
};

absl::StatusOr<Message> Dispatcher::Dispatch(std::string_view json,
                                             std::string_view blobs) {
  // A batch is an array; this protocol has none.
  if (!json.starts_with('{')) {
    return absl::InvalidArgumentError("JSON-RPC text is not an object");
  }
  blobs_ = blobs;
  fault_.clear();
  message_.reset();
  try {
    connector_.OnRequest(std::string(json));
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("JSON-RPC text: ", error.what()));
  }
  const std::string response = connector_.TakeFault();
  if (!message_.has_value()) {
    constexpr size_t kMaxQuotedBytes = 200;
    return absl::InvalidArgumentError(
        fault_.empty() ? absl::StrCat("JSON-RPC refused: ",
                                      response.substr(0, kMaxQuotedBytes))
                       : absl::StrCat("field \"", fault_, "\" is malformed"));
  }
  if (!blobs_.empty()) {
    return absl::InvalidArgumentError("bytes after the last field");
  }
  return *std::exchange(message_, std::nullopt);
}

}  // namespace

JsonRpcText EncodeJsonRpc(const Message& message) {
  JsonRpcText text;
  Json::Value root(Json::objectValue);
  root["jsonrpc"] = "2.0";
  root["method"] = Text(MessageName(message));
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
