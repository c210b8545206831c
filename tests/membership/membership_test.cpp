// The membership view in modelled time, its words and its datagrams. Each defence is switched off here
// once, and what it defends is seen to break.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "membership/model.h"

namespace postspread::membership {
namespace {

using namespace testing;

constexpr Faults kCalm{0, 0};
constexpr Faults kLossy{.loss = 0.1, .doubled = 0.02};

std::vector<int> Range(int from, int to) {
  std::vector<int> out;
  for (int i = from; i < to; ++i) out.push_back(i);
  return out;
}

double Share(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

MemberUpdate AnyUpdate() {
  constexpr State kTold[] = {State::kAlive, State::kDead, State::kLeft};
  return {*rc::gen::inRange<std::uint64_t>(1, 4), *rc::gen::inRange<std::uint32_t>(0, 4),
          kTold[*rc::gen::inRange(0, 3)]};
}

TEST_CASE("the merge of two words is commutative, associative and idempotent") {
  CHECK(rc::check("merge", [] {
    const MemberUpdate a = AnyUpdate(), b = AnyUpdate(), c = AnyUpdate();
    RC_ASSERT(Merge(a, b) == Merge(b, a));
    RC_ASSERT(Merge(a, Merge(b, c)) == Merge(Merge(a, b), c));
    RC_ASSERT(Merge(a, a) == a);
  }));
}

// All orders in which three members, of two lives each, can say and hear things of one another, with one
// datagram lost and one cut: a small machine of its own that uses the program's words and their merge. Where
// it finds two members that have heard the same words and hold different ones, the merge is broken.
struct Search {
  MemberUpdate (*merge)(const MemberUpdate&, const MemberUpdate&);
  std::set<std::vector<MemberUpdate>> seen;
  bool sound = true;

  // What is said of one member by the three: its start in a life, its death as another declares it, its
  // denial, its leave. Every order of hearing must end alike, whichever one word each was not told directly.
  void Run(std::vector<MemberUpdate> updates, std::vector<MemberUpdate> held) {
    if (!sound || !seen.insert([&] {
                         std::vector<MemberUpdate> state = held;
                         state.insert(state.end(), updates.begin(), updates.end());
                         return state;
                       }())
                       .second) {
      return;
    }
    if (updates.empty()) {
      // The cut heals: each tells each other what it holds, in either order.
      const MemberUpdate all = merge(merge(held[0], held[1]), held[2]);
      sound = sound && merge(held[2], merge(held[1], held[0])) == all &&
              merge(held[1], merge(held[0], held[2])) == all;
      for (const MemberUpdate& h : held) {
        sound = sound && merge(all, h) == all;
        for (const MemberUpdate& other : held) sound = sound && merge(h, other) == merge(other, h);
      }
      return;
    }
    for (std::size_t i = 0; i < updates.size(); ++i) {
      std::vector<MemberUpdate> rest = updates;
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(i));
      // It reaches all, or is lost to one, or the cut keeps it from two.
      for (unsigned reaches = 1; reaches < 8; ++reaches) {
        std::vector<MemberUpdate> next = held;
        for (std::size_t m = 0; m < 3; ++m) {
          if ((reaches >> m & 1) != 0) next[m] = merge(next[m], updates[i]);
        }
        Run(rest, next);
      }
    }
  }
};

TEST_CASE("every order of hearing ends in one view, and the search finds a broken order of precedence") {
  const std::vector<MemberUpdate> said{{1, 0, State::kAlive},
                                       {1, 0, State::kDead},
                                       {1, 1, State::kAlive},
                                       {2, 0, State::kAlive},
                                       {2, 0, State::kLeft}};
  Search search{Merge, {}};
  search.Run(said, std::vector<MemberUpdate>(3));
  CHECK(search.sound);
  CHECK(search.seen.size() > 900);
  // A death that beats any denial of the same life, as some have it, beside denials that beat deaths.
  Search broken{[](const MemberUpdate& a, const MemberUpdate& b) {
                  // Whoever holds it dead believes no denial; whoever has heard the denial believes no death.
                  return a.incarnation == b.incarnation && a.state == State::kDead ? a : std::max(a, b);
                },
                {}};
  broken.Run(said, std::vector<MemberUpdate>(3));
  CHECK_FALSE(broken.sound);
}

TEST_CASE("what is no datagram of this fleet changes nothing and is counted") {
  Model model(3, 1, {}, kCalm);
  model.StartAll();
  REQUIRE(model.Until([&] { return model.AllAgree(); }, 10) >= 0);
  const std::uint64_t epoch = model.fleet(0).epoch();
  const Message head{.kind = Kind::kGossip,
                     .sender = {"gk-1", 0, {model.fleet(1).incarnation(), 0, State::kAlive}, true}};
  Writer writer(DigestGroup("fleet"), head, 256);
  REQUIRE(writer.Add("gk-2", 2, {model.fleet(2).incarnation(), 0, State::kDead}, true));
  const std::string sound = std::move(writer).Seal();
  for (std::size_t size = 0; size < sound.size(); ++size)
    model.Inject(0, 1, sound.substr(0, size));         // cut anywhere
  for (std::size_t at = 4; at < sound.size(); ++at) {  // one bit turned over anywhere
    std::string bad = sound;
    bad[at] = static_cast<char>(bad[at] ^ 1 << at % 8);
    model.Inject(0, 1, bad);
  }
  const std::string first = sound.substr(0, 8);  // up to the fleet's digest
  for (int i = 0; i < 20'000; ++i) {             // noise behind the right first bytes
    std::string noise = first;
    for (std::uint64_t n = model.random()() % 256; n > 0; --n) noise += static_cast<char>(model.random()());
    model.Inject(0, 1, noise);
  }
  CHECK_FALSE(model.fleet(0).Received(1, "PSK\1and so on", model.now()));  // another subsystem's
  model.Inject(0, 1, "PSV\2 of a later version, whatever that holds");
  Writer other(DigestGroup("another"), head, 256);
  model.Inject(0, 1, std::move(other).Seal());
  CHECK(model.fleet(0).epoch() == epoch);
  CHECK(model.fleet(0).counts().unreadable > 20'000);
  CHECK(model.fleet(0).counts().future == 1);
  CHECK(model.fleet(0).counts().foreign > 0);
  // The sound one is taken, denied by the one it speaks of, and undone without a second death.
  model.Inject(0, 1, sound);
  CHECK(model.fleet(0).epoch() == epoch + 1);
  CHECK(model.Until([&] { return model.AllAgree(); }, 3) >= 0);
  // A life that no clock of the fleet can have given out would hold a name for ever.
  Message tomorrow = head;
  tomorrow.sender.update.incarnation += 3 * 86'400'000ULL;
  model.Inject(0, 1, Writer(DigestGroup("fleet"), tomorrow, 256).Seal());
  CHECK(model.fleet(0).counts().future == 2);
  CHECK(model.AllAgree());
}

TEST_CASE("a killed member is out of every view within 8 periods, seven in ten within 20") {
  std::vector<double> one, many;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Model model(16, seed, {}, kCalm);
    model.StartAll();
    REQUIRE(model.Until([&] { return model.AllAgree(); }, 10) >= 0);
    model.Run(seconds(5) + milliseconds(static_cast<int>(model.random()() % 1000)));
    model.Kill(3);
    one.push_back(model.Until([&] { return !model.SeenByAny(3); }, 60));
    for (const int i : Range(5, 15)) model.Kill(i);
    many.push_back(model.Until([&] { return model.AllAgree(); }, 60));
    CHECK(one.back() > 0);
    CHECK(many.back() > 0);
    CHECK(model.false_deaths == 0);
  }
  CHECK(Share(one, 0.99) <= 8);
  CHECK(Share(many, 0.99) <= 20);
}

// Ten minutes with one datagram in ten lost, and a member that stands still for less than the suspicion
// lasts.
std::uint64_t FalseDeaths(DisabledDefense disabled, std::uint64_t seed) {
  Model model(8, seed, {}, kLossy, disabled);
  model.StartAll();
  for (int minute = 0; minute < 10; ++minute) {
    model.Run(seconds(20));
    model.Stop(minute % 8);
    model.Run(milliseconds(2'900));
    model.Continue(minute % 8);
    model.Run(milliseconds(37'100));
  }
  CHECK(model.largest <= 256);
  return model.false_deaths;
}

TEST_CASE("nobody that lives is declared dead by loss, by a short stop or by who was cut off itself") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) CHECK(FalseDeaths(DisabledDefense::kNothing, seed) == 0);
  std::uint64_t without_knocks = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed)
    without_knocks += FalseDeaths(DisabledDefense::kKnocking, seed);
  CHECK(without_knocks > 0);
  for (const DisabledDefense disabled : {DisabledDefense::kNothing, DisabledDefense::kLocalHealth}) {
    // One is cut off from all, and one is starved: it is called only every four seconds.
    Model model(6, 3, {}, kCalm, disabled);
    model.StartAll();
    model.Run(seconds(5));
    model.cut = [](int from, int to) { return (from == 0) != (to == 0); };
    for (int i = 0; i < 10; ++i) {
      model.Stop(5);
      model.Run(seconds(2));
      model.Continue(5);
      model.Run(milliseconds(10));
    }
    const auto judged = model.fleet(0).counts().deaths_declared;
    CHECK((disabled == DisabledDefense::kNothing ? judged == 0 : judged > 0));
    const View view = model.fleet(0).view();
    const auto suspects = std::count_if(view.members.begin(), view.members.end(),
                                        [](const Member& m) { return m.update.state == State::kSuspect; });
    if (disabled == DisabledDefense::kNothing) CHECK(suspects == 5);
  }
}

TEST_CASE("two halves settle on themselves and are one again after longer than they remember one another") {
  for (const DisabledDefense disabled :
       {DisabledDefense::kNothing, DisabledDefense::kRefutation, DisabledDefense::kAskingAgain}) {
    Limits limits;
    limits.forget = seconds(30);
    Model model(16, 5, limits, kLossy, disabled);
    model.StartAll();
    model.Run(seconds(10));
    model.cut = [](int from, int to) { return (from < 8) != (to < 8); };
    const bool settled =
        model.Until([&] { return model.Agree(Range(0, 8)) && model.Agree(Range(8, 16)); }, 25) >= 0;
    if (disabled == DisabledDefense::kNothing) CHECK(settled);
    model.Run(seconds(20));  // not yet forgotten: the death has to be denied
    model.cut = [](int, int) { return false; };
    const double healed = model.Until([&] { return model.AllAgree(); }, 25);
    CHECK((disabled == DisabledDefense::kNothing ? healed >= 0 && healed <= 10 : healed < 0));
    if (disabled != DisabledDefense::kNothing) continue;
    model.cut = [](int from, int to) { return (from < 8) != (to < 8); };
    model.Run(seconds(90));
    CHECK(model.fleet(0).view().members.size() == 8);  // the others are forgotten, but for where they stood
    model.cut = [](int, int) { return false; };
    CHECK(model.Until([&] { return model.AllAgree(); }, 10) >= 0);
  }
}

TEST_CASE("cuts that leave a way round, or come and go each second, change no view") {
  const auto changes = [](std::function<bool(int, int, TimePoint)> cut, DisabledDefense disabled) {
    Model model(5, 7, {}, kLossy, disabled);
    model.StartAll();
    model.Run(seconds(10));
    std::uint64_t before = 0, after = 0;
    for (const int i : Range(0, 5)) before += model.fleet(i).epoch();
    model.cut = [&](int from, int to) { return cut(from, to, model.now()); };
    model.Run(seconds(60));
    for (const int i : Range(0, 5)) after += model.fleet(i).epoch();
    return after - before;
  };
  const auto one_way = [](int from, int to, TimePoint) { return from == 0 && to == 1; };
  const auto pair = [](int from, int to, TimePoint) { return from + to == 1; };
  const auto comes_and_goes = [](int from, int to, TimePoint at) {
    return (from < 2) != (to < 2) && at / seconds(1) % 2 == 0;
  };
  CHECK(changes(one_way, DisabledDefense::kNothing) == 0);
  CHECK(changes(pair, DisabledDefense::kNothing) == 0);
  CHECK(changes(pair, DisabledDefense::kHelp) > 0);
  CHECK(changes(comes_and_goes, DisabledDefense::kNothing) == 0);
}

TEST_CASE("a later life takes the earlier one's place, and what the earlier one sends does nothing") {
  for (const DisabledDefense disabled : {DisabledDefense::kNothing, DisabledDefense::kIncarnations}) {
    Model model(4, 2, {}, kCalm, disabled);
    model.StartAll();
    model.Run(seconds(5));
    const std::uint64_t former = model.fleet(2).incarnation();
    model.Kill(2);
    model.Run(milliseconds(200));
    model.Start(2);
    const bool settled = model.Until([&] { return model.AllAgree(); }, 10) >= 0;
    CHECK(settled == (disabled == DisabledDefense::kNothing));
    if (disabled != DisabledDefense::kNothing) continue;
    CHECK(model.fleet(0).counts().view_changes ==
          5);  // itself, three others, and one life for another: no death
    const Message late{.kind = Kind::kGossip, .sender = {"gk-2", 0, {former, 7, State::kLeft}, true}};
    model.Inject(0, 2, Writer(DigestGroup("fleet"), late, 256).Seal());
    CHECK(model.fleet(0).counts().former_incarnation == 1);
    CHECK(model.AllAgree());
    // On a clock that went back: it hears of the later life at its own place, and goes beyond it.
    model.Kill(2);
    model.Run(milliseconds(200));
    model.Start(2, seconds(-600));
    CHECK(model.Until([&] { return model.AllAgree(); }, 10) >= 0);
    CHECK(model.fleet(2).incarnation() > former);
  }
  // Two at different places under one name.
  Model model(5, 2, {}, kCalm);
  model.name = [](int i) { return "gk-" + std::to_string(i == 4 ? 1 : i); };
  model.StartAll();
  model.Run(seconds(1));
  model.Kill(4);
  model.Start(4);
  model.Run(seconds(10));
  CHECK(model.fleet(0).counts().name_conflicts > 0);
  CHECK_FALSE(model.fleet(0).TakeNotes().empty());
  CHECK(model.fleet(0).hash() == model.fleet(2).hash());
  CHECK(model.fleet(2).hash() == model.fleet(3).hash());
}

TEST_CASE("one that is held dead and starts again on a clock that was stepped back is soon in every view") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Model model(5, seed, {}, kLossy);
    model.StartAll();
    REQUIRE(model.Until([&] { return model.AllAgree(); }, 25) >= 0);
    model.Kill(2);
    REQUIRE(model.Until([&] { return model.AllAgree(); }, 40) >= 0);
    model.Start(2, seconds(-60));
    CHECK(model.Until([&] { return model.AllAgree(); }, 15) >= 0);
  }
}

TEST_CASE(
    "whoever knows one comes to know all, seeds that are down are asked for ever, leaves are no deaths") {
  Model model(12, 4, {}, kLossy);
  // Each knows the next one alone, and the last one nobody that is up.
  model.seeds = [](int i) { return std::vector<PeerId>{static_cast<PeerId>((i + 1) % 12)}; };
  for (const int i : Range(0, 11)) model.Start(i);
  CHECK(model.Until([&] { return model.AllAgree(); }, 15) >= 0);
  Model alone(2, 4, {}, kLossy);
  alone.Start(1);
  alone.Run(seconds(3'000));  // nobody is there
  alone.Start(0);
  CHECK(alone.Until([&] { return alone.AllAgree(); }, 5) >= 0);

  model.Start(11);
  REQUIRE(model.Until([&] { return model.AllAgree(); }, 15) >= 0);
  const std::uint64_t deaths = model.deaths;
  for (const int i : Range(0, 12)) {  // a rolling restart
    model.Leave(i);
    const double known = model.Until([&] { return !model.SeenByAny(i); }, 10);
    CHECK(known >= 0);
    CHECK(known <= 2);
    model.Run(seconds(1));
    model.Start(i);
    model.Run(seconds(1));
  }
  CHECK(model.Until([&] { return model.AllAgree(); }, 10) >= 0);
  CHECK(model.deaths == deaths);
}

TEST_CASE(
    "what a member sends does not grow with the fleet, and a flood of asks takes no more than its budget") {
  double bytes[2] = {0, 0};
  for (const int which : {0, 1}) {
    const int members = which == 0 ? 30 : 150;
    Model model(members, 6, {}, kLossy);
    model.StartAll();
    REQUIRE(model.Until([&] { return model.AllAgree(); }, 25) >= 0);
    model.Run(seconds(20));
    const std::uint64_t before = model.bytes;
    model.Run(seconds(20));
    bytes[which] = static_cast<double>(model.bytes - before) / members;
  }
  CHECK(bytes[1] / bytes[0] < 1.3);
  for (const DisabledDefense disabled : {DisabledDefense::kNothing, DisabledDefense::kBudget}) {
    Model model(3, 6, {}, kCalm, disabled);
    model.StartAll();
    model.Run(seconds(5));
    const std::uint64_t before = model.fleet(0).counts().sent;
    const Message ask{.kind = Kind::kPing,
                      .number = 1,
                      .sender = {"gk-1", 0, {model.fleet(1).incarnation(), 0, State::kAlive}, true}};
    for (int i = 0; i < 10'000; ++i) {
      model.Inject(0, 1, Writer(DigestGroup("fleet"), ask, 256).Seal());
      model.Run(milliseconds(1));
    }
    const std::uint64_t sent = model.fleet(0).counts().sent - before;
    CHECK((disabled == DisabledDefense::kNothing ? sent <= 220 : sent > 5'000));
    // And it still asks itself: nobody is held to be dead for it.
    CHECK((disabled != DisabledDefense::kNothing || model.AllAgree()));
  }
}

TEST_CASE("what is new goes out at once, however much is on its way") {
  for (const DisabledDefense disabled : {DisabledDefense::kNothing, DisabledDefense::kOrder}) {
    Limits limits;
    limits.enabled = true;
    TimePoint now = seconds(1'000'000);
    Membership fleet({"gk-0", 0, 1'000'000'000}, {0, 1}, limits, 1, now, disabled);
    const auto hear = [&](const std::string& name) {
      Message head{.kind = Kind::kGossip, .sender = {"gk-1", 0, {999'000'000, 0, State::kAlive}, true}};
      Writer writer(DigestGroup("fleet"), head, 256);
      writer.Add(name, 7, {999'000'000, 0, State::kAlive}, true);
      fleet.Received(1, std::move(writer).Seal(), now);
    };
    for (int i = 0; i < 400; ++i) hear("old-" + std::to_string(i));
    for (int i = 0; i < 9; ++i) fleet.Tick(now = fleet.NextTick());
    fleet.TakeDatagrams();
    hear("new");
    fleet.Tick(now = fleet.NextTick());
    bool told = false;
    for (const Membership::Datagram& d : fleet.TakeDatagrams()) {
      Message message;
      REQUIRE(Read(d.bytes, DigestGroup("fleet"), message) == Fault::kNone);
      for (const Entry& entry : message.entries) told = told || (entry.name == "new" && entry.news);
    }
    CHECK(told == (disabled == DisabledDefense::kNothing));
  }
}

}  // namespace
}  // namespace postspread::membership
