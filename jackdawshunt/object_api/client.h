// Client of the platform: object API and instance list, HTTP with JSON.
//
//   GET    /objects/<key>            200 {"key","version","value"}, 404
//   PUT    /objects/<key>            body is the value; header If-Match:
//   <version>
//                                    ("0": must not exist; absent: any
//                                    version); 200 {"version"}, 409
//                                    {"version","value"}
//   DELETE /objects/<key>            If-Match as above; 200 {"version"}, 409
//   GET    /objects?prefix=<p>       200 {"revision","objects":[...]}
//   GET    /watch?prefix=<p>&from=<revision>&wait_ms=<n>
//                                    waits for a change after the revision:
//                                    200
//                                    {"revision","changes":[{"key","version",
//                                    "deleted","value"}]}, empty at the time
//                                    limit
//   GET    /instances                200 {"instances":[...]}
//
// A version is the revision of the whole store at the write, so it increases
// over all keys. Values are JSON texts of at most 1 MiB.
//
// Example:
//   object_api::Client client(loop, {"127.0.0.1", 9000});
//   client.Get("config/policy/fleet", [](absl::StatusOr<object_api::Object> o)
//   {});
//
// 429 and 503 mean that nothing was written; after other 5xx a write may have
// taken effect. "value" is a JSON string that holds the stored text. An
// instance is
// {"instance","role","region","data_centre","process","operator","state"} with
// addresses as "ip:port" and state "live" or "leaving".
//
// Callbacks come in later turns of the loop. Errors: NotFound; Aborted (lost
// race, nothing written); Unavailable (certainly not written); Unknown (the
// write may have taken effect); DeadlineExceeded for reads; InvalidArgument
// (the platform refused the request, nothing written). Not thread-safe.
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
  std::vector<Object> objects;  // Also the changes of a watch.
};

enum class InstanceState { kLive, kLeaving };

// One row of the instance list.
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

// Limit of one call; a watch may take its waiting time more. A platform that
// answers later than this counts as down.
inline constexpr kernel::Duration kCallTimeout = std::chrono::seconds(3);

// Destruction drops the calls in flight; their callbacks are not called.
class Client {
 public:
  Client(kernel::EventLoop& loop,
         http::Address address,
         kernel::Duration timeout = kCallTimeout);
  virtual ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  virtual void Get(const std::string& key, Callback<Object> done);
  // `expected` 0: the key must not exist; nullopt: unconditional. Gives the new
  // version. On Aborted, read the object to see the winner.
  virtual void Put(const std::string& key,
                   const std::string& value,
                   std::optional<uint64_t> expected,
                   Callback<uint64_t> done);
  virtual void Delete(const std::string& key,
                      std::optional<uint64_t> expected,
                      Callback<uint64_t> done);
  virtual void List(const std::string& prefix, Callback<Listing> done);
  virtual void Watch(const std::string& prefix,
                     uint64_t from,
                     kernel::Duration wait,
                     Callback<Listing> done);
  virtual void Instances(Callback<std::vector<Instance>> done);

  // Calls made so far, for the metrics.
  uint64_t calls() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::object_api

#endif  // JACKDAWSHUNT_OBJECT_API_CLIENT_H_
