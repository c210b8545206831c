// Quotas over all gateways: the ask, waiting or refusing by debt, the local slice. See docs/design.md.
#ifndef POSTSPREAD_POLICY_QUOTA_H_
#define POSTSPREAD_POLICY_QUOTA_H_

#include <deque>
#include <map>

#include "policy/load.h"
#include "statistics/periods.h"

namespace postspread::policy {

constexpr double kAskShareOfAim = 0.1;  // of the aim: the longest that an ask may delay a request
constexpr int kAskFailures = 4;         // failed asks in a row after which the counter counts as down
constexpr double kAskCut = 0.7;         // factor of the share of requests that ask, when an ask fails ...
constexpr double kAskRise = 1.05;       // ... and when one is answered: settles where 1 in 8 fails
constexpr double kAskSlow = 0.33;  // of the longest that an ask may take: an answer so late tells of a queue
constexpr double kWindowMost = 32, kWindowCut = 0.7;  // calls out at once; factor at such an answer
constexpr double kAskLeast = 0.1;  // of that share: what still asks when all fail, to see the counter return
constexpr double kDemandS = 30;    // s: how long a customer's demand is remembered; heavy ones stay so
constexpr Duration kCheckBack{300'000};  // us between two asks that look whether the counter is back
constexpr double kBookLeast = 0.25;      // of a burst: what is owed that is worth a call of its own
constexpr double kWaitShare = 0.4;  // of the aim's time left: room for a slow answer, not just a usual one
constexpr double kRepeatReserve = 0.35;  // of the burst: a repeat leaves it to first tries, still in time
constexpr double kEaseShed = 2;          // of the share shed: where pressure lasts, the unasked go first
constexpr double kChanceRetry = 0.1;     // of the aim: when one refused by chance may come, still in time
constexpr double kRoomPressure = 0.1;    // of that slack: below, what is beyond a quota may use the room
constexpr double kInsideFirst = 0.7, kInsideRepeat = 0.3;  // share that finds room, before it is learnt
constexpr Duration kMaxCountLife{60'000'000};              // us: the longest life that a count may be given

class Quota : private Part {
 public:
  Quota(Core& core, Load& load) : Part(core), load_(load) {}

  // A request has come in: asks the counter, or decides without it.
  Verdict Begin(RequestState& r, const RequestEvent& e) {
    Customer& c = customers_[r.customer];
    if (c.plan != r.plan || c.used.count() == 0) {
      c = Customer{.plan = r.plan, .phase = HashText(r.customer), .deficit_at = now_, .ceiling = {0, now_}};
    }
    c.spread = std::clamp(e.spread, 1, std::max(1, set_.group_size));
    c.used = now_;
    if (e.demand >= 0) c.demand = e.demand;
    if (Plan(r.plan).rate <= 0) return Send(r, c);
    if ((e.retry || ask_share_ < 1 || window_ < kWindowMost) && KnownFull(r, c))
      return Reject(FromSeconds((c.deficit + r.units - Plan(c.plan).burst) / Plan(c.plan).rate));
    if (!set_.has_counter || !MayAsk(Plan(r.plan).ceiling_rate > 0)) return DecideLocally(r, c, false);
    Ask(r, c);
    return {};
  }

  // The counter has answered; what that decides on the request that `r` is set to.
  Verdict Answered(const CounterEvent& e, RequestState*& r) {
    const auto found = calls_.find(e.name);
    if (found == calls_.end()) return {};
    const Call call = found->second.front();
    const bool ok = e.result == CounterResult::kOk;
    // Of too many asks speak only those turned away or out of time: what a lost connection or a spoilt answer
    // fails at once says nothing of the counter's load. What was asked before the last cut tells of the same
    // crowd: cut for each of them, the share fell to its least at every crowd, and stayed there for seconds.
    const bool crowded =
        e.result == CounterResult::kRefused ||
        (e.result == CounterResult::kTimeout && e.elapsed + set_.tick >= set_.counter_timeout);
    const bool cut = crowded && call.asked >= cut_at_;
    if (cut) cut_at_ = now_;
    if (ok || cut) ask_share_ = std::clamp(ask_share_ * (ok ? kAskRise : kAskCut), kAskLeast, 1.0);
    // As many calls may be out as come back in good time. A share alone is steered by what is long past: a
    // counter slower than its calls fails all of them, counts as down, and is crowded again as soon as it is
    // asked again.
    const Duration limit =
        std::min(set_.counter_timeout, FromSeconds(Seconds(longest_objective_) * kAskShareOfAim));
    const bool slow = crowded || (ok && Seconds(e.elapsed) > kAskSlow * Seconds(limit));
    --calls_out_;
    if (slow && call.asked >= narrowed_at_) {
      window_ = std::max(1.0, window_ * kWindowCut);
      narrowed_at_ = now_;
    } else if (ok && !slow) {
      window_ = std::min(kWindowMost, window_ + 1 / window_);
    }
    found->second.pop_front();
    if (found->second.empty()) calls_.erase(found);
    Customer* c = FindCustomer(call.customer);
    const auto it = requests_.find(call.request);
    r = it == requests_.end() || it->second.stage == Stage::kDone ? nullptr : &it->second;
    if (!ok) return AskFailed(call, c, r, e.result);
    if (ask_failures_ < kAskFailures || call.asked > down_since_) {  // old replies do not end an outage
      if (ask_failures_ >= kAskFailures) Do(Log{"counter: answers again"});
      ask_failures_ = 0;
    }
    if (c == nullptr) return {};
    c->sliced = false;
    Observe(*c, call, e.total);
    if (call.kind == CallKind::kAsk) {
      if (ask_share_ < 1) Do(ObservedUsage{call.customer, c->demand});
      if (r != nullptr && r->stage == Stage::kAsking) return Decide(*r, *c, e.total, call.listed);
      // Decided meanwhile without the count: what was sent is counted already, what was not is taken back.
      const double units = call.amount - call.known;
      if (r == nullptr || r->grant != Grant::kLocal) {
        Owe(*c, -units);
      } else {
        c->deficit = std::max(0.0, c->deficit - units);
      }
    } else if (call.kind == CallKind::kDebt) {
      if (r != nullptr && r->stage == Stage::kAsking) return Debt(*r, *c, call, e.total);
      NoteAhead(*c, call, e.total);
      // Let in meanwhile it stands in the deficit already; ended, it goes the way of a refused debt.
      r != nullptr ? void(c->deficit = std::max(0.0, c->deficit - call.amount))
                   : void(c->refused += call.amount);
    }
    return {};
  }

  // An ask has taken too long.
  Verdict Late(RequestState& r) {
    Customer* c = FindCustomer(r.customer);
    return c == nullptr ? Verdict{} : DecideLocally(r, *c, true);
  }

  // A request that was to wait may go now.
  Verdict Free(RequestState& r) {
    Customer* c = FindCustomer(r.customer);
    return c == nullptr ? Verdict{} : Send(r, *c);
  }

  // An attempt goes out, or is over; `true_units` is above 0 where its answer tells them.
  void Sent(const RequestState& r) {
    if (Customer* c = FindCustomer(r.customer)) ++c->open;
  }
  void Back(RequestState& r, double true_units) {
    Customer* c = FindCustomer(r.customer);
    if (c == nullptr) return;
    c->open = std::max(0, c->open - 1);
    if (true_units <= 0 || r.grant == Grant::kExcess || r.grant == Grant::kNone) return;
    Owe(*c, true_units - r.units);
    r.grant = Grant::kNone;  // settled: a second copy's answer, or a late one, tells the same again
  }

  // It ends before any attempt: what it was counted for is taken back from the period it was counted in.
  void Unsent(const RequestState& r) {
    Customer* c = r.grant == Grant::kCounted ? FindCustomer(r.customer) : nullptr;
    if (c == nullptr) return;
    const bool ahead = c->ahead == r.moved_to && r.moved_to > Times(*c).At(now_);
    ahead ? void(c->refused += r.units) : Owe(*c, -r.units);
  }

  void Sweep() {
    for (auto it = customers_.begin(); it != customers_.end();) {
      Customer& c = it->second;
      const PlanSettings& p = Plan(c.plan);
      const Duration refill = p.rate > 0 ? Times(c).length() : Duration(0);
      // What is owed rides on the next ask, or has a call of its own; of thin customers only if it makes
      // room.
      const bool room =
          p.rate > 0 && (!Thin(c) || (c.period == Times(c).At(now_) && c.seen + c.settle < p.burst));
      const double least = Thin(c) || c.unasked ? 1 : std::max(1.0, p.burst * kBookLeast);
      if (std::abs(c.settle) >= least && room && set_.has_counter && now_ - c.settle_since > refill / 4 &&
          ask_share_ >= 1) {
        const double owed = std::exchange(c.settle, 0.0);
        c.unasked = false;
        Add(CallKind::kBook, 0, c, it->first, Times(c).At(now_), owed, owed);
      }
      if (c.settle > 0 && now_ - c.settle_since > refill) c.settle = std::min(c.settle, Refill(c));
      if (c.sliced && now_ - c.used > refill) c.sliced = false;
      const bool idle = c.open == 0 && now_ - c.used > 2 * refill + FromSeconds(kDemandS);
      it = idle ? customers_.erase(it) : std::next(it);
    }
  }

 private:
  struct Customer {
    int plan = -1;
    int spread = 1;
    std::uint64_t phase = 0;  // shifts this customer's period edges, so that edges do not coincide
    double deficit = 0.0;     // units missing from a full store, all gateways, as far as seen
    TimePoint deficit_at{0};
    std::int64_t period = -1;  // of `seen` and `own`
    double seen = 0.0;         // the count's last total
    double own = 0.0;          // what this gateway added to that count
    double settle = 0.0;       // units to ride on the next ask
    std::int64_t ahead = -1;   // a later period that debts were moved to: ...
    double ahead_total = 0.0;  // ... the last total of its count, ...
    double refused = 0.0;      // ... and what of it is to be taken back, once it has begun
    bool unasked = false;      // some of it was let in without an ask
    TimePoint settle_since{0};
    double inside = 1.0;  // share of its asks that found room: totals lack what was taken back
    double demand = 0.0;  // asked, over the rate, by the last total or as others tell
    bool sliced = false;  // the local slice stands in for the counter
    Bucket slice{};
    Bucket ceiling{};  // this gateway's even slice of the ceiling; empty after a start
    int open = 0;      // attempts out
    TimePoint used{0};
  };

  enum class CallKind { kAsk, kDebt, kBook };
  struct Call {
    CallKind kind;
    RequestId request;
    std::string customer;
    std::int64_t period;
    double amount;
    double known;  // part of the amount that the deficit holds already
    TimePoint asked;
    bool listed;  // the customer was known to ask for more than its rate
  };

  // A client's repeat, and while asks fail or come slowly any request, of a customer whose last total,
  // refilled since, leaves no room within the max wait is refused without an ask. Guards the counter against
  // floods and retry storms. Harm: take-backs of others are learnt late.
  bool KnownFull(const RequestState& r, Customer& c) {
    Refill(c);
    const PlanSettings& p = Plan(c.plan);
    const double over = c.deficit + r.units - p.burst;
    return over > 0 && p.over_quota_weight <= p.over_quota_cost && FromSeconds(over / p.rate) > WaitLeft(r);
  }

  // ---- The ask ----

  Periods Times(const Customer& c) const {
    const PlanSettings& p = Plan(c.plan);
    return {std::clamp(FromSeconds(p.burst / p.rate), Duration(1'000), kMaxCountLife / 2), c.phase};
  }

  void Add(CallKind kind, RequestId request, Customer& c, const std::string& customer, std::int64_t period,
           double amount, double known = 0) {
    const std::string name = customer + ":" + std::to_string(c.plan) + ":" + std::to_string(period);
    const Duration length = Times(c).length();
    const Duration life = std::min(kMaxCountLife, Times(c).Start(period) + 2 * length - now_);
    calls_[name].push_back(Call{kind, request, customer, period, amount, known, now_, c.demand > 1});
    ++calls_out_;
    Do(CounterAdd{name, amount, std::max(life, length)});
  }

  void Ask(RequestState& r, Customer& c) {
    // Of thin customers it stands for those that do not ask; of others what was let in unasked rides along.
    r.weight = Plan(r.plan).ceiling_rate > 0 || !Thin(c) ? 1 : 1 / ask_share_;
    if (Thin(c) && c.settle < 0 && c.period != Times(c).At(now_)) c.settle = 0;
    c.unasked = false;
    const double owed = std::exchange(c.settle, 0.0);  // rides along; of thin ones only within its period
    // What a refused debt put into a later count is taken back from that count. Guards against a deficit that
    // is too low up to the period's edge and too high from there on: a burst beyond the quota, then seconds
    // of refusals.
    const std::int64_t period = Times(c).At(now_);
    const double back = c.ahead > period ? 0.0 : std::exchange(c.refused, 0.0);
    const double units = r.units * r.weight - (c.ahead == period ? back : 0.0);
    Add(CallKind::kAsk, r.id, c, r.customer, period, units + owed, owed);
    Do(SetTimer{FromSeconds(Seconds(longest_objective_) * kAskShareOfAim), Token(kAskDue, r.id)});
  }

  // After repeated failures asks stop, but for one now and then that looks whether the counter is back. Where
  // some fail, fewer ask, but under a ceiling: hundreds of gateways find the share that the counter can take.
  bool MayAsk(bool always) {
    if ((!always && (Random() >= ask_share_ || calls_out_ >= window_)) ||
        (ask_failures_ >= kAskFailures && now_ < next_check_))
      return false;
    next_check_ = now_ + kCheckBack;
    return true;
  }

  Verdict AskFailed(const Call& call, Customer* c, RequestState* r, CounterResult why) {
    if (std::exchange(failed_at_, now_) != now_ && ++ask_failures_ == kAskFailures) {
      down_since_ = now_;
      next_check_ = now_ + kCheckBack;
      Do(Log{"counter: no answer, on local slices"});
    }
    // What rode along and surely was not added is still owed; what may have been added is taken as added.
    if (c != nullptr && why != CounterResult::kTimeout) {
      c->settle += call.kind == CallKind::kBook ? call.amount : call.known;
    }
    if (r == nullptr || c == nullptr || r->stage != Stage::kAsking || call.kind == CallKind::kBook) return {};
    return DecideLocally(*r, *c, why == CounterResult::kTimeout);
  }

  void Owe(Customer& c, double units, bool unasked = false) {
    c.unasked |= unasked;
    if (c.settle == 0) c.settle_since = now_;
    c.settle += units;
    c.deficit = std::max(0.0, Refill(c) + units);
  }

  Customer* FindCustomer(const std::string& name) {
    const auto it = customers_.find(name);
    return it == customers_.end() ? nullptr : &it->second;
  }

  double Refill(Customer& c) {
    const double refill = Plan(c.plan).rate * Seconds(std::max(Duration(0), now_ - c.deficit_at));
    c.deficit = std::max(0.0, c.deficit - refill);
    c.deficit_at = std::max(c.deficit_at, now_);
    return c.deficit;
  }

  // Carries the store's deficit from total to total, across period edges: a total tells what all gateways
  // added since the last one; it is taken as added just now.
  void Observe(Customer& c, const Call& call, double total) {
    if (call.period > c.period && Times(c).Start(call.period) > now_) return;  // a debt: counts then
    Refill(c);
    if (call.period > c.period) {
      c.period = call.period;
      c.seen = c.own = 0;
    }
    double added = total - c.seen;
    if (call.period < c.period) {  // a straggler of the last period
      added = call.amount;
    } else if (total + 1e-6 < c.own + call.amount && c.own > 0) {
      // A total that lacks what this gateway put in was emptied: its own part is put back, once.
      Add(CallKind::kBook, 0, c, call.customer, call.period, c.own, c.own);
      added = c.own = call.amount;
      c.seen = total;
    } else {
      c.own += call.amount;
      c.seen = total;
      // Early in a period a total tells of little: it may raise the demand, and does not lower it.
      const Duration half = Times(c).length() / 2, lasted = now_ - Times(c).Start(c.period);
      const double demand = total / Plan(c.plan).rate / Seconds(std::max(half, lasted));
      c.demand = lasted < half ? std::max(c.demand, demand) : demand;
    }
    c.deficit = std::max(0.0, c.deficit + added - call.known);
  }

  Verdict Decide(RequestState& r, Customer& c, double total, bool listed) {
    const PlanSettings& p = Plan(c.plan);
    // A repeat leaves a reserve to first tries and does not wait: it is answered late and earns little.
    // Guards against retry storms. Harm: a repeat after a fault of ours, the aim still ahead, is refused near
    // the quota.
    const double extra = r.units * (r.weight - 1);
    const bool room = c.deficit - extra <= p.burst * (r.retry ? 1 - kRepeatReserve : 1);
    c.inside += ((room ? 1.0 : 0.0) - c.inside) * kFewShare;
    if (!listed) inside_[r.retry] += ((room ? 1.0 : 0.0) - inside_[r.retry]) * kFewShare;
    const bool covered = p.ceiling_rate <= 0 || total <= p.burst || DrawCeiling(c, r.units);
    if (room && covered) {
      r.grant = Grant::kCounted;
      return Send(r, c);
    }
    if (ExcessPays(r, c)) {
      Owe(c, -r.units - extra);
      r.grant = Grant::kExcess;
      return Send(r, c);
    }
    const Duration wait = FromSeconds(std::max(0.0, c.deficit - extra - p.burst) / p.rate);
    const std::int64_t period = Times(c).At(now_ + wait);
    const bool waits = !r.retry && wait <= WaitLeft(r) && covered;
    r.grant = Grant::kCounted;
    if (waits && period == Times(c).At(now_)) return Wait(now_ + wait);
    // The room comes in a later period: the units move there, and its count starts in debt.
    Owe(c, -r.units - extra);
    // Where others have filled that count already, no call is made to hear so.
    const double there = c.ahead == period ? c.ahead_total - c.refused : 0.0;
    if (!waits || DebtWait(c, period, there + r.units) > WaitLeft(r))
      return Reject(std::max(wait, set_.tick));
    Add(CallKind::kDebt, r.id, c, r.customer, period, r.units);
    return {};
  }

  // How long a request waits whose units are the last of `total` in a later period's count.
  Duration DebtWait(const Customer& c, std::int64_t period, double total) const {
    const PlanSettings& p = Plan(c.plan);
    const Duration until = std::max(Duration(0), Times(c).Start(period) - now_);
    const double carry = std::max(0.0, c.deficit - p.rate * Seconds(until));
    return until + FromSeconds(std::max(0.0, carry + total - p.burst) / p.rate);
  }

  void NoteAhead(Customer& c, const Call& call, double total) {
    if (c.ahead != call.period) c.refused = 0;
    c.ahead = call.period;
    c.ahead_total = total;
  }

  Verdict Debt(RequestState& r, Customer& c, const Call& call, double total) {
    const Duration wait = DebtWait(c, call.period, total);
    NoteAhead(c, call, total);
    if (wait <= WaitLeft(r) && total <= Plan(c.plan).burst)
      return r.moved_to = call.period, Wait(now_ + wait);
    c.refused += call.amount;
    return Reject(std::max(wait, set_.tick));
  }

  bool Thin(const Customer& c) const { return Plan(c.plan).burst < set_.max_units * c.spread; }

  // How long a request can still wait and be served within its aim.
  Duration WaitLeft(const RequestState& r) {
    const double left =
        Seconds(std::min(r.objective_at, r.deadline) - now_) * kWaitShare - 1.5 * load_.Usual(r);
    return r.retry ? Duration(0) : FromSeconds(left);
  }

  // Sending beyond the quota pays while servers have room: it earns more than it costs.
  bool ExcessPays(const RequestState& r, Customer& c) {
    const PlanSettings& p = Plan(c.plan);
    if (r.retry || p.over_quota_weight <= p.over_quota_cost || load_.Pressure(Cls(r)) > kRoomPressure)
      return false;
    return p.ceiling_rate <= 0 || DrawCeiling(c, r.units);
  }

  // This gateway's even slice of what the ceiling leaves beside the counted quota; see docs/design.md.
  bool DrawCeiling(Customer& c, double units) {
    const PlanSettings& p = Plan(c.plan);
    const double burst = std::max(0.0, p.ceiling_burst + p.ceiling_slack - 2 * p.burst) / c.spread;
    c.ceiling.Fill(now_, std::max(0.0, p.ceiling_rate - p.rate) / c.spread, burst);
    if (c.ceiling.level < units) return false;
    c.ceiling.level -= units;
    return true;
  }

  Verdict DecideLocally(RequestState& r, Customer& c, bool counted) {  // counted: by an ask that is out
    const PlanSettings& p = Plan(c.plan);
    // Where an even slice of the burst is less than a request, slices would let nothing in. A request is then
    // let in with the chance that its customer's demand leaves it, by the last total or as others tell: on
    // average the quota, however unevenly it comes. Of who is not known to ask for more, that is the share of
    // such asks that found room. Harm: a new flood passes until it is counted.
    const bool thin = Thin(c) && p.ceiling_rate <= 0;
    Refill(c);
    if (!c.sliced) c.slice = Bucket{std::max(0.0, p.burst - c.deficit) / c.spread, now_};
    c.sliced = true;
    c.slice.Fill(now_, p.rate / c.spread, std::max(p.burst / c.spread, set_.max_units));
    const double chance = c.demand > 0 ? std::min(c.inside, 1 / c.demand) : inside_[r.retry];
    // Under pressure what was not asked for goes first, before all are shed alike: it alone may be beyond a
    // quota. Guards against hundreds of gateways that fill a fleet beyond quotas until it serves nobody.
    // Harm: where answers are lost pressure tells of no queue, and room is left unused.
    const double ease =
        std::clamp(2 - load_.Pressure(Cls(r)) / kPressureAim - kEaseShed * load_.shed(), 0.0, 1.0);
    const bool now = thin ? Random() < chance * ease : c.slice.level >= r.units;
    const Duration wait = thin ? FromSeconds(kChanceRetry * Seconds(Cls(r).latency_objective))
                               : FromSeconds((r.units - c.slice.level) / (p.rate / c.spread));
    const bool later = !thin && p.ceiling_rate <= 0 && wait <= WaitLeft(r);
    if (later || (now && (p.ceiling_rate <= 0 || DrawCeiling(c, r.units)))) {
      c.slice.level -= r.units;
      counted || thin || ask_failures_ >= kAskFailures ? void(c.deficit += r.units) : Owe(c, r.units, true);
      r.grant = Grant::kLocal;
      return now ? Send(r, c) : Wait(now_ + wait);
    }
    if (!ExcessPays(r, c)) return Reject(wait);
    r.grant = Grant::kExcess;
    return Send(r, c);
  }

  // Cleared by the quota; a cap on attempts open at once is kept by an even slice of it.
  Verdict Send(const RequestState& r, const Customer& c) const {
    const double most = Plan(c.plan).max_concurrent;
    if (most > 0 && c.open >= std::max(1.0, std::floor(most / c.spread))) {
      return Reject(FromSeconds(load_.Usual(r)));
    }
    return {Verdict::kSend};
  }
  static Verdict Wait(TimePoint until) { return {Verdict::kWait, until}; }
  static Verdict Reject(Duration retry_after) { return {Verdict::kRefuse, retry_after}; }

  Load& load_;
  std::map<std::string, Customer> customers_;
  std::unordered_map<std::string, std::deque<Call>> calls_;
  TimePoint next_check_{0}, down_since_{0};
  TimePoint failed_at_{-1}, cut_at_{0};  // the last failed ask, and the last cut of the share that asks
  TimePoint narrowed_at_{0};             // when the window was last cut
  int calls_out_ = 0;
  double window_ = kWindowMost;  // how many calls may be out
  int ask_failures_ = 0;
  double ask_share_ = 1.0;                            // share of the requests that ask
  double inside_[2] = {kInsideFirst, kInsideRepeat};  // share of asks of the rest that find room
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_QUOTA_H_
