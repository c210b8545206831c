// One attempt, or health check, on a connection: what is sent, until when, and whether it still may be.
#ifndef POSTSPREAD_NET_UPSTREAM_UPSTREAM_ATTEMPT_H_
#define POSTSPREAD_NET_UPSTREAM_UPSTREAM_ATTEMPT_H_

#include <chrono>
#include <optional>
#include <string>

#include "net/loop.h"
#include "net/upstream/attempt_listener.h"
#include "resp/request.h"
#include "safety/attempt_rules.h"

namespace postspread::net {

struct UpstreamAttempt {
  enum class Kind { kRequest, kHealthCheck };

  // Begins now, ends within `timeout`; its first byte must arrive within `begin_within`.
  static UpstreamAttempt ForRequest(const AttemptKey& key, const resp::EncodedRequest& message,
                                    std::chrono::microseconds timeout,
                                    std::chrono::microseconds begin_within);
  static UpstreamAttempt ForHealthCheck(std::chrono::microseconds timeout);

  [[nodiscard]] bool is_health_check() const { return kind == Kind::kHealthCheck; }
  [[nodiscard]] std::chrono::microseconds Elapsed() const;

  // The rule that forbids to send the first byte now; nothing: it may be sent. `connection` holds what is
  // known of the connection; what is known of the attempt is filled in here.
  [[nodiscard]] std::optional<safety::Rule> FindBrokenRule(safety::AttemptFacts connection,
                                                           AttemptListener& listener,
                                                           Clock::time_point now) const;

  // Writes the request with the time that is left. Returns whether the first byte has been sent; if not,
  // nothing has been written. `buffer` is scratch space.
  bool Write(bufferevent* connection, std::string& buffer) const;

  Kind kind = Kind::kRequest;
  AttemptKey key;                // of a request
  resp::EncodedRequest message;  // of a request, until its first byte has been sent
  Clock::time_point started_at;
  Clock::time_point begin_by;  // the first byte may not arrive later
  Clock::time_point deadline;
  bool is_fully_written = false;  // counted once, when the last byte has gone to the socket; a request's only
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_UPSTREAM_ATTEMPT_H_
