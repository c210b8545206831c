// One attempt or health check on a connection: its message, its deadline, and the checks whether it may still
// be sent.
#ifndef POSTSPREAD_NET_UPSTREAM_UPSTREAM_ATTEMPT_H_
#define POSTSPREAD_NET_UPSTREAM_UPSTREAM_ATTEMPT_H_

#include <chrono>
#include <optional>
#include <string>

#include "net/loop.h"
#include "net/upstream/attempt_listener.h"
#include "net/upstream/message_writer.h"
#include "resp/request.h"
#include "safety/attempt_rules.h"

namespace postspread::net {

// Until when an attempt waits for the rest of a response that has begun to arrive and stalls.
enum class StallPolicy {
  kRetry,  // a further attempt may follow, so the wait is short at first and grows with each attempt
  kWait,   // until the deadline, as no further attempt may follow
};

struct AttemptLimits {
  std::chrono::microseconds timeout{0};          // the attempt ends within this time
  std::chrono::microseconds arrival_timeout{0};  // its last byte must arrive within this time
  StallPolicy on_stall = StallPolicy::kWait;
};

struct UpstreamAttempt {
  enum class Kind { kRequest, kHealthCheck };

  // The attempt starts now and ends within `timeout`. Its last byte must arrive within `arrival_timeout`.
  static UpstreamAttempt ForRequest(const AttemptKey& key, const resp::EncodedRequest& message,
                                    const AttemptLimits& limits);
  static UpstreamAttempt ForHealthCheck(std::chrono::microseconds timeout);

  [[nodiscard]] bool is_health_check() const { return kind == Kind::kHealthCheck; }
  [[nodiscard]] std::chrono::microseconds Elapsed() const;
  [[nodiscard]] std::chrono::microseconds TimeLeft() const;
  // Returns for how long a response that has begun may stall, where `typical` suffices for most.
  [[nodiscard]] std::chrono::microseconds StallTimeout(std::chrono::microseconds typical) const;

  // Returns the rule that forbids sending the first byte now, or nothing if it may be sent. `connection`
  // holds the facts about the connection; this function adds those about the attempt.
  [[nodiscard]] std::optional<safety::Rule> FindBrokenRule(safety::AttemptFacts connection,
                                                           AttemptListener& listener,
                                                           Clock::time_point now) const;

  // Returns the facts that decide whether the rest of the message may be delivered over `connection`, of
  // which `unwritten` bytes wait in this process.
  [[nodiscard]] safety::DeliveryFacts DeliveryFactsOn(bufferevent* connection, std::size_t unwritten,
                                                      AttemptListener& listener) const;

  // Returns the same facts as if a byte had not left this machine, without a call to the system.
  [[nodiscard]] safety::DeliveryFacts UnsentFacts() const;

  // Begins to write the request with its remaining time. `buffer` is scratch space.
  MessageWriter::Progress BeginWriting(MessageWriter& writer, evutil_socket_t fd, std::string& buffer);

  Kind kind = Kind::kRequest;
  AttemptKey key;                // set for a request only
  resp::EncodedRequest message;  // set for a request only, until its first byte has been sent or it has ended
  Clock::time_point started_at;
  Clock::time_point arrive_by;  // the latest arrival of the last byte
  Clock::time_point deadline;
  StallPolicy on_stall = StallPolicy::kWait;
  std::chrono::microseconds stated_timeout{0};  // the time left that the message's head states
  // Whether the last byte has been written to the socket, so that the attempt is counted once. Always true
  // for a health check, which is not counted.
  bool is_fully_written = false;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_UPSTREAM_ATTEMPT_H_
