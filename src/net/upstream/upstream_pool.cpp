#include "net/upstream/upstream_pool.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "safety/attempt_rules.h"

namespace postspread::net {
namespace {

using planner::AttemptResult;
using std::chrono::microseconds;

constexpr std::chrono::milliseconds kUpkeep{1'000};
constexpr std::chrono::milliseconds kAnswerStall{
    50};                  // within an answer: ten times the way there and back ...
constexpr int kGaps = 3;  // ... or so many of the longest gap that went on ...
constexpr std::chrono::milliseconds kStallMost{1'000};  // ... but no longer
constexpr double kGapFades = 0.999;                     // of the longest gap: what is left with each answer
constexpr std::chrono::milliseconds kValueStall{
    3'000};                                         // within a large value: the client could not wait longer
constexpr std::chrono::milliseconds kSendAgain{5};  // until a socket that takes nothing is tried again
constexpr std::size_t kReadHigh = std::size_t{72} * 1024;  // bytes read ahead of what is parsed or passed on
constexpr int kKernelBytes = 64 * 1024;  // of the kernel's, for a connection that carries a large value
constexpr std::size_t kCopied = std::size_t{16} * 1024;  // a longer tail of a message is written by reference
// A second copy of an answer that comes some milliseconds behind it, after the next request has left, can't
// be told from that one's answer. So where upstreams are seen to send what nobody asked for, a connection
// rests before it is used again, for as long as that was seen of late.
constexpr std::chrono::milliseconds kRest{20};
constexpr std::chrono::seconds kRestsFor{60};
constexpr double kIdleShare = 0.7;  // of the idle limit: a write at the limit itself would be a reset

std::string ProbeMessage() {
  std::string out;
  resp::AppendCommand({"INFO", "load"}, out);
  return out;
}

}  // namespace

struct UpstreamPool::PooledUpstream {
  std::string name;
  config::Address address;
  UpstreamState state = UpstreamState::kReady;
  std::chrono::milliseconds started{0};
  int incarnation = 0;  // changes with its start and its place: connections to a former one lead nowhere
  std::vector<std::unique_ptr<Connection>> connections;
};

class UpstreamPool::Connection {
 public:
  Connection(UpstreamPool& pool, PooledUpstream& upstream)
      : pool_(pool),
        upstream_(upstream),
        incarnation_(upstream.incarnation),
        timer_(pool.base_, [this] { TimedOut(); }) {}

  bool Dial() {
    dialled_ = Clock::now();
    connection_ = net::Dial(
        pool_.base_, upstream_.address,
        [](bufferevent*, void* self) { static_cast<Connection*>(self)->Read(); },
        [](bufferevent*, void* self) { static_cast<Connection*>(self)->Written(); },
        [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->Event(what); }, this);
    if (!connection_) return false;
    bufferevent_setwatermark(connection_.get(), EV_READ, 0, kReadHigh);
    return Watch(connection_.get());
  }

  // Without a key it is a probe.
  void Begin(const AttemptKey* key, const resp::EncodedRequest& message, microseconds timeout,
             microseconds begin_within, Clock::time_point begun) {
    is_probe_ = key == nullptr;
    key_ = key == nullptr ? AttemptKey{} : *key;
    busy_ = unsent_ = true;
    stalled_ = told_ = false;
    need_ = 0;
    begun_ = begun;
    ends_ = begun + timeout;
    begin_by_ = begun + begin_within;
    written_ = is_probe_;
    // Kept here, not in the connection's buffer: from there it would leave whatever has become of it.
    message_ = message;
    if (!up_) return timer_.Arm(std::min(timeout, pool_.limits_.dial_timeout));
    SendIfAllowed();
  }

  // Ends what is under way by closing the connection. Nothing of it may be touched afterwards.
  void Close(AttemptResult result, const UpstreamLoad& load = {}) {
    const std::unique_ptr<Connection> self = pool_.Remove(*this);
    if (busy_ && !told_) return Report(result, {}, load);
    if (busy_) pool_.attempts_.erase(key_);
    if (value_left_ > 0) pool_.listener_.OnStreamFinished(key_.request, /*whole=*/false);
  }

  // There is room again for the value that is passed on.
  void Resume() {
    if (value_left_ == 0 || !std::exchange(paused_, false)) return;
    bufferevent_enable(connection_.get(), EV_READ);
    Pump();
  }

  // An upstream that drains or is gone may get nothing new: what has not been written to it goes elsewhere.
  void LeaveIfUnsent() {
    if (busy_ && unsent_) Close(AttemptResult::kConnectFailed);
  }
  [[nodiscard]] bool current() const { return incarnation_ == upstream_.incarnation; }

  PooledUpstream& upstream() { return upstream_; }
  [[nodiscard]] bool idle() const { return !busy_ && up_; }
  // Looked at right before it is used again: an upstream may have closed it, or sent a second copy of its
  // last answer, since the loop last looked. The one would be a reset that may have run, the other the wrong
  // value.
  [[nodiscard]] bool spoilt() const { return HasNews(connection_.get()); }
  [[nodiscard]] bool has_bytes() const { return HasBytes(connection_.get()); }
  [[nodiscard]] Clock::time_point idle_since() const { return idle_since_; }

 private:
  // What was so when the attempt was decided, for the moment in which its first byte leaves. A probe has no
  // more to keep than the list.
  [[nodiscard]] std::optional<safety::Rule> Forbidden(Clock::time_point now) const {
    safety::AttemptFacts facts{.upstream_ready = upstream_.state == UpstreamState::kReady,
                               .connection_current = current(),
                               .way = way_there_,
                               .begin_by = begin_by_,
                               .deadline = ends_};
    if (is_probe_) return safety::MayProbe(facts);
    facts.client_waits = pool_.listener_.IsStillNeeded(key_.request);
    return safety::MayBegin(facts, now);
  }

  // The connection is up: what was decided is looked at again, and the first byte leaves or the attempt ends.
  // While the socket takes nothing it is looked at again and again.
  void SendIfAllowed() {
    const auto now = Clock::now();
    if (const std::optional<safety::Rule> rule = Forbidden(now)) {
      pool_.listener_.OnRulePrevented(*rule);
      return Close(AttemptResult::kConnectFailed);
    }
    unsent_ = !(is_probe_ ? BeginWrite(connection_.get(), pool_.probe_) : Send());
    if (unsent_) return timer_.Arm(kSendAgain);
    message_ = {};
    Written();
    timer_.Arm(std::chrono::duration_cast<microseconds>(ends_ - now));
  }

  // Returns whether the first byte has left. The clock is read as late as can be, since the process may be
  // held up at any point. A long tail is not copied: it is held until it has left.
  bool Send() {
    const std::string_view tail = message_.tail();
    const bool copied = tail.size() <= kCopied;
    std::string& whole = pool_.message_;
    whole.clear();
    const auto left = std::chrono::floor<std::chrono::milliseconds>(ends_ - Clock::now());
    message_.RenderHead(std::max(std::chrono::milliseconds(1), left), whole);
    if (copied) whole += tail;
    if (!BeginWrite(connection_.get(), whole)) return false;
    if (copied) return true;
    using Text = std::shared_ptr<const std::string>;
    evbuffer_add_reference(
        bufferevent_get_output(connection_.get()), tail.data(), tail.size(),
        [](const void*, std::size_t, void* text) { delete static_cast<Text*>(text); },
        new Text(message_.text()));
    return true;
  }

  void Event(short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      up_ = true;
      const auto now = Clock::now();
      way_there_ =
          std::min(std::chrono::duration_cast<microseconds>(now - dialled_), pool_.limits_.dial_timeout);
      if (busy_) SendIfAllowed();
      return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    if (up_ && IsPassingError(what) && Watch(connection_.get())) return;
    if (told_) {
      // What has come of a value is whole already, or never will be.
      ended_ = true;
      if (value_left_ == 0 || ReadSize(connection_.get()) < value_left_) Close(AttemptResult::kReset);
      return;
    }
    // Before the last byte has left, the upstream can't have begun; after that it may have.
    const bool never_ran = unsent_ || Unwritten(connection_.get()) > 0;
    // What broke one connection has most likely broken those that stand idle beside it: each would cost an
    // attempt that then counts as one that may have run.
    if (busy_) pool_.CloseIdle(upstream_, Clock::time_point::max());
    Close(never_ran ? AttemptResult::kConnectFailed : AttemptResult::kReset);
  }

  // Counted when the last byte has gone to the socket, and once: not when it is in a buffer of ours.
  void Written() {
    if (!busy_ || unsent_ || Unwritten(connection_.get()) > 0 || std::exchange(written_, true)) return;
    pool_.listener_.OnAttemptWritten();
  }

  void TimedOut() {
    if (!busy_) return;
    if (up_ && unsent_) return SendIfAllowed();
    if (stalled_ || told_) return Malformed();
    const bool never_ran = unsent_ || Unwritten(connection_.get()) > 0;
    Close(never_ran ? AttemptResult::kConnectFailed : AttemptResult::kTimedOut);
  }

  void Read() {
    if (!busy_ || unsent_) {  // nobody asked
      pool_.NoteUnasked();
      return Close(busy_ ? AttemptResult::kConnectFailed : AttemptResult::kReset);
    }
    if (value_left_ > 0) return Pump();
    if (told_) return ReadRest();
    const auto now = Clock::now();
    if (stalled_) pool_.NoteGap(std::chrono::duration_cast<microseconds>(now - heard_));
    heard_ = now;
    resp::Reply reply;
    for (;;) {
      const std::size_t size = ReadSize(connection_.get());
      if (size < std::max<std::size_t>(1, need_)) return ArmStall();
      const std::string_view bytes =
          need_ > 1 ? Peek(connection_.get(), need_) : PeekFirst(connection_.get());
      const resp::Progress progress = resp::ParseReply(bytes, reply);
      if (progress == resp::Progress::kPartial) {
        const bool first = need_ == 0;
        need_ = reply.need;
        stalled_ = true;
        resp::LargeValue large;
        if (!is_probe_ && resp::BeginsLarge(bytes, large) && BeginValue(large)) return;
        if (need_ > kReadHigh) bufferevent_setwatermark(connection_.get(), EV_READ, 0, need_);
        if (first) ArmStall();
        continue;
      }
      if (progress == resp::Progress::kBroken) return Malformed();
      break;
    }
    Take(reply);
  }

  // An answer that stands still halfway does not go on, and waiting for the attempt's own time-out would
  // leave no time for another. Counted from its last byte, and by what gaps were seen to end: some upstreams
  // write in pieces.
  void ArmStall() {
    if (!stalled_) return;
    const auto left = std::chrono::duration_cast<microseconds>(ends_ - Clock::now());
    const bool large = need_ > kReadHigh;
    timer_.Arm(std::min(left, large ? microseconds(kValueStall) : pool_.Stall()));
  }

  // A large value is passed on as it comes; with its header the attempt has ended. Returns whether that is
  // so, or this connection is gone; else the value is to be read whole.
  bool BeginValue(const resp::LargeValue& large) {
    const auto elapsed = std::chrono::duration_cast<microseconds>(Clock::now() - begun_);
    const auto wanted = pool_.listener_.OnLargeValue({.request = key_.request,
                                                      .attempt = key_.attempt,
                                                      .upstream = upstream_.name,
                                                      .result = AttemptResult::kSucceeded,
                                                      .elapsed = elapsed});
    if (wanted == AttemptListener::Value::kWhole) return false;
    if (wanted == AttemptListener::Value::kNone) {
      Close(AttemptResult::kCancelled);
      return true;
    }
    SetKernelBytes(connection_.get(), SO_RCVBUF, kKernelBytes);
    Consume(connection_.get(), large.at);
    value_left_ = large.size;
    rest_ = large.rest;
    told_ = true;
    Pump();
    return true;
  }

  // Hands on what has come, as far as it is taken.
  void Pump() {
    while (value_left_ > 0) {
      const std::size_t have = ReadSize(connection_.get());
      // Its last line end goes out with the check that it is one: a value of another length can be told.
      const bool whole = have >= value_left_;
      if (whole && !EndsRight()) return Malformed();
      const std::size_t ready = whole ? value_left_ : std::min(have, value_left_ - 2);
      const std::size_t room = pool_.listener_.StreamCapacity(key_.request);
      std::size_t size = std::min(ready, room);
      if (size < value_left_ && size > value_left_ - 2) size = value_left_ - 2;
      if (size == 0) {
        if (ready == 0) return timer_.Arm(kValueStall);
        // The client takes its time: the upstream is not read from meanwhile, and no time runs for it.
        paused_ = true;
        bufferevent_disable(connection_.get(), EV_READ);
        return timer_.Disarm();
      }
      value_left_ -= size;
      pool_.listener_.StreamValue(key_.request, bufferevent_get_input(connection_.get()), size);
    }
    pool_.attempts_.erase(key_);
    pool_.listener_.OnStreamFinished(key_.request, /*whole=*/true);
    need_ = 0;
    if (ended_) return Close(AttemptResult::kReset);
    timer_.Arm(kAnswerStall);
    ReadRest();
  }

  [[nodiscard]] bool EndsRight() const {
    evbuffer* input = bufferevent_get_input(connection_.get());
    evbuffer_ptr at;
    char end[2] = {};
    return evbuffer_ptr_set(input, &at, value_left_ - 2, EVBUFFER_PTR_SET) == 0 &&
           evbuffer_copyout_from(input, &at, end, sizeof end) == sizeof end && end[0] == '\r' &&
           end[1] == '\n';
  }

  // What an answer holds behind a value that was passed on: read so that the connection can be used again.
  void ReadRest() {
    resp::Reply reply;
    for (;;) {
      const std::size_t size = ReadSize(connection_.get());
      if (size < need_) return;
      const std::string_view bytes =
          need_ > 1 ? Peek(connection_.get(), need_) : PeekFirst(connection_.get());
      const resp::Progress progress = resp::ParseParts(bytes, rest_, reply);
      if (progress == resp::Progress::kBroken) return Malformed();
      if (progress == resp::Progress::kWhole) break;
      need_ = reply.need;
    }
    timer_.Disarm();
    Free(reply.size);
  }

  // The answer has been read: the connection can take another command.
  void Free(std::size_t size) {
    Consume(connection_.get(), size);
    if (need_ > kReadHigh) bufferevent_setwatermark(connection_.get(), EV_READ, 0, kReadHigh);
    busy_ = false;
    idle_since_ = Clock::now();
    if (ReadSize(connection_.get()) > 0) pool_.NoteUnasked();
    if (ReadSize(connection_.get()) > 0 || upstream_.state != UpstreamState::kReady || !current()) {
      Close(AttemptResult::kReset);
    }
  }

  // What came has run, and the connection can't be used again.
  void Malformed() {
    pool_.malformed_("next hop's answer is malformed", upstream_.name);
    Close(AttemptResult::kReset);
  }

  void Take(const resp::Reply& reply) {
    using Kind = resp::Reply::Kind;
    AttemptResult result = AttemptResult::kError;
    UpstreamLoad load;
    ReportedUsage use;
    std::string_view value;
    if (reply.kind == Kind::kError) {
      const std::string_view update = reply.text.substr(0, reply.text.find(' '));
      if (update == "BUSY") {
        result = AttemptResult::kRejected;
      } else if (update != "ERR") {
        return Malformed();
      }
      resp::DecodeErrorTail(reply.text, use, load);
    } else if (is_probe_ && (reply.kind == Kind::kBulk || reply.kind == Kind::kSimple)) {
      result = AttemptResult::kSucceeded;
      load = resp::DecodeLoad(reply.text);
    } else if (!is_probe_ && reply.kind == Kind::kArray && reply.count >= 1 && !reply.parts[0].null &&
               reply.first_raw.front() == '$') {
      result = AttemptResult::kSucceeded;
      value = reply.first_raw;
      if (reply.count >= 2 && !reply.parts[1].null) use = resp::DecodeUse(reply.parts[1].text);
      if (reply.count >= 3 && !reply.parts[2].null) load = resp::DecodeLoad(reply.parts[2].text);
    } else {
      return Malformed();
    }
    timer_.Disarm();
    // `value` is a slice of what was read: it is consumed, and the connection free again, after the report.
    Report(result, value, load, use);
    Free(reply.size);
  }

  void Report(AttemptResult result, std::string_view value, const UpstreamLoad& load,
              const ReportedUsage& use = {}) {
    told_ = true;
    const auto elapsed = std::chrono::duration_cast<microseconds>(Clock::now() - begun_);
    if (is_probe_) {
      return pool_.listener_.OnHealthCheckFinished(
          {.upstream = upstream_.name, .result = result, .elapsed = elapsed, .load = load});
    }
    pool_.attempts_.erase(key_);
    pool_.listener_.OnAttemptFinished({.request = key_.request,
                                       .attempt = key_.attempt,
                                       .upstream = upstream_.name,
                                       .result = result,
                                       .elapsed = elapsed,
                                       .load = load,
                                       .use = use},
                                      value);
  }

  UpstreamPool& pool_;
  PooledUpstream& upstream_;
  const int incarnation_;  // of the upstream, that it leads to
  BufferEvent connection_;
  Timer timer_;
  bool up_ = false;
  bool busy_ = false;
  bool is_probe_ = false;
  bool unsent_ = false;   // of what is under way no byte has left
  bool written_ = false;  // what is under way, to its last byte
  bool stalled_ = false;  // an answer has begun and not ended
  bool told_ = false;     // how the attempt ended; what is still under way is its value or what follows that
  bool paused_ = false;   // the client has no room for the value
  bool ended_ = false;    // the upstream has closed; all of the value has come
  resp::EncodedRequest message_;  // until its first byte has left; of a probe: none
  AttemptKey key_;
  std::size_t need_ = 0;
  std::size_t value_left_ = 0;  // bytes of a large value that are still to be passed on
  std::size_t rest_ = 0;        // parts of the answer behind it
  Clock::time_point dialled_;
  microseconds way_there_{0};  // no longer than this; once it is up
  Clock::time_point begin_by_;
  Clock::time_point begun_;
  Clock::time_point heard_;
  Clock::time_point ends_;
  Clock::time_point idle_since_;
};

UpstreamPool::UpstreamPool(event_base* base, Limits limits, AttemptListener& listener)
    : base_(base),
      limits_(limits),
      probe_(ProbeMessage()),
      reuse_within_(std::chrono::duration_cast<microseconds>(limits.idle * kIdleShare)),
      listener_(listener),
      upkeep_(base, [this] { Upkeep(); }) {
  upkeep_.Arm(kUpkeep);
}

UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::Apply(const config::EndpointList& endpoint_list) {
  std::vector<PooledUpstream*> renewed, not_ready;
  if (endpoint_list.full) {
    for (auto& [name, upstream] : upstreams_) upstream->state = UpstreamState::kRemoved;
  }
  for (const config::Endpoint& entry : endpoint_list.entries) {
    std::unique_ptr<PooledUpstream>& upstream = upstreams_[entry.upstream.name];
    if (!upstream) {
      upstream = std::make_unique<PooledUpstream>();
      upstream->name = entry.upstream.name;
    }
    const bool moved = !(upstream->address == entry.address) && entry.address.size() > 0;
    // A new process or a new place: connections to the old one lead nowhere.
    if (moved || upstream->started != entry.upstream.started) {
      ++upstream->incarnation;
      CloseIdle(*upstream, Clock::time_point::max());
      renewed.push_back(upstream.get());
    }
    if (moved) upstream->address = entry.address;
    upstream->started = entry.upstream.started;
    upstream->state = entry.upstream.state;
  }
  for (auto& [name, upstream] : upstreams_) {
    if (upstream->state != UpstreamState::kReady) not_ready.push_back(upstream.get());
  }
  for (PooledUpstream* upstream : not_ready) CloseIdle(*upstream, Clock::time_point::max());
  for (const std::vector<PooledUpstream*>& upstreams : {renewed, not_ready}) {
    for (PooledUpstream* upstream : upstreams) {
      for (std::size_t i = upstream->connections.size(); i-- > 0;) {
        if (i < upstream->connections.size()) upstream->connections[i]->LeaveIfUnsent();
      }
    }
  }
}

void UpstreamPool::StartAttempt(const AttemptKey& key, const std::string& upstream,
                                const resp::EncodedRequest& message, microseconds timeout,
                                microseconds begin_within) {
  const auto found = upstreams_.find(upstream);
  if (found != upstreams_.end()) return Start(*found->second, &key, message, timeout, begin_within);
  listener_.OnAttemptFinished({.request = key.request,
                               .attempt = key.attempt,
                               .upstream = upstream,
                               .result = AttemptResult::kConnectFailed},
                              {});
}

void UpstreamPool::StartHealthCheck(const std::string& upstream) {
  const auto found = upstreams_.find(upstream);
  if (found != upstreams_.end()) {
    return Start(*found->second, nullptr, {}, limits_.dial_timeout, limits_.dial_timeout);
  }
  listener_.OnHealthCheckFinished({.upstream = upstream, .result = AttemptResult::kConnectFailed});
}

void UpstreamPool::Start(PooledUpstream& upstream, const AttemptKey* key, const resp::EncodedRequest& message,
                         microseconds timeout, microseconds begin_within) {
  const auto begun = Clock::now();
  Connection* connection = upstream.state == UpstreamState::kReady ? FindIdle(upstream) : nullptr;
  if (connection == nullptr && upstream.state == UpstreamState::kReady) connection = Open(upstream);
  if (connection != nullptr) {
    if (key != nullptr) attempts_[*key] = connection;
    return connection->Begin(key, message, timeout, begin_within, begun);
  }
  if (key == nullptr) {
    return listener_.OnHealthCheckFinished(
        {.upstream = upstream.name, .result = AttemptResult::kConnectFailed});
  }
  listener_.OnAttemptFinished({.request = key->request,
                               .attempt = key->attempt,
                               .upstream = upstream.name,
                               .result = AttemptResult::kConnectFailed},
                              {});
}

void UpstreamPool::CancelAttempt(const AttemptKey& key) {
  const auto found = attempts_.find(key);
  if (found != attempts_.end()) found->second->Close(AttemptResult::kCancelled);
}

void UpstreamPool::Resume(const AttemptKey& key) {
  const auto found = attempts_.find(key);
  if (found != attempts_.end()) found->second->Resume();
}

void UpstreamPool::NoteGap(microseconds gap) {
  longest_gap_ = std::max(gap, std::chrono::duration_cast<microseconds>(longest_gap_ * kGapFades));
}

void UpstreamPool::NoteUnasked() { rests_until_ = Clock::now() + kRestsFor; }

microseconds UpstreamPool::Stall() const {
  return std::clamp<microseconds>(kGaps * longest_gap_, kAnswerStall, kStallMost);
}

UpstreamPool::Connection* UpstreamPool::FindIdle(PooledUpstream& upstream) {
  for (;;) {
    Connection* best = nullptr;  // the last used: the others may reach their age
    const auto now = Clock::now();
    const auto rested = now < rests_until_ ? now - kRest : now;
    for (const auto& connection : upstream.connections) {
      if (!connection->idle() || connection->idle_since() > rested) continue;
      if (best == nullptr || connection->idle_since() > best->idle_since()) best = connection.get();
    }
    if (best == nullptr || now - best->idle_since() >= reuse_within_) return nullptr;
    if (!best->spoilt()) return best;
    if (best->has_bytes()) NoteUnasked();
    Remove(*best);
  }
}

UpstreamPool::Connection* UpstreamPool::Open(PooledUpstream& upstream) {
  if (open_ >= limits_.connections && !EvictIdle()) {
    not_dialled_("next hop not dialled", "too many connections are open");
    return nullptr;
  }
  auto connection = std::make_unique<Connection>(*this, upstream);
  if (!connection->Dial()) return nullptr;
  ++open_;
  return upstream.connections.emplace_back(std::move(connection)).get();
}

bool UpstreamPool::EvictIdle() {
  Connection* oldest = nullptr;
  for (auto& [name, upstream] : upstreams_) {
    for (const auto& connection : upstream->connections) {
      if (!connection->idle()) continue;
      if (oldest == nullptr || connection->idle_since() < oldest->idle_since()) oldest = connection.get();
    }
  }
  if (oldest != nullptr) Remove(*oldest);
  return oldest != nullptr;
}

std::unique_ptr<UpstreamPool::Connection> UpstreamPool::Remove(Connection& connection) {
  auto& all = connection.upstream().connections;
  const auto found =
      std::find_if(all.begin(), all.end(), [&connection](const auto& c) { return c.get() == &connection; });
  std::unique_ptr<Connection> out = std::move(*found);
  all.erase(found);
  --open_;
  return out;
}

void UpstreamPool::CloseIdle(PooledUpstream& upstream, Clock::time_point unused_since) {
  for (std::size_t i = upstream.connections.size(); i-- > 0;) {
    Connection& connection = *upstream.connections[i];
    if (connection.idle() && connection.idle_since() <= unused_since) Remove(connection);
  }
}

void UpstreamPool::Upkeep() {
  upkeep_.Arm(kUpkeep);
  const auto unused_since = Clock::now() - reuse_within_;
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    PooledUpstream& upstream = *it->second;
    CloseIdle(upstream, unused_since);
    const bool over = upstream.state == UpstreamState::kRemoved && upstream.connections.empty();
    it = over ? upstreams_.erase(it) : std::next(it);
  }
}

}  // namespace postspread::net
