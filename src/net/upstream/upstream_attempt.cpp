#include "net/upstream/upstream_attempt.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string_view>

namespace postspread::net {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxCopiedTail = std::size_t{16} * 1024;  // bytes; a longer tail is sent by reference

}  // namespace

UpstreamAttempt UpstreamAttempt::ForRequest(const AttemptKey& key, const resp::EncodedRequest& message,
                                            std::chrono::microseconds timeout,
                                            std::chrono::microseconds start_timeout) {
  const auto now = Clock::now();
  UpstreamAttempt attempt;
  attempt.key = key;
  attempt.message = message;
  attempt.started_at = now;
  attempt.begin_by = now + start_timeout;
  attempt.deadline = now + timeout;
  return attempt;
}

UpstreamAttempt UpstreamAttempt::ForHealthCheck(std::chrono::microseconds timeout) {
  UpstreamAttempt attempt = ForRequest({}, {}, timeout, timeout);
  attempt.kind = Kind::kHealthCheck;
  attempt.is_fully_written = true;
  return attempt;
}

std::chrono::microseconds UpstreamAttempt::Elapsed() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - started_at);
}

std::optional<safety::Rule> UpstreamAttempt::FindBrokenRule(safety::AttemptFacts connection,
                                                            AttemptListener& listener,
                                                            Clock::time_point now) const {
  safety::AttemptFacts& facts = connection;
  facts.begin_by = begin_by;
  facts.deadline = deadline;
  if (is_health_check()) return safety::MayProbe(facts);
  facts.client_waits = listener.IsStillNeeded(key.request);
  return safety::MayBegin(facts, now);
}

bool UpstreamAttempt::Write(bufferevent* connection, std::string& buffer) const {
  const std::string_view tail = message.tail();
  const bool is_copied = tail.size() <= kMaxCopiedTail;
  buffer.clear();
  // Reads the clock as late as possible, since the system may suspend the process at any point.
  const auto time_left = std::chrono::floor<milliseconds>(deadline - Clock::now());
  message.RenderHead(std::max(milliseconds(1), time_left), buffer);
  if (is_copied) buffer += tail;
  if (!TryWrite(connection, buffer)) return false;
  if (is_copied) return true;
  using SharedText = std::shared_ptr<const std::string>;
  evbuffer_add_reference(
      bufferevent_get_output(connection), tail.data(), tail.size(),
      [](const void*, std::size_t, void* text) { delete static_cast<SharedText*>(text); },
      new SharedText(message.text()));
  return true;
}

}  // namespace postspread::net
