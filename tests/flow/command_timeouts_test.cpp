// Tests of the time limits for commands that have begun to arrive.
#include "flow/command_timeouts.h"

#include <catch2/catch.hpp>

namespace postspread::flow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PartialCommand::TimePoint kNow{std::chrono::hours(5)};

PartialCommand Body() {
  return {.began_at = kNow, .has_head = true, .last_arrival_at = kNow, .last_read_at = kNow};
}

TEST_CASE(
    "given a body, when no byte arrives for the stall timeout, then it is overdue, earlier if contended") {
  PartialCommand command = Body();
  CHECK(StatusAt(command, kNow + milliseconds(2'299)) == CommandStatus::kOnTime);
  CHECK(StatusAt(command, kNow + milliseconds(2'300)) == CommandStatus::kOverdue);
  command.is_contended = true;
  CHECK(StatusAt(command, kNow + milliseconds(999)) == CommandStatus::kOnTime);
  CHECK(StatusAt(command, kNow + milliseconds(1'000)) == CommandStatus::kOverdue);
  command.last_arrival_at = command.last_read_at = kNow + seconds(29);
  CHECK(StatusAt(command, kNow + milliseconds(29'500)) == CommandStatus::kOnTime);
  CHECK(StatusAt(command, kNow + seconds(30)) == CommandStatus::kOverdue);
}

TEST_CASE("given a head, when it takes longer than a client may, then it is overdue, whatever arrives") {
  PartialCommand command = Body();
  command.has_head = false;
  command.last_arrival_at = command.last_read_at = kNow + milliseconds(2'290);
  CHECK(StatusAt(command, kNow + milliseconds(2'299)) == CommandStatus::kOnTime);
  CHECK(StatusAt(command, kNow + milliseconds(2'300)) == CommandStatus::kOverdue);
}

// Guards against a wait without a time limit: a request that has arrived must be answered in its time.
TEST_CASE(
    "given a command that waits for memory, it is rejected within half of its time, or after two seconds") {
  PartialCommand command = Body();
  command.waiting_since = kNow;
  command.request_timeout = milliseconds(8'000);
  CHECK(StatusAt(command, kNow + milliseconds(1'999)) == CommandStatus::kOnTime);
  CHECK(StatusAt(command, kNow + milliseconds(2'000)) == CommandStatus::kNoMemory);
  command.has_arrived = true;
  CHECK(StatusAt(command, kNow + milliseconds(3'999)) == CommandStatus::kOnTime);
  CHECK(StatusAt(command, kNow + milliseconds(4'000)) == CommandStatus::kNoMemory);
  command.has_arrived = false;
  command.request_timeout = milliseconds(400);
  CHECK(StatusAt(command, kNow + milliseconds(200)) == CommandStatus::kNoMemory);
}

TEST_CASE("given a body whose bytes waited for memory, when it is granted, then its client may resume") {
  PartialCommand command = Body();
  command.waited = milliseconds(2'000);
  command.last_read_at = kNow + milliseconds(2'250);
  CHECK(StatusAt(command, kNow + milliseconds(2'549)) == CommandStatus::kOnTime);
  CHECK(StatusAt(command, kNow + milliseconds(2'550)) == CommandStatus::kOverdue);
  // Bytes that the systems held have arrived after the wait. The client may have stopped before it.
  command.waited = milliseconds(1'500);
  command.last_arrival_at = command.last_read_at = kNow + milliseconds(1'500);
  CHECK(StatusAt(command, kNow + milliseconds(2'299)) == CommandStatus::kOnTime);
  CHECK(StatusAt(command, kNow + milliseconds(2'300)) == CommandStatus::kOverdue);
  command.waiting_since = kNow + milliseconds(1'600);
  command.request_timeout = milliseconds(8'000);
  CHECK(StatusAt(command, kNow + milliseconds(2'099)) == CommandStatus::kOnTime);
  CHECK(StatusAt(command, kNow + milliseconds(2'100)) == CommandStatus::kNoMemory);
}

}  // namespace
}  // namespace postspread::flow
