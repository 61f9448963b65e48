// Evacuations of data centres, as one router takes part in them.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/core/serving/serving_fixture.h"

namespace boragepick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WorkerEntry In(const std::string& data_centre, WorkerEntry entry) {
  entry.data_centre = data_centre;
  return entry;
}

// Two workers of each service, w1 and p1 in "a", w2 and p2 in "b". Only w1 has
// m2 loaded.
class EvacuationsTest : public testing::Test {
 protected:
  void SetUp() override {
    fixture.Start();
    fixture.Handle(WorkersSynced{});
    fixture.Handle(
        WorkerListed{.entry = In("a", EngineWorker("w1", {"m1", "m2"}))});
    fixture.Handle(WorkerListed{.entry = In("b", EngineWorker("w2", {"m1"}))});
    fixture.Handle(WorkerListed{.entry = In("a", PlainWorker("p1"))});
    fixture.Handle(WorkerListed{.entry = In("b", PlainWorker("p2"))});
    fixture.effects.clear();
  }

  void Evacuate(const std::string& data_centre) {
    fixture.Handle(
        EvacuationRequested{.data_centre = data_centre, .revision = 7});
  }
  // Lets the last confirmation get too old for a delayed effect.
  void CutOff() { fixture.Advance(milliseconds(4'100), /*confirm=*/false); }
  // The controller of w2 reports its models.
  void Report(std::vector<LoadedModel> models) {
    fixture.Handle(PeerMessageReceived{
        .from = {.endpoint = "10.0.0.2:7"},
        .message = EngineUpdate{
            .contents = {.born = 1, .models = std::move(models)}}});
  }
  // The worker that gets the request; empty if it is not sent.
  std::string Send(const std::string& path, const std::string& model = "") {
    fixture.ReceiveRequest(path, model);
    const auto sent = fixture.TakeEffects<SendAttempt>();
    if (sent.empty())
      return "";
    Answer(sent[0]);
    return sent[0].worker;
  }
  void Answer(const SendAttempt& sent) {
    fixture.RespondHead(sent.attempt);
    fixture.RespondEvent(sent.attempt, 1);
    fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
  }
  // Whether the worker gets some of several requests that run at the same time.
  bool IsUsed(const std::string& worker) {
    bool is_used = false;
    for (int i = 0; i < 6; ++i)
      fixture.ReceiveRequest("/read/1");
    fixture.TakeEffects<RefuseRequest>();
    for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>()) {
      is_used = is_used || sent.worker == worker;
      Answer(sent);
    }
    return is_used;
  }
  void ExpectRefused(const std::string& code) {
    const auto refused = fixture.TakeEffects<RefuseRequest>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].code, code);
    EXPECT_EQ(refused[0].status, 503U);
    EXPECT_GT(refused[0].retry_after, Duration::zero());
  }

  ServingFixture fixture;
};

TEST_F(EvacuationsTest, NewRequestsAvoidTheDataCentreAndRunsGoOn) {
  CutOff();
  fixture.ReceiveRequest("/ask/1", "m2");
  const auto running = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(running.size(), 1U);
  fixture.RespondHead(running[0].attempt);
  Evacuate("a");
  EXPECT_FALSE(IsUsed("p1"));
  EXPECT_EQ(Send("/ask/1", "m1"), "w2");
  EXPECT_TRUE(fixture.TakeEffects<CancelAttempt>().empty());
  fixture.effects.clear();
  fixture.RespondEvent(running[0].attempt, 1);
  EXPECT_EQ(fixture.TakeEffects<SendResponseBody>().size(), 1U);
  fixture.Handle(EvacuationEnded{.data_centre = "a"});
  EXPECT_TRUE(IsUsed("p1"));
}

TEST_F(EvacuationsTest, ABrokenStreamResumesElsewhereOnly) {
  CutOff();
  Evacuate("b");
  fixture.ReceiveRequest("/ask/1", "m1");
  const auto running = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(running[0].worker, "w1");
  fixture.RespondHead(running[0].attempt);
  fixture.RespondEvent(running[0].attempt, 1);
  fixture.Handle(AttemptFailed{.attempt = running[0].attempt});
  fixture.Advance(milliseconds(500));
  EXPECT_TRUE(fixture.TakeEffects<SendAttempt>().empty());
  fixture.Handle(EvacuationEnded{.data_centre = "b"});
  const auto resumed = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(resumed.size(), 1U);
  EXPECT_EQ(resumed[0].worker, "w2");
  EXPECT_EQ(resumed[0].resume_after, 1U);
}

// Only w1 has m2. It gets requests until the evacuation must have taken effect,
// while w2 is asked to load it.
TEST_F(EvacuationsTest, ModelsMoveBeforeItTakesEffect) {
  EXPECT_EQ(Send("/ask/1", "m2"), "w1");
  const TimePoint confirmed_at = fixture.now;
  fixture.effects.clear();
  Evacuate("a");
  const auto loads = fixture.TakeEffects<SendToEndpoint>();
  ASSERT_EQ(loads.size(), 1U);
  EXPECT_EQ(loads[0].endpoint, "10.0.0.2:7");
  EXPECT_EQ(std::get<LoadRequest>(loads[0].message).model, "m2");
  EXPECT_EQ(Send("/ask/1", "m2"), "w1");
  EXPECT_EQ(Send("/ask/1", "m1"), "w2");
  EXPECT_FALSE(IsUsed("p1"));
  fixture.Advance(confirmed_at + seconds(4) - fixture.now);
  Report({{.name = "m1", .version = 1}});
  EXPECT_EQ(Send("/ask/1", "m2"), "");
  for (const SendToEndpoint& load : fixture.TakeEffects<SendToEndpoint>())
    EXPECT_EQ(load.endpoint, "10.0.0.2:7");
  Report({{.name = "m1", .version = 1}, {.name = "m2", .version = 1}});
  const auto moved = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(moved.size(), 1U);
  EXPECT_EQ(moved[0].worker, "w2");
}

TEST_F(EvacuationsTest, ACompleteListEndsThoseThatAreNotInIt) {
  CutOff();
  Evacuate("a");
  Evacuate("b");
  fixture.Handle(WorkerListUnavailable{});
  fixture.Handle(WorkerListRestored{.outage = seconds(3)});
  EXPECT_EQ(Send("/read/1"), "");
  ExpectRefused("evacuated");
  fixture.Handle(EvacuationsSynced{.data_centres = {"b"}});
  EXPECT_TRUE(IsUsed("p1"));
  EXPECT_FALSE(IsUsed("p2"));
  fixture.Handle(EvacuationsSynced{});
  EXPECT_TRUE(IsUsed("p2"));
}

// The operator writes the request again that the store's copy lacks.
TEST_F(EvacuationsTest, AnEvacuationThatTheStoreHasLostGoesOn) {
  CutOff();
  Evacuate("a");
  Evacuate("b");
  fixture.Handle(StoreReverted{.old_era = 1, .era = 2});
  fixture.Handle(EvacuationEnded{.data_centre = "a"});
  fixture.Handle(EvacuationsSynced{});
  EXPECT_FALSE(IsUsed("p1"));
  Evacuate("a");
  fixture.Advance(seconds(3));
  EXPECT_FALSE(IsUsed("p1"));
  EXPECT_TRUE(IsUsed("p2"));
}

TEST_F(EvacuationsTest, WithoutAnyDataCentreRequestsAreRefusedAtOnce) {
  CutOff();
  Evacuate("a");
  Evacuate("b");
  EXPECT_EQ(Send("/ask/1", "m1"), "");
  ExpectRefused("evacuated");
  EXPECT_EQ(Send("/book/1"), "");
  ExpectRefused("evacuated");
  fixture.Handle(EvacuationEnded{.data_centre = "b"});
  EXPECT_EQ(Send("/book/1"), "p2");
}

// Urgent requests may use more of the remaining workers' slots than others.
TEST_F(EvacuationsTest, TheRemainingSlotsBoundAdmissionByUrgency) {
  ServingConfig config = SmallConfig();
  config.version = 2;
  config.teams["later"] = {
      .name = "later", .priority = 4, .key_sha256 = {"later"}};
  fixture.Handle(ConfigReceived{
      .config = std::make_shared<const ConfigIndex>(std::move(config))});
  WorkerEntry remaining = In("b", PlainWorker("p2"));
  remaining.slots = 4;
  fixture.Handle(WorkerListed{.entry = remaining});
  CutOff();
  Evacuate("a");
  for (int i = 0; i < 3; ++i)
    fixture.ReceiveRequest("/read/1");
  EXPECT_EQ(fixture.TakeEffects<SendAttempt>().size(), 3U);
  fixture.ReceiveRequest("/read/1", "", "later");
  ExpectRefused("evacuated");
  fixture.ReceiveRequest("/read/1");
  EXPECT_EQ(fixture.TakeEffects<SendAttempt>().size(), 1U);
  fixture.ReceiveRequest("/read/1");
  ExpectRefused("evacuated");
}

TEST(EvacuationsAtStart, NothingIsSentBeforeTheListIsRead) {
  ServingFixture fixture(
      {.vm = "r1", .data_centre = "a", .await_evacuations = true});
  fixture.Start();
  fixture.Handle(WorkerListed{.entry = In("b", PlainWorker("p3"))});
  fixture.ReceiveRequest("/open/1");
  fixture.Handle(EvacuationRequested{.data_centre = "a"});
  fixture.Advance(milliseconds(200));
  EXPECT_TRUE(fixture.TakeEffects<SendAttempt>().empty());
  EXPECT_TRUE(fixture.TakeEffects<RefuseRequest>().empty());
  fixture.Handle(EvacuationsSynced{.data_centres = {"a"}});
  const auto sent = fixture.TakeEffects<SendAttempt>();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].worker, "p3");
}

// The operator writes and removes keys at any time, and the router learns of it
// by its watch or by a complete list, or not for a while.
RC_GTEST_PROP(EvacuationHistory, NoRequestIsSentAfterTheBound, ()) {
  ServingFixture fixture;
  fixture.Start();
  for (int i = 0; i < 6; ++i) {
    const std::string id = std::to_string(i + 1);
    const std::string data_centre(1, static_cast<char>('a' + i % 3));
    fixture.Handle(
        WorkerListed{.entry = In(data_centre, PlainWorker("p" + id))});
    fixture.Handle(WorkerListed{
        .entry =
            In(data_centre,
               EngineWorker("w" + id, {"m" + std::to_string(i % 3 + 1)}))});
  }
  std::map<std::string, TimePoint> stored;
  std::map<std::string, TimePoint> known;
  bool watches = true;
  const auto learn = [&] {
    for (const auto& [data_centre, since] : known)
      if (!stored.contains(data_centre))
        fixture.Handle(EvacuationEnded{.data_centre = data_centre});
    for (const auto& [data_centre, since] : stored)
      fixture.Handle(EvacuationRequested{.data_centre = data_centre});
    known = stored;
    fixture.ConfirmConfig();
  };
  const auto check = [&] {
    for (const SendAttempt& sent : fixture.TakeEffects<SendAttempt>()) {
      const auto evacuated = known.find(fixture.router()
                                            .state()
                                            .workers.Find(sent.worker)
                                            ->entry.data_centre);
      RC_ASSERT(evacuated == known.end() ||
                fixture.now - evacuated->second < seconds(5));
      fixture.RespondHead(sent.attempt);
      fixture.Handle(AttemptCompleted{.attempt = sent.attempt});
    }
  };
  const auto actions =
      *rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 1'000));
  for (const int action : actions) {
    const std::string data_centre(1, static_cast<char>('a' + action % 3));
    switch (action / 3 % 8) {
      case 0:
        stored.try_emplace(data_centre, fixture.now);
        break;
      case 1:
        stored.erase(data_centre);
        break;
      case 2:
        watches = action % 2 == 0;
        break;
      case 3: {
        EvacuationsSynced synced;
        for (const auto& [name, since] : stored)
          synced.data_centres.push_back(name);
        fixture.Handle(std::move(synced));
        learn();
        break;
      }
      default:
        fixture.ReceiveRequest(action % 2 == 0 ? "/open/1" : "/ask/1",
                               action % 2 == 0 ? "" : "m1");
    }
    check();
    if (watches)
      learn();
    fixture.Advance(milliseconds(action), /*confirm=*/false);
    check();
  }
}

}  // namespace
}  // namespace boragepick
