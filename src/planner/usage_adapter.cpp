#include "planner/usage_adapter.h"

#include <utility>

#include "idempotency/digest.h"

namespace postspread::planner {

UsageAdapter::UsageAdapter(const usage::UsageOptions& options, TimePoint now, std::vector<Action>& actions)
    : table_(options, now), actions_(actions) {}

void UsageAdapter::Observe(std::string_view customer, double demand, TimePoint now) {
  table_.Observe(idempotency::DigestCustomer(customer), demand, now);
}

double UsageAdapter::Demand(std::string_view customer, TimePoint now) const {
  return table_.Demand(idempotency::DigestCustomer(customer), now);
}

void UsageAdapter::Tick(TimePoint now) {
  std::optional<std::string> bytes = table_.Next(now);
  if (bytes) actions_.emplace_back(SendDatagram{SendDatagram::kAll, std::move(*bytes)});
}

}  // namespace postspread::planner
