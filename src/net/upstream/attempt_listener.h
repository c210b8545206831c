// The interface through which upstream connections report attempts and health checks to the code that started
// them.
#ifndef POSTSPREAD_NET_UPSTREAM_ATTEMPT_LISTENER_H_
#define POSTSPREAD_NET_UPSTREAM_ATTEMPT_LISTENER_H_

#include <event2/buffer.h>

#include <cstddef>
#include <functional>
#include <string_view>

#include "model/request.h"
#include "planner/types.h"
#include "safety/rules.h"

namespace postspread::net {

struct AttemptKey {
  RequestId request = 0;
  AttemptNumber attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};

struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& key) const {
    return std::hash<RequestId>()(key.request * 8 + static_cast<unsigned>(key.attempt));
  }
};

enum class StreamEnd { kComplete, kAborted };

// Receives the outcome of each attempt and health check exactly once, possibly from within a call of the
// pool.
class AttemptListener {
 public:
  // `value` is the complete bulk string that a successful attempt returned. It is valid during the call only.
  virtual void OnAttemptFinished(const planner::AttemptReport& report, std::string_view value) = 0;
  virtual void OnHealthCheckFinished(const planner::HealthCheckReport& report) = 0;
  // Returns whether a client still waits for the request. Called right before the request's first byte is
  // sent.
  virtual bool IsStillNeeded(RequestId request) = 0;
  // Called when an attempt or health check was not sent because sending it would have broken `rule`.
  virtual void OnRulePrevented(safety::Rule rule) = 0;
  // How the connection handles a large value.
  enum class Value {
    kBuffer,   // buffers it and reports it with OnAttemptFinished
    kStream,   // streams it: OnLargeValue was the attempt's report, and OnStreamFinished follows
    kDiscard,  // closes the connection, since no client waits for the value
  };
  // Called when an attempt succeeds with a large value whose first bytes have arrived.
  virtual Value OnLargeValue(const planner::AttemptReport& report) = 0;
  // Returns how many bytes of the stream the client can take now. After 0 the listener calls
  // UpstreamPool::Resume once there is capacity again.
  virtual std::size_t StreamCapacity(RequestId request) = 0;
  // Removes `size` bytes from the front of `from` and sends them to the client.
  virtual void StreamValue(RequestId request, evbuffer* from, std::size_t size) = 0;
  virtual void OnStreamFinished(RequestId request, StreamEnd end) = 0;
  // Called when the last byte of an attempt has been written to the upstream's socket.
  virtual void OnAttemptWritten() = 0;

 protected:
  ~AttemptListener() = default;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_ATTEMPT_LISTENER_H_
