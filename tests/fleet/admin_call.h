// A client of the gateways' admin servers for the rig.
#ifndef POSTSPREAD_TESTS_FLEET_ADMIN_CALL_H_
#define POSTSPREAD_TESTS_FLEET_ADMIN_CALL_H_

#include <functional>
#include <string>
#include <utility>

#include "config/address.h"
#include "net/loop.h"
#include "partners/server.h"

namespace postspread::fleet_rig {

// One HTTP call to an admin server on loopback. `done` gets the body of a 200; for anything else it is not
// called.
class AdminCall {
 public:
  AdminCall(event_base* base, int port, const std::string& path, std::function<void(std::string)> done,
            const std::string& method = "GET")
      : done_(std::move(done)) {
    event_ = net::Dial(
        base, *config::Address::Parse(partners::LoopbackAddress(port)), nullptr, nullptr,
        [](bufferevent*, short what, void* self) {
          if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
            static_cast<AdminCall*>(self)->End();
        },
        this);
    if (!event_) {
      over_ = true;
      return;
    }
    const timeval limit{2, 0};
    bufferevent_set_timeouts(event_.get(), &limit, nullptr);
    bufferevent_enable(event_.get(), EV_READ | EV_WRITE);
    const std::string call = method + " " + path + " HTTP/1.1\r\nHost: rig\r\n\r\n";
    bufferevent_write(event_.get(), call.data(), call.size());
  }
  [[nodiscard]] bool over() const { return over_; }

 private:
  void End() {
    const std::string text(net::Peek(event_.get(), net::ReadSize(event_.get())));
    over_ = true;
    const std::size_t body = text.find("\r\n\r\n");
    if (text.starts_with("HTTP/1.1 200") && body != std::string::npos) done_(text.substr(body + 4));
  }
  net::BufferEvent event_;
  std::function<void(std::string)> done_;
  bool over_ = false;
};

}  // namespace postspread::fleet_rig

#endif  // POSTSPREAD_TESTS_FLEET_ADMIN_CALL_H_
