#include "jackdawshunt/http/internal/evhttp_util.h"

#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace jackdawshunt::http::internal {
namespace {

struct MethodRow {
  evhttp_cmd_type type;
  std::string_view name;
};

constexpr std::array kMethods = {
    MethodRow{EVHTTP_REQ_GET, "GET"},
    MethodRow{EVHTTP_REQ_POST, "POST"},
    MethodRow{EVHTTP_REQ_HEAD, "HEAD"},
    MethodRow{EVHTTP_REQ_PUT, "PUT"},
    MethodRow{EVHTTP_REQ_DELETE, "DELETE"},
    MethodRow{EVHTTP_REQ_OPTIONS, "OPTIONS"},
    MethodRow{EVHTTP_REQ_PATCH, "PATCH"},
};

}  // namespace

Headers CopyHeaders(const evkeyvalq* list) {
  Headers headers;
  for (const evkeyval* entry = list->tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    headers.emplace_back(entry->key, entry->value);
  }
  return headers;
}

void AddHeaders(const Headers& headers, evkeyvalq* list) {
  for (const auto& [name, value] : headers) {
    evhttp_add_header(list, name.c_str(), value.c_str());
  }
}

std::string TakeAll(evbuffer* buffer) {
  std::string data(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, data.data(), data.size());
  return data;
}

void AppendTo(evbuffer* buffer, std::string_view data) {
  evbuffer_add(buffer, data.data(), data.size());
}

std::string_view MethodName(evhttp_cmd_type type) {
  const auto* row =
      std::find_if(kMethods.begin(), kMethods.end(),
                   [type](const MethodRow& r) { return r.type == type; });
  return row == kMethods.end() ? "UNKNOWN" : row->name;
}

std::optional<evhttp_cmd_type> ParseMethod(std::string_view name) {
  const auto* row =
      std::find_if(kMethods.begin(), kMethods.end(),
                   [name](const MethodRow& r) { return r.name == name; });
  if (row == kMethods.end()) {
    return std::nullopt;
  }
  return row->type;
}

void SetNoDelay(evutil_socket_t fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace jackdawshunt::http::internal
