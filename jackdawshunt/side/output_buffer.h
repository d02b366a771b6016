// Output of one request, kept for resumption: tokens of a model or bytes of a
// service, addressed by offset. Does no I/O.
//
// The window ahead of the caller's credit bounds what a slow reader can make
// the side hold; as much is kept behind it, since data that the caller's socket
// took may be lost with its connection.
//
// Example:
//   side::OutputBuffer buffer(protocol::StartKind::kModel, 256 * 1024);
//   buffer.Append({"Dear", " guest"});
//   std::optional<std::string> data = buffer.From(0);
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
  // `first` is the offset of the first unit that will be appended.
  OutputBuffer(protocol::StartKind kind,
               size_t window_bytes,
               int64_t first = 0);

  // Appends tokens (models) or one part (services).
  void Append(const std::vector<std::string>& units);
  // The caller has taken everything below `offset`.
  void SetCredit(int64_t offset);

  // True when the data ahead of the credit fills the window.
  bool is_full() const { return ahead_bytes_ >= window_bytes_; }
  int64_t first() const { return first_; }  // Lowest offset still kept.
  int64_t end() const { return end_; }      // Offset of the next unit.

  // Encodes everything from `offset` on as the data of a chunk; nullopt when
  // that offset is no longer kept or beyond the end. Empty string: nothing yet.
  std::optional<std::string> From(int64_t offset) const;

 private:
  struct Unit {
    int64_t offset = 0;
    std::string data;
  };

  int64_t LengthOf(const Unit& unit) const;
  void Trim();

  protocol::StartKind kind_;
  size_t window_bytes_;
  std::deque<Unit> units_;
  int64_t first_;
  int64_t end_;
  int64_t credit_;
  size_t ahead_bytes_ = 0;
  size_t behind_bytes_ = 0;
  size_t behind_units_ = 0;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_OUTPUT_BUFFER_H_
