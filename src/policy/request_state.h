// The state of a request from its arrival until its last attempt has ended.
#ifndef POSTSPREAD_POLICY_REQUEST_STATE_H_
#define POSTSPREAD_POLICY_REQUEST_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "postspread/control.h"

namespace postspread::policy {

// What an attempt was sent to, as the endpoint list had it at that time. Later lists don't change it: the
// upstream may be removed, or its name may stand for another process in another zone or cell.
struct AttemptTarget {
  std::string upstream;
  std::string zone;
  std::int64_t cell = 0;
  TimePoint started{0};  // tells the incarnations of the upstream apart
};

struct Attempt {
  AttemptTarget target;
  TimePoint sent{0};
  bool open = true;
  bool may_have_run = true;
  bool counted_in_load = true;  // becomes false when the attempt ends or its latency objective passes
};

enum class RequestStage { kAwaitingCounter, kDelayed, kReadyToSend, kInFlight, kFinished };

// How the quota has admitted a request: counted in the counter's total, by the local limiter, or beyond the
// quota.
enum class QuotaGrant { kNone, kCounted, kLocal, kOverQuota };

struct RequestState {
  RequestId id = 0;
  // Indexes in the settings at the time of arrival. A negative index means that the settings have no such
  // entry.
  int class_index = -1;
  int plan_index = -1;
  int max_attempts = 1;
  std::shared_ptr<const ClassSettings> class_settings;  // null if the class is unknown
  std::string customer;
  double units = 1.0;
  double charge_multiplier = 1.0;  // the number of requests that its counter call stands for
  TimePoint deadline{0};
  TimePoint objective_at{0};
  RequestStage stage = RequestStage::kAwaitingCounter;
  QuotaGrant grant = QuotaGrant::kNone;
  bool is_client_retry = false;
  bool retries_after_cancel = false;  // the open attempt is cancelled and a retry follows
  std::optional<KeyBinding> key_binding;
  TimePoint key_expiry{0};                      // valid if key_binding is present
  std::optional<std::int64_t> borrowed_period;  // its units are counted in this later period
  std::vector<Attempt> attempts;

  // Returns the settings of its class, or the strictest ones if the class is unknown.
  [[nodiscard]] const ClassSettings& Class() const;
  [[nodiscard]] bool HasOpenAttempt() const;
  // Returns the time until which upstreams recognize a retry by its idempotency key. If nothing may have run,
  // this is the deadline.
  [[nodiscard]] TimePoint RetryableUntil() const;
  // Returns whether the client may safely retry the request: its class allows it, or nothing may have run.
  [[nodiscard]] bool IsSafeToRetry() const;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_REQUEST_STATE_H_
