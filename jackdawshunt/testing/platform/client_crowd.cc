#include "jackdawshunt/testing/platform/client_crowd.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <string_view>
#include <utility>
#include <vector>

#include "jackdawshunt/http/socket_address.h"

namespace jackdawshunt::testing {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kDripPeriod{500};
constexpr std::chrono::milliseconds kPollTime{20};
constexpr int kSmallReceiveBuffer = 4096;
constexpr size_t kStatusLineBytes = 12;  // "HTTP/1.1 NNN"

}  // namespace

struct ClientCrowd::Client {
  enum class Step { kHead, kPieces, kTail, kDrip };

  // Returns the bytes to send now; empty if there are none.
  std::string_view Next(const CrowdOptions& options, Clock::time_point now) {
    while (true) {
      switch (step) {
        case Step::kHead:
          if (sent < head.size()) {
            return std::string_view(head).substr(sent);
          }
          step = Step::kPieces;
          sent = 0;
          break;
        case Step::kPieces:
          if (pieces_sent < options.pieces) {
            return std::string_view(options.piece).substr(sent);
          }
          step = Step::kTail;
          break;
        case Step::kTail:
          if (sent < options.tail.size()) {
            return std::string_view(options.tail).substr(sent);
          }
          step = Step::kDrip;
          drips_at = now + kDripPeriod;
          break;
        case Step::kDrip:
          return now < drips_at ? std::string_view() : options.drip;
      }
    }
  }

  void OnSent(size_t count,
              const CrowdOptions& options,
              Clock::time_point now) {
    sent += count;
    if (step == Step::kPieces && sent == options.piece.size()) {
      ++pieces_sent;
      sent = 0;
    } else if (step == Step::kDrip) {
      drips_at = now + kDripPeriod;
    }
  }

  void Close() {
    if (fd >= 0) {
      close(std::exchange(fd, -1));
    }
  }

  int fd = -1;
  std::string head;
  Step step = Step::kHead;
  size_t sent = 0;  // Of the current step; of the current piece.
  size_t pieces_sent = 0;
  Clock::time_point drips_at{};
  std::string status_line;
};

ClientCrowd::ClientCrowd(CrowdOptions options)
    : options_(std::move(options)), thread_([this] { Run(); }) {}

ClientCrowd::~ClientCrowd() {
  Leave();
}

void ClientCrowd::Leave() {
  is_leaving_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

std::map<int, size_t> ClientCrowd::answers() const {
  const std::lock_guard lock(mutex_);
  return answers_;
}

void ClientCrowd::Run() {
  const auto address = http::ToSocketAddress(options_.address);
  std::vector<Client> clients(options_.clients);
  std::vector<pollfd> polled(clients.size());
  for (size_t i = 0; i < clients.size(); ++i) {
    Client& client = clients[i];
    client.head = options_.head ? options_.head(i) : "";
    client.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!options_.reads_answers) {
      setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBuffer,
                 sizeof(kSmallReceiveBuffer));
    }
    if (connect(client.fd, reinterpret_cast<const sockaddr*>(&*address),
                sizeof(*address)) != 0 &&
        errno != EINPROGRESS) {
      client.Close();
    }
  }
  static thread_local std::array<char, 65536> buffer;
  while (!is_leaving_) {
    const Clock::time_point now = Clock::now();
    for (size_t i = 0; i < clients.size(); ++i) {
      const bool has_data =
          clients[i].fd >= 0 && !clients[i].Next(options_, now).empty();
      polled[i] = {
          .fd = clients[i].fd,
          .events = static_cast<int16_t>((has_data ? POLLOUT : 0) |
                                         (options_.reads_answers ? POLLIN : 0)),
          .revents = 0};
    }
    poll(polled.data(), polled.size(), kPollTime.count());
    for (size_t i = 0; i < clients.size(); ++i) {
      Client& client = clients[i];
      if (client.fd < 0) {
        continue;
      }
      if ((polled[i].revents & POLLOUT) != 0) {
        const std::string_view data = client.Next(options_, now);
        const ssize_t count =
            send(client.fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (count > 0) {
          client.OnSent(static_cast<size_t>(count), options_, now);
        }
      }
      if (options_.reads_answers && (polled[i].revents & POLLIN) != 0) {
        const ssize_t count =
            recv(client.fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0 && client.status_line.size() < kStatusLineBytes) {
          client.status_line.append(
              buffer.data(),
              std::min(static_cast<size_t>(count),
                       kStatusLineBytes - client.status_line.size()));
          if (client.status_line.size() == kStatusLineBytes) {
            const std::lock_guard lock(mutex_);
            ++answers_[std::atoi(client.status_line.c_str() + 9)];
          }
        }
        if (count == 0 || (count < 0 && errno != EAGAIN)) {
          client.Close();
          continue;
        }
      }
      if ((polled[i].revents & (POLLERR | POLLNVAL)) != 0) {
        client.Close();
      }
    }
  }
  for (Client& client : clients) {
    client.Close();
  }
}

}  // namespace jackdawshunt::testing
