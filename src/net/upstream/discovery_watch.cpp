#include "net/upstream/discovery_watch.h"

#include <string>
#include <utility>

#include "config/json_reader.h"
#include "net/log.h"

namespace postspread::net {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

DiscoveryWatch::DiscoveryWatch(event_base* base, config::Address address,
                               std::chrono::microseconds dial_timeout, int group_size, std::uint64_t seed,
                               std::size_t max_response, EndpointListCallback on_endpoint_list)
    : base_(base),
      address_(std::move(address)),
      on_endpoint_list_(std::move(on_endpoint_list)),
      schedule_(dial_timeout, group_size, seed),
      parser_(max_response),
      timer_(base, [this] { OnTimer(); }) {
  Connect();
}

void DiscoveryWatch::ChangeAddress(config::Address address) {
  address_ = std::move(address);
  index_.reset();
  connection_.reset();
  Connect();
}

// ---- Connection

void DiscoveryWatch::Connect() {
  parser_.Reset();
  connection_ = Dial(
      base_, address_, [](bufferevent*, void* self) { static_cast<DiscoveryWatch*>(self)->OnReadable(); },
      nullptr,
      [](bufferevent*, short what, void* self) { static_cast<DiscoveryWatch*>(self)->OnEvent(what); }, this);
  if (!connection_) return OnFailure("connect failed");
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  timer_.Arm(schedule_.DialTimeout());
}

void DiscoveryWatch::OnTimer() {
  if (connection_) return OnFailure("response timeout");
  Connect();
}

void DiscoveryWatch::OnEvent(short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) return Poll();
  if (IsTransientError(what) && Watch(connection_.get())) return;
  if ((what & BEV_EVENT_EOF) != 0) {
    parser_.OnEndOfStream();
    if (parser_.done()) return OnResponse();
  }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) OnFailure("connection lost");
}

void DiscoveryWatch::OnFailure(std::string_view reason) {
  connection_.reset();
  parser_.Reset();
  if (!std::exchange(is_failing_, true)) Log("discovery request failed", reason);
  timer_.Arm(schedule_.OnConnectionLost());
}

// ---- Requests and responses

void DiscoveryWatch::Poll() {
  std::string target = "/api/targets";
  std::chrono::milliseconds wait{0};
  if (index_) {
    wait = schedule_.Wait();
    target += "?since=" + std::to_string(*index_) + "&timeout_ms=" + std::to_string(wait.count());
  }
  Write(connection_.get(), http::FormatGetRequest(address_.text(), target));
  timer_.Arm(wait + schedule_.kTimeoutMargin);
}

void DiscoveryWatch::OnReadable() {
  while (ReadSize(connection_.get()) > 0) {
    Consume(connection_.get(), parser_.Feed(PeekFirst(connection_.get())));
    if (parser_.broken()) return OnFailure("malformed response");
    if (parser_.done()) return OnResponse();
  }
}

void DiscoveryWatch::OnResponse() {
  if (parser_.status() != kStatusOk) {
    OnFailure("status " + std::to_string(parser_.status()));
    return timer_.Arm(schedule_.OnRefusal());
  }
  config::EndpointList endpoint_list;
  try {
    endpoint_list = config::ParseEndpointList(parser_.body());
  } catch (const json_reader::JsonError& error) {
    return OnFailure(error.what());
  }
  if (std::exchange(is_failing_, false)) Log("discovery recovered");
  schedule_.OnResponse();
  OnEndpointList(std::move(endpoint_list));
}

void DiscoveryWatch::OnEndpointList(config::EndpointList endpoint_list) {
  // Changes with an index lower than the last one refer to a list that this gateway never received.
  const bool is_unrelated = index_ && !endpoint_list.is_snapshot && endpoint_list.index < *index_;
  has_list_ = true;
  index_ = is_unrelated ? std::nullopt : std::optional(endpoint_list.index);
  // The next poll is sent before the list is applied, since discovery keeps a watch only if the next poll
  // arrives at once.
  PollAgain();
  const bool has_entries = endpoint_list.is_snapshot || !endpoint_list.entries.empty();
  if (!is_unrelated && has_entries) on_endpoint_list_(std::move(endpoint_list));
}

void DiscoveryWatch::PollAgain() {
  const bool is_reusable = !parser_.closes() && ReadSize(connection_.get()) == 0;
  parser_.Reset();
  if (is_reusable) return Poll();
  connection_.reset();
  Connect();
}

}  // namespace postspread::net
