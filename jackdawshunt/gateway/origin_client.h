// Records the origins of streams at this instance and at the boards that are
// their homes, and looks up the origin of a stream that a caller resumes.
//
// Example:
//   gateway::OriginClient origins(loop, router, boards);
//   origins.Record(request);
//   auto handle = origins.Find(resuming_request, [](OriginAnswer answer)
//   {...});
//
// A stream that began at another gateway can be resumed while one of its homes
// is left, also if that gateway is gone. Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_ORIGIN_CLIENT_H_
#define JACKDAWSHUNT_GATEWAY_ORIGIN_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jackdawshunt/gateway/board_client.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/routing/origin_lookup.h"
#include "jackdawshunt/routing/router.h"
#include "jackdawshunt/routing/stream_origins.h"

namespace jackdawshunt::gateway {

// What told the origin of a stream, or did not know it.
enum class OriginSource {
  kInstance,  // A record at this instance.
  kBoards,
  kList,  // Only one software version can have begun the stream.
};
std::string_view OriginSourceName(OriginSource source);

struct OriginAnswer {
  uint64_t origin = routing::kUnknownOrigin;
  OriginSource source = OriginSource::kInstance;
  // Rounds of queries to boards; 0 if this instance had a record.
  int rounds = 0;
  kernel::Duration time{};
};

class OriginClient {
 public:
  using FoundCallback = std::function<void(const OriginAnswer&)>;

  OriginClient(kernel::EventLoop& loop,
               routing::Router& router,
               BoardClient& boards);
  ~OriginClient();
  OriginClient(const OriginClient&) = delete;
  OriginClient& operator=(const OriginClient&) = delete;

  // Records that `request` began a stream of origin `request.origin`, which
  // must be set.
  void Record(const routing::RoutedRequest& request);

  // Reads the changes of the list of upstreams up to now, so that every
  // software version that can have begun a stream is known, and calls `done`.
  using ListReader =
      std::function<void(std::function<void(bool is_read)> done)>;
  void SetListReader(ListReader reader) { read_list_ = std::move(reader); }

  // Looks up the origin of the stream that `request` resumes; its resumption
  // must be set. If the caller does not name the request that began the stream,
  // the origin is known only where one software version serves, and the list is
  // read before the answer. Calls `found` once, possibly before it returns.
  // Destroying the returned handle cancels the lookup; `request` must live as
  // long.
  using LookupHandle = std::shared_ptr<void>;
  [[nodiscard]] LookupHandle Find(const routing::RoutedRequest& request,
                                  FoundCallback found);

  // Drops expired records and cancelled lookups; call every second.
  void DropExpired();
  // Returns the number of streams recorded at this instance.
  size_t size() const { return origins_.size(); }
  uint64_t rejected() const { return origins_.rejected(); }

 private:
  struct Lookup;

  // Looks up a stream that its caller does not name.
  LookupHandle FindSole(const routing::RoutedRequest& request,
                        FoundCallback found);
  std::shared_ptr<Lookup> Begin(std::vector<std::string> homes,
                                FoundCallback found);
  // Returns null if the lookup has ended or was cancelled.
  std::shared_ptr<Lookup> FindLookup(uint64_t nonce) const;
  void OnReply(const std::string& ip, const board::OriginReply& reply);
  // Sends the next queries, or ends the lookup.
  void Continue(uint64_t nonce);
  // Ends a lookup at boards that has a result.
  void Finish(Lookup& lookup);
  // Ends the lookup with `answer`, whose time is filled in.
  void End(Lookup& lookup, OriginAnswer answer);

  kernel::EventLoop& loop_;
  routing::Router& router_;
  BoardClient& boards_;
  routing::StreamOrigins origins_;
  std::unordered_map<uint64_t, std::weak_ptr<Lookup>> lookups_;  // By nonce.
  uint64_t next_nonce_ = 1;
  ListReader read_list_;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_ORIGIN_CLIENT_H_
