// Starts the work on keys on this gateway: first attempts, and attempts after one that may have been
// executed.
#ifndef POSTSPREAD_IDEMPOTENCY_WORK_RUNNER_H_
#define POSTSPREAD_IDEMPOTENCY_WORK_RUNNER_H_

#include "idempotency/action_writer.h"
#include "idempotency/answer_fetcher.h"
#include "idempotency/counts.h"
#include "idempotency/entry.h"
#include "idempotency/limits.h"
#include "idempotency/types.h"

namespace postspread::idempotency {

class WorkRunner {
 public:
  WorkRunner(const Limits& limits, ResponseFetcher& fetcher, ActionWriter& actions, Counts& counts)
      : limits_(limits), fetcher_(fetcher), actions_(actions), counts_(counts) {}

  // Starts the first attempt, after the claim of this key was granted.
  void StartFirstAttempt(Entry& entry, TimePoint now);
  // Handles work that may have been executed and whose response is not available. Within the deduplication
  // window it sends another attempt to the same group. After the window it fails the waiters, because another
  // attempt could be executed twice.
  void Resume(Entry& entry, TimePoint now);

 private:
  // Starts an attempt with the request of the waiter that has the latest deadline.
  void Start(Entry& entry, TimePoint now);

  const Limits& limits_;
  ResponseFetcher& fetcher_;
  ActionWriter& actions_;
  Counts& counts_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_WORK_RUNNER_H_
