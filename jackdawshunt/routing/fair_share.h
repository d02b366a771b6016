// Max-min fair shares of the engines' throughput between workspaces, over all
// entries.
//
// Each entry counts what its callers ask for and what it admits, per workspace
// and slice of time, and merges the reports of its peers. A workspace's share
// is what progressive filling gives it of all that was admitted in the window:
// small ones get all that they ask for, the others equal parts. What engines
// can take depends on how much of the prompts they hold, so no fixed capacity
// is assumed. Answers the load pattern "one workspace sends many times its
// usual".
//
// Example:
//   routing::FairShare shares(4s);
//   shares.OnRequest(lodge, 3900, now);
//   if (shares.ShareUsed(lodge, now) > 1) { ... }  // Beyond its share.
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

// Tokens of one workspace in one slice of time at one entry.
struct ShareCount {
  int64_t requested = 0;
  // Below zero when more was taken back than admitted in the slice.
  int64_t admitted = 0;
};

struct ShareReport {
  uint64_t workspace_hash = 0;
  ShareCount count;
};

class FairShare {
 public:
  // Slices that the window holds.
  static constexpr size_t kSlices = 16;

  // `window` is the time over which shares are balanced.
  explicit FairShare(kernel::Duration window);

  void OnRequest(uint64_t workspace_hash,
                 uint64_t tokens,
                 kernel::TimePoint now);
  void OnAdmitted(uint64_t workspace_hash,
                  uint64_t tokens,
                  kernel::TimePoint now);

  // What was admitted did not run: its upstream was gone or refused it.
  void OnNotRun(uint64_t workspace_hash,
                uint64_t tokens,
                kernel::TimePoint now);

  // What the operator states for all engines together; 0: not stated.
  void set_tokens_per_second(double tokens) { tokens_per_second_ = tokens; }
  // Whether less than that was admitted in the window.
  bool FleetHasSpareCapacity(kernel::TimePoint now);

  // Counts of this entry in the last complete slice, for the peers.
  std::vector<ShareReport> Report(kernel::TimePoint now) const;
  // Adds a peer's report to the current slice.
  void Merge(const std::vector<ShareReport>& report, kernel::TimePoint now);

  // Admitted tokens over the fair share of the window; above 1 the workspace
  // is beyond its share. 0 while no workspace misses any of its share.
  double ShareUsed(uint64_t workspace_hash, kernel::TimePoint now);

  kernel::Duration slice() const { return slice_; }

 private:
  struct Workspace {
    std::array<ShareCount, kSlices> own{};
    std::array<ShareCount, kSlices> peers{};
  };

  // Tokens of one workspace in the window.
  struct Sums {
    double requested = 0;
    double admitted = 0;
  };

  static Sums SumsOf(const Workspace& workspace);
  int64_t SliceOf(kernel::TimePoint now) const;
  ShareCount& CurrentSlice(uint64_t workspace_hash, kernel::TimePoint now);
  // Clears the slices that have passed since the last call.
  void Advance(kernel::TimePoint now);
  // The tokens that a workspace may get in the window, by progressive filling;
  // infinite while no workspace misses any of them.
  double FillLevel(kernel::TimePoint now);

  const kernel::Duration slice_;
  std::map<uint64_t, Workspace> workspaces_;
  int64_t current_slice_ = 0;
  double tokens_per_second_ = 0;
  double admitted_in_all_ = 0;
  double level_ = 0;
  int64_t level_of_ = -1;  // The time step for which level_ was computed.
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_FAIR_SHARE_H_
