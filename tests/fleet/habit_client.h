// Scripted clients of real gateways, each with one habit, and the record of every request they sent. The
// record is what a checker judges by: it knows nothing of the program under test.
#ifndef POSTSPREAD_TESTS_FLEET_HABIT_CLIENT_H_
#define POSTSPREAD_TESTS_FLEET_HABIT_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/loop.h"

namespace postspread::fleet_rig {

using net::Clock;

enum class Habit {
  kResting,        // one request, then the connection is kept unused
  kSilent,         // connects and says nothing
  kHalfCommand,    // writes half a command and stays
  kTrickling,      // writes each command slowly, in small pieces
  kOneRequestOut,  // the next request leaves with the answer to the one before
  kPipelining,     // an answer is always owed
  kByTheClock,     // sends at fixed times, whatever is still owed
  kSlowReader,     // takes large answers a little at a time
};
inline constexpr Habit kHabits[] = {Habit::kResting,    Habit::kSilent,        Habit::kHalfCommand,
                                    Habit::kTrickling,  Habit::kOneRequestOut, Habit::kPipelining,
                                    Habit::kByTheClock, Habit::kSlowReader};
const char* Name(Habit habit);

// By what the class allows to be sent again.
enum class RequestClass { kIdempotent, kIdempotencyKey, kNotIdempotent };

enum class RequestEnd { kPending, kServed, kRefused, kFailed, kConnectionEnded };

struct RequestRecord {
  RequestClass request_class = RequestClass::kIdempotent;
  Habit habit = Habit::kResting;
  int gateway = 0;
  std::string key;            // of a keyed request
  Clock::time_point written;  // when its last byte was handed to the socket
  std::chrono::milliseconds deadline{0};
  RequestEnd end = RequestEnd::kPending;
  Clock::time_point ended;   // when `end` came
  bool client_left = false;  // the client closed before the answer, at `ended`
  bool reset = false;        // the connection ended by a reset
  bool pipelined = false;    // others were pending before it
  int attempts = 0;          // that arrived at a node
};

class RequestLedger {
 public:
  using Id = std::string;
  RequestRecord& Add(const Id& id) { return records_[id]; }
  RequestRecord* Find(std::string_view id) {
    const auto found = records_.find(Id(id));
    return found == records_.end() ? nullptr : &found->second;
  }
  std::unordered_map<Id, RequestRecord>& records() { return records_; }
  Id NextId(bool large_answer);
  // What no record can hold: an answer that belongs to no request, or to another one.
  std::function<void(const std::string& what)> on_fault = [](const std::string&) {};

 private:
  std::unordered_map<Id, RequestRecord> records_;
  std::uint64_t next_ = 1;
};

// Whether a node should answer the request of this id with a large value.
bool WantsLargeAnswer(std::string_view id);

class HabitClient {
 public:
  struct Target {
    int gateway = 0;
    int port = 0;
    int spread = 1;
    std::chrono::milliseconds deadline{2'500};
    std::vector<RequestClass> classes{RequestClass::kIdempotent};  // drawn from evenly
  };
  HabitClient(event_base* base, RequestLedger& ledger, Target target, Habit habit, std::uint64_t seed);
  ~HabitClient();
  HabitClient(const HabitClient&) = delete;

  [[nodiscard]] Habit habit() const { return habit_; }
  [[nodiscard]] const Target& target() const { return target_; }
  [[nodiscard]] bool open() const { return state_ == State::kOpen; }
  [[nodiscard]] bool never_connected() const { return !connected_; }
  [[nodiscard]] Clock::time_point opened() const { return opened_; }
  [[nodiscard]] std::size_t pending() const { return pending_.size(); }
  // When the last whole request was written; the epoch where there was none.
  [[nodiscard]] Clock::time_point last_written() const { return last_written_; }
  // Closes: what is pending has lost its client.
  void Leave();

 private:
  enum class State { kOpen, kEnded };

  void Connected();
  void Step();
  void Send();
  void Trickle();
  void Read();
  void Ended(bool by_reset);
  void EndPending(bool client_left, bool by_reset);
  std::string NewRequest();
  void Written(const std::string& id);

  event_base* base_;
  RequestLedger& ledger_;
  Target target_;
  Habit habit_;
  std::mt19937_64 random_;
  net::BufferEvent connection_;
  net::Timer step_;
  State state_ = State::kOpen;
  bool connected_ = false;
  bool asked_ = false;
  std::deque<std::string> pending_;  // ids, in the order of their answers
  std::string request_id_;           // of the command that is being written
  std::string unwritten_;            // the rest of a command that trickles
  const Clock::time_point opened_ = Clock::now();
  Clock::time_point last_written_{}, next_by_clock_{};
};

}  // namespace postspread::fleet_rig

#endif  // POSTSPREAD_TESTS_FLEET_HABIT_CLIENT_H_
