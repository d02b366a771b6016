// Options of TCP sockets towards callers and upstreams.
#ifndef JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_OPTIONS_H_
#define JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_OPTIONS_H_

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::http1::internal {

// No delay of small writes; keep-alive probes find callers that vanished.
void SetCallerSocketOptions(int fd);

// As above; sent bytes that stay unacknowledged for `silence` end the
// connection.
void SetUpstreamSocketOptions(int fd, kernel::Duration silence);

// Makes a later close() send a reset.
void ResetOnClose(int fd);

}  // namespace jackdawshunt::http1::internal

#endif  // JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_OPTIONS_H_
