// The gateway role: serves callers on the users' platform and sends each
// request directly to an upstream.
#include <memory>
#include <string>
#include <utility>

#include "jackdawshunt/gateway/gateway_process.h"
#include "jackdawshunt/kernel/registry.h"
#include "jackdawshunt/kernel/role.h"
#include "jackdawshunt/platform/settings.h"

namespace jackdawshunt::gateway {
namespace {

constexpr int kExitWrongSettings = 2;

class GatewayRole final : public kernel::Role {
 public:
  int Run(const std::string& settings_path) override {
    const std::string path =
        settings_path.empty() ? platform::SettingsPath() : settings_path;
    auto settings = platform::LoadForProcess(path);
    if (!settings.has_value()) {
      return kExitWrongSettings;
    }
    return GatewayProcess(*std::move(settings), path).Run();
  }
};

const kernel::Registration<kernel::Role> kGateway("gateway", [] {
  return std::make_unique<GatewayRole>();
});

}  // namespace
}  // namespace jackdawshunt::gateway
