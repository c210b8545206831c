// All decisions of a postspread gateway: src/policy/. Here: a request's life, its attempts and its final
// answer; the parts decide the rest. Types, events and actions: include/postspread/control.h. Why:
// docs/design.md; in the code each defence says what it guards against, and its harm.
#include <algorithm>
#include <cmath>

#include "policy/quota.h"
#include "policy/servers.h"

namespace postspread {
namespace {

using namespace policy;

constexpr Duration kSweep{100'000};    // us between upkeep rounds: well under any period or aim
constexpr Duration kStalled{250'000};  // us without any event, timers included: this gateway stood still
constexpr double kRetrySpread = 1;     // of a retry-after: clients refused together do not return in step
constexpr Duration kNoServerRetry{20'000};  // us until a request that found no server looks again
constexpr double kRetryShare = 0.15;        // further attempts for each request, on average
constexpr double kRetryBurst = 10;          // further attempts that may come at once

}  // namespace

class Controller::Impl : private Core, private Part {
 public:
  Impl(Settings settings, std::uint64_t seed, TimePoint at) : Part(static_cast<Core&>(*this)) {
    random = Mix(seed);
    now = start = at;
    Reconfigure(std::move(settings));
  }

  void Reconfigure(Settings next) {
    rules.clear();
    longest_objective = Duration(0);
    for (const ClassSettings& cls : next.classes) {
      rules.push_back(std::make_shared<const ClassSettings>(cls));
      longest_objective = std::max(longest_objective, cls.latency_objective);
    }
    const Settings before = std::exchange(set, std::move(next));
    load_.Reconfigure(before.classes);
  }

  void Handle(const Event& event, TimePoint at, std::vector<Action>& actions) {
    if (at - now > kStalled) stall_end = at, load_.StoodStill(at);
    now = std::max(now, at);
    out = &actions;
    if (!sweeping_) {
      sweeping_ = true;
      Do(SetTimer{kSweep, Token(kSweepDue, 0)});
      if (set_.discovery_mode == DiscoveryMode::kSubscribe) Do(Subscribe{});
    }
    std::visit([this](const auto& e) { On(e); }, event);
    out = nullptr;
  }

  UpstreamCounts Count(TimePoint at) const { return servers_.Count(at); }

 private:
  // ---- Arrival ----

  void On(const RequestEvent& e) {
    RequestState& r = requests.insert_or_assign(e.id, RequestState{}).first->second;
    r.id = e.id;
    for (std::size_t i = 0; i < set_.classes.size(); ++i) {
      if (set_.classes[i].name == e.class_name) r.cls = static_cast<int>(i), r.rules = rules[i];
    }
    r.most_attempts = set_.max_attempts;
    for (std::size_t i = 0; i < set_.plans.size(); ++i) {
      if (set_.plans[i].name == e.plan) r.plan = static_cast<int>(i);
    }
    r.customer = e.customer;
    r.units = std::max(0.0, e.units);
    marked_ |= r.retry = e.retry;
    r.pin = e.pin;
    if (r.pin) r.key_until = now_ - r.pin->age + Cls(r).key_ttl;
    r.deadline = now_ + e.time_left;
    r.objective_at = now_ + std::min(Cls(r).latency_objective, e.time_left);
    Do(SetTimer{std::max(Duration(0), e.time_left - set_.tick), Token(kEndDue, r.id)});
    retry_budget_ = std::min(kRetryBurst, retry_budget_ + kRetryShare);
    // Sooner the load figures would say the same.
    if (load_.Shed(r)) return Refused(r, FromSeconds(load_.MemoryS()));
    Carry(r, quota_.Begin(r, e));
  }

  void Carry(RequestState& r, const Verdict& verdict) {
    switch (verdict.what) {
      case Verdict::kNone:
        return;
      case Verdict::kSend:
        r.stage = Stage::kReady;
        return Dispatch(r);
      case Verdict::kWait:
        r.stage = Stage::kDelayed;
        return Do(SetTimer{verdict.time - now_, Token(kFreeDue, r.id)});
      case Verdict::kRefuse:
        return Refused(r, verdict.time);
    }
  }

  void On(const CounterEvent& e) {
    RequestState* r = nullptr;
    const Verdict verdict = quota_.Answered(e, r);
    if (r != nullptr) Carry(*r, verdict);
  }

  // ---- Attempts and outcomes ----

  void Dispatch(RequestState& r) {
    if (std::ssize(r.attempts) >= r.most_attempts || now_ >= r.deadline) return Ended(r);
    Servers::Server* s = servers_.Choose(r);
    // Where only cold ones are left the request ends: trying on would push them over.
    if (s == nullptr)
      return servers_.none() ? Do(SetTimer{kNoServerRetry, Token(kRetryDue, r.id)}) : Ended(r);
    Servers::Sent(*s, now_);
    load_.CountOpen(+1);
    quota_.Sent(r);
    r.stage = Stage::kOut;
    r.attempts.push_back(Attempt{s->info.id, now_});
    Do(Send{r.id, s->info.id, r.deadline - now_, RepeatUntil(r) - now_});
    const double silent = kSilentFactor * load_.Usual(r);
    Do(SetTimer{FromSeconds(std::max(silent, Seconds(Cls(r).latency_objective) / 4)),
                Token(kCheckDue, r.id)});
    Do(SetTimer{Cls(r).latency_objective, Token(kLateDue, r.id)});
  }

  bool AnyOpen(const RequestState& r) const {
    return std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.open; });
  }
  // A server that says nothing for long while it holds work is stuck, dead or cut off: what may go elsewhere
  // does.
  void Check(RequestState& r) {
    if (r.stage != Stage::kOut || r.attempts.empty() || !r.attempts.back().open) return;
    const Servers::Server* s = servers_.Find(r.attempts.back().server);
    // In a queue all are late: a second copy would lengthen it, a move would lose its place.
    if (load_.Pressure(Cls(r)) > (set_.hedging_allowed ? kRoomPressure : kPressureAim)) return;
    const bool stuck = s == nullptr || s->heard <= r.attempts.back().sent;
    const bool may = Cls(r).retry_safety != RetrySafety::kNotIdempotent &&
                     (set_.hedging_allowed || set_.can_cancel) && !r.resend;
    if (!stuck || !may || retry_budget_ < 1 || std::ssize(r.attempts) >= r.most_attempts) return;
    retry_budget_ -= 1;
    if (set_.hedging_allowed) return Dispatch(r);
    r.resend = true;
    Do(Cancel{r.id, static_cast<int>(r.attempts.size()) - 1});
  }

  void On(const OutcomeEvent& e) {
    const auto it = requests.find(e.id);
    servers_.Note(e);
    if (it == requests.end()) return;
    RequestState& r = it->second;
    const auto at = static_cast<std::size_t>(std::max(0, e.attempt));
    if (at >= r.attempts.size() || !r.attempts[at].open) return;
    r.attempts[at].open = false;
    r.attempts[at].may_have_run = !(e.outcome == Outcome::kRejected || e.outcome == Outcome::kConnectFailed ||
                                    e.outcome == Outcome::kNotSent);
    load_.StopTiming(r, r.attempts[at], r.attempts[at].may_have_run);
    const bool good = e.outcome == Outcome::kOk;
    if (good && r.cls >= 0) load_.Answered(r.cls, Seconds(e.elapsed), load_.shed() > 0);
    quota_.Back(r, good ? e.true_units : 0);
    if (r.stage == Stage::kDone || good || e.final) return Close(r);
    if (AnyOpen(r)) return;
    const bool asked = std::exchange(r.resend, false);
    // What found no connection cost no server anything: it goes on without drawing on the budget.
    const bool free = asked || e.outcome == Outcome::kConnectFailed;
    if (!free && retry_budget_ < 1) return Ended(r);
    if (!free) retry_budget_ -= 1;
    if (now_ + set_.tick >= r.deadline) return Ended(r);
    r.stage = Stage::kReady;
    Dispatch(r);
  }

  void On(const StreamStartedEvent& e) {
    const auto it = requests.find(e.id);
    if (it != requests.end())
      it->second.stage = Stage::kDone;  // the answer belongs to the client: nothing is owed any more
  }

  // ---- The final answer ----

  bool Harmless(const RequestState& r) const {
    const auto& tries = r.attempts;
    const bool before = r.pin && r.pin->may_have_run;
    const auto ran = [](const Attempt& a) { return a.may_have_run; };
    return (!before && std::none_of(tries.begin(), tries.end(), ran)) ||
           Cls(r).retry_safety == RetrySafety::kIdempotent ||
           (Cls(r).retry_safety == RetrySafety::kIdempotencyKey && Cls(r).scope == KeyScope::kAll);
  }

  // Tells when to come back: not before there may be room, and not all at once. Guards against retry storms.
  // Harm: what was refused by mistake comes back too late.
  void Refused(RequestState& r, Duration retry_after) {
    const double chance = Random();
    retry_after = FromSeconds(Seconds(retry_after) * (1 + kRetrySpread * chance));
    const Duration most = FromSeconds(Seconds(set_.max_retry_after) * (1 - kRetrySpread / 4 * chance));
    if (set_.max_retry_after.count() > 0) retry_after = std::min(retry_after, most);
    if (!set_.retry_after) retry_after = Duration(0);
    Do(Reject{r.id, retry_after});
    Close(r);
  }

  void Ended(RequestState& r) {
    if (r.stage == Stage::kDone) return;
    // A server failed it: others have room, and what holds it up is mostly over within a usual answer's time.
    if (Harmless(r)) return Refused(r, std::max(set_.tick, FromSeconds(load_.Usual(r))));
    Do(Fail{r.id});
    Close(r);
  }

  // The request is over; attempts still out are called off, and kept until they report.
  void Close(RequestState& r) {
    if (r.stage != Stage::kDone) {
      if (r.attempts.empty() && (r.stage == Stage::kDelayed || r.stage == Stage::kReady)) quota_.Unsent(r);
      r.stage = Stage::kDone;
      for (std::size_t i = 0; i < r.attempts.size() && set_.can_cancel; ++i) {
        if (r.attempts[i].open) Do(Cancel{r.id, static_cast<int>(i)});
      }
    }
    if (!AnyOpen(r)) requests.erase(r.id);
  }

  void On(const ClientGoneEvent& e) {
    const auto it = requests.find(e.id);
    if (it != requests.end()) Close(it->second);
  }

  void On(const TimerEvent& e) {
    const auto kind = static_cast<Due>(e.token >> 48);
    if (kind == kSweepDue) return Sweep();
    if (kind == kListDue) return Do(Subscribe{});
    const auto it = requests.find(e.token & ((1ULL << 48) - 1));
    if (it == requests.end()) return;
    RequestState& r = it->second;
    if (kind == kLateDue) {
      for (Attempt& a : r.attempts) {
        if (now_ - a.sent >= Cls(r).latency_objective) load_.StopTiming(r, a, true);
      }
      // In overload what passed its aim makes room, unless clients come again unmarked and double the work.
      if (marked_ && r.stage == Stage::kOut && load_.Pressure(Cls(r)) > kPressureHigh) return Ended(r);
    }
    if (r.stage == Stage::kDone) return;
    if (kind == kEndDue) {
      Ended(r);
    } else if (kind == kAskDue && r.stage == Stage::kAsking) {
      Carry(r, quota_.Late(r));
    } else if (kind == kFreeDue && r.stage == Stage::kDelayed) {
      Carry(r, quota_.Free(r));
    } else if (kind == kCheckDue) {
      Check(r);
    } else if (kind == kRetryDue && r.stage == Stage::kReady) {
      Dispatch(r);
    }
  }

  // ---- Servers and upkeep ----

  void On(const EndpointListEvent& e) {
    const bool lost = e.kind == EndpointListKind::kError && set_.discovery_mode == DiscoveryMode::kSubscribe;
    if (lost) Do(SetTimer{kEjectFirst, Token(kListDue, 0)});
    if (e.servers != nullptr) servers_.Listed(e);
  }

  template <typename Unused>
  void On(const Unused&) {}  // probes and peers: not asked for

  void Sweep() {
    Do(SetTimer{kSweep, Token(kSweepDue, 0)});
    load_.Sweep();
    servers_.Sweep();
    quota_.Sweep();
  }

  Load load_{*this};
  Servers servers_{*this, load_};
  Quota quota_{*this, load_};
  bool sweeping_ = false, marked_ = false;  // marked_: clients are seen to mark their repeats
  double retry_budget_ = kRetryBurst;
};

Controller::Controller(Settings settings, std::uint64_t seed, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;

void Controller::Reconfigure(Settings settings) { impl_->Reconfigure(std::move(settings)); }
Controller::UpstreamCounts Controller::Count(TimePoint now) const { return impl_->Count(now); }
void Controller::Handle(const Event& event, TimePoint now, std::vector<Action>& out) {
  impl_->Handle(event, now, out);
}

}  // namespace postspread
