// Client of the shared counter: one connection, calls pipelined on it, replies matched in order.
#ifndef POSTSPREAD_NET_UPSTREAM_COUNTER_CLIENT_H_
#define POSTSPREAD_NET_UPSTREAM_COUNTER_CLIENT_H_

#include <chrono>
#include <cstddef>
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
  // Called once for each call, for one name in the order of its calls; possibly from within Call.
  virtual void OnCounterReply(planner::CounterReport report) = 0;

 protected:
  ~CounterListener() = default;
};

class CounterClient {
 public:
  // Connects at once, and again whenever the connection is lost. A call ends within `timeout`. The listener
  // outlives this.
  CounterClient(event_base* base, config::Address address, std::chrono::microseconds timeout,
                std::chrono::microseconds dial_timeout, CounterListener& listener);
  CounterClient(const CounterClient&) = delete;
  CounterClient& operator=(const CounterClient&) = delete;

  // Sends the call, or reports it as kUnreachable where there is no connection: a call that is reported as
  // not added must not be added later, so none waits for a connection.
  void Call(planner::CallCounter call);

  [[nodiscard]] bool up() const { return is_up_; }
  [[nodiscard]] const config::Address& address() const { return address_; }

  // Another address has replaced this one: a connection that is lost is not opened again.
  void Retire() { is_retired_ = true; }
  // Whether a call of `name`, or any call, is still to be reported.
  [[nodiscard]] bool Awaits(std::string_view name) const;
  [[nodiscard]] bool AwaitsAny() const { return reported_calls_ < calls_.size(); }

 private:
  struct PendingCall {
    std::string name;  // of the counter; empty for a keep-alive, or once reported
    Clock::time_point started_at;
    std::uint64_t end_offset = 0;  // bytes handed to this connection up to the end of the call
    bool is_keep_alive = false;
    bool is_reported = false;  // timed out; the slot waits for the late reply
  };

  void Connect();
  void OnEvent(short what);
  void OnReadable();
  void OnReply(const resp::Reply& reply);
  void OnTimeout();
  void OnConnectionLost(std::string_view reason);
  void Send(std::string_view message, std::string name);
  void SendKeepAlive();
  void Report(PendingCall& call, planner::CounterResult result, double total = 0);
  void ArmTimeout();
  void RunMaintenance();
  void CheckConnection();

  event_base* base_;
  config::Address address_;
  const std::chrono::microseconds timeout_;
  const std::chrono::microseconds dial_timeout_;
  CounterListener& listener_;
  BufferEvent connection_;
  bool is_up_ = false;
  bool has_replied_ = false;  // on this connection
  bool was_up_ = true;        // so that only changes are logged
  bool is_retired_ = false;
  RareLog lost_log_;
  RareLog recovered_log_;
  Clock::time_point connect_started_at_;
  Clock::time_point last_used_at_;
  std::uint64_t sent_bytes_ = 0;    // handed to this connection
  std::size_t bytes_needed_ = 0;    // for the next step of parsing; 0: unknown
  std::deque<PendingCall> calls_;   // without a reply, in order
  std::size_t reported_calls_ = 0;  // of calls_, from the front: those that timed out
  std::string message_;             // scratch space
  Timer timeout_timer_;
  Timer maintenance_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_COUNTER_CLIENT_H_
