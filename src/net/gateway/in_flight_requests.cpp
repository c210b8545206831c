#include "net/gateway/in_flight_requests.h"

#include <utility>

#include "flow/memory_costs.h"

namespace postspread::net {
namespace {

bool IsLarge(const resp::EncodedRequest& encoded) { return encoded.size() > resp::kMaxHead; }

std::size_t CostOf(const resp::EncodedRequest& encoded) {
  return encoded.size() + (IsLarge(encoded) ? 0 : flow::kRequestBytes);
}

}  // namespace

bool InFlightRequests::Reserve(const resp::EncodedRequest& encoded) {
  return BudgetOf(encoded).TryReserve(CostOf(encoded));
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
  Unreserve(released->encoded);
  return released;
}

void InFlightRequests::Unreserve(const resp::EncodedRequest& encoded) {
  flow::ByteBudget& budget = BudgetOf(encoded);
  budget.Release(CostOf(encoded));
  budget.GrantWaiting();
}

std::vector<RequestId> InFlightRequests::Awaited() const {
  std::vector<RequestId> awaited;
  for (const auto& [id, request] : in_flight_) {
    if (request.writer != nullptr) awaited.push_back(id);
  }
  return awaited;
}

flow::ByteBudget& InFlightRequests::BudgetOf(const resp::EncodedRequest& encoded) {
  return IsLarge(encoded) ? memory_.large_requests : memory_.requests;
}

}  // namespace postspread::net
