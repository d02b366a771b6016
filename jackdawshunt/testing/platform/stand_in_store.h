// Stand-in for the users' platform's store: objects by kind and name, paged
// lists, watches, and the ways in which it fails.
//
// Example:
//   testing::StandInStore store(loop, {"127.0.1.1", 0});
//   store.Put("servers", "i-1", specification);
//   store.SetFault(testing::StoreFault::kSilent);
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_TESTING_PLATFORM_STAND_IN_STORE_H_
#define JACKDAWSHUNT_TESTING_PLATFORM_STAND_IN_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "jackdawshunt/http1/listener.h"
#include "jackdawshunt/http1/server.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {

enum class StoreFault {
  kNone,
  kBusy,   // Answers 503.
  kMany,   // Answers 429.
  kReset,  // Resets connections.
  // Accepts and never answers; the answers to waiting watches that become due
  // are lost, and their connections stay open.
  kSilent,
};

class StandInStore final : public http1::ServerConnection::Handler {
 public:
  StandInStore(kernel::EventLoop& loop, const http::Address& address);
  ~StandInStore() override;

  http::Address address() const;

  // An object that is put as it is makes no event.
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& specification);
  void Delete(const std::string& kind, const std::string& name);

  void SetFault(StoreFault fault);
  // Watches from an earlier revision get 410.
  void DropHistory();
  // Returns to the state of `age` ago: later changes are lost, revisions go
  // back, the era rises and connections are cut.
  void RestoreCopy(kernel::Duration age);
  uint64_t calls() const { return calls_; }

  // http1::ServerConnection::Handler:
  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string& body) override;
  void OnRequestError(http1::ServerConnection& connection,
                      http1::RequestError fault) override;
  void OnDrained(http1::ServerConnection&) override {}
  void OnClosed(http1::ServerConnection& connection) override;

 private:
  struct Event {
    uint64_t revision = 0;
    std::string kind;
    nlohmann::json body;
  };
  // The state after a change.
  struct Copy {
    kernel::TimePoint made_at{};
    uint64_t revision = 0;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
  };
  struct Watch {
    http1::ServerConnection* connection = nullptr;
    std::string kind;
    uint64_t revision = 0;
    kernel::Timer timer;
  };

  void Answer(http1::ServerConnection& connection,
              int status,
              const nlohmann::json& body);
  void List(http1::ServerConnection& connection,
            const std::string& kind,
            const std::string& after);
  void StartWatch(http1::ServerConnection& connection,
                  const std::string& kind,
                  uint64_t revision,
                  kernel::Duration wait);
  nlohmann::json EventsSince(const std::string& kind, uint64_t revision) const;
  void Record(const std::string& kind, nlohmann::json event);
  void CutConnections();
  void AnswerWatches();

  kernel::EventLoop& loop_;
  std::unique_ptr<http1::Listener> listener_;
  http1::ConnectionSet connections_;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
  std::deque<Event> history_;
  std::deque<Copy> copies_;  // Of the last kCopiesKept changes.
  uint64_t era_ = 1;
  std::map<http1::ServerConnection*, Watch> watches_;
  uint64_t revision_ = 1;
  uint64_t oldest_ = 1;  // Watches from before this revision get 410.
  uint64_t calls_ = 0;
  StoreFault fault_ = StoreFault::kNone;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PLATFORM_STAND_IN_STORE_H_
