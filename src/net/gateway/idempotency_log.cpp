#include "net/gateway/idempotency_log.h"

#include <chrono>

#include "net/log.h"

namespace postspread::net {
namespace {

constexpr std::chrono::seconds kInterval{10};

}  // namespace

IdempotencyLog::IdempotencyLog(event_base* base, planner::Planner& planner)
    : planner_(planner), timer_(base, [this] { LogChanges(); }) {}

void IdempotencyLog::Start() {
  if (planner_.replica() != nullptr) timer_.Arm(kInterval);
}

void IdempotencyLog::LogChanges() {
  idempotency::IdempotencyReplica* replica = planner_.replica();
  if (replica == nullptr) return;
  timer_.Arm(kInterval);
  const idempotency::Counts& counts = replica->counts();
  if (counts == logged_) return;
  Log("idempotency store",
      idempotency::Summary(counts, replica->size(), replica->used(), replica->peak(), replica->bound()));
  logged_ = counts;
}

}  // namespace postspread::net
