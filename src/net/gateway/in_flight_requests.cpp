#include "net/gateway/in_flight_requests.h"

#include <utility>

namespace postspread::net {

bool InFlightRequests::Reserve(const resp::EncodedRequest& encoded) {
  return BudgetOf(encoded).TryReserve(encoded.size());
}

void InFlightRequests::Add(RequestId id, InFlightRequest request) {
  in_flight_.emplace(id, std::move(request));
}

InFlightRequest* InFlightRequests::Find(RequestId id) {
  const auto found = in_flight_.find(id);
  return found == in_flight_.end() ? nullptr : &found->second;
}

std::optional<InFlightRequest> InFlightRequests::Release(RequestId id) {
  const auto found = in_flight_.find(id);
  if (found == in_flight_.end()) return std::nullopt;
  std::optional<InFlightRequest> released = std::move(found->second);
  in_flight_.erase(found);
  flow::ByteBudget& budget = BudgetOf(released->encoded);
  budget.Release(released->encoded.size());
  budget.GrantWaiting();
  return released;
}

std::vector<RequestId> InFlightRequests::Awaited() const {
  std::vector<RequestId> awaited;
  for (const auto& [id, request] : in_flight_) {
    if (request.writer != nullptr) awaited.push_back(id);
  }
  return awaited;
}

flow::ByteBudget& InFlightRequests::BudgetOf(const resp::EncodedRequest& encoded) {
  return encoded.size() > resp::kMaxHead ? large_requests_budget_ : requests_budget_;
}

}  // namespace postspread::net
