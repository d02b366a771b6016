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
TEST(EventLoopTest, CallbackMayDestroyItsTimer) {
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

// Guards against a message being handled by a destroyed task.
TEST(MailboxTest, DestroyedMailboxDropsItsMessages) {
  EventLoop loop;
  std::vector<int> received;
  auto destroyed = std::make_unique<Mailbox<int>>(
      loop, [&](int m) { received.push_back(m); });
  Mailbox<int> remaining(loop, [&](int m) { received.push_back(m); });
  destroyed->Post(1);
  remaining.Post(2);
  remaining.Post(3);
  destroyed.reset();
  EXPECT_TRUE(loop.RunUntil([&] { return received.size() >= 2; }, seconds(10)));
  EXPECT_EQ(received, (std::vector<int>{2, 3}));
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
