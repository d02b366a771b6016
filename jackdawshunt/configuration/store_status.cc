#include "jackdawshunt/configuration/store_status.h"

#include <utility>

namespace jackdawshunt::configuration {

nlohmann::json StoreStatus(const Store& store) {
  nlohmann::json versions = nlohmann::json::object();
  for (const auto& [key, version] : store.Versions()) {
    versions[key] = version;
  }
  nlohmann::json rejected = nlohmann::json::array();
  for (const auto& record : store.rejected()) {
    rejected.push_back({{"key", record.key},
                        {"version", record.version},
                        {"version_in_force", record.active_version},
                        {"fault", record.error}});
  }
  return {{"revision", store.revision()},
          {"versions", std::move(versions)},
          {"rejected", std::move(rejected)}};
}

}  // namespace jackdawshunt::configuration
