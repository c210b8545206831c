#include "idempotency/action_writer.h"

#include <memory>
#include <utility>

namespace postspread::idempotency {

void ActionWriter::Complete(const Waiter& waiter, std::shared_ptr<const std::string> value) {
  AddFinalAction(waiter, CompleteRequest{waiter.id, std::move(value)});
}

void ActionWriter::Reject(const Waiter& waiter, Duration retry_after) {
  AddFinalAction(waiter, RejectWithRetryAfter{waiter.id, retry_after});
}

void ActionWriter::Fail(const Waiter& waiter, FailureReason reason) {
  switch (reason) {
    case FailureReason::kUnknownOutcome:
      ++counts_.unknown_outcomes;
      break;
    case FailureReason::kResponseDropped:
      ++counts_.dropped_responses;
      break;
    case FailureReason::kFingerprintMismatch:
      ++counts_.fingerprint_mismatches;
      break;
  }
  AddFinalAction(waiter, FailRequest{waiter.id, reason});
}

void ActionWriter::StartUnprotected(const Waiter& waiter) {
  Add(idempotency::StartUnprotected{waiter.id, waiter.work, waiter.deadline});
}

void ActionWriter::CompleteAll(Entry& entry, std::string value) {
  const auto shared = std::make_shared<const std::string>(std::move(value));
  for (const Waiter& waiter : store_.TakeWaiters(entry)) Complete(waiter, shared);
}

void ActionWriter::RejectAll(Entry& entry, Duration retry_after) {
  for (const Waiter& waiter : store_.TakeWaiters(entry)) Reject(waiter, retry_after);
}

void ActionWriter::FailAll(Entry& entry, FailureReason reason) {
  for (const Waiter& waiter : store_.TakeWaiters(entry)) Fail(waiter, reason);
}

void ActionWriter::StartAllUnprotected(Entry& entry) {
  for (const Waiter& waiter : store_.TakeWaiters(entry)) StartUnprotected(waiter);
}

}  // namespace postspread::idempotency
