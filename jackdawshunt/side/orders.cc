#include "jackdawshunt/side/orders.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/log.h"

namespace jackdawshunt::side {
namespace {

// Minimum time between the end of an order, successful or not, and the next
// one.
constexpr kernel::Duration kOrderDelay = std::chrono::seconds(2);

// Returns whether `loaded` contains the model. Upstreams report a loaded model
// as "name@version", or as "name" when they do not report versions.
bool IsLoaded(const std::vector<std::string>& loaded,
              const std::string& name,
              const std::string& version) {
  return std::any_of(
      loaded.begin(), loaded.end(), [&](const std::string& model) {
        return model == name || model == absl::StrCat(name, "@", version);
      });
}

}  // namespace

Orders::Orders(kernel::EventLoop& loop,
               const kernel::Clock& clock,
               object_api::Client& platform,
               const configuration::Store& store,
               UpstreamDriver& driver,
               const protocol::PeerInfo& self)
    : loop_(loop),
      clock_(clock),
      platform_(platform),
      store_(store),
      driver_(driver),
      upstream_(self.upstream),
      holder_(absl::StrCat(self.instance, "/", self.incarnation.ToString())) {}

void Orders::OnLoadReport(const LoadReport& report) {
  if (is_order_pending_ || clock_.Now() < next_order_at_) {
    return;
  }
  std::optional<Order> order = NextOrder(report);
  if (!order.has_value()) {
    // Renewals by thousands of sides would use up the platform's write
    // capacity.
    ReleaseLease();
    return;
  }
  const auto& upstream = store_.snapshot().upstreams.at(upstream_);
  const kernel::Duration takeover_delay =
      upstream.checks_fencing ? kernel::Duration(0) : kOrderTimeout;
  if (lease_ == nullptr) {
    lease_ = std::make_unique<Lease>(
        loop_, clock_, platform_, "leases/" + upstream_, holder_,
        LeaseOptions{kOrdersLeaseDuration, takeover_delay});
  }
  if (!lease_->is_started()) {
    lease_->Start();
  }
  lease_->set_takeover_delay(takeover_delay);
  const std::optional<uint64_t> fencing = lease_->FencingNumber(kOrderTimeout);
  if (fencing.has_value()) {
    order->fencing = *fencing;
    Send(*order);
  }
}

void Orders::ReleaseLease() {
  if (lease_ != nullptr && lease_->is_started() && !is_order_pending_) {
    lease_->Release();
  }
}

void Orders::TickLease() {
  if (lease_ != nullptr) {
    lease_->Tick();
  }
}

std::optional<Order> Orders::NextOrder(const LoadReport& report) const {
  const auto& snapshot = store_.snapshot();
  const auto upstream = snapshot.upstreams.find(upstream_);
  if (upstream == snapshot.upstreams.end() || !report.models.has_value()) {
    return std::nullopt;
  }
  for (const std::string& name : upstream->second.models) {
    const auto model = snapshot.models.find(name);
    if (model != snapshot.models.end() && !model->second.is_service &&
        !IsLoaded(*report.models, name, model->second.default_version)) {
      return Order{.model = name, .version = model->second.default_version};
    }
  }
  return std::nullopt;
}

void Orders::Send(const Order& order) {
  is_order_pending_ = true;
  base::Log(base::LogLevel::kInfo, "placement_decision",
            {{"order", "load_model"},
             {"upstream", upstream_},
             {"model", order.model},
             {"version", order.version},
             {"fencing", order.fencing},
             {"why", "in the upstream's record and not loaded"}});
  driver_.LoadModel(order, [this, order](const absl::Status& status) {
    is_order_pending_ = false;
    next_order_at_ = clock_.Now() + kOrderDelay;
    if (!status.ok()) {
      base::Log(base::LogLevel::kWarning, "order_failed",
                {{"upstream", upstream_},
                 {"model", order.model},
                 {"fencing", order.fencing},
                 {"why", std::string(status.message())}});
    }
  });
}

}  // namespace jackdawshunt::side
