// What a gateway sees of its servers' load: attempts out, answers, service times by class, the mix of
// traffic. Figures only; src/policy/load.h says what follows from them. Memory is bounded by classes times
// plans.
#ifndef POSTSPREAD_STATISTICS_LOAD_STATISTICS_H_
#define POSTSPREAD_STATISTICS_LOAD_STATISTICS_H_

#include <vector>

#include "statistics/core.h"

namespace postspread::policy {

constexpr double kSmoothS = 0.3;  // s: least memory of load figures; some service times, so one burst shows
constexpr double kTrafficS = 7;   // s: memory of the mix of traffic, and the longest of load figures
constexpr double kEvidence = 10;  // answers that the memory of load figures holds: their mean is 1/3 off
constexpr double kLatencyShare = 0.03;  // weight of one answer in the usual latency: some tens of answers
constexpr double kBaseAnswers = 5;      // requests in memory: fewer tell nothing of service
constexpr double kBaseDown = 0.1;       // a sweep: plain service follows a lull within a second
constexpr double kBaseUp = 0.0005;      // a sweep: and is forgotten over minutes
constexpr double kGoodLatency = 1.5;    // of plain service
constexpr double kUsualOut = 0.01;      // a sweep: ten seconds of good times
constexpr double kPlainDown = 0.1;      // weight of one answer in a class's plain time if it is faster ...
constexpr double kPlainUp = 0.01;       // ... or slower: settles where about a tenth are faster
constexpr double kLengthMost = 4;       // how much longer or shorter than the mean a class may count
constexpr double kBaseMost = 0.2;       // of the longest aim: what takes longer was learnt in a queue

class LoadStatistics : protected Part {
 public:
  explicit LoadStatistics(Core& core) : Part(core) {}

  // Classes keep their places; what was learnt of a place goes with its name.
  void Reconfigure(const std::vector<ClassSettings>& before) {
    const std::size_t classes = set_.classes.size(), plans = set_.plans.size();
    traffic_.resize(classes * plans);
    class_latency_.resize(classes);
    class_plain_.resize(classes);
    for (std::size_t i = 0; i < classes; ++i) {
      if (i < before.size() && before[i].name == set_.classes[i].name) continue;
      class_latency_[i] = class_plain_[i] = 0;
      std::fill_n(traffic_.begin() + static_cast<std::ptrdiff_t>(i * plans), plans, DecayingAverage{});
    }
  }

  // What passed without an event tells nothing of the servers.
  void StoodStill(TimePoint at) { open_at_ = at; }

  [[nodiscard]] std::size_t Slot(const RequestState& r) const { return r.cls * set_.plans.size() + r.plan; }
  void Came(const RequestState& r) { traffic_[Slot(r)].Add(now_, r.units, kTrafficS); }

  // else its mean would be chance and would shed while servers idle. Harm: it answers a surge later.
  double MemoryS() {
    rate_.Decay(now_, kTrafficS);
    return std::clamp(
        kEvidence * std::min(kTrafficS, Seconds(now_ - core_.start)) / std::max(1e-3, rate_.sum), kSmoothS,
        kTrafficS);
  }

  [[nodiscard]] double Usual(const RequestState& r) const {
    return r.cls < 0 ? 0.0 : class_latency_[static_cast<std::size_t>(r.cls)];
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
  [[nodiscard]] double Length(const RequestState& r) const {
    double sum = 0, total = 0;
    for (std::size_t i = 0; i < traffic_.size(); ++i) {
      const double plain = class_plain_[i / set_.plans.size()];
      if (plain > 0) sum += traffic_[i].sum * plain, total += traffic_[i].sum;
    }
    const double own = r.cls < 0 ? 0.0 : class_plain_[static_cast<std::size_t>(r.cls)];
    return sum <= 0 || own <= 0 ? 1.0 : std::clamp(own * total / sum, 1 / kLengthMost, kLengthMost);
  }

  // An attempt leaves the load figures: it was served or ended, or its aim passed.
  void StopTiming(const RequestState& r, Attempt& a, bool counts) {
    if (a.timed) CountOpen(-1);
    if (!std::exchange(a.timed, false) || !counts) return;
    answered_.sum += Length(r);
    rate_.Add(now_, 1.0, kTrafficS);
  }

  [[nodiscard]] double UsualOf(std::size_t cls) const { return class_latency_[cls]; }  // seconds

  // A good answer of this class came after `s` seconds. `queued`: what takes long was learnt in a queue.
  void Answered(int cls, double s, bool queued) {
    double& mean = class_latency_[static_cast<std::size_t>(cls)];
    mean += (s - mean) * (mean == 0 ? 1.0 : kLatencyShare);
    double& plain = class_plain_[static_cast<std::size_t>(cls)];
    plain += (s - plain) * (plain == 0 ? 1.0 : s < plain ? kPlainDown : queued ? 0.0 : kPlainUp);
  }

  void Reported(double utilization) {
    used_.Add(now_, utilization, kTrafficS);
    used_n_.Add(now_, 1, kTrafficS);
  }
  // Whether servers report less use than this on average; false where they report none.
  [[nodiscard]] bool ReportedBelow(double use) const {
    return used_n_.sum > 0 && used_.sum < use * used_n_.sum;
  }

  // Seconds that an attempt now spends in service, by Little's law: attempts out over answers a second. An
  // attempt counts until its aim at most, so that answers that never come do not look like queues.
  double Latency() {
    CountOpen(0);
    return busy_.sum / std::max(answered_.sum, 0.5);
  }
  // How much that says, 0 to 1.
  [[nodiscard]] double Sure() const { return std::min(1.0, (answered_.sum + open_) / kBaseAnswers); }
  // What service takes when nothing queues: follows lulls at once and forgets them slowly. `shedding`: now is
  // no good time to learn what is usual.
  [[nodiscard]] double base() const { return base_latency_; }
  void LearnBase(bool shedding) {
    if (answered_.sum <= kBaseAnswers) return;
    const double latency = busy_.sum / answered_.sum;
    if (base_latency_ <= 0) base_latency_ = latency;
    const bool good = !shedding && latency < kGoodLatency * base_latency_;
    if (good) usual_out_ += (busy_.sum / MemoryS() - usual_out_) * kUsualOut;
    base_latency_ += (latency - base_latency_) * (latency < base_latency_ ? kBaseDown : kBaseUp);
    base_latency_ = std::min(base_latency_, kBaseMost * Seconds(longest_objective_));
  }
  // Whether this gateway has fewer attempts out than `share` of what it has in good times.
  bool OutBelow(double share) { return busy_.sum < share * usual_out_ * MemoryS(); }
  [[nodiscard]] double AnswersWithinTraffic() const { return rate_.sum; }

  // The sum of a figure of class and plan over the units of the traffic's mix, and those units.
  template <typename Figure>
  std::pair<double, double> OverTraffic(const Figure& figure) {
    double sum = 1e-9, total = 1e-9;
    for (std::size_t i = 0; i < traffic_.size(); ++i) {
      traffic_[i].Decay(now_, kTrafficS);
      total += traffic_[i].sum;
      sum += traffic_[i].sum * figure(i / set_.plans.size(), i % set_.plans.size());
    }
    return {sum, total};
  }

 private:
  DecayingAverage busy_, answered_, rate_;  // rate_: answers within kTrafficS
  DecayingAverage used_, used_n_;           // reported use of servers, summed, and the reports
  TimePoint open_at_{0};
  int open_ = 0;
  double base_latency_ = 0.0;
  double usual_out_ = 0.0;             // attempts out in good times
  std::vector<double> class_latency_;  // s: the mean of late
  std::vector<double> class_plain_;    // s: the fast tenth or so
  std::vector<DecayingAverage> traffic_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_STATISTICS_LOAD_STATISTICS_H_
