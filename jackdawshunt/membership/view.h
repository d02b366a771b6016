// The instances of the fleet as the platform lists them, and rendezvous hashing
// over them. Does no I/O.
//
// Example:
//   view.Update(instances);
//   std::vector<std::string> watchers = view.Choose("watch/tacoma-a",
//       view.LiveEntries("tacoma-a"), 2);
#ifndef JACKDAWSHUNT_MEMBERSHIP_VIEW_H_
#define JACKDAWSHUNT_MEMBERSHIP_VIEW_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/object_api/client.h"

namespace jackdawshunt::membership {

class View {
 public:
  // Replaces the list. Rows without an instance name are ignored.
  void Update(std::vector<object_api::Instance> instances);

  const std::vector<object_api::Instance>& instances() const {
    return instances_;
  }
  const object_api::Instance* Find(std::string_view instance) const;
  // Names of the live entries, of one data centre or (empty) of all.
  std::vector<std::string> LiveEntries(std::string_view data_centre = {}) const;

  // Returns the `count` candidates with the highest hash of (key, candidate):
  // a change of the list moves only the choices of the changed instances.
  static std::vector<std::string> Choose(
      std::string_view key,
      const std::vector<std::string>& candidates,
      size_t count);

 private:
  std::vector<object_api::Instance> instances_;
};

}  // namespace jackdawshunt::membership

#endif  // JACKDAWSHUNT_MEMBERSHIP_VIEW_H_
