// This module logs the activity of the idempotency store.
#ifndef POSTSPREAD_NET_GATEWAY_IDEMPOTENCY_LOG_H_
#define POSTSPREAD_NET_GATEWAY_IDEMPOTENCY_LOG_H_

#include "idempotency/types.h"
#include "net/loop.h"
#include "planner/planner.h"

namespace postspread::net {

// Logs what the idempotency store did, at most once an interval. Does nothing if the store is disabled.
class IdempotencyLog {
 public:
  IdempotencyLog(event_base* base, planner::Planner& planner);

  // Starts logging: one line for each interval in which the store did anything.
  void Start();
  // Logs at once what the store did since the last line, if it did anything.
  void LogChanges();

 private:
  planner::Planner& planner_;
  // These are the counts in the last line.
  idempotency::Counts logged_;
  Timer timer_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_IDEMPOTENCY_LOG_H_
