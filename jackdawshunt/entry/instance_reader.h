// Reads the instance list from the platform periodically and keeps the last
// list while the platform is unavailable. The period is 1 s or longer and grows
// with the number of entries.
//
// Example:
//   entry::InstanceReader reader(loop, client, view, [&] {
//     links.UpdateInstances(view.instances());
//   });
//   reader.Start();
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_ENTRY_INSTANCE_READER_H_
#define JACKDAWSHUNT_ENTRY_INSTANCE_READER_H_

#include <functional>
#include <memory>

#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/membership/view.h"
#include "jackdawshunt/object_api/client.h"

namespace jackdawshunt::entry {

class InstanceReader {
 public:
  // `on_update` is called after each successful read.
  InstanceReader(kernel::EventLoop& loop,
                 object_api::Client& client,
                 membership::View& view,
                 std::function<void()> on_update);

  // Starts the first read; later ones follow by timer.
  void Start();

 private:
  void Read();
  void OnList(absl::StatusOr<std::vector<object_api::Instance>> list);

  kernel::EventLoop& loop_;
  object_api::Client& client_;
  membership::View& view_;
  const std::function<void()> on_update_;
  kernel::Duration read_delay_;
  kernel::Timer timer_;
  // Expires with the reader. Callbacks of the client hold a weak pointer to it,
  // since they may outlive the reader.
  std::shared_ptr<InstanceReader*> self_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_INSTANCE_READER_H_
