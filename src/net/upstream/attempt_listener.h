// How attempts and health checks report to whoever started them.
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

// Notified how attempts and health checks end: once each, possibly from within a call of the pool.
class AttemptListener {
 public:
  // `value` is the complete bulk string of an attempt that succeeded; valid during the call.
  virtual void OnAttemptFinished(const planner::AttemptReport& report, std::string_view value) = 0;
  virtual void OnHealthCheckFinished(const planner::HealthCheckReport& report) = 0;
  // Whether anyone still waits for the request; called when its first byte is about to be sent.
  virtual bool IsStillNeeded(RequestId request) = 0;
  // An attempt or health check was not sent, since it would break this rule.
  virtual void OnRulePrevented(safety::Rule rule) = 0;
  // The value of an attempt that succeeds is large and has begun to arrive.
  enum class Value {
    kWhole,  // buffer it, and report it with OnAttemptFinished
    kPass,   // stream it: this call was the attempt's report, and OnStreamFinished follows
    kNone,   // nobody wants it
  };
  virtual Value OnLargeValue(const planner::AttemptReport& report) = 0;
  // How many bytes of the stream can be taken now; after 0, UpstreamPool::Resume says when there is capacity.
  virtual std::size_t StreamCapacity(RequestId request) = 0;
  // Takes `size` bytes from the front of `from`.
  virtual void StreamValue(RequestId request, evbuffer* from, std::size_t size) = 0;
  virtual void OnStreamFinished(RequestId request, StreamEnd end) = 0;
  // The last byte of an attempt has been written to the upstream's socket.
  virtual void OnAttemptWritten() = 0;

 protected:
  ~AttemptListener() = default;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_ATTEMPT_LISTENER_H_
