// Computes max-min fair shares of the engines' throughput between workspaces,
// over all instances.
//
// Each instance counts the requested and the admitted tokens per workspace and
// time slice, and merges the reports of its peers, which arrive more often
// while engines are short: a workspace that sends many times its usual load
// takes its share of the whole window within a second. For the same reason
// shares also apply, less strictly, to the last second alone. Progressive
// filling divides all tokens admitted in the window: small workspaces get all
// that they request, the others equal parts. The capacity of engines depends on
// how much of the prompts is cached, so no fixed capacity is assumed. This
// protects the other workspaces when one sends many times its usual load.
//
// Example:
//   routing::FairShare shares(std::chrono::seconds(4));
//   const uint64_t workspace = routing::HashOf("lodge");
//   shares.OnRequest(workspace, 3900, now);
//   bool exceeds_share = shares.ShareUsed(workspace, now) > 1;
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_FAIR_SHARE_H_
#define JACKDAWSHUNT_ROUTING_FAIR_SHARE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

// Tokens of one workspace in one time slice at one instance.
struct ShareCount {
  int64_t requested = 0;
  // Negative when more was revoked than admitted in the slice.
  int64_t admitted = 0;
};

struct ShareReport {
  uint64_t workspace_hash = 0;
  ShareCount count;
};

class FairShare {
 public:
  // Number of time slices in the window.
  static constexpr size_t kSlices = 16;

  // `window` is the time over which shares are balanced.
  explicit FairShare(kernel::Duration window);

  // Records the tokens of a request that arrived.
  void OnRequest(uint64_t workspace_hash,
                 uint64_t tokens,
                 kernel::TimePoint now);
  // Records the tokens of a request that was admitted.
  void OnAdmitted(uint64_t workspace_hash,
                  uint64_t tokens,
                  kernel::TimePoint now);

  // Revokes an admission whose request was not executed because its upstream
  // was unreachable or refused it.
  void OnNotExecuted(uint64_t workspace_hash,
                     uint64_t tokens,
                     kernel::TimePoint now);

  // Sets the throughput that the operator states for all engines together; 0
  // if none is stated.
  void set_tokens_per_second(double tokens) { tokens_per_second_ = tokens; }
  // Returns whether less than the stated throughput was admitted in the window;
  // true if none is stated.
  bool FleetHasSpareCapacity(kernel::TimePoint now);

  // Returns the counts of this instance since the previous call, for its peers.
  std::vector<ShareReport> TakeReport();
  // Returns the time from one report to the next, when `instances` instances
  // report to the same place.
  kernel::Duration ReportPeriod(uint32_t instances, kernel::TimePoint now);
  // Adds a peer's report to the current slice.
  void Merge(const std::vector<ShareReport>& report, kernel::TimePoint now);

  // Returns the admitted tokens of the workspace divided by its fair share of
  // the window; above 1 it exceeds its share. If it has used more of its share
  // of the last second, slightly reduced, returns that. Returns 0 while no
  // limit applies, because every workspace gets its share.
  double ShareUsed(uint64_t workspace_hash, kernel::TimePoint now);
  // Returns the tokens of the workspace that all instances are known to have
  // admitted in the window.
  int64_t Admitted(uint64_t workspace_hash, kernel::TimePoint now);

 private:
  struct Workspace {
    std::array<ShareCount, kSlices> own{};
    std::array<ShareCount, kSlices> peers{};
  };

  // Tokens of one workspace in the latest slices.
  struct Sums {
    double requested = 0;
    double admitted = 0;
  };

  Sums SumsOf(const Workspace& workspace, size_t slices) const;
  int64_t SliceIndex(kernel::TimePoint now) const;
  // Adds to the counts of this instance in the current slice.
  void Count(uint64_t workspace_hash, ShareCount count, kernel::TimePoint now);
  // Clears the slices that began since the last call and removes idle
  // workspaces.
  void Advance(kernel::TimePoint now);
  // Updates the limits and totals if they are too old.
  void UpdateLimits(kernel::TimePoint now);
  // Returns the max-min fair limit of a workspace's tokens, by progressive
  // filling; infinity while every workspace gets its share. Sorts `rows`.
  static double FairLimit(std::vector<Sums>& rows);
  // Returns the tokens that the engines can serve in the window; 0 if the
  // operator states no throughput.
  double WindowCapacity() const;

  const kernel::Duration slice_;
  std::map<uint64_t, Workspace> workspaces_;
  std::map<uint64_t, ShareCount> unreported_;
  int64_t current_slice_ = 0;
  double tokens_per_second_ = 0;
  double total_requested_ = 0;
  double total_admitted_ = 0;
  double window_limit_ = 0;
  double short_limit_ = 0;
  int64_t limit_step_ = -1;  // Time step for which the limits were computed.
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_FAIR_SHARE_H_
