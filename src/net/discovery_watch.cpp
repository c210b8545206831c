#include "net/discovery_watch.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "json_read.h"
#include "net/log.h"

namespace postspread::net {
namespace {

using std::chrono::milliseconds;

// What a call that may wait has to tell counts as told 2 s after its wait: a short wait finds out soon that
// an agent has gone silent.
constexpr milliseconds kWait{2'000};
constexpr milliseconds kOverdue{500};  // beyond the wait: the agent is silent
constexpr milliseconds kRedial{100};   // a watch goes on only within 200 ms

// An overbooked discovery refuses, and every call that it refuses keeps it overbooked. Who was refused asks
// again so seldom, and by chance, that a whole group that was refused makes some five calls a second.
constexpr milliseconds kRefusedShare{200};

}  // namespace

DiscoveryWatch::DiscoveryWatch(event_base* base, config::Address address,
                               std::chrono::microseconds dial_timeout, int group_size, std::uint64_t seed,
                               OnRoster on_roster)
    : base_(base),
      address_(std::move(address)),
      dial_timeout_(dial_timeout),
      on_roster_(std::move(on_roster)),
      refused_pause_(kRefusedShare * std::max(1, group_size)),
      random_(seed),
      timer_(base, [this] { connection_ ? Lost("no answer in time") : Dial(); }) {
  Dial();
}

void DiscoveryWatch::Dial() {
  parser_.Reset();
  connection_ = net::Dial(
      base_, address_, [](bufferevent*, void* self) { static_cast<DiscoveryWatch*>(self)->Read(); }, nullptr,
      [](bufferevent*, short what, void* self) { static_cast<DiscoveryWatch*>(self)->Event(what); }, this);
  if (!connection_) return Lost("no connection");
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  timer_.Arm(dial_timeout_);
}

void DiscoveryWatch::MoveTo(config::Address address) {
  address_ = std::move(address);
  has_index_ = false;
  connection_.reset();
  Dial();
}

void DiscoveryWatch::Ask() {
  std::string target = "/api/targets";
  if (has_index_) {
    target += "?since=" + std::to_string(index_) + "&timeout_ms=" + std::to_string(kWait.count());
  }
  Write(connection_.get(), http::GetRequest(address_.text(), target));
  timer_.Arm(has_index_ ? kWait + kOverdue : kOverdue);
}

void DiscoveryWatch::Event(short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) return Ask();
  if ((what & BEV_EVENT_EOF) != 0) {
    parser_.End();
    if (parser_.done()) return Answered();
  }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) Lost("connection lost");
}

void DiscoveryWatch::Read() {
  while (ReadSize(connection_.get()) > 0) {
    Consume(connection_.get(), parser_.Feed(PeekFirst(connection_.get())));
    if (parser_.broken()) return Lost("malformed answer");
    if (parser_.done()) return Answered();
  }
}

void DiscoveryWatch::Answered() {
  if (parser_.status() != 200) {
    Lost("status " + std::to_string(parser_.status()));
    return timer_.Arm(Pause());
  }
  config::Roster roster;
  try {
    const auto body = nlohmann::json::parse(parser_.body(), nullptr, /*allow_exceptions=*/false);
    if (body.is_discarded()) throw json_read::JsonError("not valid JSON");
    roster = config::DecodeRoster(body);
  } catch (const json_read::JsonError& error) {
    return Lost(error.what());
  }
  if (std::exchange(failing_, false)) Log("discovery answers again");
  heard_ = has_index_ = true;
  index_ = roster.index;
  // The next call goes out first: the watch goes on only if it comes at once.
  const bool closes = parser_.closes();
  parser_.Reset();
  if (closes) {
    connection_.reset();
    Dial();
  } else {
    Ask();
  }
  if (roster.full || !roster.entries.empty()) on_roster_(std::move(roster));
}

void DiscoveryWatch::Lost(std::string_view why) {
  connection_.reset();
  if (!std::exchange(failing_, true)) Log("discovery does not answer", why);
  timer_.Arm(kRedial);
}

milliseconds DiscoveryWatch::Pause() {
  const double share = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
  return std::chrono::duration_cast<milliseconds>(refused_pause_ * share);
}

}  // namespace postspread::net
