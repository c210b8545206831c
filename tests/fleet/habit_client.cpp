#include "fleet/habit_client.h"

#include <algorithm>
#include <cstdio>

#include "partners/server.h"
#include "resp/frame.h"

namespace postspread::fleet_rig {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kClockPeriod{40};
constexpr std::size_t kPipelined = 4;
constexpr std::size_t kMostByTheClock = 64;
constexpr std::size_t kTrickled = 1;        // bytes of a slow command at each step: a hundred take a second
constexpr std::size_t kSlowlyRead = 1'024;  // bytes that a slow reader takes at each step
constexpr int kSlowReaderKernelBytes = 4'096;
constexpr int kCustomers = 500;
constexpr char kLargeMark = 'f';  // the first digit of an id that asks for a large value

std::string Hex(std::uint64_t number) {
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

const char* ClassName(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kIdempotent:
      return "read";
    case RequestClass::kIdempotencyKey:
      return "move";
    case RequestClass::kNotIdempotent:
      return "order";
  }
  return "";
}

}  // namespace

const char* Name(Habit habit) {
  switch (habit) {
    case Habit::kResting:
      return "resting";
    case Habit::kSilent:
      return "silent";
    case Habit::kHalfCommand:
      return "half a command";
    case Habit::kTrickling:
      return "trickling";
    case Habit::kOneRequestOut:
      return "one request out";
    case Habit::kPipelining:
      return "pipelining";
    case Habit::kByTheClock:
      return "by the clock";
    case Habit::kSlowReader:
      return "slow reader";
  }
  return "";
}

RequestLedger::Id RequestLedger::NextId(bool large_answer) {
  Id id = Hex(next_++);
  if (large_answer) id[0] = kLargeMark;
  return id;
}

bool WantsLargeAnswer(std::string_view id) { return !id.empty() && id.front() == kLargeMark; }

HabitClient::HabitClient(event_base* base, RequestLedger& ledger, Target target, Habit habit,
                         std::uint64_t seed)
    : base_(base),
      ledger_(ledger),
      target_(std::move(target)),
      habit_(habit),
      random_(seed),
      step_(base, [this] { Step(); }) {
  connection_ = net::Dial(
      base_, *config::Address::Parse(partners::LoopbackAddress(target_.port)),
      [](bufferevent*, void* self) { static_cast<HabitClient*>(self)->Read(); }, nullptr,
      [](bufferevent*, short what, void* self) {
        auto* client = static_cast<HabitClient*>(self);
        if ((what & BEV_EVENT_CONNECTED) != 0) return client->Connected();
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) client->Ended((what & BEV_EVENT_ERROR) != 0);
      },
      this);
  if (!connection_) {
    state_ = State::kEnded;
    return;
  }
  if (habit_ == Habit::kSlowReader) {
    net::SetKernelBytes(connection_.get(), SO_RCVBUF, kSlowReaderKernelBytes);
    bufferevent_setwatermark(connection_.get(), EV_READ, 0, kSlowlyRead);
  }
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
}

HabitClient::~HabitClient() {
  if (state_ == State::kOpen) EndPending(/*client_left=*/true, /*by_reset=*/false);
}

void HabitClient::Leave() {
  if (state_ != State::kOpen) return;
  EndPending(/*client_left=*/true, /*by_reset=*/false);
  state_ = State::kEnded;
  step_.Disarm();
  connection_.reset();
}

void HabitClient::Connected() {
  connected_ = true;
  next_by_clock_ = Clock::now();
  Step();
}

void HabitClient::Ended(bool by_reset) {
  if (state_ != State::kOpen) return;
  state_ = State::kEnded;
  step_.Disarm();
  EndPending(/*client_left=*/false, by_reset);
  connection_.reset();
}

void HabitClient::EndPending(bool client_left, bool by_reset) {
  for (const std::string& id : pending_) {
    RequestRecord& record = *ledger_.Find(id);
    record.end = RequestEnd::kConnectionEnded;
    record.ended = Clock::now();
    record.client_left = client_left;
    record.reset = by_reset;
  }
  pending_.clear();
}

void HabitClient::Step() {
  if (state_ != State::kOpen || !connected_) return;
  step_.Arm(kStep);
  switch (habit_) {
    case Habit::kResting:
      if (!asked_) Send();
      break;
    case Habit::kSilent:
      break;
    case Habit::kHalfCommand:
      if (!std::exchange(asked_, true)) {
        const std::string half = NewRequest();
        bufferevent_write(connection_.get(), half.data(), half.size() / 2);
      }
      break;
    case Habit::kTrickling:
      Trickle();
      break;
    case Habit::kOneRequestOut:
      if (pending_.empty()) Send();
      break;
    case Habit::kPipelining:
      while (pending_.size() < kPipelined) Send();
      break;
    case Habit::kByTheClock:
      for (; next_by_clock_ <= Clock::now(); next_by_clock_ += kClockPeriod) {
        if (pending_.size() < kMostByTheClock) Send();
      }
      break;
    case Habit::kSlowReader:
      while (pending_.size() < kPipelined) Send();
      bufferevent_setwatermark(connection_.get(), EV_READ, 0, net::ReadSize(connection_.get()) + kSlowlyRead);
      break;
  }
}

std::string HabitClient::NewRequest() {
  const RequestClass request_class = target_.classes[random_() % target_.classes.size()];
  request_id_ = ledger_.NextId(habit_ == Habit::kSlowReader);
  RequestRecord& record = ledger_.Add(request_id_);
  record.request_class = request_class;
  record.habit = habit_;
  record.gateway = target_.gateway;
  record.deadline = target_.deadline;
  record.pipelined = !pending_.empty();
  std::string extras = std::string("c=") + ClassName(request_class) +
                       ",t=basic,d=" + std::to_string(target_.deadline.count()) +
                       ",units=1,spread=" + std::to_string(target_.spread) +
                       ",first=" + std::to_string(target_.gateway);
  const std::string customer = Hex(random_() % kCustomers + 1);
  std::string out;
  if (request_class == RequestClass::kIdempotent) {
    resp::AppendCommand({"API.READ", customer, request_id_, extras}, out);
    return out;
  }
  if (request_class == RequestClass::kIdempotencyKey) {
    record.key = Hex(random_());
    extras += ",k=" + record.key;
  }
  resp::AppendCommand({"API.WRITE", customer, request_id_, extras, "body"}, out);
  return out;
}

void HabitClient::Written(const std::string& id) {
  last_written_ = ledger_.Find(id)->written = Clock::now();
  pending_.push_back(id);
  asked_ = true;
}

void HabitClient::Send() {
  const std::string request = NewRequest();
  const std::string id = request_id_;
  net::Write(connection_.get(), request);
  Written(id);
}

void HabitClient::Trickle() {
  if (unwritten_.empty()) {
    if (!pending_.empty()) return;
    unwritten_ = NewRequest();
  }
  const std::size_t size = std::min(kTrickled, unwritten_.size());
  net::Write(connection_.get(), std::string_view(unwritten_).substr(0, size));
  unwritten_.erase(0, size);
  if (unwritten_.empty()) Written(request_id_);
}

void HabitClient::Read() {
  while (state_ == State::kOpen) {
    const std::string_view input = net::Peek(connection_.get(), net::ReadSize(connection_.get()));
    resp::Reply reply;
    if (input.empty() || resp::ParseReply(input, reply) != resp::Progress::kWhole) break;
    if (pending_.empty()) {
      // An error line may answer what was not finished.
      if (reply.kind != resp::Reply::Kind::kError) ledger_.on_fault("an answer to no request");
      net::Consume(connection_.get(), reply.size);
      continue;
    }
    RequestRecord& record = *ledger_.Find(pending_.front());
    const bool served = reply.kind == resp::Reply::Kind::kBulk;
    record.end = served                           ? RequestEnd::kServed
                 : reply.text.starts_with("BUSY") ? RequestEnd::kRefused
                                                  : RequestEnd::kFailed;
    record.ended = Clock::now();
    const std::string& mark = record.key.empty() ? pending_.front() : record.key;
    if (served && reply.text.find(mark) == std::string_view::npos) {
      ledger_.on_fault("the answer to " + pending_.front() + " is another's");
    }
    pending_.pop_front();
    net::Consume(connection_.get(), reply.size);
  }
  if (state_ == State::kOpen && habit_ == Habit::kOneRequestOut && pending_.empty()) Send();
  if (state_ == State::kOpen && habit_ == Habit::kPipelining) {
    while (pending_.size() < kPipelined) Send();
  }
}

}  // namespace postspread::fleet_rig
