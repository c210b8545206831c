// A request from its arrival until its last attempt has ended.
#ifndef POSTSPREAD_POLICY_REQUEST_STATE_H_
#define POSTSPREAD_POLICY_REQUEST_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "postspread/control.h"

namespace postspread::policy {

struct Attempt {
  std::string server;
  TimePoint sent{0};
  bool open = true;
  bool may_have_run = true;
  bool counted_in_load = true;  // until it ends or its latency objective passes
};

enum class RequestStage { kAwaitingCounter, kDelayed, kReadyToSend, kInFlight, kFinished };

// On what ground the quota has admitted a request: counted in the counter's total, by the local limiter, or
// beyond the quota.
enum class QuotaGrant { kNone, kCounted, kLocal, kOverQuota };

struct RequestState {
  RequestId id = 0;
  // Places in the settings as they were when it came; negative: not there.
  int class_index = -1;
  int plan_index = -1;
  int max_attempts = 1;
  std::shared_ptr<const ClassSettings> class_settings;  // null: an unknown class
  std::string customer;
  double units = 1.0;
  double charge_multiplier = 1.0;  // requests that its counter call stands for
  TimePoint deadline{0};
  TimePoint objective_at{0};
  RequestStage stage = RequestStage::kAwaitingCounter;
  QuotaGrant grant = QuotaGrant::kNone;
  bool is_client_retry = false;
  bool retries_after_cancel = false;  // the open attempt is cancelled so that another can be sent
  std::optional<KeyPin> key_pin;
  TimePoint key_expiry{0};                      // with a key pin
  std::optional<std::int64_t> borrowed_period;  // the later period that its units were moved to
  std::vector<Attempt> attempts;

  // The rules of its class; of an unknown class the strictest.
  [[nodiscard]] const ClassSettings& Class() const;
  [[nodiscard]] bool HasOpenAttempt() const;
  // Until when a repeat of what may have run is recognized as one; the deadline where nothing may have run.
  [[nodiscard]] TimePoint RepeatableUntil() const;
  // Whether the client may send it again, whatever its attempts have done.
  [[nodiscard]] bool IsSafeToRepeat() const;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_REQUEST_STATE_H_
