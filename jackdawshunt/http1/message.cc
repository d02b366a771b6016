#include "jackdawshunt/http1/message.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "http_parser.h"

namespace jackdawshunt::http1 {
namespace {

constexpr std::array<std::string_view, 8> kHopByHop = {
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length"};

absl::string_view ToAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

void AppendHeaders(const http::Headers& headers, std::string& out) {
  for (const auto& [name, value] : headers) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(ToAbsl(a), ToAbsl(b));
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [name](std::string_view hop_by_hop) {
                       return EqualsIgnoreCase(hop_by_hop, name);
                     });
}

size_t CountHeader(const http::Headers& headers, std::string_view name) {
  return static_cast<size_t>(
      std::count_if(headers.begin(), headers.end(), [name](const auto& header) {
        return EqualsIgnoreCase(header.first, name);
      }));
}

http::Headers EndToEndHeaders(const http::Headers& headers) {
  std::vector<std::string> connection_options;
  for (const auto& [name, value] : headers) {
    if (EqualsIgnoreCase(name, "connection")) {
      for (const absl::string_view token :
           absl::StrSplit(ToAbsl(value), ',', absl::SkipWhitespace())) {
        connection_options.emplace_back(absl::StripAsciiWhitespace(token));
      }
    }
  }
  http::Headers end_to_end;
  end_to_end.reserve(headers.size() + 4);
  for (const auto& header : headers) {
    const bool is_connection_option =
        std::any_of(connection_options.begin(), connection_options.end(),
                    [&header](const std::string& name) {
                      return EqualsIgnoreCase(name, header.first);
                    });
    if (!is_connection_option && !IsHopByHop(header.first)) {
      end_to_end.push_back(header);
    }
  }
  return end_to_end;
}

std::string Serialize(const RequestHead& head,
                      std::optional<uint64_t> body_bytes) {
  std::string out;
  out.reserve(512);
  out.append(head.method).append(" ").append(head.target);
  out.append(" HTTP/1.1\r\n");
  AppendHeaders(head.headers, out);
  if (body_bytes.has_value()) {
    absl::StrAppend(&out, "Content-Length: ", *body_bytes, "\r\n");
  }
  out.append("\r\n");
  return out;
}

bool IsBodiless(int status) {
  return status / 100 == 1 || status == HTTP_STATUS_NO_CONTENT ||
         status == HTTP_STATUS_NOT_MODIFIED;
}

std::string Serialize(const ResponseHead& head,
                      BodyFraming framing,
                      bool close_after) {
  std::string out;
  out.reserve(512);
  absl::StrAppend(&out, "HTTP/1.1 ", head.status, " ",
                  http_status_str(static_cast<http_status>(head.status)),
                  "\r\n");
  AppendHeaders(head.headers, out);
  if (!IsBodiless(head.status)) {
    if (framing.length.has_value()) {
      absl::StrAppend(&out, "Content-Length: ", *framing.length, "\r\n");
    } else {
      out.append("Transfer-Encoding: chunked\r\n");
    }
  }
  if (close_after) {
    out.append("Connection: close\r\n");
  }
  out.append("\r\n");
  return out;
}

void AppendChunk(std::string_view data, std::string& out) {
  absl::StrAppend(&out, absl::Hex(data.size()), "\r\n");
  out.append(data).append("\r\n");
}

}  // namespace jackdawshunt::http1
