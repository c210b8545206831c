#include "net/upstream/counter_client.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace postspread::net {
namespace {

using planner::CounterResult;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kMaintenanceInterval{100};
constexpr milliseconds kReconnectInterval{200};
// A call without a reply for this long closes the connection, since TCP does not detect a counter that
// vanished.
constexpr milliseconds kSilenceTimeout{1'000};
// Must be below the counter's idle timeout of about 10 s.
constexpr milliseconds kKeepAliveInterval{2'000};
// A longer incomplete reply is neither a number nor a short line.
constexpr std::size_t kMaxPartialReplyBytes = 64;
constexpr std::size_t kMaxPendingCalls = 1024;
constexpr std::int64_t kMaxTtlMs = 60'000;

std::optional<double> ToTotal(const resp::Reply& reply) {
  using Kind = resp::Reply::Kind;
  if (reply.kind != Kind::kBulk && reply.kind != Kind::kInteger) return std::nullopt;
  const char* end = reply.text.data() + reply.text.size();
  double total = 0;
  const auto [parsed_to, error] = std::from_chars(reply.text.data(), end, total);
  if (error != std::errc() || parsed_to != end || reply.text.empty()) return std::nullopt;
  return std::isfinite(total) ? std::optional(total) : std::nullopt;
}

bool IsRejection(const resp::Reply& reply) {
  const std::string_view code = reply.text.substr(0, reply.text.find(' '));
  return reply.kind == resp::Reply::Kind::kError && (code == "BUSY" || code == "ERR");
}

void AppendCall(const planner::CallCounter& call, std::string& out) {
  // The counter parses plain decimal numbers only. Fixed notation without a precision writes no exponent and
  // the fewest digits that parse to the same number.
  std::array<char, 400> amount;
  const auto amount_end =
      std::to_chars(amount.data(), amount.data() + amount.size(), call.amount, std::chars_format::fixed).ptr;
  const std::int64_t ttl_ms =
      std::clamp<std::int64_t>(std::chrono::ceil<milliseconds>(call.ttl).count(), 1, kMaxTtlMs);
  std::array<char, 24> ttl;
  const auto ttl_end = std::to_chars(ttl.data(), ttl.data() + ttl.size(), ttl_ms).ptr;
  resp::AppendCommand({"CNT.ADD", call.name, {amount.data(), amount_end}, {ttl.data(), ttl_end}}, out);
}

}  // namespace

CounterClient::CounterClient(event_base* base, config::Address address, microseconds timeout,
                             microseconds dial_timeout, CounterListener& listener)
    : base_(base),
      address_(std::move(address)),
      timeout_(timeout),
      dial_timeout_(dial_timeout),
      listener_(listener),
      timeout_timer_(base, [this] { OnTimeout(); }),
      maintenance_(base, [this] { RunMaintenance(); }) {
  Connect();
  maintenance_.Arm(kMaintenanceInterval);
}

// ---- Connection

void CounterClient::Connect() {
  connect_started_at_ = Clock::now();
  last_used_at_ = connect_started_at_;
  is_up_ = false;
  sent_bytes_ = 0;
  bytes_needed_ = 0;
  connection_ = Dial(
      base_, address_, [](bufferevent*, void* self) { static_cast<CounterClient*>(self)->OnReadable(); },
      nullptr, [](bufferevent*, short what, void* self) { static_cast<CounterClient*>(self)->OnEvent(what); },
      this);
  if (connection_) bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
}

void CounterClient::OnEvent(short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    is_up_ = true;
    if (!std::exchange(was_up_, true)) recovered_log_("counter connection is up again");
    return;
  }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  if (is_up_ && IsTransientError(what)) {
    Watch(connection_.get());  // if this fails, RunMaintenance retries it
    return;
  }
  OnConnectionLost(is_up_ ? "closed by the counter" : "connect failed");
}

// Reports every pending call. The counter can't have added a call that was not fully written; it may have
// added the others.
void CounterClient::OnConnectionLost(std::string_view reason) {
  const std::uint64_t written_bytes = is_up_ ? sent_bytes_ - Unwritten(connection_.get()) : 0;
  connection_.reset();
  is_up_ = false;
  timeout_timer_.Disarm();
  if (std::exchange(was_up_, false) && !is_retired_) lost_log_("counter connection is lost", reason);
  std::deque<PendingCall> calls = std::exchange(calls_, {});
  reported_calls_ = 0;
  // Reconnects at once if the counter has replied on this connection, so that an occasional malformed reply
  // does not fail many calls.
  if (std::exchange(has_replied_, false) && !is_retired_) Connect();
  for (PendingCall& call : calls) {
    const bool was_written = call.end_offset <= written_bytes;
    Report(call, was_written ? CounterResult::kTimedOut : CounterResult::kUnreachable);
  }
}

void CounterClient::RunMaintenance() {
  maintenance_.Arm(kMaintenanceInterval);
  // Has no effect if the socket is watched. If the system refused to watch it, this retries.
  if (connection_ && is_up_) Watch(connection_.get());
  CheckConnection();
}

void CounterClient::CheckConnection() {
  const auto now = Clock::now();
  if (!connection_) {
    if (now - connect_started_at_ >= kReconnectInterval && !is_retired_) Connect();
    return;
  }
  if (!is_up_) {
    if (now - connect_started_at_ >= dial_timeout_) OnConnectionLost("connect timeout");
    return;
  }
  if (!calls_.empty() && now - calls_.front().started_at >= kSilenceTimeout) {
    return OnConnectionLost("reply timeout");
  }
  if (calls_.empty() && now - last_used_at_ >= kKeepAliveInterval) SendKeepAlive();
}

// ---- Calls

void CounterClient::Call(planner::CallCounter call) {
  if (!is_up_ || calls_.size() >= kMaxPendingCalls) {
    return listener_.OnCounterReply({std::move(call.name), CounterResult::kUnreachable, 0, microseconds(0)});
  }
  message_.clear();
  AppendCall(call, message_);
  Send(message_, std::move(call.name));
  const bool is_only_one = calls_.size() - reported_calls_ == 1;
  if (is_only_one) ArmTimeout();
}

void CounterClient::SendKeepAlive() {
  message_.clear();
  resp::AppendCommand({"PING"}, message_);
  Send(message_, {});
}

void CounterClient::Send(std::string_view message, std::string name) {
  sent_bytes_ += message.size();
  last_used_at_ = Clock::now();
  const bool is_keep_alive = name.empty();
  calls_.push_back({.name = std::move(name),
                    .started_at = last_used_at_,
                    .end_offset = sent_bytes_,
                    .is_keep_alive = is_keep_alive});
  Write(connection_.get(), message);
}

bool CounterClient::Awaits(std::string_view name) const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [name](const PendingCall& call) { return !call.is_reported && call.name == name; });
}

// Reports the calls that time out. Their entries stay in calls_, so that later replies are matched correctly.
void CounterClient::OnTimeout() {
  const auto now = Clock::now();
  while (reported_calls_ < calls_.size() && calls_[reported_calls_].started_at + timeout_ <= now) {
    PendingCall& call = calls_[reported_calls_];
    ++reported_calls_;
    Report(call, CounterResult::kTimedOut);
  }
  ArmTimeout();
}

void CounterClient::ArmTimeout() {
  if (reported_calls_ >= calls_.size()) return;
  const auto deadline = calls_[reported_calls_].started_at + timeout_;
  timeout_timer_.Arm(std::chrono::ceil<microseconds>(deadline - Clock::now()));
}

void CounterClient::Report(PendingCall& call, CounterResult result, double total) {
  if (std::exchange(call.is_reported, true) || call.is_keep_alive) return;
  const auto elapsed = duration_cast<microseconds>(Clock::now() - call.started_at);
  listener_.OnCounterReply({std::move(call.name), result, total, elapsed});
}

// ---- Replies

void CounterClient::OnReadable() {
  resp::Reply reply;
  while (connection_) {
    const std::size_t available = ReadSize(connection_.get());
    if (available < std::max<std::size_t>(1, bytes_needed_)) return;
    const std::string_view bytes =
        bytes_needed_ > 1 ? Peek(connection_.get(), bytes_needed_) : PeekFirst(connection_.get());
    const resp::Progress progress = resp::ParseReply(bytes, reply);
    if (progress == resp::Progress::kPartial) {
      // The counter never sends arrays or replies of this length. Waiting for the rest of such a reply would
      // fail every later call until the silence timeout.
      if (bytes.front() == '*' || reply.bytes_needed > kMaxPartialReplyBytes)
        return OnConnectionLost("malformed reply");
      bytes_needed_ = reply.bytes_needed;
      continue;
    }
    bytes_needed_ = 0;
    if (progress == resp::Progress::kMalformed || calls_.empty()) return OnConnectionLost("malformed reply");
    OnReply(reply);
  }
}

void CounterClient::OnReply(const resp::Reply& reply) {
  CounterResult result = CounterResult::kAdded;
  std::optional<double> total;
  if (IsRejection(reply)) {
    result = CounterResult::kRejected;
  } else if (calls_.front().is_keep_alive) {
    if (reply.kind != resp::Reply::Kind::kSimple) return OnConnectionLost("malformed reply");
  } else {
    // A reply without a total means that the amount was added but that no later reply can be trusted. If the
    // connection stayed open, its calls would fail until the silence timeout.
    total = ToTotal(reply);
    if (!total) return OnConnectionLost("malformed reply");
  }
  PendingCall call = std::move(calls_.front());
  calls_.pop_front();
  if (reported_calls_ > 0) --reported_calls_;
  last_used_at_ = Clock::now();
  has_replied_ = true;
  Consume(connection_.get(), reply.size);
  Report(call, result, total.value_or(0));
}

}  // namespace postspread::net
