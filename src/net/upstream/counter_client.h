// A client of the shared counter. It pipelines its calls on one connection and matches the replies in order.
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
  // Called once for each call, possibly from within Call. Reports on one counter name arrive in the order of
  // its calls.
  virtual void OnCounterReply(planner::CounterReport report) = 0;

 protected:
  ~CounterListener() = default;
};

class CounterClient {
 public:
  // Connects at once, and reconnects whenever the connection is lost. Each call ends within `timeout`. The
  // listener must outlive the client.
  CounterClient(event_base* base, config::Address address, std::chrono::microseconds timeout,
                std::chrono::microseconds dial_timeout, CounterListener& listener);
  CounterClient(const CounterClient&) = delete;
  CounterClient& operator=(const CounterClient&) = delete;

  // Sends the call, or reports it as kUnreachable if there is no connection. No call waits for a connection,
  // because the counter must never add an amount that was reported as not added.
  void Call(planner::CallCounter call);

  [[nodiscard]] bool up() const { return is_up_; }
  [[nodiscard]] const config::Address& address() const { return address_; }

  // Stops reconnecting, since the configuration has replaced this address by another.
  void Retire() { is_retired_ = true; }
  // These return whether a call of `name`, or any call, is still to be reported.
  [[nodiscard]] bool Awaits(std::string_view name) const;
  [[nodiscard]] bool AwaitsAny() const { return reported_calls_ < calls_.size(); }

 private:
  struct PendingCall {
    std::string name;  // the counter's name; empty for a keep-alive, or once reported
    Clock::time_point started_at;
    std::uint64_t end_offset = 0;  // bytes written to this connection up to the end of the call
    bool is_keep_alive = false;
    bool is_reported = false;  // the call has timed out, and the entry waits for the late reply
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
  bool has_replied_ = false;  // the counter has replied on this connection
  bool was_up_ = true;        // ensures that only changes are logged
  bool is_retired_ = false;
  RateLimitedLog lost_log_;
  RateLimitedLog recovered_log_;
  Clock::time_point connect_started_at_;
  Clock::time_point last_used_at_;
  std::uint64_t sent_bytes_ = 0;    // bytes written to this connection
  std::size_t bytes_needed_ = 0;    // bytes that the next parsing step needs; 0 if unknown
  std::deque<PendingCall> calls_;   // calls without a reply, in order
  std::size_t reported_calls_ = 0;  // how many calls at the front of calls_ have timed out
  std::string message_;             // scratch space
  Timer timeout_timer_;
  Timer maintenance_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_COUNTER_CLIENT_H_
