// The requests that have no final response yet, and the bytes that they hold.
#ifndef POSTSPREAD_NET_GATEWAY_IN_FLIGHT_REQUESTS_H_
#define POSTSPREAD_NET_GATEWAY_IN_FLIGHT_REQUESTS_H_

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "flow/byte_budget.h"
#include "net/downstream/request_handler.h"
#include "ops/metrics.h"
#include "resp/request.h"
#include "safety/attempt_rules.h"

namespace postspread::net {

struct InFlightRequest {
  resp::EncodedRequest encoded;
  RetrySafety retry_safety = RetrySafety::kIdempotent;  // of its class when it was admitted
  std::vector<safety::EarlierAttempt> attempts{};       // by attempt number
  ResponseWriter* writer = nullptr;  // null: its client has disconnected, and others need its result
  ResponseWriter::Slot slot = 0;
  ops::ClassMetrics* metrics = nullptr;  // of its class
};

class InFlightRequests {
 public:
  // Encoded requests are charged to `requests`, those longer than a command's head to `large_requests`.
  InFlightRequests(flow::ByteBudget& requests, flow::ByteBudget& large_requests)
      : requests_budget_(requests), large_requests_budget_(large_requests) {}

  // Reserves the bytes of a request that is to be added. False: the budget is used up.
  bool Reserve(const resp::EncodedRequest& encoded);
  // The bytes of `request` have been reserved.
  void Add(RequestId id, InFlightRequest request);
  // Null where it is not in flight. Holds until the request is released.
  [[nodiscard]] InFlightRequest* Find(RequestId id);
  // Ends the request: whoever takes it from here owns its final response. Nothing where it has ended before.
  std::optional<InFlightRequest> Release(RequestId id);

  [[nodiscard]] std::size_t size() const { return in_flight_.size(); }
  // Those whose client waits for the response.
  [[nodiscard]] std::vector<RequestId> Awaited() const;

 private:
  flow::ByteBudget& BudgetOf(const resp::EncodedRequest& encoded);

  flow::ByteBudget& requests_budget_;
  flow::ByteBudget& large_requests_budget_;
  std::unordered_map<RequestId, InFlightRequest> in_flight_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_IN_FLIGHT_REQUESTS_H_
