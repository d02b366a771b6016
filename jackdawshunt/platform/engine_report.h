// Requests and decodes the report of an engine on its own load.
//
// Example:
//   connection.Send(platform::EngineReportRequest(address), false, receiver);
//   absl::StatusOr<routing::EngineReport> report =
//       platform::DecodeEngineReport(body);
#ifndef JACKDAWSHUNT_PLATFORM_ENGINE_REPORT_H_
#define JACKDAWSHUNT_PLATFORM_ENGINE_REPORT_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/routing/engine_report.h"

namespace jackdawshunt::platform {

// Returns the bytes of the request for the report of the engine at `address`.
std::string EngineReportRequest(const http::Address& address);

// Error: InvalidArgument, which names the field that is missing or has another
// type.
absl::StatusOr<routing::EngineReport> DecodeEngineReport(std::string_view body);

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_ENGINE_REPORT_H_
