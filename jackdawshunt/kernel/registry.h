// Creates plug-ins by name. A plug-in registers itself with a static
// Registration; the kernel depends on the interface only.
//
// Example:
//   const kernel::Registration<PlacementStrategy> kRoundRobin(
//       "round_robin", [] { return std::make_unique<RoundRobin>(); });
//   auto strategy = kernel::Registry<PlacementStrategy>::Create("round_robin");
#ifndef JACKDAWSHUNT_KERNEL_REGISTRY_H_
#define JACKDAWSHUNT_KERNEL_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jackdawshunt::kernel {

// Filled during static initialisation, read-only afterwards.
template <typename Interface>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>()>;

  // Returns a new object, or null when no plug-in has this name.
  static std::unique_ptr<Interface> Create(std::string_view name) {
    const auto found = Factories().find(name);
    return found == Factories().end() ? nullptr : found->second();
  }

  // Returns the names in alphabetical order.
  static std::vector<std::string> Names() {
    std::vector<std::string> names;
    for (const auto& [name, factory] : Factories()) {
      names.push_back(name);
    }
    return names;
  }

  // Adds a factory; ignored when the name is already registered.
  static void Add(std::string name, Factory factory) {
    Factories().emplace(std::move(name), std::move(factory));
  }

 private:
  static std::map<std::string, Factory, std::less<>>& Factories() {
    static std::map<std::string, Factory, std::less<>> factories;
    return factories;
  }
};

// Adds a factory to the registry when constructed.
template <typename Interface>
struct Registration {
  Registration(std::string name,
               typename Registry<Interface>::Factory factory) {
    Registry<Interface>::Add(std::move(name), std::move(factory));
  }
};

}  // namespace jackdawshunt::kernel

#endif  // JACKDAWSHUNT_KERNEL_REGISTRY_H_
