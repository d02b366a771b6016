// The configuration part of the /status response of a process.
//
// Example:
//   nlohmann::json status = configuration::StoreStatus(store);
#ifndef JACKDAWSHUNT_CONFIGURATION_STORE_STATUS_H_
#define JACKDAWSHUNT_CONFIGURATION_STORE_STATUS_H_

#include "jackdawshunt/configuration/store.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::configuration {

// Returns {"revision", "versions": {key: newest valid version}, "rejected":
// [{"key", "version", "version_in_force", "fault"}]}.
nlohmann::json StoreStatus(const Store& store);

}  // namespace jackdawshunt::configuration

#endif  // JACKDAWSHUNT_CONFIGURATION_STORE_STATUS_H_
