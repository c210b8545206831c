// All decisions of a postspread gateway, in the order of a request's life. Types, events and actions:
// include/postspread/control.h. Why: docs/design.md; here each defence says what it guards against, and its
// harm.
#include "postspread/control.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <unordered_map>
#include <utility>

namespace postspread {
namespace {

constexpr double kAskShareOfAim = 0.1;  // of the aim: the longest that an ask may delay a request
constexpr int kAskFailures = 4;         // failed asks in a row after which the counter counts as down
constexpr double kAskCut = 0.7;         // factor of the share of requests that ask, when an ask fails ...
constexpr double kAskRise = 1.05;       // ... and when one is answered: settles where 1 in 8 fails
constexpr double kAskLeast = 0.1;  // of that share: what still asks when all fail, to see the counter return
constexpr double kDemandS = 30;    // s: how long a customer's demand is remembered; heavy ones stay so
constexpr Duration kCheckBack{300'000};  // us between two asks that look whether the counter is back
constexpr Duration kSweep{100'000};      // us between upkeep rounds: well under any period or aim
constexpr double kWaitShare = 0.8;       // of the aim's time left: a delayed request keeps room to be served
constexpr double kSmoothS = 0.3;  // s: least memory of load figures; some service times, so one burst shows
constexpr double kTrafficS = 7;   // s: memory of the mix of traffic, and the longest of load figures
constexpr double kEvidence = 10;  // answers that the memory of load figures holds: their mean is 1/3 off
constexpr Duration kStalled{250'000};    // us without any event, timers included: this gateway stood still
constexpr double kRepeatReserve = 0.35;  // of the burst: a repeat leaves it to first tries, still in time
constexpr double kLatencyShare = 0.03;   // weight of one answer in the usual latency: some tens of answers
constexpr double kServerSamples = 8;     // answers a server's latency is averaged over
constexpr double kPressureAim = 0.25;    // of the slack between plain service and aim: service may take it
constexpr double kTilt = 2;              // how much more is shed of what is worth less than the mean
constexpr double kShedGain = 0.1;        // of the excess pressure, a sweep: a second to answer a surge
constexpr double kEaseShed = 2;          // of the share shed: where pressure lasts, the unasked go first
constexpr double kEaseOff = 0.1;         // of the share shed, a sweep: a second to let it go ...
constexpr double kRoomReported = 0.75;   // ... where servers report less use than this on average
constexpr double kShedNow = 2;           // of the pressure past the high mark: shed at once
constexpr double kPressureHigh = 0.6;    // of that slack: above, more is shed at once, not by the gain
constexpr double kBaseAnswers = 5;       // requests in memory: fewer tell nothing of service
constexpr double kBaseDown = 0.1;        // a sweep: plain service follows a lull within a second
constexpr double kBaseUp = 0.0005;       // a sweep: and is forgotten over minutes
constexpr double kPlainDown = 0.1;       // weight of one answer in a class's plain time if it is faster ...
constexpr double kPlainUp = 0.01;        // ... or slower: settles where about a tenth are faster
constexpr double kLengthMost = 4;        // how much longer or shorter than the mean a class may count
constexpr double kBaseMost = 0.2;        // of the longest aim: what takes longer was learnt in a queue
constexpr double kChanceRetry = 0.1;     // of the aim: when one refused by chance may come, still in time
constexpr double kRetrySpread = 1;       // of a retry-after: clients refused together do not return in step
constexpr double kRoomPressure = 0.1;    // of that slack: below, what is beyond a quota may use the room
constexpr double kJitter = 0.3;  // of a server's cost: chance in the choice, so that gateways do not herd
constexpr int kCandidates = 12;  // servers compared for a request: more adds CPU and herds, not balance
constexpr double kGolden = 0.6180339887;  // multiples of it, modulo 1, lie evenly however many there are
constexpr double kUnanswered = 0.5;  // of the longest aim: a called-off attempt this old speaks of its server
constexpr double kFewShare = 0.1;    // weight of one answer in what must follow within seconds of few answers
constexpr double kInsideFirst = 0.7, kInsideRepeat = 0.3;  // share that finds room, before it is learnt
constexpr double kCrossing = 25;  // of the crossing price: how much dearer another zone is (0.02: 1.5 times)
constexpr double kRetryShare = 0.15;        // further attempts for each request, on average
constexpr double kRetryBurst = 10;          // further attempts that may come at once
constexpr double kEjectAfter = 3;           // failures in a row that take a server out
constexpr Duration kEjectFirst{1'000'000};  // us out after the first ejection, doubled each time
constexpr Duration kEjectMost{8'000'000};   // us out at most
constexpr double kSilentFactor = 3;  // times the usual latency without a word: a server counts as stuck
constexpr Duration kNoServerRetry{20'000};     // us until a request that found no server looks again
constexpr Duration kMaxCountLife{60'000'000};  // us: the longest life that a count may be given
constexpr double kReportLifeS = 1.0;           // s after which a load report says nothing any more
constexpr double kLatencyLifeS = 2.0;  // s after which a server's own latency says nothing any more, or ...
constexpr double kLatencyLife = 2.0;   // ... so many of the usual spans between two answers of one server

double Seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

Duration FromSeconds(double s) { return Duration(static_cast<std::int64_t>(std::clamp(s, 0.0, 1e6) * 1e6)); }

std::uint64_t Mix(std::uint64_t x) {  // splitmix64: a small, portable source of random bits
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

std::uint64_t HashText(const std::string& text) {
  std::uint64_t h = 0;
  for (const char c : text) h = Mix(h ^ static_cast<unsigned char>(c));
  return h;
}

// An average that forgets exponentially with time.
struct Fading {
  double sum = 0.0;
  TimePoint at{0};
  void Decay(TimePoint now, double memory_s) {
    if (now > at) sum *= std::exp(-Seconds(now - at) / memory_s);
    at = std::max(at, now);
  }
  void Add(TimePoint now, double x, double memory_s) {
    Decay(now, memory_s);
    sum += x;
  }
};

// A store of units that fills at a rate up to a burst.
struct Bucket {
  double level = 0.0;
  TimePoint at{0};
  void Fill(TimePoint now, double rate, double burst) {
    level = std::min(burst, level + rate * Seconds(std::max(Duration(0), now - at)));
    at = std::max(at, now);
  }
};

enum Due { kSweepDue = 1, kEndDue, kAskDue, kFreeDue, kCheckDue, kRetryDue, kLateDue, kListDue };
std::uint64_t Token(Due kind, RequestId id) { return static_cast<std::uint64_t>(kind) << 48 | id; }

}  // namespace

class Controller::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed, TimePoint now) : random_(Mix(seed)), now_(now), start_(now) {
    Reconfigure(std::move(settings));
  }

  void Reconfigure(Settings next) {
    const std::size_t classes = next.classes.size(), plans = next.plans.size();
    traffic_.resize(classes * plans);
    class_latency_.resize(classes);
    class_plain_.resize(classes);
    rules_.clear();
    max_aim_ = Duration(0);
    for (std::size_t i = 0; i < classes; ++i) {
      rules_.push_back(std::make_shared<const ClassSettings>(next.classes[i]));
      max_aim_ = std::max(max_aim_, rules_[i]->aim);
      if (i < set_.classes.size() && set_.classes[i].name == rules_[i]->name) continue;
      class_latency_[i] = class_plain_[i] = 0;
      std::fill_n(traffic_.begin() + static_cast<std::ptrdiff_t>(i * plans), plans, Fading{});
    }
    set_ = std::move(next);
  }

  void Handle(const Event& event, TimePoint now, std::vector<Action>& actions) {
    // A gateway that stood still learns nothing of servers from what it finds afterwards.
    if (now - now_ > kStalled) stall_end_ = open_at_ = now;
    now_ = std::max(now_, now);
    out_ = &actions;
    if (!sweeping_) {
      sweeping_ = true;
      Do(SetTimer{kSweep, Token(kSweepDue, 0)});
      if (set_.roster_mode == RosterMode::kSubscribe) Do(Subscribe{});
    }
    std::visit([this](const auto& e) { On(e); }, event);
    out_ = nullptr;
  }

  Roll Count(TimePoint now) const {
    Roll out;
    for (const auto& [id, s] : servers_) {
      out.listed += s.listed;
      out.avoided += s.listed && (s.info.state != ServerState::kUp || now < s.ejected_until);
    }
    return out;
  }

 private:
  struct Attempt {
    std::string server;
    TimePoint sent{0};
    bool open = true, may_have_run = true;
    bool timed = true;  // still in busy_: open, and its aim not passed
  };

  enum class Stage { kAsking, kDelayed, kReady, kOut, kDone };
  enum class Grant { kNone, kCounted, kLocal, kExcess };

  struct Request {
    RequestId id = 0;
    int cls = -1, plan = -1, most_attempts = 1;  // of the settings as they were when it came; -1: not there
    std::shared_ptr<const ClassSettings> rules;
    std::string customer;
    double units = 1.0, weight = 1.0;
    TimePoint deadline{0}, aim_at{0};
    Stage stage = Stage::kAsking;
    Grant grant = Grant::kNone;
    bool retry = false;   // a client's repeat: part of its aim is gone
    bool resend = false;  // the open attempt is being cancelled so that another can go out
    std::optional<KeyPin> pin;
    TimePoint key_until{0};  // with a pin by an earlier request that may have run
    std::vector<Attempt> attempts;
  };

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

  struct Server {
    ServerInfo info{};
    bool listed = true;
    int open = 0;
    double latency = 0.0, samples = 0.0;  // s, averaged over answers
    TimePoint sampled{0};                 // the last of them
    TimePoint heard{0};
    TimePoint oldest{0};         // sending of the first attempt since the last answer
    double reported_held = 0.0;  // by the last load report ...
    bool reports_all = false;    // ... own ones included
    TimePoint reported{0};
    int failures = 0, ejections = 0;
    TimePoint ejected_until{0};
    TimePoint back_since{0};  // return from an ejection: ramps up like a cold start
  };

  struct Zone {
    double latency = 0.0;  // s, of late; failures count as the aim
    TimePoint sampled{0};
  };

  void Do(Action action) { out_->push_back(std::move(action)); }

  double Random() {
    random_ = Mix(random_);
    return static_cast<double>(random_ >> 11) * 0x1p-53;
  }

  const ClassSettings& Cls(const Request& r) const {
    static const ClassSettings kUnknown{"", kEjectFirst, kEjectFirst, Repeat::kUnsafe};
    return r.rules == nullptr ? kUnknown : *r.rules;
  }
  const PlanSettings& Plan(int plan) const {
    static const PlanSettings kUnknown;
    return plan < 0 ? kUnknown : set_.plans[static_cast<std::size_t>(plan)];
  }

  // ---- Arrival and overload ----

  void On(const RequestEvent& e) {
    Request& r = requests_.insert_or_assign(e.id, Request{}).first->second;
    r.id = e.id;
    for (std::size_t i = 0; i < set_.classes.size(); ++i) {
      if (set_.classes[i].name == e.class_name) r.cls = static_cast<int>(i), r.rules = rules_[i];
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
    r.aim_at = now_ + std::min(Cls(r).aim, e.time_left);
    Do(SetTimer{std::max(Duration(0), e.time_left - set_.tick), Token(kEndDue, r.id)});
    retry_budget_ = std::min(kRetryBurst, retry_budget_ + kRetryShare);
    if (Shed(r)) return Refused(r, FromSeconds(MemoryS()));  // sooner the load figures would say the same

    Customer& c = customers_[r.customer];
    if (c.plan != r.plan || c.used.count() == 0) {
      c = Customer{.plan = r.plan, .phase = HashText(r.customer), .deficit_at = now_, .ceiling = {0, now_}};
    }
    c.spread = std::clamp(e.spread, 1, std::max(1, set_.group_size));
    c.used = now_;
    if (e.demand >= 0) c.demand = e.demand;
    if (Plan(r.plan).rate <= 0) return Open(r, c);
    if ((e.retry || ask_share_ < 1) && KnownFull(r, c))
      return Refused(r, FromSeconds((c.deficit + r.units - Plan(c.plan).burst) / Plan(c.plan).rate));
    if (!set_.has_counter || !MayAsk(Plan(r.plan).ceiling_rate > 0)) return DecideLocally(r, c, false);
    Ask(r, c);
  }

  // A client's repeat, and while asks fail any request, of a customer whose last total, refilled since,
  // leaves no room within the max wait is refused without an ask. Guards the counter against floods and retry
  // storms. Harm: take-backs of others are learnt late.
  bool KnownFull(const Request& r, Customer& c) {
    Refill(c);
    const PlanSettings& p = Plan(c.plan);
    const double over = c.deficit + r.units - p.burst;
    return over > 0 && p.excess_worth <= p.excess_cost && FromSeconds(over / p.rate) > WaitLeft(r);
  }

  std::size_t Slot(const Request& r) const { return r.cls * set_.plans.size() + r.plan; }

  // The memory of load figures follows the evidence: a gateway that sees few answers remembers them longer,
  // else its mean would be chance and would shed while servers idle. Harm: it answers a surge later.
  double MemoryS() {
    rate_.Decay(now_, kTrafficS);
    return std::clamp(kEvidence * std::min(kTrafficS, Seconds(now_ - start_)) / std::max(1e-3, rate_.sum),
                      kSmoothS, kTrafficS);
  }

  // The share of its aim that a request now spends in service, by Little's law: attempts out over answers a
  // second. An attempt counts until its aim at most, so that answers that never come do not look like queues.
  double Pressure(const ClassSettings& cls) {
    CountOpen(0);
    const double latency = busy_.sum / std::max(answered_.sum, 0.5);
    const double sure = std::min(1.0, (answered_.sum + open_) / kBaseAnswers);
    return sure * (latency - base_latency_) / std::max(0.001, Seconds(cls.aim) - base_latency_);
  }

  // Guards against queues longer than the aim: sheds what keeps service within it, most of what is worth
  // least by work. Harm: a stall of a few servers sheds briefly though others idle.
  bool Shed(const Request& r) {
    if (r.cls < 0 || r.plan < 0) return false;
    traffic_[Slot(r)].Add(now_, r.units, kTrafficS);
    // Where evidence is slow to come and so the gain low, what passes the aim is shed in proportion at once.
    const double high = kPressureAim + (kPressureHigh - kPressureAim) * kSmoothS / MemoryS();
    const double share = shed_ + kShedNow * std::max(0.0, Pressure(Cls(r)) - high);
    return share > 0 && Random() < share * (1 + kTilt * (1 - Value(r)));
  }

  // ---- The ask ----

  Duration Period(const PlanSettings& p) const {
    return std::clamp(FromSeconds(p.burst / p.rate), Duration(1'000), kMaxCountLife / 2);
  }
  // Periods are shifted by customer, so that their edges do not coincide.
  std::int64_t Shift(const Customer& c) const {
    return static_cast<std::int64_t>(c.phase % Period(Plan(c.plan)).count());
  }
  TimePoint PeriodStart(const Customer& c, std::int64_t period) const {
    return Period(Plan(c.plan)) * (period - 1) + Duration(Shift(c));
  }
  std::int64_t PeriodAt(const Customer& c, TimePoint at) const {
    return (at - Duration(Shift(c))) / Period(Plan(c.plan)) + 1;
  }

  void Add(CallKind kind, RequestId request, Customer& c, const std::string& customer, std::int64_t period,
           double amount, double known = 0) {
    const std::string name = customer + ":" + std::to_string(c.plan) + ":" + std::to_string(period);
    const Duration length = Period(Plan(c.plan));
    const Duration life = std::min(kMaxCountLife, PeriodStart(c, period) + 2 * length - now_);
    calls_[name].push_back(Call{kind, request, customer, period, amount, known, now_, c.demand > 1});
    Do(CounterAdd{name, amount, std::max(life, length)});
  }

  void Ask(Request& r, Customer& c) {
    // Of thin customers it stands for those that do not ask; of others what was let in unasked rides along.
    r.weight = Plan(r.plan).ceiling_rate > 0 || !Thin(c) ? 1 : 1 / ask_share_;
    if (Thin(c) && c.settle < 0 && c.period != PeriodAt(c, now_)) c.settle = 0;
    const double owed = std::exchange(c.settle, 0.0);  // rides along; of thin ones only within its period
    Add(CallKind::kAsk, r.id, c, r.customer, PeriodAt(c, now_), r.units * r.weight + owed, owed);
    Do(SetTimer{FromSeconds(Seconds(max_aim_) * kAskShareOfAim), Token(kAskDue, r.id)});
  }

  // After repeated failures asks stop, but for one now and then that looks whether the counter is back. Where
  // some fail, fewer ask, but under a ceiling: hundreds of gateways find the share that the counter can take.
  bool MayAsk(bool always) {
    if ((!always && Random() >= ask_share_) || (ask_failures_ >= kAskFailures && now_ < next_check_))
      return false;
    next_check_ = now_ + kCheckBack;
    return true;
  }

  void On(const CounterEvent& e) {
    const auto found = calls_.find(e.name);
    if (found == calls_.end()) return;
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
    found->second.pop_front();
    if (found->second.empty()) calls_.erase(found);
    Customer* c = FindCustomer(call.customer);
    const auto it = requests_.find(call.request);
    Request* r = it == requests_.end() || it->second.stage == Stage::kDone ? nullptr : &it->second;
    if (!ok) return AskFailed(call, c, r, e.result);
    if (ask_failures_ < kAskFailures || call.asked > down_since_) {  // old replies do not end an outage
      if (ask_failures_ >= kAskFailures) Do(Log{"counter: answers again"});
      ask_failures_ = 0;
    }
    if (c == nullptr) return;
    c->sliced = false;
    Observe(*c, call, e.total);
    if (call.kind == CallKind::kAsk) {
      if (ask_share_ < 1) Do(Learnt{call.customer, c->demand});
      if (r != nullptr && r->stage == Stage::kAsking) return Decide(*r, *c, e.total, call.listed);
      // Decided meanwhile without the count: what was sent is counted already, what was not is taken back.
      const double units = call.amount - call.known;
      if (r == nullptr || r->grant != Grant::kLocal) return Owe(*c, -units);
      c->deficit = std::max(0.0, c->deficit - units);
    } else if (call.kind == CallKind::kDebt) {
      if (r == nullptr || r->stage != Stage::kAsking) return Owe(*c, -call.amount);
      Debt(*r, *c, call, e.total);
    }
  }

  void AskFailed(const Call& call, Customer* c, Request* r, CounterResult why) {
    if (std::exchange(failed_at_, now_) != now_ && ++ask_failures_ == kAskFailures) {
      down_since_ = now_;
      next_check_ = now_ + kCheckBack;
      Do(Log{"counter: no answer, on local slices"});
    }
    // What rode along and surely was not added is still owed; what may have been added is taken as added.
    if (c != nullptr && why != CounterResult::kTimeout) {
      c->settle += call.kind == CallKind::kBook ? call.amount : call.known;
    }
    if (r == nullptr || c == nullptr || r->stage != Stage::kAsking || call.kind == CallKind::kBook) return;
    DecideLocally(*r, *c, why == CounterResult::kTimeout);
  }

  void Owe(Customer& c, double units) {
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
    if (call.period > c.period && PeriodStart(c, call.period) > now_) return;  // a debt: counts then
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
      const Duration half = Period(Plan(c.plan)) / 2, lasted = now_ - PeriodStart(c, c.period);
      const double demand = total / Plan(c.plan).rate / Seconds(std::max(half, lasted));
      c.demand = lasted < half ? std::max(c.demand, demand) : demand;
    }
    c.deficit = std::max(0.0, c.deficit + added - call.known);
  }

  void Decide(Request& r, Customer& c, double total, bool listed) {
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
      return Open(r, c);
    }
    if (ExcessPays(r, c)) {
      Owe(c, -r.units - extra);
      r.grant = Grant::kExcess;
      return Open(r, c);
    }
    const Duration wait = FromSeconds(std::max(0.0, c.deficit - extra - p.burst) / p.rate);
    const std::int64_t period = PeriodAt(c, now_ + wait);
    const bool waits = !r.retry && wait <= WaitLeft(r) && covered;
    r.grant = Grant::kCounted;
    if (waits && period == PeriodAt(c, now_)) return Delay(r, now_ + wait);
    // The room comes in a later period: the units move there, and its count starts in debt.
    Owe(c, -r.units - extra);
    if (!waits) return Refused(r, std::max(wait, set_.tick));
    Add(CallKind::kDebt, r.id, c, r.customer, period, r.units);
  }

  void Debt(Request& r, Customer& c, const Call& call, double total) {
    const PlanSettings& p = Plan(c.plan);
    const Duration until = std::max(Duration(0), PeriodStart(c, call.period) - now_);
    const double carry = std::max(0.0, c.deficit - p.rate * Seconds(until));
    const Duration wait = until + FromSeconds(std::max(0.0, carry + total - p.burst) / p.rate);
    if (wait > WaitLeft(r) || total > p.burst) {
      c.settle -= call.amount;  // the moved units never entered the deficit; only the count holds them
      return Refused(r, std::max(wait, set_.tick));
    }
    Delay(r, now_ + wait);
  }

  bool Thin(const Customer& c) const { return Plan(c.plan).burst < set_.max_units * c.spread; }

  // How long a request can still wait and be served within its aim.
  Duration WaitLeft(const Request& r) {
    const double left = Seconds(std::min(r.aim_at, r.deadline) - now_) * kWaitShare - 1.5 * Usual(r);
    return r.retry ? Duration(0) : FromSeconds(left);
  }
  double Usual(const Request& r) const {
    return r.cls < 0 ? 0.0 : class_latency_[static_cast<std::size_t>(r.cls)];
  }

  void Delay(Request& r, TimePoint release) {
    r.stage = Stage::kDelayed;
    Do(SetTimer{release - now_, Token(kFreeDue, r.id)});
  }

  // Sending beyond the quota pays while servers have room: it earns more than it costs.
  bool ExcessPays(const Request& r, Customer& c) {
    const PlanSettings& p = Plan(c.plan);
    if (r.retry || p.excess_worth <= p.excess_cost || Pressure(Cls(r)) > kRoomPressure) return false;
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

  void DecideLocally(Request& r, Customer& c, bool counted) {  // counted: by an ask that is out
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
    const double ease = std::clamp(2 - Pressure(Cls(r)) / kPressureAim - kEaseShed * shed_, 0.0, 1.0);
    const bool now = thin ? Random() < chance * ease : c.slice.level >= r.units;
    const Duration wait = thin ? FromSeconds(kChanceRetry * Seconds(Cls(r).aim))
                               : FromSeconds((r.units - c.slice.level) / (p.rate / c.spread));
    const bool later = !thin && p.ceiling_rate <= 0 && wait <= WaitLeft(r);
    if (later || (now && (p.ceiling_rate <= 0 || DrawCeiling(c, r.units)))) {
      c.slice.level -= r.units;
      counted || thin || ask_failures_ >= kAskFailures ? void(c.deficit += r.units) : Owe(c, r.units);
      r.grant = Grant::kLocal;
      return now ? Open(r, c) : Delay(r, now_ + wait);
    }
    if (!ExcessPays(r, c)) return Refused(r, wait);
    r.grant = Grant::kExcess;
    Open(r, c);
  }

  // ---- Choice of server ----

  // Cleared by the quota; a cap on attempts open at once is kept by an even slice of it.
  void Open(Request& r, Customer& c) {
    const PlanSettings& p = Plan(c.plan);
    if (p.max_open > 0 && c.open >= std::max(1.0, std::floor(p.max_open / c.spread))) {
      return Refused(r, FromSeconds(Usual(r)));
    }
    r.stage = Stage::kReady;
    Dispatch(r);
  }

  // The share of a full server's work that one surely can do, some time after its start or its ejection.
  double Warmth(const Server& s, bool with_ejections = true) const {
    const TimePoint since = with_ejections ? std::max(s.info.started, s.back_since) : s.info.started;
    if (since.count() <= 0 || set_.warm_within.count() <= 0) return 1.0;
    const double age = std::clamp(Seconds(now_ - since) / Seconds(set_.warm_within), 0.0, 1.0);
    return set_.cold_share + (1 - set_.cold_share) * age;
  }

  // How many answers a server's own latency still stands for. Guards against one that was slow once and is
  // never asked again: its average would stay as it was, it would stand idle, and the rest would carry its
  // load. Harm: one that stays slow is tried now and then.
  double Known(const Server& s) const { return s.samples * Fresh(s.sampled); }

  // The share of a latency's weight that its age leaves.
  double Fresh(TimePoint sampled) const {
    const double between = kTrafficS * static_cast<double>(up_.size()) / std::max(1e-3, rate_.sum);
    const double life = std::max(kLatencyLifeS, kLatencyLife * between);
    return std::max(0.0, 1 - Seconds(now_ - sampled) / life);
  }

  // What a zone's servers usually take. It fades too, to plain service: a zone that was slow once would else
  // get nothing more that could tell otherwise, and the other zones would carry its load.
  double UsualOf(const std::string& name) const {
    const auto zone = zones_.find(name);
    if (zone == zones_.end()) return std::max(0.01, base_latency_);
    const double slower = std::max(0.0, zone->second.latency - base_latency_);
    return std::max(0.01, zone->second.latency - slower * (1 - Fresh(zone->second.sampled)));
  }

  double Cost(const Server& s) {
    const double usual = UsualOf(s.info.zone), samples = Known(s);
    const double latency =
        (s.latency * samples + usual * kServerSamples / 2) / (samples + kServerSamples / 2);
    // A report that is old or never came says nothing: the usual load is taken, not none.
    const double trust = std::max(0.0, 1 - Seconds(now_ - s.reported) / kReportLifeS);
    const double reported = trust * s.reported_held + (1 - trust) * usual_held_;
    const double held = s.reports_all ? std::max<double>(s.open, reported) : s.open + reported;
    double cost = latency * (held + 1) / std::max(0.01, s.info.weight);
    if (s.info.zone != set_.zone) cost *= 1 + kCrossing * set_.zone_cross_price;
    const double silent = s.open > 0 ? Seconds(now_ - s.oldest) : 0;
    if (silent > kSilentFactor * usual) cost *= 1 + silent / usual;
    return cost;
  }

  bool InScope(const Request& r, const Server& s) const {
    const ClassSettings& cls = Cls(r);
    if (r.pin && r.pin->may_have_run && now_ >= r.key_until) return false;
    if (r.pin && r.pin->bound && cls.scope == Scope::kZone && s.info.zone != r.pin->zone) return false;
    if (r.pin && r.pin->bound && cls.scope == Scope::kCell && s.info.cell != r.pin->cell) return false;
    for (const Attempt& a : r.attempts) {
      if (!a.may_have_run) continue;
      if (cls.repeat == Repeat::kUnsafe) return false;
      if (cls.repeat == Repeat::kSafe) continue;
      const auto it = servers_.find(a.server);
      if (now_ - a.sent >= cls.key_ttl || it == servers_.end()) return false;
      if (cls.scope == Scope::kZone && it->second.info.zone != s.info.zone) return false;
      if (cls.scope == Scope::kCell && it->second.info.cell != s.info.cell) return false;
    }
    return true;
  }

  // One draw over all servers gives a cold one its warmth's share of a warm one's traffic (up to half of the
  // fall multiple of it where most are cold): summed over any number of gateways too. All else goes to the
  // cheapest of a few warm ones: a gateway that hears a server less than once a second keeps to its own few,
  // by its rank, and one drawn. Guards against knowing little of many servers: hundreds of gateways would
  // each have to meet a bad server to leave it. Harm: a gateway far busier than the rest loads its few. Those
  // that are out or were tried come in only when no other is left.
  Server* Choose(const Request& r) {
    if (up_.empty()) return nullptr;
    const auto tried = [&r](const Server& s) {
      return std::any_of(r.attempts.begin(), r.attempts.end(),
                         [&s](const Attempt& a) { return a.server == s.info.id; });
    };
    const std::size_t n = up_.size();
    Server& drawn = *up_[Random() * n];
    const double boost = std::clamp(n / std::max(1e-3, warmth_), 1.0, std::max(1.0, set_.fall_multiple / 2));
    if (Warmth(drawn) < 1 && InScope(r, drawn) && now_ >= drawn.ejected_until && !tried(drawn) &&
        Random() < Warmth(drawn) * boost) {
      return &drawn;
    }
    const bool few = rate_.sum < kTrafficS * n;  // answers: under one a second from a server
    Server* best = nullptr;
    double best_cost = 0;
    for (int pass = 0; pass < 2 && best == nullptr; ++pass) {
      const auto first = static_cast<std::size_t>((few ? std::fmod(set_.rank * kGolden, 1.0) : Random()) * n);
      for (std::size_t i = 0, seen = 0; i <= n && seen < kCandidates; ++i) {
        Server& s = i == 0 ? drawn : *up_[(first + i) % n];
        if (!InScope(r, s) || Warmth(s, pass == 0) < 1) continue;
        if (pass == 0 && (now_ < s.ejected_until || tried(s))) continue;
        ++seen;
        const double cost = Cost(s) * (1 + kJitter * Random());
        if (best == nullptr || cost < best_cost) best = &s, best_cost = cost;
      }
    }
    return best;
  }

  // ---- Attempts and outcomes ----

  void Dispatch(Request& r) {
    if (std::ssize(r.attempts) >= r.most_attempts || now_ >= r.deadline) return Ended(r);
    Server* s = Choose(r);
    // Where only cold ones are left the request ends: trying on would push them over.
    if (s == nullptr) return up_.empty() ? Do(SetTimer{kNoServerRetry, Token(kRetryDue, r.id)}) : Ended(r);
    if (s->open == 0) s->oldest = now_;
    ++s->open;
    CountOpen(+1);
    if (Customer* c = FindCustomer(r.customer)) ++c->open;
    r.stage = Stage::kOut;
    r.attempts.push_back(Attempt{s->info.id, now_});
    Do(Send{r.id, s->info.id, r.deadline - now_});
    const double silent = kSilentFactor * Usual(r);
    Do(SetTimer{FromSeconds(std::max(silent, Seconds(Cls(r).aim) / 4)), Token(kCheckDue, r.id)});
    Do(SetTimer{Cls(r).aim, Token(kLateDue, r.id)});
  }

  void CountOpen(int change) {  // busy_ integrates the attempts out, answered_ counts answers
    const double memory = MemoryS(), gap = Seconds(now_ - open_at_);
    busy_.Decay(now_, memory);
    answered_.Decay(now_, memory);
    busy_.sum += open_ * memory * (1 - std::exp(-gap / memory));
    open_at_ = now_;
    open_ += change;
  }

  // How long a request's class takes when nothing queues, as a multiple of the mean of the traffic. Guards
  // against a shed that feeds itself: what is dear and long gets through alone, its plain service looks like
  // a queue, and all else stays shed while servers idle. Harm: none seen; before a class is learnt it counts
  // as the mean.
  double Length(const Request& r) const {
    double sum = 0, total = 0;
    for (std::size_t i = 0; i < traffic_.size(); ++i) {
      const double plain = class_plain_[i / set_.plans.size()];
      if (plain > 0) sum += traffic_[i].sum * plain, total += traffic_[i].sum;
    }
    const double own = r.cls < 0 ? 0.0 : class_plain_[static_cast<std::size_t>(r.cls)];
    return sum <= 0 || own <= 0 ? 1.0 : std::clamp(own * total / sum, 1 / kLengthMost, kLengthMost);
  }

  // An attempt leaves the load figures: it was served or ended, or its aim passed.
  void StopTiming(const Request& r, Attempt& a, bool counts) {
    if (a.timed) CountOpen(-1);
    if (!std::exchange(a.timed, false) || !counts) return;
    answered_.sum += Length(r);
    rate_.Add(now_, 1.0, kTrafficS);
  }

  bool AnyOpen(const Request& r) const {
    return std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.open; });
  }
  // A server that says nothing for long while it holds work is stuck, dead or cut off: what may go elsewhere
  // does.
  void Check(Request& r) {
    if (r.stage != Stage::kOut || r.attempts.empty() || !r.attempts.back().open) return;
    const auto it = servers_.find(r.attempts.back().server);
    // In a queue all are late: a second copy would lengthen it, a move would lose its place.
    if (Pressure(Cls(r)) > (set_.second_copies ? kRoomPressure : kPressureAim)) return;
    const bool stuck = it == servers_.end() || it->second.heard <= r.attempts.back().sent;
    const bool may = Cls(r).repeat != Repeat::kUnsafe && (set_.second_copies || set_.can_cancel) && !r.resend;
    if (!stuck || !may || retry_budget_ < 1 || std::ssize(r.attempts) >= r.most_attempts) return;
    retry_budget_ -= 1;
    if (set_.second_copies) return Dispatch(r);
    r.resend = true;
    Do(Cancel{r.id, static_cast<int>(r.attempts.size()) - 1});
  }

  void On(const OutcomeEvent& e) {
    const auto it = requests_.find(e.id);
    NoteServer(e);
    if (it == requests_.end()) return;
    Request& r = it->second;
    const auto at = static_cast<std::size_t>(std::max(0, e.attempt));
    if (at >= r.attempts.size() || !r.attempts[at].open) return;
    r.attempts[at].open = false;
    r.attempts[at].may_have_run = !(e.outcome == Outcome::kFull || e.outcome == Outcome::kConnectFailed ||
                                    e.outcome == Outcome::kNotSent);
    StopTiming(r, r.attempts[at], r.attempts[at].may_have_run);
    Customer* c = FindCustomer(r.customer);
    if (c != nullptr) c->open = std::max(0, c->open - 1);
    if (e.outcome == Outcome::kOk) {
      const double s = Seconds(e.elapsed);
      if (r.cls >= 0) {
        double& mean = class_latency_[static_cast<std::size_t>(r.cls)];
        mean += (s - mean) * (mean == 0 ? 1.0 : kLatencyShare);
        double& plain = class_plain_[static_cast<std::size_t>(r.cls)];
        // While traffic is shed it only falls: what takes longer then was learnt in a queue.
        const double up = shed_ > 0 ? 0.0 : kPlainUp;
        plain += (s - plain) * (plain == 0 ? 1.0 : s < plain ? kPlainDown : up);
      }
      if (c != nullptr && e.true_units > 0 && r.grant != Grant::kExcess && r.grant != Grant::kNone) {
        Owe(*c, e.true_units - r.units);
      }
    }
    if (r.stage == Stage::kDone || e.outcome == Outcome::kOk || e.final) return Close(r);
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

  void NoteServer(const OutcomeEvent& e) {
    const auto it = servers_.find(e.server);
    if (it == servers_.end()) return;
    Server& s = it->second;
    s.open = std::max(0, s.open - 1);
    const auto was = e.outcome;
    if (was == Outcome::kOk || was == Outcome::kError || was == Outcome::kFull) s.heard = s.oldest = now_;
    // Guards against servers that work but answer too late to be heard: the attempt ends by our own call, and
    // one that was never heard would look like a usual one, better than all that answer slowly. Harm: what
    // clients ask for with little time left makes good servers look slow.
    const bool late = (was == Outcome::kCancelled || was == Outcome::kTimeout) && now_ != stall_end_ &&
                      s.heard < now_ - e.elapsed && Seconds(e.elapsed) > kUnanswered * Seconds(max_aim_);
    if (e.load.outstanding >= 0 || e.load.utilization >= 0) {
      const double u = std::clamp(e.load.utilization, 0.0, 1.0);
      if (e.load.utilization >= 0) used_.Add(now_, u, kTrafficS), used_n_.Add(now_, 1, kTrafficS);
      s.reports_all = e.load.outstanding >= 0;
      s.reported_held = s.reports_all ? e.load.outstanding : u / (1.1 - u);
      s.reported = now_;
      usual_held_ += (s.reported_held - usual_held_) * kLatencyShare;
    }
    if (e.outcome != Outcome::kCancelled && e.outcome != Outcome::kNotSent && now_ != stall_end_) {
      Zone& zone = zones_[s.info.zone];
      const double sample = e.outcome == Outcome::kOk ? Seconds(e.elapsed) : Seconds(max_aim_);
      zone.latency = UsualOf(s.info.zone);
      zone.latency += (sample - zone.latency) * (zone.sampled.count() == 0 ? 1.0 : kFewShare);
      zone.sampled = now_;
    }
    if (e.outcome == Outcome::kOk) {
      Sample(s, e.elapsed);
      s.failures = 0;
      if (now_ - s.ejected_until > kEjectMost) s.ejections = 0;
    } else if (late || (e.outcome != Outcome::kCancelled && e.outcome != Outcome::kNotSent)) {
      if (late) Sample(s, e.elapsed);
      // Where a server answers this gateway less than once a second, one failure is all it can wait for.
      const double each = rate_.sum / kTrafficS / std::max<double>(1, up_.size());
      if (++s.failures >= std::clamp(std::ceil(each), 1.0, kEjectAfter)) Eject(s);
    }
  }

  void Sample(Server& s, Duration elapsed) {
    s.samples = std::min(kServerSamples, Known(s) + 1);
    s.latency += (Seconds(elapsed) - s.latency) / s.samples;
    s.sampled = now_;
  }

  // Guards against servers that fail fast and so draw traffic: dead, refusing, or answering with errors.
  void Eject(Server& s) {
    s.failures = 0;
    const auto out = std::count_if(up_.begin(), up_.end(), [&](auto* u) { return now_ < u->ejected_until; });
    if (2 * (out + 1) > std::ssize(up_)) return;
    const Duration length = std::min(kEjectMost, kEjectFirst * (1 << std::min(s.ejections++, 4)));
    s.ejected_until = s.back_since = now_ + length;
  }

  void On(const StreamStartedEvent& e) {
    const auto it = requests_.find(e.id);
    if (it != requests_.end())
      it->second.stage = Stage::kDone;  // the answer belongs to the client: nothing is owed any more
  }

  // ---- The final answer ----

  bool Harmless(const Request& r) const {
    const auto& tries = r.attempts;
    const bool before = r.pin && r.pin->may_have_run;
    const auto ran = [](const Attempt& a) { return a.may_have_run; };
    return (!before && std::none_of(tries.begin(), tries.end(), ran)) || Cls(r).repeat == Repeat::kSafe ||
           (Cls(r).repeat == Repeat::kKeyed && Cls(r).scope == Scope::kAll);
  }

  // Tells when to come back: not before there may be room, and not all at once. Guards against retry storms.
  // Harm: what was refused by mistake comes back too late.
  void Refused(Request& r, Duration retry_after) {
    const double chance = Random();
    retry_after = FromSeconds(Seconds(retry_after) * (1 + kRetrySpread * chance));
    const Duration most = FromSeconds(Seconds(set_.max_retry_after) * (1 - kRetrySpread / 4 * chance));
    if (set_.max_retry_after.count() > 0) retry_after = std::min(retry_after, most);
    if (!set_.retry_after) retry_after = Duration(0);
    Do(Refuse{r.id, retry_after});
    Close(r);
  }

  void Ended(Request& r) {
    if (r.stage == Stage::kDone) return;
    // A server failed it: others have room, and what holds it up is mostly over within a usual answer's time.
    if (Harmless(r)) return Refused(r, std::max(set_.tick, FromSeconds(Usual(r))));
    Do(Fail{r.id});
    Close(r);
  }

  // The request is over; attempts still out are called off, and kept until they report.
  void Close(Request& r) {
    if (r.stage != Stage::kDone) {
      r.stage = Stage::kDone;
      for (std::size_t i = 0; i < r.attempts.size() && set_.can_cancel; ++i) {
        if (r.attempts[i].open) Do(Cancel{r.id, static_cast<int>(i)});
      }
    }
    if (!AnyOpen(r)) requests_.erase(r.id);
  }

  void On(const ClientGoneEvent& e) {
    const auto it = requests_.find(e.id);
    if (it != requests_.end()) Close(it->second);
  }

  void On(const TimerEvent& e) {
    const auto kind = static_cast<Due>(e.token >> 48);
    if (kind == kSweepDue) return Sweep();
    if (kind == kListDue) return Do(Subscribe{});
    const auto it = requests_.find(e.token & ((1ULL << 48) - 1));
    if (it == requests_.end()) return;
    Request& r = it->second;
    if (kind == kLateDue) {
      for (Attempt& a : r.attempts) {
        if (now_ - a.sent >= Cls(r).aim) StopTiming(r, a, true);
      }
      // In overload what passed its aim makes room, unless clients come again unmarked and double the work.
      if (marked_ && r.stage == Stage::kOut && Pressure(Cls(r)) > kPressureHigh) return Ended(r);
    }
    if (r.stage == Stage::kDone) return;
    Customer* c = FindCustomer(r.customer);
    if (kind == kEndDue) {
      Ended(r);
    } else if (kind == kAskDue && r.stage == Stage::kAsking && c != nullptr) {
      DecideLocally(r, *c, true);
    } else if (kind == kFreeDue && r.stage == Stage::kDelayed && c != nullptr) {
      Open(r, *c);
    } else if (kind == kCheckDue) {
      Check(r);
    } else if (kind == kRetryDue && r.stage == Stage::kReady) {
      Dispatch(r);
    }
  }

  // ---- Servers and upkeep ----

  void On(const RosterEvent& e) {
    const bool lost = e.kind == RosterKind::kError && set_.roster_mode == RosterMode::kSubscribe;
    if (lost) Do(SetTimer{kEjectFirst, Token(kListDue, 0)});
    if (e.servers == nullptr) return;
    if (e.kind != RosterKind::kPartial) {
      for (auto& [id, s] : servers_) s.listed = false;
    }
    for (const ServerInfo& info : *e.servers) {
      Server& s = servers_[info.id];
      // A new process: what was known of the old one is void.
      if (info.started != s.info.started) s = Server{.open = s.open, .oldest = now_};
      s.info = info;
      s.listed = info.state != ServerState::kGone;
    }
    Refresh();
  }

  void Refresh() {
    up_.clear();
    warmth_ = 0;
    for (auto& [id, s] : servers_) {
      if (!s.listed || s.info.state != ServerState::kUp) continue;
      up_.push_back(&s);
      warmth_ += Warmth(s);
    }
  }

  template <typename Unused>
  void On(const Unused&) {}  // probes and peers: not asked for

  void Sweep() {
    Do(SetTimer{kSweep, Token(kSweepDue, 0)});
    CountOpen(0);
    // Sheds more for as long as service takes too much of the slack, less as soon as it does not: what must
    // be shed for that depends on how often clients come again, which only the outcome shows.
    double worst = 0;
    for (const auto& c : set_.classes) worst = std::max(worst, c.name.empty() ? 0.0 : Pressure(c));
    double change = kShedGain * std::min(1.0, 1 / MemoryS()) * (worst - kPressureAim);
    // Where servers report room the share goes at once: a gateway that sheds gets few answers, its pressure
    // stays chance just below the aim, and by that alone hundreds shed for half a minute while servers idle.
    const bool room = used_n_.sum > 0 && used_.sum < kRoomReported * used_n_.sum;
    if (room) change = std::min(change, -kEaseOff * shed_);
    shed_ = std::clamp(shed_ + change, 0.0, 1.0);
    // What service takes when nothing queues: follows lulls at once and forgets them slowly.
    if (answered_.sum > kBaseAnswers) {
      const double latency = busy_.sum / answered_.sum;
      if (base_latency_ <= 0) base_latency_ = latency;
      base_latency_ += (latency - base_latency_) * (latency < base_latency_ ? kBaseDown : kBaseUp);
      base_latency_ = std::min(base_latency_, kBaseMost * Seconds(max_aim_));
    }
    for (auto it = servers_.begin(); it != servers_.end();) {
      it = !it->second.listed && it->second.open == 0 ? servers_.erase(it) : std::next(it);
    }
    Refresh();
    for (auto it = customers_.begin(); it != customers_.end();) {
      Customer& c = it->second;
      const PlanSettings& p = Plan(c.plan);
      const Duration refill = p.rate > 0 ? Period(p) : Duration(0);
      // What is owed rides on the next ask, or has a call of its own; of thin customers only if it makes
      // room.
      const bool room =
          p.rate > 0 && (!Thin(c) || (c.period == PeriodAt(c, now_) && c.seen + c.settle < p.burst));
      if (std::abs(c.settle) >= 1 && room && set_.has_counter && now_ - c.settle_since > refill / 4 &&
          ask_share_ >= 1) {
        const double owed = std::exchange(c.settle, 0.0);
        Add(CallKind::kBook, 0, c, it->first, PeriodAt(c, now_), owed, owed);
      }
      if (c.settle > 0 && now_ - c.settle_since > refill) c.settle = std::min(c.settle, Refill(c));
      if (c.sliced && now_ - c.used > refill) c.sliced = false;
      const bool idle = c.open == 0 && now_ - c.used > 2 * refill + FromSeconds(kDemandS);
      it = idle ? customers_.erase(it) : std::next(it);
    }
  }

  // What a request is worth by work, as a multiple of the mean of the traffic. Where the goal weighs the
  // worst-served plan and class, that part of it is worth the same for all.
  double Value(const Request& r) {
    const auto worth = [this](std::size_t slot) {
      const std::size_t cls = slot / set_.plans.size(), plan = slot % set_.plans.size();
      return set_.classes[cls].worth * set_.plans[plan].price / std::max(1e-3, class_latency_[cls]);
    };
    double sum = 1e-9, total = 1e-9;
    for (std::size_t i = 0; i < traffic_.size(); ++i) {
      traffic_[i].Decay(now_, kTrafficS);
      total += traffic_[i].sum;
      sum += traffic_[i].sum * worth(i);
    }
    const double even = std::max(0.0, set_.goal_worst_plan + set_.goal_worst_class);
    return (set_.goal_whole * worth(Slot(r)) * total / sum + even) / (set_.goal_whole + even + 1e-9);
  }

  Settings set_;
  std::vector<std::shared_ptr<const ClassSettings>> rules_;  // those of set_, for requests to hold
  std::uint64_t random_;
  TimePoint now_, start_, next_check_{0}, down_since_{0}, open_at_{0}, stall_end_{0};
  TimePoint failed_at_{-1}, cut_at_{0};  // the last failed ask, and the last cut of the share that asks
  std::vector<Action>* out_ = nullptr;
  bool sweeping_ = false, marked_ = false;  // marked_: clients are seen to mark their repeats

  std::unordered_map<RequestId, Request> requests_;
  std::map<std::string, Customer> customers_;
  std::map<std::string, Server> servers_;
  std::vector<Server*> up_;  // listed and up, in the order of ids
  double warmth_ = 0.0;      // theirs, summed
  std::map<std::string, Zone> zones_;
  double usual_held_ = 0.0;  // by load reports, all servers
  std::unordered_map<std::string, std::deque<Call>> calls_;
  Duration max_aim_{0};
  int ask_failures_ = 0;
  double retry_budget_ = kRetryBurst;
  Fading busy_, answered_, rate_;  // rate_: answers within kTrafficS
  Fading used_, used_n_;           // reported use of servers, summed, and the reports
  int open_ = 0;
  double ask_share_ = 1.0;                            // share of the requests that ask
  double inside_[2] = {kInsideFirst, kInsideRepeat};  // share of asks of the rest that find room
  double shed_ = 0.0;                                 // share of the traffic that is shed
  double base_latency_ = 0.0;
  std::vector<double> class_latency_;  // s: the mean of late
  std::vector<double> class_plain_;    // s: the fast tenth or so
  std::vector<Fading> traffic_;
};

Controller::Controller(Settings settings, std::uint64_t seed, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;

void Controller::Reconfigure(Settings settings) { impl_->Reconfigure(std::move(settings)); }
Controller::Roll Controller::Count(TimePoint now) const { return impl_->Count(now); }
void Controller::Handle(const Event& event, TimePoint now, std::vector<Action>& out) {
  impl_->Handle(event, now, out);
}

}  // namespace postspread
