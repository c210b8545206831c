// One replica against a plain model of the state table in its header: whatever is asked, ended, given up and
// waited for, both do the same. 100 lists of 1,000 steps; a failing list is shrunk and printed.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "idempotency/digest.h"
#include "idempotency/replica.h"

namespace postspread::idempotency {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(15), kKeep = seconds(40), kOnTheWay = milliseconds(50);
constexpr std::size_t kMaxWaiters = 4;

enum class Step { kAsk, kServe, kRefuse, kFail, kGone, kWait };
struct Op {
  Step step = Step::kAsk;
  int key = 0;  // of the request, or which of those that run
  int body = 0;
  int amount = 0;  // ms of patience, or of waiting
};
std::ostream& operator<<(std::ostream& out, const Op& op) {
  return out << "{" << static_cast<int>(op.step) << "," << op.key << "," << op.body << "," << op.amount
             << "}";
}

// What a step made happen, in words that both sides share.
using Seen = std::multiset<std::string>;
std::string Say(const char* what, WaiterId waiter, const std::string& more = "") {
  return std::string(what) + " " + std::to_string(waiter) + " " + more;
}

class Model {
 public:
  struct Waiting {
    WaiterId id = 0;
    TimePoint deadline{0};
    bool gone = false;
  };
  struct Key {
    enum { kRunning, kAnswered, kUnknown } state = kRunning;
    int body = 0;
    TimePoint sent{0};
    bool resumed = false, applied = false;
    WaiterId running = 0;
    std::string value;
    std::vector<Waiting> waiting;
  };

  void Ask(int name, int body, WaiterId id, TimePoint deadline, TimePoint now, Seen& seen) {
    const auto found = keys.find(name);
    if (found == keys.end()) {
      Key& key = keys[name];
      key.body = body;
      key.waiting = {{id, deadline, false}};
      key.sent = now;
      return Begin(key, false, seen);
    }
    Key& key = found->second;
    if (key.body != body) {
      seen.insert(Say("other", id));
    } else if (key.state == Key::kAnswered && !key.value.empty()) {
      seen.insert(Say("serve", id, key.value));
    } else if (key.waiting.size() >= kMaxWaiters) {
      seen.insert(Say("defer", id));
    } else {
      key.waiting.push_back({id, deadline, false});
      if (key.state != Key::kRunning) Resume(key, now, seen);
    }
  }
  void End(int name, Step step, const std::string& value, TimePoint now, Seen& seen) {
    Key& key = keys[name];
    if (step == Step::kServe) {
      key.state = Key::kAnswered;
      key.applied = true;
      key.value = value;
      for (const Waiting& w : std::exchange(key.waiting, {})) Tell(w, "serve", value, seen);
    } else if (step == Step::kRefuse) {
      for (const Waiting& w : std::exchange(key.waiting, {})) Tell(w, "defer", "", seen);
      if (!key.resumed) {
        keys.erase(name);
        return;
      }
      key.state = Key::kUnknown;
    } else {
      key.state = Key::kUnknown;
      const auto own = std::find_if(key.waiting.begin(), key.waiting.end(),
                                    [&](const Waiting& w) { return w.id == key.running; });
      Tell(*own, "unknown", "", seen);
      key.waiting.erase(own);
      Resume(key, now, seen);
    }
  }
  void Gone(WaiterId id, Seen& seen) {
    for (auto& [name, key] : keys) {
      for (std::size_t i = 0; i < key.waiting.size(); ++i) {
        if (key.waiting[i].id != id) continue;
        if (key.state == Key::kRunning && key.running == id) {
          key.waiting[i].gone = true;
        } else {
          key.waiting.erase(key.waiting.begin() + static_cast<std::ptrdiff_t>(i));
          seen.insert(Say("forget", id));
        }
        return;
      }
    }
  }
  void Wait(TimePoint until, Seen& seen) {
    for (auto it = keys.begin(); it != keys.end();) {
      Key& key = it->second;
      for (std::size_t i = key.waiting.size(); i-- > 0;) {
        const Waiting w = key.waiting[i];
        if (w.deadline > until || (key.state == Key::kRunning && key.running == w.id)) continue;
        seen.insert(Say("unknown", w.id));
        key.waiting.erase(key.waiting.begin() + static_cast<std::ptrdiff_t>(i));
      }
      it = key.state != Key::kRunning && key.sent + kKeep <= until ? keys.erase(it) : std::next(it);
    }
  }

  std::map<int, Key> keys;

 private:
  static void Tell(const Waiting& w, const char* what, const std::string& more, Seen& seen) {
    seen.insert(w.gone ? Say("forget", w.id) : Say(what, w.id, more));
  }
  void Begin(Key& key, bool resumed, Seen& seen) {
    auto longest = key.waiting.begin();
    for (auto w = key.waiting.begin(); w != key.waiting.end(); ++w) {
      if (w->deadline > longest->deadline) longest = w;
    }
    key.state = Key::kRunning;
    key.running = longest->id;
    key.resumed = resumed;
    seen.insert(Say("start", longest->id, resumed ? "again" : ""));
  }
  void Resume(Key& key, TimePoint now, Seen& seen) {
    if (key.waiting.empty()) return;
    if (now + kOnTheWay < key.sent + kWindow) return Begin(key, true, seen);
    for (const Waiting& w : std::exchange(key.waiting, {})) Tell(w, "unknown", "", seen);
  }
};

void Note(Actions actions, Seen& seen) {
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartRequest>(&action)) {
      seen.insert(Say("start", start->waiter, start->pin.may_have_run ? "again" : ""));
      RC_ASSERT(start->pin.has_pod && start->pin.pod == 4);
    } else if (const auto* serve = std::get_if<CompleteRequest>(&action)) {
      seen.insert(Say("serve", serve->waiter, *serve->value));
    } else if (const auto* defer = std::get_if<RejectWithRetryAfter>(&action)) {
      seen.insert(Say("defer", defer->waiter));
    } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
      seen.insert(Say(fail->reason == FailureReason::kUnknown ? "unknown" : "other", fail->waiter));
    } else if (const auto* forget = std::get_if<ReleaseRequest>(&action)) {
      seen.insert(Say("forget", forget->waiter));
    } else {
      RC_FAIL("an action that a keeper alone never takes");
    }
  }
}

std::string Joined(const Seen& seen) {
  std::string out;
  for (const std::string& s : seen) out += s + "; ";
  return out;
}

TEST_CASE("a keeper does what the state table says") {
  const auto op = rc::gen::apply(
      [](int step, int key, int body, int amount) {
        static constexpr Step kSteps[] = {Step::kAsk,  Step::kAsk,  Step::kAsk,  Step::kServe, Step::kRefuse,
                                          Step::kFail, Step::kFail, Step::kGone, Step::kWait,  Step::kWait};
        // Mostly short waits, and now and then one past the window or past the store's own time.
        const int wait = amount % 10 == 0 ? amount * 5 : amount;
        return Op{kSteps[step], key, body == 0 ? 1 : 0, kSteps[step] == Step::kWait ? wait : amount};
      },
      rc::gen::inRange(0, 10), rc::gen::inRange(0, 4), rc::gen::inRange(0, 8), rc::gen::inRange(1, 9'000));
  CHECK(rc::check("model", [&op] {
    const auto ops = *rc::gen::container<std::vector<Op>>(1'000, op);
    TimePoint now = seconds(1'000);
    Limits limits;
    limits.enabled = true;
    limits.keep = std::chrono::duration_cast<milliseconds>(kKeep);
    limits.max_waiters = kMaxWaiters;
    IdempotencyReplica replica(limits, {}, now);
    replica.SetPods({{4, 1}});
    Model model;
    WaiterId next = 1;
    for (const Op& o : ops) {
      Seen seen, expected;
      std::vector<int> running;
      for (const auto& [name, key] : model.keys) {
        if (key.state == Model::Key::kRunning) running.push_back(name);
      }
      if (o.step == Step::kAsk) {
        const std::string name = std::to_string(o.key);
        const Ask ask{.waiter = next,
                      .key = DigestKey("c", "change", name),
                      .fingerprint = DigestRequest("c", "change", name, 1, std::to_string(o.body)),
                      .customer = 1,
                      .deadline = now + milliseconds(o.amount),
                      .window = kWindow,
                      .pinned = true,
                      .work = {}};
        Note(replica.Begin(ask, now), seen);
        model.Ask(o.key, o.body, next, ask.deadline, now, expected);
        ++next;
      } else if (o.step == Step::kGone) {
        const WaiterId id = next > 8 ? next - 1 - static_cast<WaiterId>(o.amount % 8) : 1;
        Note(replica.OnClientDisconnect(id, now), seen);
        model.Gone(id, expected);
      } else if (o.step == Step::kWait) {
        const TimePoint until = now + milliseconds(o.amount);
        while (replica.NextTick() && *replica.NextTick() <= until) {
          now = std::max(now, *replica.NextTick());
          Note(replica.Tick(now), seen);
        }
        now = until;
        model.Wait(now, expected);
      } else if (!running.empty()) {
        const int name = running[static_cast<std::size_t>(o.key) % running.size()];
        const std::string value = "value of " + std::to_string(next);
        const WaiterId id = model.keys[name].running;
        RC_ASSERT(replica.Runs(id));
        const End end = o.step == Step::kServe    ? End::kServed
                        : o.step == Step::kRefuse ? End::kRefused
                                                  : End::kFailed;
        Note(replica.OnWorkFinished(id, end, value, Duration(1), now), seen);
        model.End(name, o.step, value, now, expected);
        // What is over in time goes at the next tick.
        if (replica.NextTick() && *replica.NextTick() <= now) Note(replica.Tick(now), seen);
        model.Wait(now, expected);
      }
      RC_ASSERT(Joined(seen) == Joined(expected));
      RC_ASSERT(replica.size() == model.keys.size());
      RC_ASSERT(replica.peak() <= replica.bound());
    }
  }));
}

}  // namespace
}  // namespace postspread::idempotency
