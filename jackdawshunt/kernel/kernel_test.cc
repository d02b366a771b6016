#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/kernel/mailbox.h"
#include "jackdawshunt/kernel/registry.h"

namespace jackdawshunt::kernel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a use after free when a timer's callback destroys the timer.
TEST(EventLoopTest, TimerMayBeDestroyedByItsOwnCallback) {
  EventLoop loop;
  int calls = 0;
  auto timer = std::make_unique<Timer>();
  *timer = loop.Every(milliseconds(1), [&] {
    ++calls;
    timer.reset();
  });
  EXPECT_TRUE(loop.RunUntil([&] { return timer == nullptr; }, seconds(10)));
  EXPECT_EQ(calls, 1);
}

// Guards against a message reaching a task that no longer exists.
TEST(MailboxTest, DestroyedMailboxDropsItsMessages) {
  EventLoop loop;
  std::vector<int> seen;
  auto gone =
      std::make_unique<Mailbox<int>>(loop, [&](int m) { seen.push_back(m); });
  Mailbox<int> kept(loop, [&](int m) { seen.push_back(m); });
  gone->Post(1);
  kept.Post(2);
  kept.Post(3);
  gone.reset();
  EXPECT_TRUE(loop.RunUntil([&] { return seen.size() >= 2; }, seconds(10)));
  EXPECT_EQ(seen, (std::vector<int>{2, 3}));
}

struct Animal {
  virtual ~Animal() = default;
};

const Registration<Animal> kFirst("first",
                                  [] { return std::make_unique<Animal>(); });

TEST(RegistryTest, CreatesByNameOnly) {
  EXPECT_NE(Registry<Animal>::Create("first"), nullptr);
  EXPECT_EQ(Registry<Animal>::Create("second"), nullptr);
}

}  // namespace
}  // namespace jackdawshunt::kernel
