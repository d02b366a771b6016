// Stand-in for the platform: object API and instance list, with the protocol
// described in jackdawshunt/platform/client.h.
//
// Admin paths:
//   GET    /admin/calls             {"by_kind":{},"by_caller":{},"bytes":{}}
//   POST   /admin/faults {"outage","refuse","delay_ms","lose_answers"} PUT
//   /admin/instances/<name>  body is the row of the instance list DELETE
//   /admin/instances/<name>
//
// "outage" answers 503 to all calls and pending watches; "refuse" also closes
// the listening socket, so that callers know that nothing was received. The
// next "lose_answers" writes take effect, but get no answer. Faults that a call
// does not name stay as they are.
//
// A caller is named by its header X-Caller, else by User-Agent.
#ifndef JACKDAWSHUNT_TESTING_STAND_INS_PLATFORM_H_
#define JACKDAWSHUNT_TESTING_STAND_INS_PLATFORM_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/testing/stand_ins/stand_in.h"

namespace jackdawshunt::testing {

struct PlatformOptions {
  // Time until a change of the instance list becomes visible.
  int64_t list_lag_ms = 0;
};

class PlatformStandIn final : public HttpStandIn {
 public:
  PlatformStandIn(kernel::EventLoop& loop, PlatformOptions options);

 protected:
  void Handle(const ExchangePtr& exchange) override;
  void HandleAdmin(const ExchangePtr& exchange) override;

 private:
  struct Object {
    uint64_t version = 0;
    bool deleted = false;
    std::string value;
  };
  struct Watcher {
    ExchangePtr exchange;
    std::string prefix;
    uint64_t from = 0;
    kernel::Timer limit;
  };
  struct Faults {
    bool outage = false;
    bool refuse = false;
    int64_t delay_ms = 0;
    int64_t lose_answers = 0;
  };

  void Count(const http::Request& request, std::string_view kind);
  void Dispatch(const ExchangePtr& exchange);
  void Read(const ExchangePtr& exchange, const std::string& key);
  void Write(const ExchangePtr& exchange, const std::string& key);
  void List(const ExchangePtr& exchange);
  void Watch(const ExchangePtr& exchange);
  void Instances(const ExchangePtr& exchange);
  // Answers 409 and returns false when If-Match does not hold.
  bool HoldsPrecondition(http::Exchange& exchange, const std::string& key);
  nlohmann::json Changes(std::string_view prefix, uint64_t from) const;
  void WakeWatchers(std::string_view key);
  void FailWatchers();
  void SetFaults(const ExchangePtr& exchange);
  void ChangeInstance(const std::string& name, std::optional<std::string> row);

  PlatformOptions options_;
  Faults faults_;
  uint64_t revision_ = 0;
  std::map<std::string, Object> objects_;  // With tombstones.
  std::list<Watcher> watchers_;
  std::map<std::string, std::string> instances_;  // As visible to readers.
  std::map<std::string, uint64_t> calls_by_kind_;
  std::map<std::string, std::map<std::string, uint64_t>> calls_by_caller_;
  uint64_t bytes_in_ = 0;
  DelayedCalls delayed_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_STAND_INS_PLATFORM_H_
