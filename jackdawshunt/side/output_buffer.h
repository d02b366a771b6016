// Keeps the output of one request for resumption: tokens of a model or bytes of
// a service, addressed by offset. Does no I/O.
//
// The caller's credit is the offset below which it has received everything. The
// window ahead of the credit bounds the memory that a slow caller can use. Up
// to a window of data behind the credit is kept too, since data that was
// written to the caller's socket may be lost with its connection.
//
// Example:
//   side::OutputBuffer buffer(protocol::StartKind::kModel, 256 * 1024);
//   buffer.Append({"Dear", " guest"});
//   std::optional<std::string> data = buffer.EncodeFrom(0);
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_SIDE_OUTPUT_BUFFER_H_
#define JACKDAWSHUNT_SIDE_OUTPUT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::side {

class OutputBuffer {
 public:
  // `first_offset` is the offset of the first unit that will be appended.
  OutputBuffer(protocol::StartKind kind,
               size_t window_bytes,
               int64_t first_offset = 0);

  // Appends tokens of a model or parts of a service's body.
  void Append(const std::vector<std::string>& units);
  // Records that the caller has received everything below `offset`, and
  // discards data more than a window behind it. Never lowers the credit.
  void SetCredit(int64_t offset);

  // Returns true when the data ahead of the credit fills the window.
  bool is_full() const { return ahead_bytes_ >= window_bytes_; }
  // Returns the lowest offset still kept.
  int64_t first_offset() const { return first_offset_; }
  // Returns the offset of the next unit to be appended.
  int64_t end_offset() const { return end_offset_; }

  // Returns everything from `offset` on, encoded as the data of a chunk: a JSON
  // array of tokens or plain bytes. Returns an empty string when `offset` is
  // the end, and nullopt when it is no longer kept or beyond the end.
  std::optional<std::string> EncodeFrom(int64_t offset) const;

 private:
  struct Unit {
    int64_t offset = 0;
    std::string data;  // One token or one part of a body.
  };

  // Returns the number of offsets that the unit covers.
  int64_t LengthOf(const Unit& unit) const;
  // Discards the oldest units while more than a window is kept behind the
  // credit.
  void Trim();

  protocol::StartKind kind_;
  size_t window_bytes_;
  std::deque<Unit> units_;
  int64_t first_offset_;
  int64_t end_offset_;
  int64_t credit_;
  size_t ahead_bytes_ = 0;
  size_t behind_bytes_ = 0;
  size_t behind_units_ = 0;  // Units that lie wholly behind the credit.
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_OUTPUT_BUFFER_H_
