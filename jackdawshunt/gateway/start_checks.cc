#include "jackdawshunt/gateway/start_checks.h"

#include <utility>
#include <vector>

#include "jackdawshunt/http1/client.h"

namespace jackdawshunt::gateway {

// One connection on which no request is sent.
class StartChecks::Attempt final : public http1::ResponseReceiver {
 public:
  Attempt(StartChecks& checks, routing::Upstream upstream)
      : checks_(checks),
        upstream_(std::move(upstream)),
        connection_(checks.loop_,
                    upstream_.address,
                    http1::ClientConnectionOptions{}) {
    connection_.Send({}, /*is_head_request=*/false, *this);
  }

  void Add(const Handle& handle) { waiting_.push_back(handle); }
  const routing::Upstream& upstream() const { return upstream_; }
  bool was_refused() const { return connection_.was_refused(); }
  bool was_accepted() const { return connection_.was_accepted(); }
  void CallWaiting(bool may_have_ended) {
    for (const auto& waiting : std::exchange(waiting_, {})) {
      if (const Handle done = waiting.lock()) {
        (*done)(may_have_ended);
      }
    }
  }

  // http1::ResponseReceiver:
  bool IsStillWanted() override { return false; }
  bool MatchesRequest(const http1::ResponseHead&) override { return false; }
  void OnHead(const http1::ResponseHead&) override {}
  void OnBody(std::string_view) override {}
  void OnEnd() override {}
  void OnLost(http1::Loss) override {
    checks_.OnAttemptEnded(routing::StartOf(upstream_));
  }

 private:
  StartChecks& checks_;
  const routing::Upstream upstream_;
  http1::ClientConnection connection_;
  std::vector<std::weak_ptr<Callback>> waiting_;
};

StartChecks::StartChecks(kernel::EventLoop& loop, routing::Router& router)
    : loop_(loop), router_(router) {}

StartChecks::~StartChecks() = default;

StartChecks::Handle StartChecks::Check(const routing::Upstream& upstream,
                                       Callback done) {
  auto handle = std::make_shared<Callback>(std::move(done));
  std::unique_ptr<Attempt>& attempt = attempts_[routing::StartOf(upstream)];
  if (attempt == nullptr) {
    attempt = std::make_unique<Attempt>(*this, upstream);
    ++opened_;
  }
  attempt->Add(handle);
  return handle;
}

void StartChecks::OnAttemptEnded(uint64_t start) {
  const auto found = attempts_.find(start);
  // Destroyed in a later iteration of the loop, since this runs in a callback
  // of its connection.
  const std::shared_ptr<Attempt> attempt = std::move(found->second);
  attempts_.erase(found);
  loop_.Post([attempt] {});
  if (attempt->was_refused()) {
    router_.OnConnectionRefused(attempt->upstream(), loop_.clock().Now());
  }
  attempt->CallWaiting(!attempt->was_accepted());
}

}  // namespace jackdawshunt::gateway
