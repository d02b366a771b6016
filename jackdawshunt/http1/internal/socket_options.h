// Sets options of TCP sockets to callers and upstreams. Failures are logged at
// debug level and otherwise ignored.
//
// Example:
//   internal::SetUpstreamSocketOptions(fd, std::chrono::seconds(2));
#ifndef JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_OPTIONS_H_
#define JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_OPTIONS_H_

#include <cstddef>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::http1::internal {

// Disables the delay of small writes (Nagle), enables keep-alive probes, which
// detect callers that disappeared without closing the connection, and limits
// the bytes that the kernel takes before it can send them. Linux copies these
// options from a listening socket to the accepted ones.
void SetCallerSocketOptions(int fd);
// Returns whether the options of SetCallerSocketOptions() are set.
bool HasCallerSocketOptions(int fd);

// Bytes that the kernel receives ahead: of most requests; and of responses, and
// of a request once more than this has arrived.
inline constexpr size_t kReceiveBufferBytes = size_t{16} * 1024;
inline constexpr size_t kLargeReceiveBufferBytes = size_t{64} * 1024;

// Limits the bytes that the kernel receives before they are read. Accepted
// sockets inherit the limit of the listening one; it can be raised to 64 KiB.
void SetReceiveBuffer(int fd, size_t bytes);

// Sets the options of SetCallerSocketOptions(). In addition, the kernel ends
// the connection when sent bytes stay unacknowledged for
// `unacknowledged_timeout`.
void SetUpstreamSocketOptions(int fd, kernel::Duration unacknowledged_timeout);

// Makes a later close() of `fd` send a reset.
void ResetOnClose(int fd);

}  // namespace jackdawshunt::http1::internal

#endif  // JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_OPTIONS_H_
