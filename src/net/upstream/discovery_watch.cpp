#include "net/upstream/discovery_watch.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "config/json_reader.h"
#include "net/log.h"

namespace postspread::net {
DiscoveryWatch::DiscoveryWatch(event_base* base, config::Address address,
                               std::chrono::microseconds dial_timeout, int group_size, std::uint64_t seed,
                               EndpointListCallback on_endpoint_list)
    : base_(base),
      address_(std::move(address)),
      on_endpoint_list_(std::move(on_endpoint_list)),
      times_(dial_timeout, group_size, seed),
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
  timer_.Arm(times_.Dial());
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
    target += "?since=" + std::to_string(index_) + "&timeout_ms=" + std::to_string(times_.Wait().count());
  }
  Write(connection_.get(), http::GetRequest(address_.text(), target));
  timer_.Arm((has_index_ ? times_.Wait() : std::chrono::milliseconds(0)) + times_.kOverdue);
}

void DiscoveryWatch::Event(short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) return Ask();
  if (IsPassingError(what) && Watch(connection_.get())) return;
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
    return timer_.Arm(times_.Refused());
  }
  config::EndpointList endpoint_list;
  try {
    const auto body = nlohmann::json::parse(parser_.body(), nullptr, /*allow_exceptions=*/false);
    if (body.is_discarded()) throw json_reader::JsonError("not valid JSON");
    endpoint_list = config::DecodeEndpointList(body);
  } catch (const json_reader::JsonError& error) {
    return Lost(error.what());
  }
  if (std::exchange(failing_, false)) Log("discovery answers again");
  times_.Answered();
  // A list whose number goes back is another's: what it says has changed says nothing of what was held.
  const bool anew = has_index_ && !endpoint_list.full && endpoint_list.index < index_;
  heard_ = true;
  has_index_ = !anew;
  index_ = endpoint_list.index;
  // The next call goes out first: the watch goes on only if it comes at once.
  const bool closes = parser_.closes() || ReadSize(connection_.get()) > 0;
  parser_.Reset();
  if (closes) {
    connection_.reset();
    Dial();
  } else {
    Ask();
  }
  if (!anew && (endpoint_list.full || !endpoint_list.entries.empty()))
    on_endpoint_list_(std::move(endpoint_list));
}

void DiscoveryWatch::Lost(std::string_view why) {
  connection_.reset();
  if (!std::exchange(failing_, true)) Log("discovery does not answer", why);
  timer_.Arm(times_.Lost());
}

}  // namespace postspread::net
