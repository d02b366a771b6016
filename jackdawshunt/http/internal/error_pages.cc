#include "jackdawshunt/http/internal/error_pages.h"

#include <algorithm>
#include <charconv>
#include <string>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/http/internal/evhttp_util.h"

namespace jackdawshunt::http::internal {
namespace {

// An empty line, that is two consecutive line breaks, ends the header.
constexpr int kHeaderEndLineBreaks = 2;

std::string_view Reason(int status) {
  switch (status) {
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    default:
      return "Bad Request";
  }
}

std::string PageText(int status, const Response& page) {
  std::string text = absl::StrCat(
      "HTTP/1.1 ", status, " ", std::string(Reason(status)),
      "\r\nConnection: close\r\nContent-Length: ", page.body.size(), "\r\n");
  for (const auto& [name, value] : page.headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  absl::StrAppend(&text, "\r\n", page.body);
  return text;
}

}  // namespace

bufferevent* ErrorPages::NewTransport(event_base* base) {
  // Without BEV_OPT_CLOSE_ON_FREE evhttp closes the socket itself.
  bufferevent* const transport = bufferevent_socket_new(base, -1, 0);
  auto& state = connections_[transport];
  state = std::make_unique<ConnectionState>(
      ConnectionState{.owner = this, .transport = transport});
  evbuffer_add_cb(
      bufferevent_get_input(transport),
      [](evbuffer*, const evbuffer_cb_info* info, void* argument) {
        ScanHeader(*static_cast<ConnectionState*>(argument), info->n_added);
      },
      state.get());
  evbuffer_add_cb(
      bufferevent_get_output(transport),
      [](evbuffer*, const evbuffer_cb_info* info, void* argument) {
        if (info->n_added > 0) {
          HandleOutput(*static_cast<ConnectionState*>(argument));
        }
      },
      state.get());
  return transport;
}

void ErrorPages::BeginExchange(bufferevent* transport) {
  if (const auto found = connections_.find(transport);
      found != connections_.end()) {
    found->second->in_exchange = true;
  }
}

void ErrorPages::EndExchange(bufferevent* transport,
                             evhttp_connection* connection) {
  const auto found = connections_.find(transport);
  if (found == connections_.end()) {
    return;
  }
  ConnectionState& state = *found->second;
  state = ConnectionState{.owner = this, .transport = transport};
  // Counts the part of a pipelined request that was read already.
  ScanHeader(state, evbuffer_get_length(bufferevent_get_input(transport)));
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection*, void* argument) {
        const ConnectionState& closed_state =
            *static_cast<ConnectionState*>(argument);
        closed_state.owner->RemoveConnection(closed_state.transport);
      },
      &state);
}

void ErrorPages::ScanHeader(ConnectionState& state, size_t added) {
  if (state.in_exchange || state.line_breaks == kHeaderEndLineBreaks ||
      added == 0) {
    return;
  }
  evbuffer* const input = bufferevent_get_input(state.transport);
  std::string bytes(added, '\0');
  evbuffer_ptr start;
  evbuffer_ptr_set(input, &start, evbuffer_get_length(input) - added,
                   EVBUFFER_PTR_SET);
  evbuffer_copyout_from(input, &start, bytes.data(), added);
  for (const char byte : bytes) {
    ++state.header_bytes;
    if (byte == '\n') {
      ++state.line_breaks;
    } else if (byte != '\r') {
      state.line_breaks = 0;
    }
    if (state.line_breaks == kHeaderEndLineBreaks) {
      return;
    }
  }
}

int ErrorPages::EvhttpPageStatus(const ConnectionState& state) {
  constexpr std::string_view kStart = "HTTP/1.x ";
  constexpr size_t kStatusDigits = 3;
  char line[kStart.size() + kStatusDigits];
  evbuffer* const output = bufferevent_get_output(state.transport);
  // The output of a bufferevent that has written before is frozen, which also
  // forbids copying from it.
  evbuffer_unfreeze(output, /*at_front=*/1);
  const bool copied =
      evbuffer_copyout(output, line, sizeof(line)) == sizeof(line);
  evbuffer_freeze(output, /*at_front=*/1);
  if (!copied) {
    return 0;
  }
  int status = 0;
  std::from_chars(line + kStart.size(), line + sizeof(line), status);
  if (status == 400 && state.header_bytes > state.owner->max_header_bytes_) {
    return 431;
  }
  return status == 400 || status == 413 ? status : 0;
}

void ErrorPages::HandleOutput(ConnectionState& state) {
  if (state.in_exchange || state.is_replacing || !state.owner->page_) {
    return;
  }
  if (state.page.empty()) {
    const int status = EvhttpPageStatus(state);
    if (status == 0) {
      return;
    }
    base::Log(base::LogLevel::kInfo, "request_refused",
              {{"status", status}, {"header_bytes", state.header_bytes}});
    state.page = PageText(status, state.owner->page_(status));
  }
  // evhttp writes its page in several pieces before it sends any of them. After
  // each piece the output is set to the replacement alone.
  state.is_replacing = true;
  evbuffer* const output = bufferevent_get_output(state.transport);
  evbuffer_unfreeze(output, /*at_front=*/1);
  evbuffer_drain(output, evbuffer_get_length(output));
  evbuffer_freeze(output, /*at_front=*/1);
  AppendTo(output, state.page);
  state.is_replacing = false;
}

}  // namespace jackdawshunt::http::internal
