// Messages between tasks arrive exactly once and in the order of each sender,
// and the receiver blocks while there are none.

#include <gtest/gtest.h>

#include <thread>
#include <vector>

#include "frontends/glib_task.h"
#include "frontends/machine_task.h"
#include "frontends/mailbox.h"

namespace boragepick {
namespace {

struct Numbered {
  int sender = 0;
  int number = 0;
};

TEST(Mailbox, DeliversEveryMessageInTheOrderOfItsSender) {
  constexpr int kSenders = 4;
  constexpr int kMessages = 5'000;
  Mailbox<Numbered> mailbox;
  std::vector<std::thread> senders;
  senders.reserve(kSenders);
  for (int sender = 0; sender < kSenders; ++sender) {
    senders.emplace_back([&mailbox, sender] {
      for (int number = 0; number < kMessages; ++number)
        mailbox.Post({.sender = sender, .number = number});
    });
  }
  std::vector<int> next(kSenders, 0);
  int received = 0;
  while (received < kSenders * kMessages) {
    mailbox.wake_up().Wait(-1);
    for (const Numbered& message : mailbox.TakeAll()) {
      ASSERT_EQ(message.number,
                next[static_cast<std::size_t>(message.sender)]++);
      ++received;
    }
  }
  for (std::thread& sender : senders)
    sender.join();
}

// A state machine that counts its ticks and requests one every 10 ms.
struct Counter {
  struct TickEvent {};
  using Event = std::variant<int, TickEvent>;
  using Effect = int;

  std::vector<int> Handle(TimePoint /*now*/, Event event) {
    if (const int* number = std::get_if<int>(&event))
      return {*number};
    ++ticks;
    return {};
  }
  TimePoint NextTick(TimePoint now) const {
    return now + std::chrono::milliseconds(10);
  }
  bool Ready() const { return true; }

  int ticks = 0;
};

struct Collector {
  void Dispatch(int number) { mailbox.Post(number); }
  void OnReadyChanged(bool ready) { ready_reported = ready; }

  Mailbox<int> mailbox;
  bool ready_reported = false;
};

TEST(Mailbox, MachineTaskHandlesEveryEventAndTicks) {
  constexpr int kEvents = 2'000;
  Counter counter;
  Collector collector;
  {
    MachineTask<Counter, Collector> task(counter, collector);
    task.Start();
    for (int i = 0; i < kEvents; ++i)
      task.Post(i);
    int received = 0;
    while (received < kEvents) {
      collector.mailbox.wake_up().Wait(-1);
      for (const int number : collector.mailbox.TakeAll())
        ASSERT_EQ(number, received++);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  EXPECT_GE(counter.ticks, 1);
  EXPECT_TRUE(collector.ready_reported);
}

struct Doubler {
  Doubler(GlibLoop& /*loop*/, Mailbox<int>* out) : m_out(out) {}
  void Handle(int number) { m_out->Post(2 * number); }

 private:
  Mailbox<int>* m_out;
};

TEST(Mailbox, GlibTaskHandlesEveryMessage) {
  Mailbox<int> replies;
  GlibTask<int> task;
  task.Start<Doubler>(&replies);
  constexpr int kEvents = 1'000;
  for (int i = 0; i < kEvents; ++i)
    task.Post(i);
  int received = 0;
  while (received < kEvents) {
    replies.wake_up().Wait(-1);
    for (const int number : replies.TakeAll())
      ASSERT_EQ(number, 2 * received++);
  }
}

}  // namespace
}  // namespace boragepick
