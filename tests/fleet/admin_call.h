// HTTP client that the test rig uses for the gateways' admin servers.
#ifndef POSTSPREAD_TESTS_FLEET_ADMIN_CALL_H_
#define POSTSPREAD_TESTS_FLEET_ADMIN_CALL_H_

#include <functional>
#include <string>
#include <utility>

#include "config/address.h"
#include "net/loop.h"
#include "partners/server.h"

namespace postspread::fleet_rig {

// Sends one HTTP request to an admin server on loopback. The request finishes when the server closes the
// connection, on an error, or after 2 s without data. `on_body` then receives the body of a 200 response; it
// is not called for any other response.
class AdminCall {
 public:
  AdminCall(event_base* base, int port, const std::string& path, std::function<void(std::string)> on_body,
            const std::string& method = "GET")
      : on_body_(std::move(on_body)) {
    connection_ = net::Dial(
        base, *config::Address::Parse(partners::LoopbackAddress(port)), nullptr, nullptr,
        [](bufferevent*, short events, void* self) {
          if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
            static_cast<AdminCall*>(self)->Finish();
        },
        this);
    if (!connection_) {
      finished_ = true;
      return;
    }
    const timeval timeout{2, 0};
    bufferevent_set_timeouts(connection_.get(), &timeout, nullptr);
    bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
    const std::string request = method + " " + path + " HTTP/1.1\r\nHost: rig\r\n\r\n";
    bufferevent_write(connection_.get(), request.data(), request.size());
  }
  // Returns whether the request has ended, with a response or without.
  [[nodiscard]] bool finished() const { return finished_; }

 private:
  void Finish() {
    const std::string response(net::Peek(connection_.get(), net::ReadSize(connection_.get())));
    finished_ = true;
    const std::size_t body = response.find("\r\n\r\n");
    if (response.starts_with("HTTP/1.1 200") && body != std::string::npos)
      on_body_(response.substr(body + 4));
  }
  net::BufferEvent connection_;
  std::function<void(std::string)> on_body_;
  bool finished_ = false;
};

}  // namespace postspread::fleet_rig

#endif  // POSTSPREAD_TESTS_FLEET_ADMIN_CALL_H_
