// A listening socket that delays connections. Its accept queue is full, so the kernel drops the first SYN of
// a connect. After Open, the SYN that the kernel retransmits one second later succeeds.
#ifndef POSTSPREAD_TESTS_PARTNERS_SLOW_PORT_H_
#define POSTSPREAD_TESTS_PARTNERS_SLOW_PORT_H_

#include <optional>

#include "partners/site.h"

namespace postspread::site {

class SlowPort {
 public:
  SlowPort() : filler_(Connect(port_.number())) {
    // The connect returns before the queue is full, if the system delays the last segment of the handshake.
    if (!Readable(port_.fd())) FAIL("the queue of the port does not fill");
  }
  [[nodiscard]] std::string address() const { return port_.address(); }
  Port& port() { return port_; }
  // Waits until at least `count` connects are pending. Their first SYNs have been dropped or are about to be.
  void AwaitConnects(int count = 1) const {
    Await([count](int pending) { return pending >= count; },
          "fewer pending connects than " + std::to_string(count));
  }
  // Waits until no connect is pending.
  void AwaitNoConnects() const {
    Await([](int pending) { return pending == 0; }, "a connect is still pending");
  }
  // From now on, pending and new connects succeed.
  void Open() {
    port_.Accept();
    filler_.Close();
  }

 private:
  // Waits until `is_met` accepts the number of pending connects.
  template <typename Condition>
  void Await(Condition is_met, const std::string& failure) const {
    // Matches the lines of /proc/net/tcp with the port as remote address and the state SYN_SENT, 02.
    char address[32];
    std::snprintf(address, sizeof address, " 0100007F:%04X 02 ", static_cast<unsigned>(port_.number()));
    for (int waited = 0; waited < kTimeoutMs; waited += 5) {
      std::ostringstream table;
      table << std::ifstream("/proc/net/tcp").rdbuf();
      const std::string text = table.str();
      int pending = 0;
      for (std::size_t at = 0; (at = text.find(address, at)) != std::string::npos; ++at) ++pending;
      if (is_met(pending)) return;
      usleep(5'000);
    }
    FAIL(failure);
  }
  Port port_{0};
  Peer filler_;
};

}  // namespace postspread::site

#endif  // POSTSPREAD_TESTS_PARTNERS_SLOW_PORT_H_
