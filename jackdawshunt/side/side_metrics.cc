#include "jackdawshunt/side/side_metrics.h"

#include <array>
#include <string>

namespace jackdawshunt::side {
namespace {

struct EventRow {
  const char* name;
  uint64_t DispatcherCounters::*count;
};

constexpr std::array kEvents = {
    EventRow{"grant", &DispatcherCounters::grants_issued},
    EventRow{"declined", &DispatcherCounters::grants_declined},
    EventRow{"expired", &DispatcherCounters::grants_expired},
    EventRow{"started", &DispatcherCounters::requests_started},
    EventRow{"refused", &DispatcherCounters::starts_refused},
    EventRow{"done", &DispatcherCounters::requests_done},
    EventRow{"failed", &DispatcherCounters::requests_failed},
};

struct SlotSecondsRow {
  const char* state;
  double DispatcherCounters::*seconds;
};

constexpr std::array kSlotSeconds = {
    SlotSecondsRow{"busy", &DispatcherCounters::slot_seconds_busy},
    SlotSecondsRow{"idle", &DispatcherCounters::slot_seconds_idle},
    SlotSecondsRow{"idle_with_bids",
                   &DispatcherCounters::slot_seconds_idle_with_bids},
};

prometheus::Family<prometheus::Gauge>& GaugeFamily(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

}  // namespace

SideMetrics::SideMetrics(prometheus::Registry& registry)
    : events_(GaugeFamily(registry,
                          "jackdawshunt_side_events_total",
                          "Grants, starts and their outcomes")),
      slot_seconds_(GaugeFamily(registry,
                                "jackdawshunt_side_slot_seconds_total",
                                "Slot time by state; idle_with_bids is the "
                                "part of idle while a bid waited here")),
      slots_(GaugeFamily(registry,
                         "jackdawshunt_side_slots",
                         "Slots of the upstream")) {}

void SideMetrics::Update(Dispatcher& dispatcher) {
  const DispatcherCounters& counters = dispatcher.counters();
  for (const EventRow& row : kEvents) {
    events_.Add({{"event", row.name}})
        .Set(static_cast<double>(counters.*row.count));
  }
  for (const SlotSecondsRow& row : kSlotSeconds) {
    slot_seconds_.Add({{"state", row.state}}).Set(counters.*row.seconds);
  }
  slots_.Add({{"state", "all"}}).Set(dispatcher.slots().slots());
  slots_.Add({{"state", "used"}}).Set(dispatcher.slots().used());
}

}  // namespace jackdawshunt::side
