#include "net/upstream/upstream_attempt.h"

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace postspread::net {
namespace {

using std::chrono::milliseconds;

constexpr int kStallDoublingsPerAttempt = 2;
constexpr int kMaxStallDoublings = 8;
constexpr std::size_t kMaxJoinedTail = std::size_t{16} * 1024;  // bytes; a longer tail is written by itself

}  // namespace

UpstreamAttempt UpstreamAttempt::ForRequest(const AttemptKey& key, const resp::EncodedRequest& message,
                                            const AttemptLimits& limits) {
  const auto now = Clock::now();
  UpstreamAttempt attempt;
  attempt.key = key;
  attempt.message = message;
  attempt.started_at = now;
  attempt.arrive_by = now + limits.arrival_timeout;
  attempt.deadline = now + limits.timeout;
  attempt.on_stall = limits.on_stall;
  return attempt;
}

UpstreamAttempt UpstreamAttempt::ForHealthCheck(std::chrono::microseconds timeout) {
  UpstreamAttempt attempt = ForRequest({}, {}, {.timeout = timeout, .arrival_timeout = timeout});
  attempt.kind = Kind::kHealthCheck;
  attempt.is_fully_written = true;
  return attempt;
}

std::chrono::microseconds UpstreamAttempt::Elapsed() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - started_at);
}

std::chrono::microseconds UpstreamAttempt::TimeLeft() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(deadline - Clock::now());
}

// An upstream that stalls in each attempt writes slowly, which a further attempt does not change.
std::chrono::microseconds UpstreamAttempt::StallTimeout(std::chrono::microseconds typical) const {
  if (on_stall == StallPolicy::kWait) return TimeLeft();
  const int doublings = std::min(kStallDoublingsPerAttempt * key.attempt, kMaxStallDoublings);
  return std::min(TimeLeft(), typical * (1 << doublings));
}

std::optional<safety::Rule> UpstreamAttempt::FindBrokenRule(safety::AttemptFacts connection,
                                                            AttemptListener& listener,
                                                            Clock::time_point now) const {
  safety::AttemptFacts& facts = connection;
  facts.arrive_by = arrive_by;
  facts.deadline = deadline;
  if (is_health_check()) return safety::MayProbe(facts);
  facts.client_waits = listener.IsStillNeeded(key.request);
  return safety::MayBegin(facts, now);
}

safety::DeliveryFacts UpstreamAttempt::DeliveryFactsOn(bufferevent* connection, std::size_t unwritten,
                                                       AttemptListener& listener) const {
  safety::DeliveryFacts facts = UnsentFacts();
  facts.client_waits = is_health_check() || listener.IsStillNeeded(key.request);
  facts.unsent = unwritten + UnsentBySystem(connection);
  facts.unacknowledged = unwritten + Unacknowledged(connection);
  return facts;
}

safety::DeliveryFacts UpstreamAttempt::UnsentFacts() const {
  return {.client_waits = true,
          .unsent = 1,
          .unacknowledged = 1,
          .stated_timeout = stated_timeout,
          .arrive_by = arrive_by,
          .deadline = deadline};
}

MessageWriter::Progress UpstreamAttempt::BeginWriting(MessageWriter& writer, evutil_socket_t fd,
                                                      std::string& buffer) {
  const std::string_view tail = message.tail();
  const bool is_joined = tail.size() <= kMaxJoinedTail;
  buffer.clear();
  // Reads the clock as late as possible, since the system may suspend the process at any point.
  const auto time_left = std::chrono::floor<std::chrono::microseconds>(deadline - Clock::now());
  const auto timeout = std::chrono::floor<milliseconds>(safety::TimeoutToState(time_left, message.size()));
  stated_timeout = std::max(milliseconds(1), timeout);
  message.RenderHead(std::max(milliseconds(1), timeout), buffer);
  const std::size_t head_size = buffer.size();
  if (is_joined) buffer += tail;
  const std::string_view written(buffer);
  return writer.Begin(fd, {.head = written.substr(0, head_size),
                           .tail = tail,
                           .owner = message.text(),
                           .joined = is_joined ? written : std::string_view()});
}

}  // namespace postspread::net
