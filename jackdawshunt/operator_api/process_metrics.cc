#include "jackdawshunt/operator_api/process_metrics.h"

#include <sys/resource.h>

#include <string>

#include "jackdawshunt/protocol/connection.h"

namespace jackdawshunt::operator_api {
namespace {

prometheus::Family<prometheus::Gauge>& GaugeFamily(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

double Seconds(const timeval& time) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosecondsPerSecond;
}

}  // namespace

ProcessMetrics::ProcessMetrics(prometheus::Registry& registry)
    : cpu_seconds_(GaugeFamily(registry,
                               "jackdawshunt_cpu_seconds_total",
                               "Processor time, user and system")
                       .Add({})),
      max_resident_bytes_(GaugeFamily(registry,
                                      "jackdawshunt_max_resident_bytes",
                                      "Largest resident set so far")
                              .Add({})),
      platform_calls_(GaugeFamily(registry,
                                  "jackdawshunt_platform_calls_total",
                                  "Calls at the platform")
                          .Add({})),
      config_revision_(GaugeFamily(registry,
                                   "jackdawshunt_config_revision",
                                   "Highest record version in force")
                           .Add({})),
      bytes_(GaugeFamily(registry,
                         "jackdawshunt_process_bytes_total",
                         "Bytes between processes of the fleet")),
      messages_(GaugeFamily(registry,
                            "jackdawshunt_process_messages_total",
                            "Messages between processes of the fleet")) {}

void ProcessMetrics::Update(uint64_t platform_calls, uint64_t config_revision) {
  constexpr double kBytesPerKilobyte = 1024;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  cpu_seconds_.Set(Seconds(usage.ru_utime) + Seconds(usage.ru_stime));
  max_resident_bytes_.Set(static_cast<double>(usage.ru_maxrss) *
                          kBytesPerKilobyte);
  platform_calls_.Set(static_cast<double>(platform_calls));
  config_revision_.Set(static_cast<double>(config_revision));

  const protocol::Traffic& traffic = protocol::ProcessTraffic();
  const auto set_bytes = [this](const char* path, const char* direction,
                                uint64_t bytes) {
    bytes_.Add({{"path", path}, {"direction", direction}})
        .Set(static_cast<double>(bytes));
  };
  set_bytes("control", "sent", traffic.control_bytes_sent);
  set_bytes("control", "received", traffic.control_bytes_received);
  set_bytes("data", "sent", traffic.data_bytes_sent);
  set_bytes("data", "received", traffic.data_bytes_received);
  for (const auto& [name, count] : traffic.messages_sent) {
    messages_.Add({{"message", name}, {"direction", "sent"}})
        .Set(static_cast<double>(count));
  }
  for (const auto& [name, count] : traffic.messages_received) {
    messages_.Add({{"message", name}, {"direction", "received"}})
        .Set(static_cast<double>(count));
  }
}

}  // namespace jackdawshunt::operator_api
