#include "jackdawshunt/object_api/client.h"

#include <array>
#include <map>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/json_depth.h"
#include "jackdawshunt/http/client.h"
#include "jackdawshunt/object_api/address.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::object_api {
namespace {

using Json = nlohmann::json;

// If the reply to a write is lost, the write may have taken effect.
enum class CallType { kRead, kWrite };

// Returns the stored text. A platform may also embed the value as JSON instead
// of a string; one that nests too deeply to be written as text is returned as
// empty, which is no record.
std::string ValueText(const Json& json) {
  const auto value = json.find("value");
  if (value == json.end() || value->is_null() ||
      !base::NestsAtMost(*value, base::kMaxJsonDepth)) {
    return "";
  }
  return value->is_string() ? value->get<std::string>() : value->dump();
}

Object ParseObject(const Json& json) {
  return {.key = json.at("key").get<std::string>(),
          .version = json.at("version").get<uint64_t>(),
          .deleted = json.value("deleted", false),
          .value = ValueText(json)};
}

Listing ParseListing(const Json& json, const char* field) {
  Listing listing;
  listing.revision = json.at("revision").get<uint64_t>();
  for (const Json& object : json.at(field)) {
    listing.objects.push_back(ParseObject(object));
  }
  return listing;
}

// Returns nullopt for a malformed element, so that the other instances are
// still used.
std::optional<Instance> ParseInstance(const Json& json) {
  const auto text = [&json](const char* name) {
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
  };
  const auto process = ParseAddress(text("process"));
  const auto operator_address = ParseAddress(text("operator"));
  Instance instance{.instance = text("instance"),
                    .role = text("role"),
                    .region = text("region"),
                    .data_centre = text("data_centre")};
  if (instance.instance.empty() || !process.has_value() ||
      !operator_address.has_value()) {
    return std::nullopt;
  }
  instance.process = *process;
  instance.operator_address = *operator_address;
  instance.state = text("state") == "leaving" ? InstanceState::kLeaving
                                              : InstanceState::kLive;
  return instance;
}

std::vector<Instance> ParseInstances(const Json& json) {
  std::vector<Instance> instances;
  for (const Json& row : json.at("instances")) {
    if (auto instance = ParseInstance(row)) {
      instances.push_back(std::move(*instance));
    }
  }
  return instances;
}

absl::Status TransportStatus(const absl::Status& status, CallType type) {
  if (absl::IsUnavailable(status)) {
    return status;
  }
  if (type == CallType::kWrite) {
    return absl::UnknownError(status.message());
  }
  return absl::IsDeadlineExceeded(status)
             ? status
             : absl::UnavailableError(status.message());
}

absl::Status HttpStatus(const http::Response& response, CallType type) {
  constexpr size_t kMaxShownBytes = 200;
  const std::string message =
      absl::StrCat("the platform replied with HTTP ", response.status, ": ",
                   response.body.substr(0, kMaxShownBytes));
  switch (response.status) {
    case 404:
      return absl::NotFoundError(message);
    case 409:
      return absl::AbortedError(message);
    case 429:
    case 503:
      return absl::UnavailableError(message);
    default:
      break;
  }
  if (response.status >= 400 && response.status < 500) {
    return absl::InvalidArgumentError(message);
  }
  // A platform that fails may have stored the value before it replied.
  return type == CallType::kWrite ? absl::UnknownError(message)
                                  : absl::UnavailableError(message);
}

http::Headers IfMatchHeaders(std::optional<uint64_t> expected) {
  if (!expected.has_value()) {
    return {};
  }
  return {{"If-Match", absl::StrCat(*expected)}};
}

}  // namespace

struct Client::Impl {
  Impl(kernel::EventLoop& event_loop,
       http::Address platform,
       kernel::Duration time_limit)
      : loop(event_loop),
        address(std::move(platform)),
        timeout(time_limit),
        client(event_loop) {}

  template <typename T>
  void Send(const http::Request& request,
            CallType type,
            kernel::Duration time_limit,
            T (*parse)(const Json&),
            Callback<T> done) {
    ++calls;
    const uint64_t id = ++last_id;
    http::CallOptions options;
    options.timeout = time_limit;
    options.on_done = [this, id, type, parse, done = std::move(done)](
                          const absl::StatusOr<http::Response>& response) {
      // Called last, because the callback may send calls or destroy the client.
      auto callback = done;
      Release(id);
      callback(Result<T>(response, type, parse));
    };
    pending[id] = client.Send(address, request, std::move(options));
  }

  template <typename T>
  static absl::StatusOr<T> Result(
      const absl::StatusOr<http::Response>& response,
      CallType type,
      T (*parse)(const Json&)) {
    if (!response.ok()) {
      return TransportStatus(response.status(), type);
    }
    if (response->status != 200) {
      return HttpStatus(*response, type);
    }
    try {
      return parse(Json::parse(response->body));
    } catch (const Json::exception& error) {
      const std::string message =
          absl::StrCat("malformed reply of the platform: ", error.what());
      return type == CallType::kWrite ? absl::UnknownError(message)
                                      : absl::UnavailableError(message);
    }
  }

  // Destroys a call in a later turn of the loop, because a call must not be
  // destroyed in its own callback.
  void Release(uint64_t id) {
    auto node = pending.extract(id);
    if (!node.empty()) {
      loop.Post(
          [call = std::shared_ptr<http::Call>(std::move(node.mapped()))] {});
    }
  }

  kernel::EventLoop& loop;
  http::Address address;
  kernel::Duration timeout;
  http::Client client;
  std::map<uint64_t, std::unique_ptr<http::Call>> pending;
  uint64_t last_id = 0;
  uint64_t calls = 0;
};

Client::Client(kernel::EventLoop& loop,
               http::Address address,
               kernel::Duration timeout)
    : impl_(std::make_unique<Impl>(loop, std::move(address), timeout)) {}

Client::~Client() = default;

void Client::Get(const std::string& key, Callback<Object> done) {
  impl_->Send<Object>(
      {.path = absl::StrCat("/objects/", http::PercentEncode(key))},
      CallType::kRead, impl_->timeout, ParseObject, std::move(done));
}

void Client::Put(const std::string& key,
                 const std::string& value,
                 std::optional<uint64_t> expected,
                 Callback<uint64_t> done) {
  http::Headers headers = IfMatchHeaders(expected);
  headers.emplace_back("Content-Type", "application/json");
  impl_->Send<uint64_t>(
      {.method = "PUT",
       .path = absl::StrCat("/objects/", http::PercentEncode(key)),
       .headers = std::move(headers),
       .body = value},
      CallType::kWrite, impl_->timeout,
      [](const Json& json) { return json.at("version").get<uint64_t>(); },
      std::move(done));
}

void Client::Delete(const std::string& key,
                    std::optional<uint64_t> expected,
                    Callback<uint64_t> done) {
  impl_->Send<uint64_t>(
      {.method = "DELETE",
       .path = absl::StrCat("/objects/", http::PercentEncode(key)),
       .headers = IfMatchHeaders(expected)},
      CallType::kWrite, impl_->timeout,
      [](const Json& json) { return json.at("version").get<uint64_t>(); },
      std::move(done));
}

void Client::List(const std::string& prefix, Callback<Listing> done) {
  impl_->Send<Listing>(
      {.path = "/objects",
       .query = absl::StrCat("prefix=", http::PercentEncode(prefix))},
      CallType::kRead, impl_->timeout,
      [](const Json& json) { return ParseListing(json, "objects"); },
      std::move(done));
}

void Client::Watch(const std::string& prefix,
                   uint64_t from,
                   kernel::Duration wait,
                   Callback<Listing> done) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  impl_->Send<Listing>(
      {.path = "/watch",
       .query = absl::StrCat("prefix=", http::PercentEncode(prefix),
                             "&from=", from, "&wait_ms=", wait_ms)},
      CallType::kRead, wait + impl_->timeout,
      [](const Json& json) { return ParseListing(json, "changes"); },
      std::move(done));
}

void Client::Instances(Callback<std::vector<Instance>> done) {
  impl_->Send<std::vector<Instance>>({.path = "/instances"}, CallType::kRead,
                                     impl_->timeout, ParseInstances,
                                     std::move(done));
}

uint64_t Client::calls() const {
  return impl_->calls;
}

}  // namespace jackdawshunt::object_api
