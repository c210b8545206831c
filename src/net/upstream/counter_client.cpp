#include "net/upstream/counter_client.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace postspread::net {
namespace {

using planner::CounterResult;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kUpkeep{100};
constexpr milliseconds kRedial{200};       // between two tries to connect
constexpr milliseconds kSilence{1'000};    // without a word on what was asked: the connection counts as dead
constexpr milliseconds kKeepInUse{2'000};  // the counter closes what stands idle for some 10 s
constexpr std::size_t kMaxAnswer = 64;  // bytes of an answer that is still to come: a number, or a short line
constexpr std::size_t kMaxCalls = 4096;  // unanswered calls that are kept
constexpr std::int64_t kMaxLifeMs = 60'000;

bool ToNumber(std::string_view text, double& out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

}  // namespace

CounterClient::CounterClient(event_base* base, config::Address address, microseconds timeout,
                             microseconds dial_timeout, CounterListener& listener)
    : base_(base),
      address_(std::move(address)),
      timeout_(timeout),
      dial_timeout_(dial_timeout),
      listener_(listener),
      timer_(base, [this] { OnTimer(); }),
      upkeep_(base, [this] { Upkeep(); }) {
  Dial();
  upkeep_.Arm(kUpkeep);
}

void CounterClient::Dial() {
  dialled_ = used_ = Clock::now();
  up_ = false;
  appended_ = 0;
  need_ = 0;
  connection_ = net::Dial(
      base_, address_, [](bufferevent*, void* self) { static_cast<CounterClient*>(self)->Read(); }, nullptr,
      [](bufferevent*, short what, void* self) { static_cast<CounterClient*>(self)->Event(what); }, this);
  if (connection_) bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
}

void CounterClient::Ask(planner::CallCounter ask) {
  // A call is not kept for a connection that is still to come: told as not added, it must not be added later.
  if (!up_ || calls_.size() >= kMaxCalls) {
    return listener_.OnCounterReply({std::move(ask.name), CounterResult::kUnreachable, 0, microseconds(0)});
  }
  // The counter reads decimal numbers only, so no exponent; the shortest form that gives the same number.
  std::array<char, 400> amount;
  const auto amount_end =
      std::to_chars(amount.data(), amount.data() + amount.size(), ask.amount, std::chars_format::fixed).ptr;
  const std::int64_t life_ms =
      std::clamp<std::int64_t>(std::chrono::ceil<milliseconds>(ask.ttl).count(), 1, kMaxLifeMs);
  std::array<char, 24> incarnation;
  const auto life_end =
      std::to_chars(incarnation.data(), incarnation.data() + incarnation.size(), life_ms).ptr;
  message_.clear();
  resp::AppendCommand({"CNT.ADD", ask.name, {amount.data(), amount_end}, {incarnation.data(), life_end}},
                      message_);
  Send(message_, std::move(ask.name));
  if (calls_.size() - reported_ == 1) ArmTimer();
}

void CounterClient::Send(std::string_view message, std::string name) {
  appended_ += message.size();
  used_ = Clock::now();
  const bool is_ping = name.empty();
  calls_.push_back({.name = std::move(name), .begun = used_, .end = appended_, .is_ping = is_ping});
  Write(connection_.get(), message);
}

bool CounterClient::Awaits(std::string_view name) const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [name](const Call& call) { return !call.reported && call.name == name; });
}

void CounterClient::Event(short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    up_ = true;
    if (!std::exchange(was_up_, true)) again_("counter connection is up again");
  } else if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    if (up_ && IsPassingError(what)) {
      Watch(connection_.get());  // or at the next upkeep
      return;
    }
    Lost(up_ ? "closed by the counter" : "refused");
  }
}

// Every unanswered call ends: what had not left was not added, the rest may have been.
void CounterClient::Lost(std::string_view why) {
  const std::uint64_t written = up_ ? appended_ - Unwritten(connection_.get()) : 0;
  connection_.reset();
  up_ = false;
  timer_.Disarm();
  if (std::exchange(was_up_, false) && !retired_) lost_("counter connection is lost", why);
  std::deque<Call> calls = std::exchange(calls_, {});
  reported_ = 0;
  // At once where it has served: an unreadable answer now and then must not leave calls without a counter.
  if (std::exchange(has_answered_, false) && !retired_) Dial();
  for (Call& call : calls) {
    Report(call, call.end <= written ? CounterResult::kTimedOut : CounterResult::kUnreachable);
  }
}

void CounterClient::Read() {
  resp::Reply reply;
  while (connection_) {
    const std::size_t size = ReadSize(connection_.get());
    if (size < std::max<std::size_t>(1, need_)) return;
    const std::string_view bytes = need_ > 1 ? Peek(connection_.get(), need_) : PeekFirst(connection_.get());
    const resp::Progress progress = resp::ParseReply(bytes, reply);
    if (progress == resp::Progress::kPartial) {
      // No answer of the counter is an array or so long: what says it is can't be read. Waiting for the rest
      // would fail every call behind it until the silence is noticed.
      if (bytes.front() == '*' || reply.need > kMaxAnswer) return Lost("malformed answer");
      need_ = reply.need;
      continue;
    }
    need_ = 0;
    if (progress == resp::Progress::kBroken || calls_.empty()) return Lost("malformed answer");
    Take(reply);
  }
}

void CounterClient::Take(const resp::Reply& reply) {
  using Kind = resp::Reply::Kind;
  CounterResult result = CounterResult::kAdded;
  double total = 0;
  const std::string_view update = reply.text.substr(0, reply.text.find(' '));
  if (reply.kind == Kind::kError && (update == "BUSY" || update == "ERR")) {
    result = CounterResult::kRejected;
  } else if (calls_.front().is_ping) {
    if (reply.kind != Kind::kSimple) return Lost("malformed answer");
  } else if ((reply.kind != Kind::kBulk && reply.kind != Kind::kInteger) || !ToNumber(reply.text, total) ||
             !std::isfinite(total)) {
    // No total to be read: the amount was added, and nothing more comes on this connection. Kept in use, it
    // was a second of calls without an answer, and some more in which hardly any were made.
    return Lost("malformed answer");
  }
  Call call = std::move(calls_.front());
  calls_.pop_front();
  if (reported_ > 0) --reported_;
  used_ = Clock::now();
  has_answered_ = true;
  Consume(connection_.get(), reply.size);
  Report(call, result, total);
}

void CounterClient::Report(Call& call, CounterResult result, double total) {
  if (std::exchange(call.reported, true) || call.is_ping) return;
  const auto elapsed = duration_cast<microseconds>(Clock::now() - call.begun);
  listener_.OnCounterReply({std::move(call.name), result, total, elapsed});
}

// Calls whose time is up are reported; their slots stay, so that later answers still find theirs.
void CounterClient::OnTimer() {
  const auto now = Clock::now();
  while (reported_ < calls_.size() && calls_[reported_].begun + timeout_ <= now) {
    Report(calls_[reported_++], CounterResult::kTimedOut);
  }
  ArmTimer();
}

void CounterClient::ArmTimer() {
  if (reported_ >= calls_.size()) return;
  timer_.Arm(std::chrono::ceil<microseconds>(calls_[reported_].begun + timeout_ - Clock::now()));
}

void CounterClient::Upkeep() {
  upkeep_.Arm(kUpkeep);
  const auto now = Clock::now();
  // Nothing where it is watched; where the system has refused that, it is asked again.
  if (connection_ && up_) Watch(connection_.get());
  if (!connection_) {
    if (now - dialled_ >= kRedial && !retired_) Dial();
    return;
  }
  if (!up_) {
    if (now - dialled_ >= dial_timeout_) Lost("no connection in time");
    return;
  }
  // A counter that vanished says nothing and TCP does not notice: what it was asked stays unanswered.
  if (!calls_.empty() && now - calls_.front().begun >= kSilence) return Lost("silent");
  if (calls_.empty() && now - used_ >= kKeepInUse) {
    message_.clear();
    resp::AppendCommand({"PING"}, message_);
    Send(message_, {});
  }
}

}  // namespace postspread::net
