// Connections to upstreams: one attempt at a time on each, so that no reply waits behind another.
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
    std::chrono::microseconds idle{0};  // upstreams close a connection that was idle for so long
    std::size_t connections = 0;        // open at once
  };

  // The listener outlives this.
  UpstreamPool(event_base* base, Limits limits, AttemptListener& listener);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  // Applies an update of discovery's list: addresses, restarts, and which upstreams take new requests.
  void Apply(const config::EndpointList& endpoint_list);

  // Writes `message` to a connection to the upstream; the attempt ends within `timeout`, or with the last
  // byte of a large value that has begun to arrive by then. Where the connection has to be opened first, what
  // allowed the attempt is checked again before its first byte is sent: if nobody waits for the request any
  // more, the upstream is not ready any more, or the first byte would arrive later than `begin_within` from
  // now, the attempt ends as kConnectFailed. A byte is taken to need as long to arrive as the connection took
  // to come up (at least a round trip), and at most the dial timeout. The message tells the upstream what is
  // left of `timeout` when it is written.
  void StartAttempt(const AttemptKey& key, const std::string& upstream, const resp::EncodedRequest& message,
                    std::chrono::microseconds timeout, std::chrono::microseconds begin_within);
  // The client has capacity again for the attempt's streamed value.
  void Resume(const AttemptKey& key);
  // Ends an attempt by closing its connection.
  void CancelAttempt(const AttemptKey& key);
  // Requests an upstream's load report.
  void StartHealthCheck(const std::string& upstream);

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
  const std::chrono::microseconds max_idle_;  // a connection that was idle for longer is not reused
  UpstreamConnectionContext context_;
  std::unordered_map<std::string, std::unique_ptr<PooledUpstream>> upstreams_;  // by name
  std::unordered_map<AttemptKey, UpstreamConnection*, AttemptKeyHash> attempts_;
  std::size_t open_connections_ = 0;
  RareLog not_dialed_log_;
  Timer maintenance_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_UPSTREAM_POOL_H_
