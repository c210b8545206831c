// Starts the work on keys here: first attempts, and attempts after one that may have run.
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
  WorkRunner(const Limits& limits, AnswerFetcher& fetcher, ActionWriter& actions, Counts& counts)
      : limits_(limits), fetcher_(fetcher), actions_(actions), counts_(counts) {}

  // The claim of this key is granted: starts the first attempt.
  void StartFirstAttempt(Entry& entry, TimePoint now);
  // The work may have run and its answer is out of reach. As long as the upstreams still drop repeats, one
  // more attempt may go to the same group; after that the waiters fail, for it could be executed twice.
  void Resume(Entry& entry, TimePoint now);

 private:
  // With the request of the waiter that can wait longest.
  void Start(Entry& entry, TimePoint now);

  const Limits& limits_;
  AnswerFetcher& fetcher_;
  ActionWriter& actions_;
  Counts& counts_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_WORK_RUNNER_H_
