// Sets options of TCP sockets to callers and upstreams. Failures are logged at
// debug level and otherwise ignored.
//
// Example:
//   internal::SetUpstreamSocketOptions(fd, std::chrono::seconds(2));
#ifndef JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_OPTIONS_H_
#define JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_OPTIONS_H_

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::http1::internal {

// Disables the delay of small writes (Nagle) and enables keep-alive probes,
// which detect callers that disappeared without closing the connection. Linux
// copies these options from a listening socket to the accepted ones.
void SetCallerSocketOptions(int fd);
// Returns whether the options of SetCallerSocketOptions() are set.
bool HasCallerSocketOptions(int fd);

// Sets the options of SetCallerSocketOptions(). In addition, the kernel ends
// the connection when sent bytes stay unacknowledged for
// `unacknowledged_timeout`.
void SetUpstreamSocketOptions(int fd, kernel::Duration unacknowledged_timeout);

// Makes a later close() of `fd` send a reset.
void ResetOnClose(int fd);

}  // namespace jackdawshunt::http1::internal

#endif  // JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_OPTIONS_H_
