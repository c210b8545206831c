// What the parts of the module share: settings in force, the clock of the event, requests, the way out.
#ifndef POSTSPREAD_STATISTICS_CORE_H_
#define POSTSPREAD_STATISTICS_CORE_H_

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "postspread/control.h"
#include "statistics/measure.h"

namespace postspread::policy {

enum Due { kSweepDue = 1, kEndDue, kAskDue, kFreeDue, kCheckDue, kRetryDue, kLateDue, kListDue };
inline std::uint64_t Token(Due kind, RequestId id) { return static_cast<std::uint64_t>(kind) << 48 | id; }

struct Attempt {
  std::string server;
  TimePoint sent{0};
  bool open = true, may_have_run = true;
  bool timed = true;  // still in busy_: open, and its aim not passed
};

enum class Stage { kAsking, kDelayed, kReady, kOut, kDone };
enum class Grant { kNone, kCounted, kLocal, kExcess };

struct RequestState {
  RequestId id = 0;
  int cls = -1, plan = -1, most_attempts = 1;  // of the settings as they were when it came; -1: not there
  std::shared_ptr<const ClassSettings> rules;
  std::string customer;
  double units = 1.0, weight = 1.0;
  TimePoint deadline{0}, objective_at{0};
  Stage stage = Stage::kAsking;
  Grant grant = Grant::kNone;
  bool retry = false;   // a client's repeat: part of its aim is gone
  bool resend = false;  // the open attempt is being cancelled so that another can go out
  std::optional<KeyPin> pin;
  std::int64_t moved_to = -1;  // the later period that its units were moved to; -1: none
  TimePoint key_until{0};      // with a pin by an earlier request that may have run
  std::vector<Attempt> attempts;
};

// What a part decided on a request; src/policy/control.cpp carries it out.
struct Verdict {
  enum What { kNone, kSend, kWait, kRefuse } what = kNone;
  Duration time{0};  // kWait: until when; kRefuse: the least retry-after
};

struct Core {
  Settings set{};
  std::vector<std::shared_ptr<const ClassSettings>> rules{};  // those of `set`, for requests to hold
  Duration longest_objective{0};
  std::uint64_t random = 0;
  TimePoint now{0}, start{0};
  TimePoint stall_end{0};  // when this gateway last found that it had stood still
  std::vector<Action>* out = nullptr;
  std::unordered_map<RequestId, RequestState> requests{};
};

// A part's view of it.
class Part {
 protected:
  explicit Part(Core& core)
      : core_(core),
        set_(core.set),
        longest_objective_(core.longest_objective),
        now_(core.now),
        requests_(core.requests) {}
  void Do(Action action) { core_.out->push_back(std::move(action)); }
  double Random() {
    core_.random = Mix(core_.random);
    return static_cast<double>(core_.random >> 11) * 0x1p-53;
  }

  [[nodiscard]] const ClassSettings& Cls(const RequestState& r) const {
    static const ClassSettings kUnknown{"", Duration(1), Duration(1), RetrySafety::kNotIdempotent};
    return r.rules == nullptr ? kUnknown : *r.rules;
  }
  // Until when what may have run before is still known as the same; the deadline where nothing may have.
  [[nodiscard]] TimePoint RepeatUntil(const RequestState& r) const {
    TimePoint out = r.pin && r.pin->may_have_run ? std::min(r.deadline, r.key_until) : r.deadline;
    for (const Attempt& a : r.attempts) {
      if (a.may_have_run && Cls(r).retry_safety == RetrySafety::kIdempotencyKey)
        out = std::min(out, a.sent + Cls(r).key_ttl);
    }
    return out;
  }
  [[nodiscard]] const PlanSettings& Plan(int plan) const {
    static const PlanSettings kUnknown;
    return plan < 0 ? kUnknown : set_.plans[static_cast<std::size_t>(plan)];
  }

  Core& core_;
  const Settings& set_;
  const Duration& longest_objective_;
  const TimePoint& now_;
  std::unordered_map<RequestId, RequestState>& requests_;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_STATISTICS_CORE_H_
