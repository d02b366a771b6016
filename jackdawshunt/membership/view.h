// List of the fleet's instances as the platform reports them, and rendezvous
// hashing over them. Does no I/O and is not thread-safe.
//
// Example:
//   membership::View view;
//   view.Update(instances);
//   const std::vector<std::string> watchers = membership::View::Choose(
//       "watch/tacoma-a", view.LiveEntries("tacoma-a"), 2);
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
  // Returns the instance with this name; null when there is none. The pointer
  // is valid until the next Update().
  const object_api::Instance* Find(std::string_view instance) const;
  // Returns the names of the live entries, of one data centre or (empty) of
  // all.
  std::vector<std::string> LiveEntries(std::string_view data_centre = {}) const;

  // Returns the `count` candidates with the highest hash of (key, candidate),
  // or all when there are fewer. A change of the list changes only choices that
  // include an added or removed candidate.
  static std::vector<std::string> Choose(
      std::string_view key,
      const std::vector<std::string>& candidates,
      size_t count);

 private:
  std::vector<object_api::Instance> instances_;
};

}  // namespace jackdawshunt::membership

#endif  // JACKDAWSHUNT_MEMBERSHIP_VIEW_H_
