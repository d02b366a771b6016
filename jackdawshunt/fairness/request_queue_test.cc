#include "jackdawshunt/fairness/request_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <list>
#include <set>

#include <rapidcheck/gtest.h>

namespace jackdawshunt::fairness {
namespace {

enum class Act { kAdd, kAddAtHead, kTake, kRemove, kExpire };

struct Action {
  Act act;
  int id;
  int lane;  // Model, workspace and class.
  int time;
};

void showValue(const Action& action, std::ostream& os) {
  os << static_cast<int>(action.act) << '(' << action.id << ' ' << action.lane
     << ' ' << action.time << ')';
}

rc::Gen<Action> ActionGen() {
  return rc::gen::construct<Action>(
      rc::gen::element(Act::kAdd, Act::kAdd, Act::kAddAtHead, Act::kTake,
                       Act::kRemove, Act::kExpire),
      rc::gen::inRange(0, 12), rc::gen::inRange(0, 8), rc::gen::inRange(0, 50));
}

WaitingRequest Request(const Action& action) {
  return {.request = std::to_string(action.id),
          .model = (action.lane & 1) != 0 ? "m1" : "m2",
          .workspace = (action.lane & 2) != 0 ? "w1" : "w2",
          .request_class = (action.lane & 4) != 0
                               ? protocol::RequestClass::kLong
                               : protocol::RequestClass::kShort,
          .estimate = static_cast<double>(action.id),
          .since = kernel::TimePoint(std::chrono::seconds(action.time))};
}

bool SameLane(const WaitingRequest& a, const WaitingRequest& b) {
  return a.model == b.model && a.workspace == b.workspace &&
         a.request_class == b.request_class;
}

// Keeps all requests in one list, in which those of one lane are in order.
class Oracle {
 public:
  void Add(const WaitingRequest& request, bool at_head) {
    if (Find(request.request) == all_.end()) {
      all_.insert(at_head ? all_.begin() : all_.end(), request);
    }
  }

  std::optional<std::string> Take(const WaitingRequest& like) {
    const auto found =
        std::find_if(all_.begin(), all_.end(),
                     [&](const auto& r) { return SameLane(r, like); });
    if (found == all_.end()) {
      return std::nullopt;
    }
    const std::string id = found->request;
    all_.erase(found);
    return id;
  }

  bool Remove(const std::string& id) {
    const auto found = Find(id);
    if (found == all_.end()) {
      return false;
    }
    all_.erase(found);
    return true;
  }

  std::set<std::string> Expire(kernel::TimePoint cutoff) {
    std::set<std::string> ids;
    all_.remove_if([&](const WaitingRequest& request) {
      return request.since < cutoff && ids.insert(request.request).second;
    });
    return ids;
  }

  void Check(const RequestQueue& queue) const {
    RC_ASSERT(queue.size() == all_.size());
    size_t listed = 0;
    for (const std::string model : {"m1", "m2"}) {
      for (const Backlog& backlog : queue.Backlogs(model)) {
        const WaitingRequest like{.model = model,
                                  .workspace = backlog.workspace,
                                  .request_class = backlog.request_class};
        const auto same = [&](const auto& r) { return SameLane(r, like); };
        RC_ASSERT(backlog.waiting ==
                  std::count_if(all_.begin(), all_.end(), same));
        RC_ASSERT(backlog.head_estimate ==
                  std::find_if(all_.begin(), all_.end(), same)->estimate);
        listed += static_cast<size_t>(backlog.waiting);
      }
    }
    RC_ASSERT(listed == all_.size());
    for (const std::string workspace : {"w1", "w2"}) {
      RC_ASSERT(queue.WaitingCount(workspace) ==
                std::count_if(all_.begin(), all_.end(), [&](const auto& r) {
                  return r.workspace == workspace;
                }));
    }
    std::set<std::string> models;
    for (const WaitingRequest& request : all_) {
      models.insert(request.model);
    }
    RC_ASSERT(queue.WaitingModels() ==
              std::vector<std::string>(models.begin(), models.end()));
  }

 private:
  std::list<WaitingRequest>::iterator Find(const std::string& id) {
    return std::find_if(all_.begin(), all_.end(),
                        [&](const auto& r) { return r.request == id; });
  }

  std::list<WaitingRequest> all_;
};

// Guards against requests lost, duplicated or out of order within their lane,
// and against counts that differ from the content.
RC_GTEST_PROP(RequestQueuePropertyTest, BehavesLikeList, ()) {
  const auto actions = *rc::gen::container<std::vector<Action>>(ActionGen());
  RequestQueue queue;
  Oracle oracle;
  for (const Action& action : actions) {
    const WaitingRequest request = Request(action);
    switch (action.act) {
      case Act::kAdd:
        queue.Add(request);
        oracle.Add(request, /*at_head=*/false);
        break;
      case Act::kAddAtHead:
        queue.AddAtHead(request);
        oracle.Add(request, /*at_head=*/true);
        break;
      case Act::kTake: {
        const auto taken =
            queue.Take(request.model, request.workspace, request.request_class);
        const auto expected = oracle.Take(request);
        RC_ASSERT(taken.has_value() == expected.has_value());
        RC_ASSERT(!taken.has_value() || taken->request == *expected);
        break;
      }
      case Act::kRemove:
        RC_ASSERT(queue.Remove(request.request) ==
                  oracle.Remove(request.request));
        break;
      case Act::kExpire: {
        const auto expired = queue.TakeOlderThan(request.since);
        RC_ASSERT(std::is_sorted(
            expired.begin(), expired.end(),
            [](const auto& a, const auto& b) { return a.since < b.since; }));
        std::set<std::string> ids;
        for (const WaitingRequest& old : expired) {
          ids.insert(old.request);
        }
        RC_ASSERT(ids.size() == expired.size());
        RC_ASSERT(ids == oracle.Expire(request.since));
        break;
      }
    }
    oracle.Check(queue);
  }
}

}  // namespace
}  // namespace jackdawshunt::fairness
