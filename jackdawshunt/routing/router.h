// The decisions on one request, from what this instance knows: which service,
// which upstream, whether to take it at all, whether to send it again.
//
// No input or output happens here and time is passed in, so tests replay loads
// against it.
//
// Example:
//   routing::Router router(settings, now);
//   router.SetDesiredState(state);
//   router.directory().Replace(upstreams, now);
//   routing::Decision decision = router.Choose(request, now);
//   if (decision.verdict == routing::Verdict::kSend) {
//     Send(decision.upstream);
//     router.OnSent(request, decision.upstream, now);
//   }
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_ROUTER_H_
#define JACKDAWSHUNT_ROUTING_ROUTER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/admission.h"
#include "jackdawshunt/routing/desired_state.h"
#include "jackdawshunt/routing/directory.h"
#include "jackdawshunt/routing/engine_estimate.h"
#include "jackdawshunt/routing/fair_share.h"
#include "jackdawshunt/routing/placement.h"
#include "jackdawshunt/routing/prompt.h"
#include "jackdawshunt/routing/retry_budget.h"
#include "jackdawshunt/routing/upstream_health.h"

namespace jackdawshunt::routing {

struct RouterSettings {
  std::string data_centre;
  RetryBudgetSettings retry_budget;
  // Window over which workspaces are balanced.
  kernel::Duration share_window = std::chrono::seconds(4);
  // How long an entry that vanished while the list could not be read is still
  // used after the list is back.
  kernel::Duration return_grace = std::chrono::milliseconds(1500);
  AdmissionPolicy admission;
  PlacementWeights placement;
};

// One caller's request, through all its attempts.
struct RoutedRequest {
  std::string id;
  std::shared_ptr<const RoutingTable> table;  // Keeps `route` alive.
  const Route* route = nullptr;
  std::string service;
  std::string workspace;  // Empty on public routes.
  std::optional<Prompt> prompt;
  std::vector<uint64_t> part_keys;
  double engine_tokens_per_s = 0;  // Sustained by one engine; 0: not known.
  kernel::TimePoint arrived_at{};
  kernel::TimePoint deadline{};  // No answer is wanted after this.
  kernel::Duration remaining_objective_at_arrival{};
  uint64_t hash = 0;
  std::vector<std::string> tried;  // Upstreams that it was sent to or failed.
  uint32_t send_count = 0;         // Times that it was sent.
  bool is_charged = false;         // Counts towards its workspace's share.
};

enum class Verdict {
  kSend,
  kRefuse,      // Would wait too long; the caller should return.
  kNoUpstream,  // No upstream of the service is left to try.
};
std::string_view VerdictName(Verdict verdict);

// What the board beside an engine says that a prompt would cost there.
struct BoardOffer {
  std::string upstream;
  EngineCost cost;
  bool is_reachable = true;  // False: other entries cannot connect to it.
};

struct Decision {
  Verdict verdict = Verdict::kNoUpstream;
  Upstream upstream;  // Only for kSend.
  EngineCost cost;    // Of the engine chosen, also for kRefuse.
  size_t candidates = 0;
  size_t offers = 0;       // Boards that answered; 0: own estimates only.
  size_t unreachable = 0;  // Of the boards: their engine cannot be reached.
  double share_used = 0;   // Of the workspace.
  bool fleet_has_spare_capacity =
      true;  // It admits less than the operator states.
  kernel::Duration retry_after{};
  bool is_engine = false;
};

class Router {
 public:
  Router(RouterSettings settings, kernel::TimePoint now);

  // Takes a newer state into force. False when it is not newer.
  bool SetDesiredState(DesiredState state);
  const std::shared_ptr<const RoutingTable>& table() const { return table_; }
  Directory& directory() { return directory_; }
  // Called for each change of an upstream, for logs.
  void SetUpstreamObserver(Directory::Observer observer) {
    upstream_observer_ = std::move(observer);
  }

  // Completes the fields of a request that follow from its route.
  void Prepare(RoutedRequest& request,
               std::optional<kernel::Duration> deadline,
               kernel::TimePoint now);

  // Returns the engines whose boards should be asked before the next attempt:
  // the homes of the prompt's shared part. Empty for plain services.
  std::vector<Upstream> EnginesToQuery(RoutedRequest& request,
                                       kernel::TimePoint now);
  // Whether a caller that states this deadline was refused before: it states
  // less than callers of the route do at first.
  bool IsRetryAfterRefusal(const Route& route, kernel::Duration deadline) const;

  // Chooses the upstream for the next attempt. With offers, the engines that
  // made none are left out.
  Decision Choose(const RoutedRequest& request,
                  const std::vector<BoardOffer>& offers,
                  kernel::TimePoint now);
  // Whether a request that may have run may be sent once more.
  bool TrySpendRetry(const RoutedRequest& request, kernel::TimePoint now);

  // What became of the attempts.
  void OnSent(RoutedRequest& request,
              const Decision& decision,
              kernel::TimePoint now);
  void OnFirstEvent(const RoutedRequest& request,
                    const Upstream& upstream,
                    kernel::TimePoint now);
  void OnEnded(RoutedRequest& request,
               const Upstream& upstream,
               Outcome outcome,
               kernel::TimePoint now);
  // The caller left or the time ran out before the upstream answered.
  void OnAbandoned(const RoutedRequest& request,
                   const Upstream& upstream,
                   kernel::TimePoint now);

  // Drops estimates of requests whose end was missed; call every second.
  void Tick(kernel::TimePoint now);

  // Returns the engines whose boards all entries choose to meet at.
  std::vector<Upstream> EnginesForExchange(size_t count, kernel::TimePoint now);

  FairShare& shares() { return shares_; }
  UpstreamHealth& health() { return health_; }
  // Entries that share the fleet's budgets, this one included; 0 at first: not
  // known.
  void set_instances(uint32_t instances) { instances_ = instances; }

 private:
  struct UpstreamState {
    std::unique_ptr<EngineEstimate> engine;  // Null for plain services.
    size_t in_flight = 0;
  };

  UpstreamState& StateOf(const Upstream& upstream);
  // What one of this many engines can sustain of the stated throughput.
  double EngineTokensPerSecond(size_t engines) const;
  std::vector<const Upstream*> Candidates(const RoutedRequest& request,
                                          kernel::TimePoint now);
  // Leaves the engines that made an offer, or all if none did, without those
  // that are reported unreachable.
  void KeepOffered(std::vector<const Upstream*>& candidates,
                   const std::vector<BoardOffer>& offers,
                   kernel::TimePoint now);
  Decision ChooseEngine(const RoutedRequest& request,
                        const std::vector<BoardOffer>& offers,
                        std::vector<const Upstream*> candidates,
                        kernel::TimePoint now);
  EngineCandidate ToCandidate(const RoutedRequest& request,
                              const Upstream& upstream,
                              kernel::TimePoint now);
  bool IsForEngine(const RoutedRequest& request,
                   const std::vector<const Upstream*>& candidates);
  Decision ChoosePlain(const RoutedRequest& request,
                       const std::vector<const Upstream*>& candidates,
                       kernel::TimePoint now);
  void Release(const RoutedRequest& request,
               const Upstream& upstream,
               bool was_run,
               kernel::TimePoint now);

  const RouterSettings settings_;
  std::shared_ptr<const RoutingTable> table_;
  Directory directory_;
  Directory::Observer upstream_observer_;
  UpstreamHealth health_;
  RetryBudget budget_;
  FairShare shares_;
  std::unordered_map<std::string, UpstreamState> upstreams_;
  // Longest deadline that callers of a route stated: what a first attempt has.
  std::unordered_map<std::string, kernel::Duration> longest_deadline_;
  uint32_t instances_ = 0;
};

// Tokens that a request costs its workspace: its prompt once, its output twice.
uint64_t ShareTokens(const Prompt& prompt);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_ROUTER_H_
