// Client of the platform's object API and instance list, HTTP with JSON.
//
// Requests and their replies with status 200:
//   GET /objects/<key>
//     {"key","version","value"}; 404 if the key does not exist
//   PUT /objects/<key>
//     {"version"}; the body is the value
//   DELETE /objects/<key>
//     {"version"}
//   GET /objects?prefix=<p>
//     {"revision","objects":[...]}
//   GET /watch?prefix=<p>&from=<revision>&wait_ms=<n>
//     {"revision","changes":[{"key","version","deleted","value"}]} after the
//     first change since the revision; without changes at the time limit
//   GET /instances
//     {"instances":[...]}
//
// PUT and DELETE take a header If-Match: <version>; "0" means that the key must
// not exist. Without the header any version matches. If the version does not
// match, the reply is 409, for PUT with {"version","value"}.
//
// A version is the revision of the whole store at the write, so that versions
// increase over all keys. Values are JSON texts of at most 1 MiB. "value" is a
// JSON string with the stored text. An instance is
// {"instance","role","region","data_centre","process","operator","state"} with
// addresses as "ip:port" and state "live" or "leaving".
//
// 429 and 503 mean that nothing was written; after other 5xx a write may have
// taken effect.
//
// Example:
//   object_api::Client client(loop, {"127.0.0.1", 9000});
//   client.Get("config/policy/fleet",
//              [](absl::StatusOr<object_api::Object> object) {});
//
// Callbacks are called in later turns of the loop. Errors: NotFound; Aborted
// (another version is stored, nothing written); Unavailable (for writes:
// nothing written); Unknown (the write may have taken effect); DeadlineExceeded
// (reads only); InvalidArgument (the platform rejected the request, nothing
// written). Not thread-safe.
#ifndef JACKDAWSHUNT_OBJECT_API_CLIENT_H_
#define JACKDAWSHUNT_OBJECT_API_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"

namespace jackdawshunt::object_api {

struct Object {
  std::string key;
  uint64_t version = 0;
  bool deleted = false;
  std::string value;
};

struct Listing {
  uint64_t revision = 0;
  std::vector<Object> objects;  // For a watch, the changes.
};

enum class InstanceState { kLive, kLeaving };

// An element of the instance list.
struct Instance {
  std::string instance;
  std::string role;  // "entry" or "side".
  std::string region;
  std::string data_centre;
  http::Address process;
  http::Address operator_address;
  InstanceState state = InstanceState::kLive;
};

template <typename T>
using Callback = std::function<void(absl::StatusOr<T>)>;

// Time limit of one call; for a watch, the waiting time is added. A platform
// that replies later counts as down.
inline constexpr kernel::Duration kCallTimeout = std::chrono::seconds(3);

// Destruction cancels the calls in flight without calling their callbacks.
class Client {
 public:
  Client(kernel::EventLoop& loop,
         http::Address address,
         kernel::Duration timeout = kCallTimeout);
  virtual ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Reads one object.
  virtual void Get(const std::string& key, Callback<Object> done);
  // Writes an object if its version is `expected`; 0: if the key does not
  // exist; nullopt: unconditionally. Passes the new version to `done`. After
  // Aborted, read the object to get the version that was written instead.
  virtual void Put(const std::string& key,
                   const std::string& value,
                   std::optional<uint64_t> expected,
                   Callback<uint64_t> done);
  // Deletes an object, with `expected` and `done` as for Put().
  virtual void Delete(const std::string& key,
                      std::optional<uint64_t> expected,
                      Callback<uint64_t> done);
  // Lists all objects whose keys start with `prefix`.
  virtual void List(const std::string& prefix, Callback<Listing> done);
  // Passes the changes after revision `from` under `prefix` to `done`. Waits up
  // to `wait` for the first change; without one the listing has no objects.
  virtual void Watch(const std::string& prefix,
                     uint64_t from,
                     kernel::Duration wait,
                     Callback<Listing> done);
  // Reads the instance list. Omits malformed elements.
  virtual void Instances(Callback<std::vector<Instance>> done);

  // Returns the number of calls made so far, for the metrics.
  uint64_t calls() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::object_api

#endif  // JACKDAWSHUNT_OBJECT_API_CLIENT_H_
