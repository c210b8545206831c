// The shared counter: one connection, calls written one behind another, answers matched in order.
#ifndef POSTSPREAD_NET_UPSTREAM_COUNTER_CLIENT_H_
#define POSTSPREAD_NET_UPSTREAM_COUNTER_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "net/log.h"
#include "net/loop.h"
#include "planner/types.h"
#include "resp/frame.h"

namespace postspread::net {

class CounterListener {
 public:
  // Told once for each call, in the order of the calls of a name; possibly from within Ask.
  virtual void OnCounterReply(planner::CounterReport report) = 0;

 protected:
  ~CounterListener() = default;
};

class CounterClient {
 public:
  CounterClient(event_base* base, config::Address address, std::chrono::microseconds timeout,
                std::chrono::microseconds dial_timeout, CounterListener& listener);
  CounterClient(const CounterClient&) = delete;
  CounterClient& operator=(const CounterClient&) = delete;

  void Ask(planner::CallCounter ask);
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] const config::Address& address() const { return address_; }

  // Another address has taken this one's place: a connection that is lost is not dialled again.
  void Retire() { retired_ = true; }
  // Whether a call on `name`, or any call, is still to be reported.
  [[nodiscard]] bool Awaits(std::string_view name) const;
  [[nodiscard]] bool AwaitsAny() const { return reported_ < calls_.size(); }

 private:
  struct Call {
    std::string name;  // empty: a PING that keeps the connection in use; or reported
    Clock::time_point begun;
    std::uint64_t end = 0;  // bytes written on this connection up to its end
    bool is_ping = false;
    bool reported = false;  // its time was up; the slot waits for the late answer
  };

  void Dial();
  void Lost(std::string_view why);
  void Event(short what);
  void Read();
  void Take(const resp::Reply& reply);
  void Send(std::string_view message, std::string name);
  void Report(Call& call, planner::CounterResult result, double total = 0);
  void OnTimer();
  void ArmTimer();
  void Upkeep();

  event_base* base_;
  config::Address address_;
  std::chrono::microseconds timeout_;
  std::chrono::microseconds dial_timeout_;
  CounterListener& listener_;
  BufferEvent connection_;
  bool up_ = false;
  bool has_answered_ = false;  // this connection
  bool was_up_ = true;         // so that only changes are logged
  bool retired_ = false;
  RareLog lost_, again_;
  Clock::time_point dialled_;
  Clock::time_point used_;
  std::uint64_t appended_ = 0;  // bytes handed to this connection
  std::size_t need_ = 0;
  std::deque<Call> calls_;    // unanswered, in order
  std::size_t reported_ = 0;  // of calls_ from the front: those whose time was up
  std::string message_;
  Timer timer_;
  Timer upkeep_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_COUNTER_CLIENT_H_
