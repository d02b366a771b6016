// What a gateway does with the body of an upstream's response: drops it, keeps
// it until it is complete, or forwards it event by event.
//
// Example:
//   std::unique_ptr<ResponseBody> body =
//       MakeEventBody(/*last_event_id=*/std::nullopt);
//   std::string_view ready = body->Feed(bytes);  // Forward these bytes.
//
// A body belongs to one attempt. Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_RESPONSE_BODY_H_
#define JACKDAWSHUNT_GATEWAY_RESPONSE_BODY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "jackdawshunt/gateway/event_splitter.h"

namespace jackdawshunt::gateway {

class ResponseBody {
 public:
  enum class State {
    kOpen,        // More bytes may follow.
    kNotNeeded,   // The rest need not be read.
    kOutOfOrder,  // The next bytes are not the response's.
  };

  virtual ~ResponseBody() = default;

  // Appends `data` and returns the bytes to forward now; the view is valid
  // until the next call, and while `data` is.
  virtual std::string_view Feed(std::string_view data) = 0;
  // Releases the memory of what Feed() returned.
  virtual void ReleaseReturned() {}
  virtual State state() const { return State::kOpen; }
  // Returns whether the response is given to the caller.
  virtual bool is_for_caller() const { return true; }
  // Returns the bytes that are kept until the body is complete; nullopt if
  // bytes are forwarded as they arrive.
  virtual std::optional<std::string_view> kept() const { return std::nullopt; }
  // Returns the bytes that Feed() would keep with `more` bytes; 0 if it keeps
  // none, or few. Those of an incomplete event are counted once they are kept,
  // since `more` may complete it.
  virtual size_t KeptWith(size_t /*more*/) const { return 0; }
  // Makes the next Feed() return what was kept, and forwards the rest as it
  // arrives. No other upstream can continue the response then.
  virtual void StopKeeping() {}
  // Returns whether another upstream can continue what was forwarded.
  virtual bool is_resumable() const { return true; }
  // Returns the splitter of a body that is forwarded event by event, else null.
  virtual const EventSplitter* events() const { return nullptr; }
};

// Drops the body. Up to some bytes are worth reading, to keep the connection.
std::unique_ptr<ResponseBody> MakeDiscardedBody();
// Keeps the body until it is complete, so that a truncated one can be replaced
// by that of another upstream; forwards large bodies as they arrive.
std::unique_ptr<ResponseBody> MakeCollectedBody();
// Forwards complete events, and only those after `last_event_id`.
std::unique_ptr<ResponseBody> MakeEventBody(
    std::optional<uint64_t> last_event_id);

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_RESPONSE_BODY_H_
