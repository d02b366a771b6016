// Log lines that tell of a request as a whole, and texts that several lines
// use.
//
// Example:
//   gateway::LogPlacement(request, decision, progress);
#ifndef JACKDAWSHUNT_GATEWAY_REQUEST_LOG_H_
#define JACKDAWSHUNT_GATEWAY_REQUEST_LOG_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jackdawshunt/gateway/origin_client.h"
#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::gateway {

int64_t ToWholeMs(kernel::Duration duration);
// Returns the ids of the prompt's shared parts.
std::string PartsText(const routing::RoutedRequest& request);
// Returns the hash of the whole request, in hexadecimal digits.
std::string ContentText(const routing::RoutedRequest& request);

// Logs where the next attempt is sent, or why none is. `continues_after` is the
// last event of a stream that has begun.
void LogPlacement(const routing::RoutedRequest& request,
                  const routing::Decision& decision,
                  std::optional<uint64_t> continues_after,
                  kernel::TimePoint now);

// Logs whether the origin of the stream that `request` resumes is known.
void LogOrigin(const routing::RoutedRequest& request,
               const OriginAnswer& answer);

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_REQUEST_LOG_H_
