#include "net/downstream/client_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <new>
#include <utility>

namespace postspread::net {
namespace {

constexpr std::size_t kMaxPending = 128;                     // answers owed on one connection
constexpr std::size_t kMaxUnread = std::size_t{128} * 1024;  // bytes of answers that a client has not taken
constexpr std::size_t kReadAhead =
    std::size_t{80} * 1024;                           // bytes read before they are handled: one command fits
constexpr std::chrono::milliseconds kSilence{2'000};  // for a first command, or the next where many are open
constexpr std::chrono::milliseconds kHead{2'300};     // for a command before its body: a client may take 2 s
constexpr std::chrono::milliseconds kBodySilence{2'300};  // within a body, without a byte
constexpr std::chrono::seconds kBody{30};                 // for a body, however its bytes come
constexpr std::chrono::seconds kUntaken{10};              // without a byte of its answers taken by a client
constexpr int kKernelBytes = 64 * 1024;  // of the kernel's, for a connection that is sent a large value
// For a client that connects late in a drain to say what it has to say, and to finish a command then.
constexpr std::chrono::milliseconds kLateWord{100};
constexpr std::chrono::milliseconds kLateCommand{400};
constexpr std::chrono::milliseconds kOwed{1'000};       // for what is owed before a protocol error
constexpr std::chrono::milliseconds kLingerCheck{100};  // between two looks at a client that is to close
constexpr safety::LingerLimits kLinger{.linger = std::chrono::milliseconds(1'000),
                                       .timeout = kUntaken,
                                       .most = std::chrono::milliseconds(2'000)};

std::string_view Words(planner::FailureReason reason) {
  switch (reason) {
    case planner::FailureReason::kFailed:
      return "-ERR failed\r\n";
    case planner::FailureReason::kUnknown:
      return "-ERR outcome unknown: the change under this key may have been made\r\n";
    case planner::FailureReason::kOtherKey:
      return "-ERR this key was used for another request\r\n";
    case planner::FailureReason::kAnswerGone:
      return "-ERR the change under this key was made, its answer is held no longer\r\n";
  }
  return "-ERR failed\r\n";
}

}  // namespace

ClientConnection::ClientConnection(ConnectionContext& context, Owner& owner, evutil_socket_t fd)
    : context_(context),
      owner_(owner),
      used_(Clock::now()),
      linger_(context_.base, [this] { CheckLinger(); }) {
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  connection_.reset(bufferevent_socket_new(context_.base, fd, BEV_OPT_CLOSE_ON_FREE));
  if (!connection_) {
    evutil_closesocket(fd);
    throw std::bad_alloc();
  }
  bufferevent_setcb(
      connection_.get(), [](bufferevent*, void* self) { static_cast<ClientConnection*>(self)->Read(); },
      [](bufferevent*, void* self) { static_cast<ClientConnection*>(self)->Written(); },
      [](bufferevent*, short what, void* self) {
        if (IsPassingError(what)) return static_cast<ClientConnection*>(self)->NoteDeaf();
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
          static_cast<ClientConnection*>(self)->OnDisconnect();
      },
      this);
  bufferevent_setwatermark(connection_.get(), EV_READ, 0, kReadAhead);
  is_watched_ = Watch(connection_.get());
  const auto waited = WaitedForAccept(connection_.get());
  if (!is_watched_ || waited.count() > 0) deaf_since_ = accepted_at_ - waited;
}

ClientConnection::~ClientConnection() {
  context_.metrics.Closed(close_reason_);
  context_.bodies.Leave(*this);
  Unreserve();
}

void ClientConnection::CancelPendingRequests() {
  std::deque<PendingResponse> pending = std::move(pending_);
  pending_.clear();
  first_slot_ += pending.size();
  for (const PendingResponse& response : pending) {
    if (response.ready) continue;
    context_.open_ids.erase(response.id);
    if (response.number) context_.handler.OnClientDisconnect(*response.number);
  }
}

safety::ConnectionFacts ClientConnection::Facts() const {
  return {.pending = pending_.size(),
          .unwritten = Unwritten(connection_.get()),
          .unacknowledged = Unacknowledged(connection_.get()),
          .half_command = partial_since_.has_value(),
          .unread = ReadSize(connection_.get()) > 0 || HasNews(connection_.get())};
}

bool ClientConnection::idle() const {
  // The cheap looks first: most connections are looked at in vain.
  return state_ == State::kOpen && pending_.empty() && safety::MayCloseIdle(Facts());
}

void ClientConnection::JudgeClose() const {
  const bool value_broke = close_reason_ == ops::CloseReason::kBrokenValue;
  if (ended_by_client_ || value_broke || close_reason_ == ops::CloseReason::kUntaken) return;
  if (const auto rule = safety::BrokenByClose(Facts())) context_.metrics.rules.Violated(*rule);
}

bool ClientConnection::HeldAgainstDrain(Clock::time_point now) const {
  if (state_ == State::kLingering || broken_ || now - accepted_at_ < kLateWord + kLateCommand) return false;
  const auto since_request = std::chrono::duration_cast<std::chrono::milliseconds>(now - used_);
  return safety::HeldAgainstDrain({.pending = pending_.size(), .since_request = since_request});
}

std::string ClientConnection::Describe() const {
  std::string out = state_ == State::kOpen ? "open" : state_ == State::kClosing ? "closing" : "lingering";
  if (!pending_.empty()) out += " pending=" + std::to_string(pending_.size());
  if (Unwritten(connection_.get()) > 0) out += " unwritten=" + std::to_string(Unwritten(connection_.get()));
  if (partial_since_) out += " half-command";
  if (ReadSize(connection_.get()) > 0) out += " read=" + std::to_string(ReadSize(connection_.get()));
  if (HasNews(connection_.get())) out += " unread-at-socket";
  return out;
}

void ClientConnection::CheckTimeouts(Clock::time_point now, bool many, Clock::time_point unused_since) {
  // Where the system has refused to watch the socket it is asked again: a socket that nobody watches is
  // deaf.
  if (!broken_ && (!is_watched_ || Unwritten(connection_.get()) > 0)) is_watched_ = Watch(connection_.get());
  if (Untaken(now)) {
    close_reason_ = ops::CloseReason::kUntaken;
    return owner_.Remove(this);
  }
  if (state_ == State::kClosing && !pending_.empty() && protocol_error_ && now - used_ >= kOwed) {
    return GiveUpOwed();
  }
  if (state_ != State::kOpen || !pending_.empty()) return;
  if (Overdue(now)) {
    ProtocolError("command not finished in time");
    CloseBetweenRequests();
  } else if ((((!has_asked_ || many) && now - used_ >= kSilence) || (has_asked_ && used_ <= unused_since)) &&
             idle()) {
    state_ = State::kClosing;
    close_reason_ = ops::CloseReason::kIdle;
    CloseBetweenRequests();
  }
}

flow::ConnectionState ClientConnection::EvictionState(Clock::time_point now) const {
  const auto since = [now](Clock::time_point then) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
  };
  const bool lingering = state_ == State::kLingering && !broken_;
  // What the client's system has not acknowledged goes with a reset: it may be held up by a client that reads
  // slowly.
  const bool delivered = Unacknowledged(connection_.get()) == 0;
  return {.done = lingering && delivered,
          .owed = broken_ || !pending_.empty() || Unwritten(connection_.get()) > 0 || !delivered ||
                  state_ == State::kClosing,
          .asked = has_asked_,
          .begun = partial_since_.has_value(),
          .used = since(used_),
          .working = partial_since_ ? since(*partial_since_) : std::chrono::milliseconds(0),
          .silent = since(came_)};
}

void ClientConnection::Keep() {
  if (!bytes_to_take_) closing_.reset();
}

void ClientConnection::CloseInTime(Clock::time_point now) {
  if (state_ != State::kOpen || broken_ || !closing_ || now < closing_->at) return;
  if (!bytes_to_take_) {
    const std::size_t most = std::max(reserved_, kReadAhead), have = ReadSize(connection_.get());
    if (have < most) ReadNow(connection_.get(), most - have);
    bytes_to_take_ = ReadSize(connection_.get());
  }
  Read();
}

bool ClientConnection::reading_paused() const {
  return !broken_ && state_ != State::kLingering && !pending_.empty() &&
         ReadSize(connection_.get()) >= kReadAhead;
}

void ClientConnection::OnDisconnect() {
  ended_by_client_ = true;
  owner_.Remove(this);
}

void ClientConnection::RejectWithRetryAfter(Slot slot, std::chrono::milliseconds retry_after) {
  if (retry_after.count() <= 0) return Answer(slot, "-BUSY\r\n");
  Answer(slot, "-BUSY " + std::to_string(retry_after.count()) + "\r\n");
}

void ClientConnection::BeginStream(Slot slot, std::size_t window) {
  if (!HasPendingResponse(slot)) return;
  pending_[slot - first_slot_].in_pieces = true;
  window_ = window;
  SetKernelBytes(connection_.get(), SO_SNDBUF, kKernelBytes);
  bufferevent_setwatermark(connection_.get(), EV_WRITE, window / 2, 0);
}

std::size_t ClientConnection::StreamCapacity(Slot slot) {
  if (slot != first_slot_ || !HasPendingResponse(slot)) return 0;
  return window_ - std::min(window_, Unwritten(connection_.get()));
}

void ClientConnection::WriteStream(Slot slot, evbuffer* from, std::size_t size) {
  if (slot == first_slot_ && HasPendingResponse(slot)) {
    evbuffer_remove_buffer(from, bufferevent_get_output(connection_.get()), size);
  } else {
    evbuffer_drain(from, size);
  }
}

void ClientConnection::EndStream(Slot slot) {
  if (slot != first_slot_ || !HasPendingResponse(slot)) return;
  context_.open_ids.erase(pending_.front().id);
  bufferevent_setwatermark(connection_.get(), EV_WRITE, 0, 0);
  Pop();
  Flush();
}

void ClientConnection::AbortStream(Slot slot) {
  if (!HasPendingResponse(slot)) return;
  context_.open_ids.erase(pending_[slot - first_slot_].id);
  pending_[slot - first_slot_].number.reset();
  // The client is to see that the value is not whole, so nothing may follow it. Not from here: the caller
  // may be one of our own calls.
  broken_ = true;
  close_reason_ = ops::CloseReason::kBrokenValue;
  bufferevent_disable(connection_.get(), EV_READ | EV_WRITE);
  linger_.Arm(std::chrono::microseconds(0));
}

void ClientConnection::Read() {
  if (state_ == State::kLingering) {
    progress_at_ = Clock::now();
    return Consume(connection_.get(), ReadSize(connection_.get()));
  }
  if (handling_ || broken_) return;
  const auto now = Clock::now();
  // Called for answers that were taken, too: what waits since then has not come now.
  const std::size_t fresh = ReadSize(connection_.get()) - arrivals_.size();
  if (fresh > 0) NoteArrival(fresh, now);
  handling_ = true;
  // Each command is a slice of what was read; it is consumed once it has been handled.
  while (state_ == State::kOpen && TakesCommand(now)) {
    const std::size_t size = ReadSize(connection_.get());
    if (size < std::max<std::size_t>(1, need_)) break;
    const std::string_view bytes = need_ > 1 ? Peek(connection_.get(), need_) : PeekFirst(connection_.get());
    const resp::Progress progress = resp::ParseCommand(bytes, command_);
    if (progress == resp::Progress::kPartial) {
      need_ = command_.need;
      if (!partial_since_) partial_since_ = Clock::now();
      if (need_ > kReadAhead && reserved_ == 0 && !Reserve()) break;
      continue;
    }
    need_ = 0;
    if (progress == resp::Progress::kBroken) {
      ProtocolError(command_.error);
      break;
    }
    // What was reserved for reading it is what it is held under from here on, if it is.
    if (reserved_ > 0) context_.bodies.Give(std::exchange(reserved_, 0));
    Handle();
    Consume(connection_.get(), command_.size);
    arrivals_.Consumed(command_.size);
    if (bytes_to_take_) *bytes_to_take_ -= std::min(*bytes_to_take_, command_.size);
    if (command_.size > kReadAhead) {
      bufferevent_setwatermark(connection_.get(), EV_READ, 0, kReadAhead);
      context_.bodies.Grant();
    }
    used_ = Clock::now();
    partial_since_.reset();
  }
  handling_ = false;
  StopReadingInTime(now);
  Flow();
  CloseBetweenRequests();
}

void ClientConnection::NoteArrival(std::size_t fresh, Clock::time_point now) {
  came_ = now;
  Clock::time_point arrived = now - SinceArrival(connection_.get());
  if (deaf_since_) arrived = std::min(arrived, *deaf_since_);
  // Where handling is paused, what came behind the front has not been looked at: there may be whole commands.
  const bool continues = partial_since_ && !paused_;
  continues ? arrivals_.Continued(fresh, arrived) : arrivals_.Appended(fresh, arrived);
  if (is_watched_) deaf_since_.reset();
}

bool ClientConnection::TakesCommand(Clock::time_point now) const {
  if (!bytes_to_take_) return !Full();
  return *bytes_to_take_ > 0 && (!Full() || now >= closing_->commands_until);
}

void ClientConnection::StopReadingInTime(Clock::time_point now) {
  if (state_ != State::kOpen || !closing_ || !bytes_to_take_) return;
  const safety::ReadingFacts facts{.close_at = closing_->at,
                                   .commands_until = closing_->commands_until,
                                   .bytes_to_take = *bytes_to_take_,
                                   .half_command = partial_since_.has_value()};
  if (safety::ReadingAt(facts, now) != safety::Reading::kStops) return;
  state_ = State::kClosing;
  close_reason_ = closing_->reason;
  context_.bodies.Leave(*this);
  Unreserve();
}

bool ClientConnection::Reserve() {
  wants_ = need_;
  waits_ = !context_.bodies.Ask(*this, wants_);
  if (!waits_) Reserved();
  return !waits_;
}

void ClientConnection::Reserved() {
  reserved_ = wants_;
  bufferevent_setwatermark(connection_.get(), EV_READ, 0, std::max(reserved_, kReadAhead));
}

void ClientConnection::Granted() {
  waits_ = false;
  came_ = Clock::now();
  Reserved();
}

void ClientConnection::Unreserve() {
  if (reserved_ == 0) return;
  context_.bodies.Give(std::exchange(reserved_, 0));
  context_.bodies.Grant();
}

bool ClientConnection::Overdue(Clock::time_point now) const {
  if (!partial_since_ || waits_) return false;
  if (command_.count < resp::kBodyAt) return now - *partial_since_ >= kHead;
  return now - came_ >= kBodySilence || now - *partial_since_ >= kBody;
}

bool ClientConnection::Untaken(Clock::time_point now) {
  const std::size_t unwritten = Unwritten(connection_.get());
  if (unwritten == 0 || unwritten != unwritten_) untaken_since_ = now;
  unwritten_ = unwritten;
  return unwritten > 0 && now - untaken_since_ >= kUntaken;
}

bool ClientConnection::HasPendingResponse(Slot slot) const {
  return !broken_ && slot >= first_slot_ && slot - first_slot_ < pending_.size() &&
         !pending_[slot - first_slot_].ready;
}

void ClientConnection::ProtocolError(const std::string& what) {
  context_.turned_down("command turned down", what);
  Say("-ERR Protocol error: " + what + "\r\n");
  protocol_error_ = true;
  state_ = State::kClosing;
  close_reason_ = ops::CloseReason::kProtocolError;
  used_ = Clock::now();
  context_.bodies.Leave(*this);
  Unreserve();
}

void ClientConnection::GiveUpOwed() {
  const std::size_t owed = pending_.size();
  const Slot first = first_slot_;
  for (std::size_t i = 0; i < owed; ++i) {
    const Slot slot = first + i;
    if (slot < first_slot_ || pending_[slot - first_slot_].ready) continue;
    // A value on its way goes on: an answer written into it would be part of it.
    if (slot == first_slot_ && pending_.front().in_pieces) continue;
    const std::optional<RequestId> number = pending_[slot - first_slot_].number;
    if (number) context_.handler.OnClientDisconnect(*number);
    Fail(slot, planner::FailureReason::kFailed);
  }
}

void ClientConnection::Handle() {
  if (command_.count == 0) return Say("-ERR empty command\r\n");
  const std::string_view verb = command_.parts[0];
  if (verb == "PING") {
    if (command_.count == 1) return Say(context_.handler.Ready() ? "+PONG\r\n" : "-LOADING not serving\r\n");
    if (command_.count > 2) return Say("-ERR wrong number of arguments\r\n");
    std::string echo;
    resp::AppendBulk(command_.parts[1], echo);
    return Say(std::move(echo));
  }
  resp::DecodedRequest request;
  if (const char* error = resp::DecodeRequest(command_, context_.vocabulary, request)) {
    context_.turned_down("command turned down", error);
    return Say(std::string("-ERR ") + error + "\r\n");
  }
  const std::size_t id = std::hash<std::string_view>()(request.id);
  if (!context_.open_ids.insert(id).second) return Say("-ERR a request with this id is open\r\n");
  has_asked_ = true;
  // The time that it has waited here behind others is no longer its client's to wait.
  const auto waited =
      std::chrono::floor<std::chrono::milliseconds>(Clock::now() - arrivals_.Of(command_.size));
  request.request.timeout -= std::max(waited, std::chrono::milliseconds(0));
  const Slot slot = first_slot_ + pending_.size();
  pending_.emplace_back().id = id;
  const RequestId number = context_.handler.HandleRequest(
      request.request, resp::EncodedRequest(command_.message(), request.extras, request.timeout), *this,
      slot);
  if (slot >= first_slot_) pending_[slot - first_slot_].number = number;  // else answered already
}

void ClientConnection::Say(const std::string& answer) {
  pending_.emplace_back();
  Answer(first_slot_ + pending_.size() - 1, answer);
}

void ClientConnection::Answer(Slot slot, std::string_view answer) {
  if (!HasPendingResponse(slot)) return;
  PendingResponse& response = pending_[slot - first_slot_];
  response.ready = true;
  if (response.id != 0) context_.open_ids.erase(response.id);
  if (slot != first_slot_) {
    response.answer = answer;
    in_flight_ += answer.size();
    return;
  }
  Write(connection_.get(), answer);
  Pop();
  Flush();
}

void ClientConnection::Flush() {
  while (!pending_.empty() && pending_.front().ready) {
    in_flight_ -= pending_.front().answer.size();
    Write(connection_.get(), pending_.front().answer);
    Pop();
  }
  AskForMore();
  if (handling_) return;
  // There may be room again. Not read from here: the answer is a step of the planner's, and what is read
  // would go to the planner in the midst of its steps.
  if (paused_) {
    return bufferevent_trigger(connection_.get(), EV_READ,
                               BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
  CloseBetweenRequests();
}

void ClientConnection::AskForMore() {
  if (pending_.empty() || !pending_.front().in_pieces || !pending_.front().number) return;
  context_.handler.ResumeStream(*pending_.front().number);
}

void ClientConnection::Pop() {
  pending_.pop_front();
  ++first_slot_;
}

bool ClientConnection::Full() const {
  return pending_.size() >= kMaxPending || in_flight_ + Unwritten(connection_.get()) > kMaxUnread;
}

void ClientConnection::Flow() {
  if (state_ != State::kLingering) paused_ = state_ == State::kOpen && Full();
  if (reading_paused()) owner_.WatchForDisconnect();
}

void ClientConnection::NoteDeaf() {
  Watch(connection_.get());
  is_watched_ = false;  // the system may have refused: asked again at the next look
  if (!deaf_since_) deaf_since_ = Clock::now();
}

void ClientConnection::Written() {
  if (broken_) return;
  AskForMore();
  if (state_ == State::kOpen && paused_) return Read();
  CloseBetweenRequests();
}

void ClientConnection::CloseBetweenRequests() {
  if (state_ != State::kClosing || broken_) return;
  if (!safety::MayShutDown({.pending = pending_.size(), .unwritten = Unwritten(connection_.get())})) return;
  // Closed with bytes unread, the socket would be reset and the last answers with it: our side is shut, and
  // the rest is read until the client closes too. Seen as answers lost at restarts.
  state_ = State::kLingering;
  shutdown(bufferevent_getfd(connection_.get()), SHUT_WR);
  Consume(connection_.get(), ReadSize(connection_.get()));
  is_watched_ = Watch(connection_.get());
  shut_at_ = progress_at_ = Clock::now();
  unacknowledged_ = Unacknowledged(connection_.get());
  linger_.Arm(kLingerCheck);
}

void ClientConnection::CheckLinger() {
  if (broken_) return owner_.Remove(this);
  const auto now = Clock::now();
  const std::size_t unacknowledged = Unacknowledged(connection_.get());
  if (unacknowledged != unacknowledged_) progress_at_ = now;
  unacknowledged_ = unacknowledged;
  const auto since = [now](Clock::time_point then) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
  };
  const safety::LingerFacts facts{.unacknowledged = unacknowledged,
                                  .since_shutdown = since(shut_at_),
                                  .since_progress = since(progress_at_)};
  if (!safety::MayClose(facts, kLinger)) return linger_.Arm(kLingerCheck);
  if (unacknowledged > 0) close_reason_ = ops::CloseReason::kUntaken;
  owner_.Remove(this);
}

void ClientConnection::Fail(Slot slot, planner::FailureReason reason) { Answer(slot, Words(reason)); }

}  // namespace postspread::net
