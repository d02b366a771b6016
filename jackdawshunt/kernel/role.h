// Interface of a long-running role of the binary, such as entry or side. Roles
// register themselves, and the command line creates them by name.
//
// Example:
//   const kernel::Registration<kernel::Role> kEntry(
//       "entry", [] { return std::make_unique<EntryRole>(); });
#ifndef JACKDAWSHUNT_KERNEL_ROLE_H_
#define JACKDAWSHUNT_KERNEL_ROLE_H_

#include <string>

namespace jackdawshunt::kernel {

class Role {
 public:
  virtual ~Role() = default;

  // Runs until a signal ends the process gracefully. Returns the exit code:
  // 0 after a graceful shutdown, 1 when a port cannot be bound, 2 when the
  // settings file is invalid.
  virtual int Run(const std::string& settings_path) = 0;
};

}  // namespace jackdawshunt::kernel

#endif  // JACKDAWSHUNT_KERNEL_ROLE_H_
