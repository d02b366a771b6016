// Stand-ins for the outside systems, one per subcommand. Each binds loopback
// ports, port 0 by default, and prints them as one JSON line.
//
//   jackdawshunt_stand_ins engine --step-ms 3 --max-batch 64
#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>

#include "CLI/CLI.hpp"
#include "jackdawshunt/testing/stand_ins/engine.h"
#include "jackdawshunt/testing/stand_ins/platform.h"
#include "jackdawshunt/testing/stand_ins/proxy.h"
#include "jackdawshunt/testing/stand_ins/service.h"

namespace jackdawshunt::testing {
namespace {

// Runs another program in this process, to be killed when its parent ends, so
// that a test that dies leaves no processes behind.
int ExecWithParent(char** command) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  execv(command[0], command);
  std::perror(command[0]);
  return 127;
}

http::Address ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw CLI::ValidationError("--target", "not IP:PORT: " + text);
  }
  return {text.substr(0, colon),
          static_cast<uint16_t>(std::stoi(text.substr(colon + 1)))};
}

void AddListenOptions(CLI::App& app, ListenOptions& options) {
  app.add_option("--ip", options.ip, "IP of the main port");
  app.add_option("--port", options.port, "Main port; 0 lets the kernel choose");
  app.add_option("--admin-port", options.admin_port, "Port of /admin/ paths");
  app.add_option("--ports-file", options.ports_file, "Receives the ports");
}

template <typename StandIn>
int Serve(kernel::EventLoop& loop,
          StandIn& stand_in,
          const ListenOptions& options,
          std::function<void()> on_terminate) {
  loop.OnSignal(SIGTERM, std::move(on_terminate));
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  if (const absl::Status status = stand_in.Listen(options); !status.ok()) {
    std::cerr << status << '\n';
    return 1;
  }
  loop.Run();
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Stand-ins for the platform, engines, services and networks.");
  app.require_subcommand(1);
  ListenOptions listen;

  PlatformOptions platform;
  CLI::App* platform_app = app.add_subcommand("platform", "Object API");
  platform_app->add_option("--list-lag-ms", platform.list_lag_ms,
                           "Lag of the instance list");

  EngineOptions engine;
  CLI::App* engine_app = app.add_subcommand("engine", "Model engine");
  engine_app->add_option("--step-ms", engine.step_ms, "Time per batch step");
  engine_app->add_option("--max-batch", engine.max_batch, "Running requests");
  engine_app->add_option("--load-lag-ms", engine.load_lag_ms, "Lag of /load");
  engine_app->add_option("--order-ms", engine.order_ms, "Time per order");
  engine_app->add_flag("--check-fencing", engine.check_fencing,
                       "Reject orders with a stale fencing number");
  engine_app->add_option("--model", engine.models,
                         "Served models, NAME or NAME@VERSION; default all");

  int64_t service_delay_ms = 0;
  CLI::App* service_app = app.add_subcommand("service", "Plain service");
  service_app->add_option("--delay-ms", service_delay_ms, "Time per call");

  std::string target;
  CLI::App* proxy_app = app.add_subcommand("proxy", "TCP forwarder");
  proxy_app->add_option("--target", target, "IP:PORT")->required();

  for (CLI::App* sub : {platform_app, engine_app, service_app, proxy_app}) {
    AddListenOptions(*sub, listen);
  }
  CLI11_PARSE(app, argc, argv);

  kernel::EventLoop loop;
  const auto stop = [&loop] { loop.Stop(); };
  if (platform_app->parsed()) {
    PlatformStandIn stand_in(loop, platform);
    return Serve(loop, stand_in, listen, stop);
  }
  if (engine_app->parsed()) {
    EngineStandIn stand_in(loop, engine);
    return Serve(loop, stand_in, listen, [&stand_in] { stand_in.Drain(); });
  }
  if (service_app->parsed()) {
    ServiceStandIn stand_in(loop, service_delay_ms);
    return Serve(loop, stand_in, listen, stop);
  }
  Proxy stand_in(loop, ParseAddress(target));
  return Serve(loop, stand_in, listen, stop);
}

}  // namespace
}  // namespace jackdawshunt::testing

int main(int argc, char** argv) {
  if (argc > 2 && std::string_view(argv[1]) == "exec") {
    return jackdawshunt::testing::ExecWithParent(argv + 2);
  }
  return jackdawshunt::testing::Main(argc, argv);
}
