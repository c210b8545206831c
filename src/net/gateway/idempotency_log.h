// Logs what the idempotency store did, at most once an interval.
#ifndef POSTSPREAD_NET_GATEWAY_IDEMPOTENCY_LOG_H_
#define POSTSPREAD_NET_GATEWAY_IDEMPOTENCY_LOG_H_

#include "idempotency/types.h"
#include "net/loop.h"
#include "planner/planner.h"

namespace postspread::net {

// Does nothing where the store is off.
class IdempotencyLog {
 public:
  IdempotencyLog(event_base* base, planner::Planner& planner);

  // Logs from now on, once an interval in which anything was done.
  void Start();
  // Logs now what was done since the last line, if anything was.
  void LogChanges();

 private:
  planner::Planner& planner_;
  idempotency::Counts logged_;  // at the last line
  Timer timer_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_IDEMPOTENCY_LOG_H_
