// The servers: which one a request goes to, and which are avoided.
#ifndef POSTSPREAD_POLICY_SERVERS_H_
#define POSTSPREAD_POLICY_SERVERS_H_

#include <map>

#include "policy/load.h"

namespace postspread::policy {

constexpr double kServerSamples = 8;  // answers a server's latency is averaged over
constexpr double kJitter = 0.3;  // of a server's cost: chance in the choice, so that gateways do not herd
constexpr int kCandidates = 12;  // servers compared for a request: more adds CPU and herds, not balance
constexpr double kGolden = 0.6180339887;  // multiples of it, modulo 1, lie evenly however many there are
constexpr double kUnanswered = 0.5;  // of the longest aim: a called-off attempt this old speaks of its server
constexpr double kCrossing = 25;   // of the crossing price: how much dearer another zone is (0.02: 1.5 times)
constexpr double kEjectAfter = 3;  // failures in a row that take a server out
constexpr Duration kEjectMost{8'000'000};  // us out at most
constexpr double kSilentFactor = 3;        // times the usual latency without a word: a server counts as stuck
constexpr double kReportLifeS = 1.0;       // s after which a load report says nothing any more
constexpr double kLatencyLifeS = 2.0;  // s after which a server's own latency says nothing any more, or ...
constexpr double kLatencyLife = 2.0;   // ... so many of the usual spans between two answers of one server
constexpr Duration kEjectFirst{1'000'000};  // us out after the first ejection, doubled each time

class Servers : private Part {
 public:
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

  Servers(Core& core, Load& load) : Part(core), load_(load) {}

  [[nodiscard]] bool none() const { return up_.empty(); }
  [[nodiscard]] const Server* Find(const std::string& id) const {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
  }
  [[nodiscard]] Controller::UpstreamCounts Count(TimePoint now) const {
    Controller::UpstreamCounts out;
    for (const auto& [id, s] : servers_) {
      out.listed += s.listed;
      out.avoided += s.listed && (s.info.state != ServerState::kUp || now < s.ejected_until);
    }
    return out;
  }

  static void Sent(Server& s, TimePoint now) {
    if (s.open == 0) s.oldest = now;
    ++s.open;
  }

  // One draw over all servers gives a cold one its warmth's share of a warm one's traffic (up to half of the
  // fall multiple of it where most are cold): summed over any number of gateways too. All else goes to the
  // cheapest of a few warm ones: a gateway that hears a server less than once a second keeps to its own few,
  // by its rank, and one drawn. Guards against knowing little of many servers: hundreds of gateways would
  // each have to meet a bad server to leave it. Harm: a gateway far busier than the rest loads its few. Those
  // that are out or were tried come in only when no other is left.
  Server* Choose(const RequestState& r) {
    if (up_.empty()) return nullptr;
    const auto tried = [&r](const Server& s) {
      return std::any_of(r.attempts.begin(), r.attempts.end(),
                         [&s](const Attempt& a) { return a.server == s.info.id; });
    };
    const std::size_t n = up_.size();
    Server& drawn = *up_[Random() * n];
    const double boost =
        std::clamp(n / std::max(1e-3, warmth_), 1.0, std::max(1.0, set_.overload_multiple / 2));
    if (Warmth(drawn) < 1 && InScope(r, drawn) && now_ >= drawn.ejected_until && !tried(drawn) &&
        Random() < Warmth(drawn) * boost) {
      return &drawn;
    }
    const bool few =
        load_.AnswersWithinTraffic() < kTrafficS * n;  // answers: under one a second from a server
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

  void Note(const OutcomeEvent& e) {
    const auto it = servers_.find(e.server);
    if (it == servers_.end()) return;
    Server& s = it->second;
    s.open = std::max(0, s.open - 1);
    const auto was = e.outcome;
    if (was == Outcome::kOk || was == Outcome::kError || was == Outcome::kRejected) s.heard = s.oldest = now_;
    // Guards against servers that work but answer too late to be heard: the attempt ends by our own call, and
    // one that was never heard would look like a usual one, better than all that answer slowly. Harm: what
    // clients ask for with little time left makes good servers look slow.
    const bool late = (was == Outcome::kCancelled || was == Outcome::kTimeout) && now_ != core_.stall_end &&
                      s.heard < now_ - e.elapsed &&
                      Seconds(e.elapsed) > kUnanswered * Seconds(longest_objective_);
    if (e.load.outstanding >= 0 || e.load.utilization >= 0) {
      const double u = std::clamp(e.load.utilization, 0.0, 1.0);
      if (e.load.utilization >= 0) load_.Reported(u);
      s.reports_all = e.load.outstanding >= 0;
      s.reported_held = s.reports_all ? e.load.outstanding : u / (1.1 - u);
      s.reported = now_;
      usual_held_ += (s.reported_held - usual_held_) * kLatencyShare;
    }
    if (e.outcome != Outcome::kCancelled && e.outcome != Outcome::kNotSent && now_ != core_.stall_end) {
      Zone& zone = zones_[s.info.zone];
      const double sample = e.outcome == Outcome::kOk ? Seconds(e.elapsed) : Seconds(longest_objective_);
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
      const double each = load_.AnswersWithinTraffic() / kTrafficS / std::max<double>(1, up_.size());
      if (++s.failures >= std::clamp(std::ceil(each), 1.0, kEjectAfter)) Eject(s);
    }
  }

  void Listed(const EndpointListEvent& e) {
    if (e.kind != EndpointListKind::kPartial) {
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

  void Sweep() {
    for (auto it = servers_.begin(); it != servers_.end();) {
      it = !it->second.listed && it->second.open == 0 ? servers_.erase(it) : std::next(it);
    }
    Refresh();
  }

 private:
  // The share of a full server's work that one surely can do, some time after its start or its ejection.
  [[nodiscard]] double Warmth(const Server& s, bool with_ejections = true) const {
    const TimePoint since = with_ejections ? std::max(s.info.started, s.back_since) : s.info.started;
    if (since.count() <= 0 || set_.slow_start_duration.count() <= 0) return 1.0;
    const double age = std::clamp(Seconds(now_ - since) / Seconds(set_.slow_start_duration), 0.0, 1.0);
    return set_.cold_capacity + (1 - set_.cold_capacity) * age;
  }

  // How many answers a server's own latency still stands for. Guards against one that was slow once and is
  // never asked again: its average would stay as it was, it would stand idle, and the rest would carry its
  // load. Harm: one that stays slow is tried now and then.
  [[nodiscard]] double Known(const Server& s) const { return s.samples * Fresh(s.sampled); }

  // The share of a latency's weight that its age leaves.
  [[nodiscard]] double Fresh(TimePoint sampled) const {
    const double between =
        kTrafficS * static_cast<double>(up_.size()) / std::max(1e-3, load_.AnswersWithinTraffic());
    const double life = std::max(kLatencyLifeS, kLatencyLife * between);
    return std::max(0.0, 1 - Seconds(now_ - sampled) / life);
  }

  // What a zone's servers usually take. It fades too, to plain service: a zone that was slow once would else
  // get nothing more that could tell otherwise, and the other zones would carry its load.
  [[nodiscard]] double UsualOf(const std::string& name) const {
    const auto zone = zones_.find(name);
    if (zone == zones_.end()) return std::max(0.01, load_.base());
    const double slower = std::max(0.0, zone->second.latency - load_.base());
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

  [[nodiscard]] bool InScope(const RequestState& r, const Server& s) const {
    const ClassSettings& cls = Cls(r);
    if (now_ >= RepeatUntil(r)) return false;
    if (r.pin && r.pin->bound && cls.scope == KeyScope::kZone && s.info.zone != r.pin->zone) return false;
    if (r.pin && r.pin->bound && cls.scope == KeyScope::kCell && s.info.cell != r.pin->cell) return false;
    for (const Attempt& a : r.attempts) {
      if (!a.may_have_run) continue;
      if (cls.retry_safety == RetrySafety::kNotIdempotent) return false;
      if (cls.retry_safety == RetrySafety::kIdempotent) continue;
      const auto it = servers_.find(a.server);
      if (it == servers_.end()) return false;
      if (cls.scope == KeyScope::kZone && it->second.info.zone != s.info.zone) return false;
      if (cls.scope == KeyScope::kCell && it->second.info.cell != s.info.cell) return false;
    }
    return true;
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

  void Refresh() {
    up_.clear();
    warmth_ = 0;
    for (auto& [id, s] : servers_) {
      if (!s.listed || s.info.state != ServerState::kUp) continue;
      up_.push_back(&s);
      warmth_ += Warmth(s);
    }
  }

  Load& load_;
  std::map<std::string, Server> servers_;
  std::vector<Server*> up_;  // listed and up, in the order of ids
  double warmth_ = 0.0;      // theirs, summed
  std::map<std::string, Zone> zones_;
  double usual_held_ = 0.0;  // by load reports, all servers
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_SERVERS_H_
