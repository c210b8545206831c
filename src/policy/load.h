// What is shed where servers are too busy.
#ifndef POSTSPREAD_POLICY_LOAD_H_
#define POSTSPREAD_POLICY_LOAD_H_

#include "statistics/load_statistics.h"

namespace postspread::policy {

constexpr double kPressureAim = 0.25;   // of the slack between plain service and aim: service may take it
constexpr double kTilt = 2;             // how much more is shed of what is worth less than the mean
constexpr double kShedGain = 0.1;       // of the excess pressure, a sweep: a second to answer a surge
constexpr double kEaseOff = 0.1;        // of the share shed, a sweep: a second to let it go ...
constexpr double kOutLow = 1.4;         // ... or this gateway has fewer out than this share of what is usual
constexpr double kRoomReported = 0.75;  // ... where servers report less use than this on average
constexpr double kShedNow = 2;          // of the pressure past the high mark: shed at once
constexpr double kPressureHigh = 0.6;   // of that slack: above, more is shed at once, not by the gain

constexpr double kFewShare = 0.1;  // weight of one answer in what must follow within seconds of few answers

class Load : public LoadStatistics {
 public:
  explicit Load(Core& core) : LoadStatistics(core) {}

  // The share of its aim that a request now spends in service.
  double Pressure(const ClassSettings& cls) {
    const double latency = Latency();
    return Sure() * (latency - base()) / std::max(0.001, Seconds(cls.latency_objective) - base());
  }

  // Guards against queues longer than the aim: sheds what keeps service within it, most of what is worth
  // least by work. Harm: a stall of a few servers sheds briefly though others idle.
  bool Shed(const RequestState& r) {
    if (r.cls < 0 || r.plan < 0) return false;
    Came(r);
    // Where evidence is slow to come and so the gain low, what passes the aim is shed in proportion at once.
    const double high = kPressureAim + (kPressureHigh - kPressureAim) * kSmoothS / MemoryS();
    const double share = shed_ + kShedNow * std::max(0.0, Pressure(Cls(r)) - high);
    return share > 0 && Random() < share * (1 + kTilt * (1 - Value(r)));
  }
  [[nodiscard]] double shed() const { return shed_; }

  void Sweep() {
    CountOpen(0);
    // Sheds more for as long as service takes too much of the slack, less as soon as it does not: what must
    // be shed for that depends on how often clients come again, which only the outcome shows.
    double worst = 0;
    for (const auto& c : set_.classes) worst = std::max(worst, c.name.empty() ? 0.0 : Pressure(c));
    double change = kShedGain * std::min(1.0, 1 / MemoryS()) * (worst - kPressureAim);
    // Where servers report room the share goes at once: a gateway that sheds gets few answers, its pressure
    // stays chance just below the aim, and by that alone hundreds shed for half a minute while servers idle.
    // So too where fewer are out than in good times: servers that all grew slower are no fuller for it, and
    // what they take longer looks like a queue however much is shed.
    if (ReportedBelow(kRoomReported) || OutBelow(kOutLow)) change = std::min(change, -kEaseOff * shed_);
    shed_ = std::clamp(shed_ + change, 0.0, 1.0);
    LearnBase(shed_ > 0);
  }

 private:
  // What a request is worth by work, as a multiple of the mean of the traffic. Where the goal weighs the
  // worst-served plan and class, that part of it is worth the same for all.
  double Value(const RequestState& r) {
    const auto worth = [this](std::size_t cls, std::size_t plan) {
      return set_.classes[cls].priority_weight * set_.plans[plan].price / std::max(1e-3, UsualOf(cls));
    };
    const auto [sum, total] = OverTraffic(worth);
    const double own = worth(static_cast<std::size_t>(r.cls), static_cast<std::size_t>(r.plan));
    const double even = std::max(0.0, set_.goal_worst_plan + set_.goal_worst_class);
    return (set_.goal_whole * own * total / sum + even) / (set_.goal_whole + even + 1e-9);
  }

  double shed_ = 0.0;  // share of the traffic that is shed
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_LOAD_H_
