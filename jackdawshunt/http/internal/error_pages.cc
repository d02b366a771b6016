#include "jackdawshunt/http/internal/error_pages.h"

#include <algorithm>
#include <charconv>
#include <string>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/http/internal/evhttp_util.h"

namespace jackdawshunt::http::internal {
namespace {

// An empty line, that is two line breaks, ends the header.
constexpr int kHeaderEnd = 2;

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
  auto& watch = watches_[transport];
  watch = std::make_unique<Watch>(Watch{.owner = this, .transport = transport});
  evbuffer_add_cb(
      bufferevent_get_input(transport),
      [](evbuffer*, const evbuffer_cb_info* info, void* argument) {
        ScanHeader(*static_cast<Watch*>(argument), info->n_added);
      },
      watch.get());
  evbuffer_add_cb(
      bufferevent_get_output(transport),
      [](evbuffer*, const evbuffer_cb_info* info, void* argument) {
        if (info->n_added > 0) {
          HandleOutput(*static_cast<Watch*>(argument));
        }
      },
      watch.get());
  return transport;
}

void ErrorPages::BeginExchange(bufferevent* transport) {
  if (const auto found = watches_.find(transport); found != watches_.end()) {
    found->second->in_exchange = true;
  }
}

void ErrorPages::EndExchange(bufferevent* transport,
                             evhttp_connection* connection) {
  const auto found = watches_.find(transport);
  if (found == watches_.end()) {
    return;
  }
  Watch& watch = *found->second;
  watch = Watch{.owner = this, .transport = transport};
  // The beginning of a pipelined request.
  ScanHeader(watch, evbuffer_get_length(bufferevent_get_input(transport)));
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection*, void* argument) {
        const Watch& closed = *static_cast<Watch*>(argument);
        closed.owner->Forget(closed.transport);
      },
      &watch);
}

void ErrorPages::ScanHeader(Watch& watch, size_t added) {
  if (watch.in_exchange || watch.line_breaks == kHeaderEnd || added == 0) {
    return;
  }
  evbuffer* const input = bufferevent_get_input(watch.transport);
  std::string bytes(added, '\0');
  evbuffer_ptr start;
  evbuffer_ptr_set(input, &start, evbuffer_get_length(input) - added,
                   EVBUFFER_PTR_SET);
  evbuffer_copyout_from(input, &start, bytes.data(), added);
  for (const char byte : bytes) {
    ++watch.header_bytes;
    if (byte == '\n') {
      ++watch.line_breaks;
    } else if (byte != '\r') {
      watch.line_breaks = 0;
    }
    if (watch.line_breaks == kHeaderEnd) {
      return;
    }
  }
}

int ErrorPages::OwnPageStatus(const Watch& watch) {
  constexpr std::string_view kStart = "HTTP/1.x ";
  constexpr size_t kStatusDigits = 3;
  char line[kStart.size() + kStatusDigits];
  evbuffer* const output = bufferevent_get_output(watch.transport);
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
  if (status == 400 && watch.header_bytes > watch.owner->max_header_bytes_) {
    return 431;
  }
  return status == 400 || status == 413 ? status : 0;
}

void ErrorPages::HandleOutput(Watch& watch) {
  if (watch.in_exchange || watch.replacing || !watch.owner->page_) {
    return;
  }
  if (watch.page.empty()) {
    const int status = OwnPageStatus(watch);
    if (status == 0) {
      return;
    }
    base::Log(base::LogLevel::kInfo, "request_refused",
              {{"status", status}, {"header_bytes", watch.header_bytes}});
    watch.page = PageText(status, watch.owner->page_(status));
  }
  // evhttp writes its page piece by piece, all before anything is sent; after
  // each piece the output is made to hold the replacement only.
  watch.replacing = true;
  evbuffer* const output = bufferevent_get_output(watch.transport);
  evbuffer_unfreeze(output, /*at_front=*/1);
  evbuffer_drain(output, evbuffer_get_length(output));
  evbuffer_freeze(output, /*at_front=*/1);
  AppendTo(output, watch.page);
  watch.replacing = false;
}

}  // namespace jackdawshunt::http::internal
