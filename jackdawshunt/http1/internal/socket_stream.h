// A TCP socket on the event loop with an output buffer.
//
// Bytes are sent at once while the socket takes them, and read straight into a
// buffer that all streams share, so that one event of an answer costs a wait, a
// receive and a send. A bufferevent takes two more waits and three more calls.
//
// Example:
//   internal::SocketStream stream(loop, owner);
//   stream.Adopt(fd);
//   stream.Write("HTTP/1.1 200 OK\r\n");
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_STREAM_H_
#define JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_STREAM_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"

struct event;

namespace jackdawshunt::http1::internal {

class SocketStream {
 public:
  enum class End { kClosed, kReset };

  // The callbacks may call Close(), but must not destroy the stream.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnConnected() = 0;
    virtual void OnData(std::string_view data) = 0;
    // The output buffer has drained to empty.
    virtual void OnDrained() = 0;
    virtual void OnEnd(End end) = 0;
  };

  SocketStream(kernel::EventLoop& loop, Owner& owner);
  ~SocketStream();
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  // Takes over a connected socket.
  void Adopt(int fd);
  // Starts to connect; OnConnected() or OnEnd() follows. Returns false when
  // that cannot even be started.
  bool Connect(const http::Address& address);

  void Write(std::string_view data);
  void SetReading(bool is_reading);
  void Close();

  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  size_t unwritten() const { return output_.size() - output_sent_; }

 private:
  void StartEvents();
  void OnReadable();
  void OnWritable();
  // Sends from the output buffer; false when the socket is full or broken.
  bool Flush();

  kernel::EventLoop& loop_;
  Owner& owner_;
  int fd_ = -1;
  event* read_event_ = nullptr;
  event* write_event_ = nullptr;
  std::string output_;
  size_t output_sent_ = 0;  // Bytes of output_ that were sent.
  bool is_connecting_ = false;
  bool is_reading_ = false;
  // A failed write may take the socket's error with it; what is read later must
  // not pass for an orderly end.
  bool has_failed_ = false;
};

}  // namespace jackdawshunt::http1::internal

#endif  // JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_STREAM_H_
