// The rules on what may be sent, retried and closed, as tables.
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
          .way = milliseconds(10),
          .begin_by = kNow + milliseconds(100),
          .deadline = kNow + milliseconds(200)};
}

TEST_CASE("an attempt starts only while everything that its decision relied on holds") {
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
  CHECK(MayBegin(AllowedAttempt(), kNow + milliseconds(90)) ==
        Rule::kRepeatWindow);  // it would arrive at its end
  CHECK(MayBegin(AllowedAttempt(), kNow + milliseconds(200)) == Rule::kDeadline);
}

TEST_CASE("what is not idempotent is retried only where no attempt is in flight or may have run") {
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
    "a connection is shut down only with nothing pending, and closed of our own accord only between "
    "requests") {
  CHECK(MayShutDown({}));
  CHECK(MayShutDown(
      {.partial_command = true, .unread = true}));  // what arrives after the end of reading is not taken
  CHECK_FALSE(MayShutDown({.pending = 1}));
  CHECK_FALSE(MayShutDown({.unwritten = 1}));
  CHECK(MayCloseIdle({}));
  for (const ConnectionFacts& facts : std::vector<ConnectionFacts>{
           {.pending = 1}, {.unwritten = 1}, {.partial_command = true}, {.unread = true}}) {
    CHECK_FALSE(MayCloseIdle(facts));
  }
  CHECK(RuleViolatedByClose({.pending = 1, .unwritten = 1}) == Rule::kAnswerBeforeClose);
  CHECK(RuleViolatedByClose({.unacknowledged = 1}) == Rule::kAnswerDelivered);
  CHECK_FALSE(RuleViolatedByClose({.partial_command = true, .unread = true}));
}

TEST_CASE(
    "at its time a connection takes what has arrived and no more, and a partial command has a deadline") {
  ReadingFacts facts{.close_at = kNow, .commands_until = kNow + milliseconds(500)};
  CHECK(ReadingAt(facts, kNow - milliseconds(1)) == Reading::kTakesAll);
  CHECK(ReadingAt(facts, kNow) == Reading::kStops);
  facts.bytes_to_take = 100;  // there is no room for them yet: they are waited for, however long
  CHECK(ReadingAt(facts, kNow) == Reading::kFinishes);
  CHECK(ReadingAt(facts, kNow + milliseconds(5'000)) == Reading::kFinishes);
  facts.partial_command = true;
  CHECK(ReadingAt(facts, kNow + milliseconds(499)) == Reading::kFinishes);
  CHECK(ReadingAt(facts, kNow + milliseconds(500)) == Reading::kStops);
}

TEST_CASE("the socket lingers for a client that still reads responses or still sends") {
  const LingerLimits limits{.linger = milliseconds(1'000), .timeout = milliseconds(10'000)};
  const auto may = [&](std::size_t unacknowledged, int since_shutdown, int since_progress) {
    return MayClose({unacknowledged, milliseconds(since_shutdown), milliseconds(since_progress)}, limits);
  };
  CHECK_FALSE(may(0, 999, 999));
  CHECK(may(0, 1'000, 1'000));
  CHECK_FALSE(may(0, 1'900, 500));  // it sent something half a second ago
  CHECK(may(0, 2'000, 500));        // a drain has to end, whatever a client goes on to send
  CHECK_FALSE(may(7, 20'000, 9'999));
  CHECK(may(7, 20'000, 10'000));
}

TEST_CASE("at the deadline of a drain no connection is idle or has a recent request") {
  CHECK(ViolatesDrainDeadline({.pending = 0, .since_request = milliseconds(3'000)}));
  CHECK(ViolatesDrainDeadline({.pending = 1, .since_request = milliseconds(1'999)}));
  CHECK_FALSE(ViolatesDrainDeadline({.pending = 1, .since_request = milliseconds(2'000)}));
}

}  // namespace
}  // namespace postspread::safety
