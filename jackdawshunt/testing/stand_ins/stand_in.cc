#include "jackdawshunt/testing/stand_ins/stand_in.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace jackdawshunt::testing {

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    const std::string digits(text.substr(i + 1, 2));
    uint32_t value = 0;
    if (text[i] == '%' && digits.size() == 2 &&
        absl::SimpleHexAtoi(digits, &value)) {
      decoded += static_cast<char>(value);
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

void ReplyJson(http::Exchange& exchange,
               int status,
               const nlohmann::json& body) {
  exchange.Reply({.status = status,
                  .headers = {{"Content-Type", "application/json"}},
                  .body = body.dump()});
}

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> values;
  for (const auto part :
       absl::StrSplit(absl::string_view(query.data(), query.size()), '&')) {
    const std::pair<std::string, std::string> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    values[DecodePercent(pair.first)] = DecodePercent(pair.second);
  }
  return values;
}

nlohmann::json ParseBody(http::Exchange& exchange) {
  nlohmann::json body = nlohmann::json::parse(exchange.request().body, nullptr,
                                              /*allow_exceptions=*/false);
  if (!body.is_object()) {
    ReplyJson(exchange, 400, {{"error", "the body is not a JSON object"}});
    return nullptr;
  }
  return body;
}

absl::Status Announce(const ListenOptions& options,
                      uint16_t port,
                      uint16_t admin_port) {
  nlohmann::json ports = {{"port", port}, {"admin_port", admin_port}};
  if (!options.ports_file.empty()) {
    // Readers poll for the file, so it appears complete.
    const std::string temporary = options.ports_file + ".tmp";
    std::ofstream(temporary) << ports.dump() << '\n';
    if (std::rename(temporary.c_str(), options.ports_file.c_str()) != 0) {
      return absl::UnavailableError(
          absl::StrCat("cannot write ", options.ports_file));
    }
  }
  ports["event"] = "listening";
  std::cout << ports.dump() << std::endl;
  return absl::OkStatus();
}

HttpStandIn::HttpStandIn(kernel::EventLoop& loop, http::ServerLimits limits)
    : loop_(loop), server_(loop, limits), admin_server_(loop, {}) {
  server_.SetHandler([this](const ExchangePtr& exchange) {
    if (exchange->request().path.starts_with("/admin/")) {
      HandleAdmin(exchange);
    } else {
      Handle(exchange);
    }
  });
  admin_server_.SetHandler(
      [this](const ExchangePtr& exchange) { HandleAdmin(exchange); });
}

absl::Status HttpStandIn::Listen(const ListenOptions& options) {
  const auto port = server_.Listen({options.ip, options.port});
  if (!port.ok()) {
    return port.status();
  }
  const auto admin_port =
      admin_server_.Listen({"127.0.0.1", options.admin_port});
  if (!admin_port.ok()) {
    return admin_port.status();
  }
  port_ = *port;
  return Announce(options, *port, *admin_port);
}

void HttpStandIn::SetRefusing(bool is_refusing) {
  if (is_refusing == is_refusing_) {
    return;
  }
  is_refusing_ = is_refusing;
  if (is_refusing) {
    server_.StopListening();
  } else if (const auto port = server_.Listen({"127.0.0.1", port_});
             !port.ok()) {
    std::cerr << port.status() << std::endl;
  }
}

void DelayedCalls::Run(int64_t delay_ms, std::function<void()> callback) {
  if (delay_ms <= 0) {
    callback();
    return;
  }
  const uint64_t id = next_++;
  timers_[id] = loop_.After(std::chrono::milliseconds(delay_ms),
                            [this, id, call = std::move(callback)] {
                              const kernel::Timer keep = std::move(timers_[id]);
                              timers_.erase(id);
                              call();
                            });
}

}  // namespace jackdawshunt::testing
