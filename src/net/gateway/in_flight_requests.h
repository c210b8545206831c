// This module stores the requests in flight.
#ifndef POSTSPREAD_NET_GATEWAY_IN_FLIGHT_REQUESTS_H_
#define POSTSPREAD_NET_GATEWAY_IN_FLIGHT_REQUESTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "flow/memory_budgets.h"
#include "net/downstream/request_handler.h"
#include "ops/metrics.h"
#include "resp/request.h"
#include "safety/attempt_rules.h"

namespace postspread::net {

// Describes a request that has been admitted and has no final response yet.
struct InFlightRequest {
  resp::EncodedRequest encoded;
  // This is the retry safety that the request's class had when the request was admitted.
  RetrySafety retry_safety = RetrySafety::kIdempotent;
  // With an idempotency key: how long upstreams recognize the key after an attempt.
  std::chrono::microseconds key_ttl{0};
  // With a claim: the hash of the client's id under which the request is claimed; else 0.
  std::uint64_t claimed_id_hash = 0;
  // The index is the attempt number.
  std::vector<safety::EarlierAttempt> attempts{};
  // This is null if the client has disconnected and other requests need the result.
  ResponseWriter* writer = nullptr;
  ResponseWriter::Slot slot = 0;
  // These are the metrics of the request's class.
  ops::ClassMetrics* metrics = nullptr;
};

// Owns the requests that have no final response yet, and bounds the bytes that they use.
class InFlightRequests {
 public:
  // A request that is longer than the maximum head of a command is charged to the budget of large requests,
  // and any other to that of requests.
  explicit InFlightRequests(flow::MemoryBudgets& memory) : memory_(memory) {}

  // Reserves the bytes of a request before it is added. Returns false if the budget is used up.
  bool Reserve(const resp::EncodedRequest& encoded);
  // Releases the bytes of a request that is not added.
  void Unreserve(const resp::EncodedRequest& encoded);
  // Adds a request whose bytes have been reserved.
  void Add(RequestId id, InFlightRequest request);
  // Returns null if the request is not in flight. The pointer is valid until the request is released.
  [[nodiscard]] InFlightRequest* Find(RequestId id);
  // Removes the request and releases its bytes. The caller must send its final response. Returns nothing
  // if the request has ended before.
  std::optional<InFlightRequest> Release(RequestId id);

  [[nodiscard]] std::size_t size() const { return in_flight_.size(); }
  // Returns the requests whose client waits for the response.
  [[nodiscard]] std::vector<RequestId> Awaited() const;

 private:
  flow::ByteBudget& BudgetOf(const resp::EncodedRequest& encoded);

  flow::MemoryBudgets& memory_;
  std::unordered_map<RequestId, InFlightRequest> in_flight_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_IN_FLIGHT_REQUESTS_H_
