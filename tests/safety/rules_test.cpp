// Tests the rules on what the gateway may send, retry and close.
#include <catch2/catch.hpp>
#include <vector>

#include "safety/attempt_rules.h"
#include "safety/connection_rules.h"

namespace postspread::safety {
namespace {

using std::chrono::milliseconds;

const Clock::time_point kNow{std::chrono::hours(5)};

AttemptFacts AllowedAttempt() {
  return {.client_waits = true,
          .upstream_ready = true,
          .connection_current = true,
          .max_transit_time = milliseconds(10),
          .arrive_by = kNow + milliseconds(100),
          .deadline = kNow + milliseconds(200)};
}

TEST_CASE(
    "given an attempt that may start, when its decision loses a condition, then the violated rule is "
    "returned") {
  CHECK_FALSE(MayBegin(AllowedAttempt(), kNow));
  AttemptFacts facts = AllowedAttempt();
  facts.client_waits = false;
  CHECK(MayBegin(facts, kNow) == Rule::kClientWaits);
  facts = AllowedAttempt();
  facts.upstream_ready = false;
  CHECK(MayBegin(facts, kNow) == Rule::kUpstreamReady);
  CHECK(MayProbe(facts) == Rule::kUpstreamReady);
  facts = AllowedAttempt();
  facts.connection_current = false;
  CHECK(MayBegin(facts, kNow) == Rule::kUpstreamReady);
  // The first byte would arrive exactly at the end of the window.
  CHECK(MayBegin(AllowedAttempt(), kNow + milliseconds(90)) == Rule::kRetryWindow);
  CHECK(MayBegin(AllowedAttempt(), kNow + milliseconds(200)) == Rule::kDeadline);
}

// Guards against a check before the first byte only: the rest of a message is checked until it is delivered.
TEST_CASE(
    "given an attempt that is partly sent, the rest is delivered only in its window and for its client") {
  const DeliveryFacts partly_sent{.client_waits = true,
                                  .unsent = 1,
                                  .unacknowledged = 2,
                                  .max_transit_time = milliseconds(10),
                                  .arrive_by = kNow + milliseconds(100),
                                  .deadline = kNow + milliseconds(200)};
  CHECK_FALSE(MayDeliver(partly_sent, kNow + milliseconds(89)));
  CHECK(MayDeliver(partly_sent, kNow + milliseconds(90)) == Rule::kRetryWindow);
  CHECK(NextDeliveryCheck(partly_sent, kNow) == kNow + milliseconds(90));
  CHECK(NextDeliveryCheck(partly_sent, kNow + milliseconds(95)) == kNow + milliseconds(95));
  CHECK(MayDeliver(partly_sent, kNow + milliseconds(200)) == Rule::kDeadline);
  DeliveryFacts facts = partly_sent;
  facts.client_waits = false;
  CHECK(MayDeliver(facts, kNow) == Rule::kClientWaits);
  facts.unsent = 0;  // the rest is on its way, and may arrive until the end of the window
  CHECK_FALSE(MayDeliver(facts, kNow + milliseconds(99)));
  CHECK(NextDeliveryCheck(facts, kNow + milliseconds(95)) == kNow + milliseconds(100));
  CHECK(MayDeliver(facts, kNow + milliseconds(100)) == Rule::kRetryWindow);
  facts.unacknowledged = 0;
  CHECK_FALSE(MayDeliver(facts, kNow + milliseconds(300)));
  CHECK(NextDeliveryCheck(facts, kNow) == facts.deadline);
}

// Guards against a stated timeout that is no longer left when a long message arrives.
TEST_CASE("given a message with a stated timeout, its rest leaves only while that time is about left") {
  const DeliveryFacts partly_sent{.client_waits = true,
                                  .unsent = 1,
                                  .unacknowledged = 2,
                                  .max_transit_time = milliseconds(10),
                                  .stated_timeout = milliseconds(1'000),
                                  .arrive_by = kNow + milliseconds(60'000),
                                  .deadline = kNow + milliseconds(1'500)};
  CHECK_FALSE(MayDeliver(partly_sent, kNow + milliseconds(599)));
  CHECK(MayDeliver(partly_sent, kNow + milliseconds(600)) == Rule::kDeadline);
  CHECK(NextDeliveryCheck(partly_sent, kNow) == kNow + milliseconds(600));
  DeliveryFacts facts = partly_sent;
  facts.unsent = 0;
  CHECK_FALSE(MayDeliver(facts, kNow + milliseconds(600)));
  CHECK(NextDeliveryCheck(facts, kNow + milliseconds(600)) == facts.deadline);
}

TEST_CASE("a message states less time than is left if sending it takes long, but at least half of it") {
  constexpr std::size_t kWindow = std::size_t{64} * 1024;
  CHECK(TimeoutToState(milliseconds(500), 0) == milliseconds(500));
  CHECK(TimeoutToState(milliseconds(500), kWindow) == milliseconds(500));
  CHECK(TimeoutToState(milliseconds(500), kWindow + 50'000) == milliseconds(300));
  CHECK(TimeoutToState(milliseconds(500), 64 * kWindow) == milliseconds(250));
}

TEST_CASE("a non-idempotent request is retried only if no attempt is in flight or may have run") {
  const std::vector<EarlierAttempt> never_ran{{}, {}};
  const std::vector<EarlierAttempt> in_flight{{}, {.in_flight = true}};
  const std::vector<EarlierAttempt> ran{{.may_have_run = true}, {}};
  CHECK_FALSE(MayRetry(RetrySafety::kNotIdempotent, {}));
  CHECK_FALSE(MayRetry(RetrySafety::kNotIdempotent, never_ran));
  CHECK(MayRetry(RetrySafety::kNotIdempotent, in_flight) == Rule::kRunsOnce);
  CHECK(MayRetry(RetrySafety::kNotIdempotent, ran) == Rule::kRunsOnce);
  for (const RetrySafety retry_safety : {RetrySafety::kIdempotent, RetrySafety::kIdempotencyKey})
    CHECK_FALSE(MayRetry(retry_safety, ran));
}

TEST_CASE(
    "a connection is shut down only when nothing is pending, and closed as idle only between "
    "requests") {
  CHECK(MayShutDown({}));
  // Bytes that arrive after the end of reading are not handled.
  CHECK(MayShutDown({.partial_command = true, .unread = true}));
  CHECK_FALSE(MayShutDown({.pending = 1}));
  CHECK_FALSE(MayShutDown({.unwritten = 1}));
  CHECK(MayCloseIdle({}));
  for (const ConnectionFacts& facts : std::vector<ConnectionFacts>{
           {.pending = 1}, {.unwritten = 1}, {.partial_command = true}, {.unread = true}}) {
    CHECK_FALSE(MayCloseIdle(facts));
  }
  CHECK(RuleViolatedByClose({.pending = 1, .unwritten = 1}) == Rule::kResponseBeforeClose);
  CHECK(RuleViolatedByClose({.unacknowledged = 1}) == Rule::kResponseDelivered);
  CHECK_FALSE(RuleViolatedByClose({.partial_command = true, .unread = true}));
}

TEST_CASE(
    "given a connection with a scheduled close, when its time comes, then it takes only commands that have "
    "arrived, and a partial command has a deadline") {
  ReadingFacts facts{.close_at = kNow, .command_deadline = kNow + milliseconds(500)};
  CHECK(ReadingAt(facts, kNow - milliseconds(1)) == Reading::kAcceptAll);
  CHECK(ReadingAt(facts, kNow) == Reading::kStop);
  facts.bytes_to_process =
      100;  // there is no capacity to handle them yet, and no limit on how long that takes
  CHECK(ReadingAt(facts, kNow) == Reading::kFinishArrived);
  CHECK(ReadingAt(facts, kNow + milliseconds(5'000)) == Reading::kFinishArrived);
  facts.partial_command = true;
  CHECK(ReadingAt(facts, kNow + milliseconds(499)) == Reading::kFinishArrived);
  CHECK(ReadingAt(facts, kNow + milliseconds(500)) == Reading::kStop);
}

TEST_CASE(
    "given a lingering close, when the client reads or sends, then the socket stays open within limits") {
  const LingerLimits limits{.linger = milliseconds(1'000), .timeout = milliseconds(10'000)};
  const auto may = [&](std::size_t unacknowledged, int since_shutdown, int since_progress) {
    return MayClose({unacknowledged, milliseconds(since_shutdown), milliseconds(since_progress)}, limits);
  };
  CHECK_FALSE(may(0, 999, 999));
  CHECK(may(0, 1'000, 1'000));
  CHECK_FALSE(may(0, 1'900, 500));  // the client sent bytes half a second ago
  CHECK(may(0, 2'000, 500));        // a drain must end even if the client continues to send
  CHECK_FALSE(may(7, 20'000, 9'999));
  CHECK(may(7, 20'000, 10'000));
}

TEST_CASE("given a drain, when its deadline comes, then no connection is idle or has a recent request") {
  CHECK(ViolatesDrainDeadline({.pending = 0, .since_request = milliseconds(3'000)}));
  CHECK(ViolatesDrainDeadline({.pending = 1, .since_request = milliseconds(1'999)}));
  CHECK_FALSE(ViolatesDrainDeadline({.pending = 1, .since_request = milliseconds(2'000)}));
}

}  // namespace
}  // namespace postspread::safety
