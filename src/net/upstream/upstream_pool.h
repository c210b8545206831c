// Connections to upstreams: one delivery attempt at a time on each, so that no answer waits behind another.
#ifndef POSTSPREAD_NET_UPSTREAM_UPSTREAM_POOL_H_
#define POSTSPREAD_NET_UPSTREAM_UPSTREAM_POOL_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/endpoint_list.h"
#include "net/log.h"
#include "net/loop.h"
#include "planner/types.h"
#include "resp/frame.h"
#include "resp/request.h"
#include "safety/rules.h"

namespace postspread::net {

struct AttemptKey {
  RequestId request = 0;
  int attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};

// Told how attempts and probes end: once each, possibly from within a call of the pool.
class AttemptListener {
 public:
  // `value` is the whole bulk string of a served attempt; it holds during the call.
  virtual void OnAttemptFinished(const planner::AttemptReport& report, std::string_view value) = 0;
  virtual void OnHealthCheckFinished(const planner::HealthCheckReport& report) = 0;
  // Whether anyone still waits for the request: asked when its first byte is about to leave.
  virtual bool IsStillNeeded(RequestId request) = 0;
  // An attempt or probe is not begun, for it would break this rule.
  virtual void OnRulePrevented(safety::Rule rule) = 0;
  // A served attempt's value is large and has begun to come. What is wanted with it?
  enum class Value { kWhole, kPass, kNone };
  // kPass: the attempt has ended with this, and its value is handed on in pieces until OnStreamFinished.
  virtual Value OnLargeValue(const planner::AttemptReport& report) = 0;
  // How many bytes of it can be taken now; where none, UpstreamPool::Resume tells when there is room again.
  virtual std::size_t StreamCapacity(RequestId request) = 0;
  // Takes `size` bytes from the front of `from`.
  virtual void StreamValue(RequestId request, evbuffer* from, std::size_t size) = 0;
  virtual void OnStreamFinished(RequestId request, bool whole) = 0;
  // The last byte of an attempt has gone to the upstream's socket.
  virtual void OnAttemptWritten() = 0;

 protected:
  ~AttemptListener() = default;
};

class UpstreamPool {
 public:
  struct Limits {
    std::chrono::microseconds dial_timeout{0};
    std::chrono::microseconds idle{0};  // the upstream closes what stood idle for so long
    std::size_t connections = 0;
  };

  UpstreamPool(event_base* base, Limits limits, AttemptListener& listener);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  // Takes discovery's word: addresses, restarts, and which upstreams may get nothing new.
  void Apply(const config::EndpointList& endpoint_list);

  // Writes `message` to a connection to the upstream; the attempt ends within `timeout`, or with the last
  // byte of a large value that has begun by then. Where the connection is still to come up, nothing of it is
  // written before it is, and what allowed the attempt is looked at once more: a request nobody waits for,
  // an upstream that is not Ready any more, or a first byte that would arrive later than `begin_within` from
  // now ends it as one that could not connect. The way there is taken to be as long as the connection took to
  // come up, which is at least there and back, and at most the dial time-out.
  // The time that the message tells the upstream is what is left of `timeout` when it is written.
  void StartAttempt(const AttemptKey& key, const std::string& upstream, const resp::EncodedRequest& message,
                    std::chrono::microseconds timeout, std::chrono::microseconds begin_within);
  // There is room again for the attempt's value.
  void Resume(const AttemptKey& key);
  // Gives up an attempt by closing its connection.
  void CancelAttempt(const AttemptKey& key);
  // Asks an upstream for its load report.
  void StartHealthCheck(const std::string& upstream);

 private:
  class Connection;
  struct PooledUpstream;
  struct KeyHash {
    std::size_t operator()(const AttemptKey& key) const {
      return std::hash<std::uint64_t>()(key.request * 8 + static_cast<unsigned>(key.attempt));
    }
  };

  Connection* Open(PooledUpstream& upstream);
  Connection* FindIdle(PooledUpstream& upstream);
  void Start(PooledUpstream& upstream, const AttemptKey* key, const resp::EncodedRequest& message,
             std::chrono::microseconds timeout, std::chrono::microseconds begin_within);
  void CloseIdle(PooledUpstream& upstream, Clock::time_point unused_since);
  void NoteGap(std::chrono::microseconds gap);
  std::chrono::microseconds Stall() const;
  void NoteUnasked();
  void Upkeep();
  bool EvictIdle();
  std::unique_ptr<Connection> Remove(Connection& connection);

  event_base* base_;
  Limits limits_;
  const std::string probe_;                 // the message that asks for a load report
  std::chrono::microseconds reuse_within_;  // a connection that stood idle for longer is not written to
  AttemptListener& listener_;
  std::unordered_map<std::string, std::unique_ptr<PooledUpstream>> upstreams_;
  std::unordered_map<AttemptKey, Connection*, KeyHash> attempts_;
  std::size_t open_ = 0;                      // connections
  std::chrono::microseconds longest_gap_{0};  // in small answers that went on, fading
  Clock::time_point rests_until_;             // connections rest between two uses
  std::string message_;                       // as it is written
  RareLog malformed_, not_dialled_;
  Timer upkeep_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_UPSTREAM_POOL_H_
