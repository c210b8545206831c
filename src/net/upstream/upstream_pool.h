// Owns the connections to all upstreams. Each connection carries one attempt at a time, so that no reply
// waits for another.
#ifndef POSTSPREAD_NET_UPSTREAM_UPSTREAM_POOL_H_
#define POSTSPREAD_NET_UPSTREAM_UPSTREAM_POOL_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/endpoint_list.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/upstream/attempt_listener.h"
#include "net/upstream/pooled_upstream.h"
#include "net/upstream/upstream_attempt.h"
#include "net/upstream/upstream_connection.h"
#include "resp/request.h"

namespace postspread::net {

class UpstreamPool final : private UpstreamConnectionOwner {
 public:
  struct Limits {
    std::chrono::microseconds dial_timeout{0};
    std::chrono::microseconds idle{0};  // idle time after which upstreams close a connection
  };

  // The budgets and the listener must outlive the pool.
  UpstreamPool(event_base* base, Limits limits, flow::MemoryBudgets& memory, AttemptListener& listener);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  // Applies an update of the endpoint list: addresses, restarts, and which upstreams take new requests.
  void Apply(const config::EndpointList& endpoint_list);

  // Writes `message` to a connection to the upstream. The attempt ends within its timeout, or with the last
  // byte of a large value that has begun to arrive in that time. If the connection has to be opened first,
  // the rules are checked again before the first byte is sent: if no client waits for the request, the
  // upstream is not ready any more, or a byte would arrive later than the arrival timeout, the attempt
  // ends as kConnectFailed. They are checked for each further piece, too, until the upstream's machine has
  // the last byte; if a rule forbids the rest, the connection is reset. The delay of a byte is estimated as
  // the time that the connection took to be established (at least a round trip), and at most the dial
  // timeout. The message tells the upstream the rest of its timeout at the time of writing.
  void StartAttempt(const AttemptKey& key, const std::string& upstream, const resp::EncodedRequest& message,
                    const AttemptLimits& limits);
  // Continues the attempt's streamed value after its client has capacity again.
  void Resume(const AttemptKey& key);
  // Ends an attempt by closing its connection.
  void CancelAttempt(const AttemptKey& key);
  // Ends an attempt of which bytes have not left this machine, and does nothing to any other.
  void CancelIfPartlySent(const AttemptKey& key);
  // Frees what is left to send of an attempt whose request has ended and whose message is no longer reserved.
  void DiscardMessage(const AttemptKey& key);
  // The last byte of an attempt that has begun must arrive before `arrive_by`.
  void LimitArrival(const AttemptKey& key, Clock::time_point arrive_by);
  // Requests the load report of an upstream.
  void StartHealthCheck(const std::string& upstream);

  [[nodiscard]] std::size_t size() const { return open_connections_; }

 private:
  // UpstreamConnectionOwner
  std::unique_ptr<UpstreamConnection> Remove(UpstreamConnection& connection) override;
  void RemoveAttempt(const AttemptKey& key) override { attempts_.erase(key); }
  void CloseIdleConnections(PooledUpstream& upstream) override;

  PooledUpstream& FindOrAdd(const std::string& name);
  void Start(const std::string& upstream, UpstreamAttempt attempt);
  UpstreamConnection* Acquire(PooledUpstream& upstream);
  UpstreamConnection* FindIdle(PooledUpstream& upstream);
  UpstreamConnection* Open(PooledUpstream& upstream);
  bool EvictIdle();
  void CloseIdleSince(PooledUpstream& upstream, Clock::time_point idle_since);
  static void CloseUnsent(PooledUpstream& upstream);
  void RunMaintenance();

  const Limits limits_;
  const std::chrono::microseconds max_idle_;  // maximum idle time of a connection that is reused
  UpstreamConnectionContext context_;
  std::unordered_map<std::string, std::unique_ptr<PooledUpstream>> upstreams_;  // by name
  std::unordered_map<AttemptKey, UpstreamConnection*, AttemptKeyHash> attempts_;
  std::size_t open_connections_ = 0;
  RateLimitedLog not_dialed_log_;
  Timer maintenance_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_UPSTREAM_POOL_H_
