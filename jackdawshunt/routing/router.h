// Decides for each request which service and upstream serve it, whether to
// admit it and whether to retry it, based on the state of this instance.
//
// Performs no input or output, and callers pass in the time, so that tests can
// replay loads.
//
// Example:
//   routing::Router router(settings, now);
//   router.SetDesiredState(state);
//   router.ReplaceUpstreams(upstreams, now, /*is_restored=*/false);
//   routing::Decision decision = router.Choose(request, offers, now);
//   if (decision.verdict == routing::Verdict::kSend) {
//     Send(decision.upstream);
//     router.OnSent(request, decision, now);
//   }
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_ROUTER_H_
#define JACKDAWSHUNT_ROUTING_ROUTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/admission.h"
#include "jackdawshunt/routing/beliefs.h"
#include "jackdawshunt/routing/desired_state.h"
#include "jackdawshunt/routing/directory.h"
#include "jackdawshunt/routing/engine_estimate.h"
#include "jackdawshunt/routing/fair_share.h"
#include "jackdawshunt/routing/origin_homes.h"
#include "jackdawshunt/routing/permits.h"
#include "jackdawshunt/routing/placement.h"
#include "jackdawshunt/routing/prompt.h"
#include "jackdawshunt/routing/retry_budget.h"
#include "jackdawshunt/routing/stream_origins.h"
#include "jackdawshunt/routing/upstream_health.h"

namespace jackdawshunt::routing {

struct RouterSettings {
  std::string data_centre;
  uint64_t incarnation = 0;  // Identifies this run of the process.
  RetryBudgetSettings retry_budget;
  // Window over which the shares of workspaces are balanced.
  kernel::Duration share_window = std::chrono::seconds(4);
  // Time for which an entry that disappeared during an outage of the list is
  // still used after the list can be read again.
  kernel::Duration return_grace = std::chrono::milliseconds(1500);
  // Whether operators may evacuate data centres. Nothing is placed before it is
  // known which ones are evacuated.
  bool follows_evacuations = false;
  // In one second a cold upstream may get at most this factor of the rate that
  // it bears, and `cold_slack` requests.
  double cold_overage = 1.0;
  double cold_slack = 0;
  AdmissionPolicy admission;
  PlacementWeights placement;
};

// Why an upstream counts as cold.
enum class ColdSource {
  kRecord,      // Its record says so.
  kNewStart,    // Its start is new, and its record does not say.
  kRefused,     // Nothing listened at its address; it may return cold.
  kUnanswered,  // A connection to it was not answered; it may have restarted.
  kEvacuation,  // The evacuation of its data centre has ended.
};
std::string_view ColdSourceName(ColdSource source);

// A caller's request to continue a stream that an earlier request began.
struct Resumption {
  std::string first_request;  // Its id; empty if the caller does not name it.
  std::string last_event_id;  // The last event that the caller received.
};

// One caller's request over all its attempts.
struct RoutedRequest {
  std::string id;
  std::optional<Resumption> resumption;       // Absent for new requests.
  std::shared_ptr<const RoutingTable> table;  // Keeps `route` alive.
  const Route* route = nullptr;
  std::string service;
  std::string workspace;  // Empty on public routes.
  std::optional<Prompt> prompt;
  std::vector<uint64_t> part_keys;
  double engine_tokens_per_s = 0;  // Sustained by one engine; 0 if unknown.
  kernel::TimePoint arrived_at{};
  kernel::TimePoint deadline{};  // The caller does not wait longer.
  // The caller does not resume the stream later than this.
  kernel::TimePoint resumable_until{};
  kernel::Duration remaining_objective_at_arrival{};
  uint64_t hash = 0;
  uint64_t content = 0;  // See ContentHash().
  // Its prompt's shared parts and the request itself.
  std::vector<Subject> subjects;
  bool is_trial =
      false;  // Whether the last attempt tries quarantined subjects.
  std::vector<std::string> tried_upstreams;  // Excluded from further attempts.
  kernel::TimePoint sent_at{};               // The last attempt.
  uint32_t send_count = 0;                   // Attempts sent.
  // Whether its tokens count as admitted in its workspace's share.
  bool is_counted_in_share = false;
  // Whether they count because of the last attempt.
  bool is_counted_by_attempt = false;
  // The origin of its stream, once it has begun; only upstreams of the same
  // origin may continue it.
  std::optional<uint64_t> origin;
  // Whether the upstream went on after it had begun this attempt's answer.
  bool is_answer_proven = false;
  // Start at which the last attempt was lost before that.
  std::optional<uint64_t> lost_at_start;
};

enum class Verdict {
  kSend,
  kRefuse,              // Would wait too long; the caller should retry later.
  kNoUpstream,          // The service has no untried upstream.
  kPartsQuarantined,    // Its prompt holds parts that end upstreams.
  kRequestQuarantined,  // The request ends upstreams.
};
std::string_view VerdictName(Verdict verdict);

// The reply of an engine's board: the estimated cost of a prompt at that
// engine.
struct BoardOffer {
  std::string upstream;
  EngineCost cost;
  // False if other instances cannot connect to the engine.
  bool is_reachable = true;
};

struct Decision {
  Verdict verdict = Verdict::kNoUpstream;
  Upstream upstream;  // Only for kSend.
  EngineCost cost;    // At the chosen engine; also set for kRefuse.
  size_t candidates = 0;
  size_t offers = 0;       // Boards that replied; if 0, only own estimates.
  size_t unreachable = 0;  // Offers with is_reachable false.
  double share_used = 0;   // See FairShare::ShareUsed().
  // See FairShare::FleetHasSpareCapacity().
  bool fleet_has_spare_capacity = true;
  RefusalRule rule = RefusalRule::kNone;  // Only for kRefuse.
  kernel::Duration retry_after{};
  bool is_engine = false;
};

class Router {
 public:
  Router(RouterSettings settings, kernel::TimePoint now);

  // Makes `state` active and returns true if its version is newer than the
  // active one's; otherwise returns false and changes nothing.
  bool SetDesiredState(DesiredState state);
  const std::shared_ptr<const RoutingTable>& table() const { return table_; }
  Directory& directory() { return directory_; }
  // Sets the function that is called after each change of an upstream.
  void SetUpstreamObserver(Directory::Observer observer) {
    upstream_observer_ = std::move(observer);
  }

  // Applies the platform's list of upstreams as a whole, or a change of one
  // entry. What an entry says of a cold start goes to the beliefs.
  void ReplaceUpstreams(const std::vector<Upstream>& upstreams,
                        kernel::TimePoint now,
                        bool is_restored);
  void PutUpstream(const Upstream& upstream, kernel::TimePoint now);
  // Sets the names of the evacuated data centres. Upstreams in data centres
  // that are no longer evacuated count as cold: they may have restarted, or
  // lost what they had in memory, since they were last used.
  void SetEvacuated(std::set<std::string, std::less<>> data_centres,
                    kernel::TimePoint now);
  // Returns whether it is known which data centres are evacuated.
  bool knows_evacuations() const { return knows_evacuations_; }
  // Sets the function that is called when an upstream comes to count as cold
  // for `time`.
  using ColdObserver = std::function<
      void(const Upstream& upstream, ColdSource source, kernel::Duration time)>;
  void SetColdObserver(ColdObserver observer) {
    cold_observer_ = std::move(observer);
  }

  // Fills in the fields of `request` that follow from its route, and counts it
  // in the retry budget and its workspace's share.
  void Prepare(RoutedRequest& request,
               std::optional<kernel::Duration> deadline,
               kernel::TimePoint now);

  // Restricts `request` to upstreams of the stream's origin.
  void BindToOrigin(RoutedRequest& request,
                    uint64_t origin,
                    kernel::TimePoint now);
  // Returns the origin of the stream that `request` resumes, if all streams on
  // its route that its caller can still resume have the same one; otherwise
  // kUnknownOrigin.
  uint64_t SoleOrigin(const RoutedRequest& request,
                      kernel::TimePoint now) const;
  // Returns the IPs of the engines whose boards keep the origin of the stream
  // that the request with this hash began, in different data centres where
  // possible.
  std::vector<std::string> OriginHomesOf(uint64_t request_hash,
                                         kernel::TimePoint now);
  // Returns the IPs of the engines whose boards may have been the homes at an
  // instance with a somewhat older list of engines.
  std::vector<std::string> PossibleOriginHomesOf(uint64_t request_hash,
                                                 kernel::TimePoint now);

  // Returns the engines whose boards should be queried before the next attempt:
  // the preferred engines of the prompt's shared prefix. Sets
  // `request.engine_tokens_per_s`. Returns an empty list for plain services.
  std::vector<Upstream> EnginesToQuery(RoutedRequest& request,
                                       kernel::TimePoint now);
  // Returns the engines that follow those of EnginesToQuery(), if the request
  // may also be placed there after `refusal` by the first ones: its workspace
  // must be well below its fair share. Other engines have to prefill the shared
  // prefix again. Answers the load in which the preferred engines of one
  // workspace's prompts are busier than those of another's.
  std::vector<Upstream> FurtherEnginesToQuery(const RoutedRequest& request,
                                              const Decision& refusal,
                                              kernel::TimePoint now);
  // Returns a refusal if none of `engines`, the result of EnginesToQuery(),
  // would admit the request whatever its board replies: because of its
  // workspace's share, or because of the boards' recent replies to other
  // requests. Answers the load in which most requests are refused, so that a
  // refusal takes less processor time than a request that is served.
  std::optional<Decision> RefuseWithoutQuery(
      const RoutedRequest& request,
      const std::vector<Upstream>& engines,
      kernel::TimePoint now);
  // Returns whether a caller that states this deadline was probably refused
  // before: a retry states less time than first attempts on the route.
  bool IsRetryAfterRefusal(const Route& route, kernel::Duration deadline) const;

  // Returns whether it must be checked if this start of the upstream has ended,
  // because an attempt there was lost.
  bool NeedsEndCheck(const Upstream& upstream) const {
    return beliefs_.AwaitsEndOf(upstream);
  }
  // Records that nothing listens at the address of the upstream.
  void OnConnectionRefused(const Upstream& upstream, kernel::TimePoint now);
  // Returns whether `upstream` may still be sent new requests.
  bool IsReady(const Upstream& upstream, kernel::TimePoint now);
  // Records that the answer of `upstream` to a request that was sent at
  // `sent_unix_ms` says that it leaves; see Directory::MarkLeaving().
  Directory::Leaving OnLeaving(const Upstream& upstream,
                               int64_t sent_unix_ms,
                               kernel::TimePoint now);
  // Returns the rate of the upstream if each request to it needs a permit,
  // because it names a limit or is cold; see PermitCounter.
  std::optional<PermitRate> RateOf(const Upstream& upstream,
                                   kernel::TimePoint now) const;
  // Returns the IP of the engine whose board counts the permits of `upstream`;
  // empty if there is none.
  std::string PermitHomeOf(const Upstream& upstream, kernel::TimePoint now);

  // Returns a refusal if the request or parts of its prompt are quarantined.
  std::optional<Decision> RefuseQuarantined(const RoutedRequest& request,
                                            kernel::TimePoint now) const;

  // Chooses the upstream for the next attempt. If there are offers of reachable
  // engines, only those engines are considered.
  Decision Choose(const RoutedRequest& request,
                  const std::vector<BoardOffer>& offers,
                  kernel::TimePoint now);
  // Returns whether a request that may have been executed may be sent once
  // more, and if so spends one retry of the service's budget.
  bool TrySpendRetry(const RoutedRequest& request, kernel::TimePoint now);

  // Records that an attempt was sent to the chosen upstream.
  void OnSent(RoutedRequest& request,
              const Decision& decision,
              kernel::TimePoint now);
  // Records that the first event of the answer arrived.
  void OnFirstEvent(const RoutedRequest& request,
                    const Upstream& upstream,
                    kernel::TimePoint now);
  // Records that the answer that began at `began_at` goes on now.
  void OnAnswerContinues(RoutedRequest& request,
                         kernel::TimePoint began_at,
                         kernel::TimePoint now);
  // Records that an attempt ended with `outcome`.
  void OnEnded(RoutedRequest& request,
               const Upstream& upstream,
               Outcome outcome,
               kernel::TimePoint now);
  // Records that the caller disconnected or the deadline passed before the
  // upstream answered.
  void OnAbandoned(const RoutedRequest& request,
                   const Upstream& upstream,
                   kernel::TimePoint now);

  // Drops claims of requests whose end was not reported; call every second.
  void Tick(kernel::TimePoint now);

  // Returns at most `count` engines at whose boards all instances exchange
  // their counts. All instances with the same list get the same engines.
  std::vector<Upstream> EnginesForExchange(size_t count, kernel::TimePoint now);

  Beliefs& beliefs() { return beliefs_; }
  FairShare& shares() { return shares_; }
  UpstreamHealth& health() { return health_; }
  // Sets the number of instances that share the fleet's budgets, this one
  // included. 0, the initial value, means that it is unknown.
  void set_instances(uint32_t instances) { instances_ = instances; }
  uint32_t instances() const { return instances_; }

 private:
  struct UpstreamState {
    // Null until a configuration has stated that it is an engine.
    std::unique_ptr<EngineEstimate> engine;
    size_t in_flight = 0;
    // The last reply of the engine's board, to any request.
    EngineCost last_offer;
    kernel::TimePoint last_offer_at{};
  };

  UpstreamState& StateOf(const Upstream& upstream);
  // Returns the service of the upstream if its starts can be cold; else null.
  const Service* ServiceWithColdStarts(const Upstream& upstream) const;
  // Records what an entry of the list says of its start.
  void ApplyColdRecord(const Upstream& upstream, kernel::TimePoint now);
  void MarkCold(const Upstream& upstream,
                ColdSource source,
                kernel::Duration time,
                kernel::TimePoint now);
  // Records that the upstream may have restarted since it was last reached.
  void SuspectCold(const Upstream& upstream, kernel::TimePoint now);
  // Updates the part of the engines that is not evacuated.
  void UpdateUsablePart(kernel::TimePoint now);
  // Tells the shares which throughput these engines have.
  void ApplyThroughput();
  // Rebuilds the rings of homes if the engines have changed.
  void UpdateOriginHomes(kernel::TimePoint now);
  // Returns the engines of all services that are not draining. Their boards are
  // also used in evacuated data centres.
  std::vector<const Upstream*> RunningEngines(kernel::TimePoint now);
  // Returns the throughput that one of `engines` engines can sustain, from the
  // fleet's stated throughput; 0 if none is stated.
  double EngineTokensPerSecond(size_t engines) const;
  // Returns kQueriedEngines of `candidates`, after the `first` most preferred
  // ones for the prompt's shared prefix.
  static std::vector<Upstream> PreferredEngines(
      const RoutedRequest& request,
      const std::vector<const Upstream*>& candidates,
      size_t first);
  // Returns whether `upstream` has not been tried, wants requests and, if the
  // request's stream has begun, may continue it.
  bool MayServe(const RoutedRequest& request,
                const Upstream& upstream,
                kernel::TimePoint now) const;
  // Returns whether no request may be placed at the upstream now, though it is
  // listed as ready.
  bool IsWithheld(const Upstream& upstream, kernel::TimePoint now) const {
    return beliefs_.MayPlaceAt(upstream.start, now) > now;
  }
  // Returns the time until a request may be placed at a withheld upstream of
  // the service; zero if none is withheld.
  kernel::Duration TimeWithheld(std::string_view service,
                                kernel::TimePoint now);
  // Returns the upstreams of the request's service that may serve it.
  // Excludes those to be avoided, unless they are more than two thirds.
  std::vector<const Upstream*> Candidates(const RoutedRequest& request,
                                          kernel::TimePoint now);
  // Returns the untried engines that offers report as reachable. Marks those
  // reported as unreachable to be avoided for a short time.
  std::vector<const Upstream*> ReachableOffered(
      const RoutedRequest& request,
      const std::vector<BoardOffer>& offers,
      kernel::TimePoint now);
  // Returns the engines to choose from when no offered engine is reachable:
  // those without an offer or, if there are none, all candidates.
  static std::vector<const Upstream*> WithoutOffer(
      const std::vector<const Upstream*>& candidates,
      const std::vector<BoardOffer>& offers);
  Decision ChooseEngine(const RoutedRequest& request,
                        const EngineProfile& profile,
                        const std::vector<BoardOffer>& offers,
                        const std::vector<const Upstream*>& candidates,
                        kernel::TimePoint now);
  // Decides on the admission of the request for `cost`, and fills in the
  // decision except for its upstream.
  Decision Admit(const RoutedRequest& request,
                 const EngineCost& cost,
                 kernel::TimePoint now);
  EngineCandidate ToCandidate(const RoutedRequest& request,
                              const EngineProfile& profile,
                              const Upstream& upstream,
                              kernel::TimePoint now);
  // Returns the profile of the engines that serve the request, by the
  // configuration that it arrived under: a newer one may have dropped the
  // service. Null if the request is not for engines.
  static const EngineProfile* EngineProfileFor(const RoutedRequest& request);
  // Returns the estimate of the upstream, which begins with `profile`.
  EngineEstimate& EstimateOf(const Upstream& upstream,
                             const EngineProfile& profile);
  Decision ChoosePlain(const RoutedRequest& request,
                       const std::vector<const Upstream*>& candidates,
                       kernel::TimePoint now);
  // Removes a request that ended from the load of its upstream.
  void Release(const RoutedRequest& request,
               const Upstream& upstream,
               bool was_executed,
               kernel::TimePoint now);

  // Records what the end of an attempt shows of the subjects of its request.
  void RecordSubjects(RoutedRequest& request,
                      const Upstream& upstream,
                      Outcome outcome,
                      kernel::TimePoint now);

  const RouterSettings settings_;
  std::shared_ptr<const RoutingTable> table_;
  Directory directory_;
  Directory::Observer upstream_observer_;
  ColdObserver cold_observer_;
  bool has_list_ = false;  // Of upstreams.
  // Entries of the list that arrived before the first desired state, and when
  // the first of them did.
  std::vector<Upstream> unapplied_records_;
  kernel::TimePoint unapplied_since_{};
  double usable_part_ = 1.0;
  bool knows_evacuations_ = false;
  UpstreamHealth health_;
  Beliefs beliefs_;
  RetryBudget budget_;
  FairShare shares_;
  std::unordered_map<std::string, UpstreamState> upstreams_;
  // Longest deadline that callers stated, by route; first attempts state it.
  std::unordered_map<std::string, kernel::Duration> longest_deadline_;
  uint32_t instances_ = 0;
  // Changes of the directory and version of the table that the rings are of.
  std::pair<uint64_t, uint64_t> homes_source_;
  OriginHomes ready_homes_;
  OriginHomes listed_homes_;  // Draining engines included.
};

// Returns the tokens charged to the workspace: prompt tokens once, output
// tokens twice.
uint64_t ShareTokens(const Prompt& prompt);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_ROUTER_H_
