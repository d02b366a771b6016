// A TCP socket on the event loop with an output buffer.
//
// Writes go to the socket at once while it accepts them, and reads use one
// buffer shared by all streams. Relaying one event of a response thus costs one
// wait, one receive and one send; a bufferevent needs two more waits and three
// more system calls.
//
// Example:
//   internal::SocketStream stream(loop, owner);
//   stream.Adopt(fd);
//   stream.Write("HTTP/1.1 200 OK\r\n");
//
// Not thread-safe; all streams must run on the same thread.
#ifndef JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_STREAM_H_
#define JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_STREAM_H_

#include <netinet/in.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"

struct event;

namespace jackdawshunt::http1::internal {

class SocketStream {
 public:
  // How the connection ended: closed by the peer, or reset or failed.
  enum class End { kClosed, kReset };

  // The callbacks may call Close(), but must not destroy the stream.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnConnected() = 0;
    virtual void OnData(std::string_view data) = 0;
    // Called when all buffered output has been sent.
    virtual void OnDrained() = 0;
    // Called when a part of the buffered output has been sent.
    virtual void OnPartlySent() {}
    // Called when the connection ended or could not be established; the owner
    // calls Close().
    virtual void OnEnd(End end) = 0;
  };

  SocketStream(kernel::EventLoop& loop, Owner& owner);
  ~SocketStream();
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  // Takes ownership of the connected, non-blocking socket `fd` and starts
  // reading.
  void Adopt(int fd);
  // Starts to connect; OnConnected() or OnEnd() follows. Returns false, and
  // calls neither, if the attempt cannot be started.
  bool Connect(const http::Address& address);

  // Sends `data` or buffers what the socket does not accept. Ignored after the
  // stream was closed or a write failed.
  void Write(std::string_view data);
  // Sends `head` and `body`. What the socket does not accept of a large body is
  // kept by reference, not copied.
  void Write(std::string_view head, std::shared_ptr<const std::string> body);
  // Starts or stops reading.
  void SetReading(bool is_reading);
  // Closes the socket without a callback and discards buffered output.
  void Close();

  bool is_open() const { return fd_ >= 0; }
  // Returns whether nothing listened at the address given to Connect().
  bool was_refused() const { return was_refused_; }
  // Returns whether the peer accepted the connection, also if it reset it
  // before OnConnected().
  bool was_accepted() const { return was_accepted_; }
  int fd() const { return fd_; }
  // Returns the address of the other side, also after it has left; port 0 if it
  // is unknown.
  const sockaddr_in& peer() const { return peer_; }
  // Returns the number of buffered bytes that were not sent yet.
  size_t unwritten() const {
    return output_.size() - output_sent_ +
           (shared_ == nullptr ? 0 : shared_->size() - shared_sent_);
  }

  // Returns whether bytes wait to be sent, or were not acknowledged by the
  // peer.
  bool has_undelivered_output() const;

 private:
  void StartEvents();
  void OnReadable();
  void OnWritable();
  // Sends the output buffer. Returns false if the socket accepts no more bytes
  // or failed.
  bool Flush();
  // Sends the part of `data` after `*sent`. Returns false if the socket accepts
  // no more bytes or failed.
  bool FlushPart(const std::string& data, size_t* sent);
  void DropOutput();

  kernel::EventLoop& loop_;
  Owner& owner_;
  int fd_ = -1;
  sockaddr_in peer_{};
  event* read_event_ = nullptr;
  event* write_event_ = nullptr;
  std::string output_;
  size_t output_sent_ = 0;  // Bytes of output_ that were sent.
  // Follows output_; null if there is none.
  std::shared_ptr<const std::string> shared_;
  size_t shared_sent_ = 0;
  bool is_connecting_ = false;
  bool was_refused_ = false;
  bool was_accepted_ = false;
  bool is_reading_ = false;
  // A write failed. The failed write may have cleared the socket's error, so a
  // later end of input must be reported as a reset, not an orderly close.
  bool has_failed_ = false;
};

}  // namespace jackdawshunt::http1::internal

#endif  // JACKDAWSHUNT_HTTP1_INTERNAL_SOCKET_STREAM_H_
