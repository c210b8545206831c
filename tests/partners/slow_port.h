// A listening socket that lets connections come up late: its queue is full until it is opened, and the
// machine's own repeat of the first packet, a second later, is the one that gets through.
#ifndef POSTSPREAD_TESTS_PARTNERS_SLOW_PORT_H_
#define POSTSPREAD_TESTS_PARTNERS_SLOW_PORT_H_

#include <optional>

#include "partners/site.h"

namespace postspread::site {

class SlowPort {
 public:
  SlowPort() : filler_(Connect(port_.number())) {}
  std::string address() const { return port_.address(); }
  Port& port() { return port_; }
  // Waits until somebody dials; the first packet is dropped by then or is about to be.
  void Dialled() const {
    char place[32];
    std::snprintf(place, sizeof place, " 0100007F:%04X 02 ", static_cast<unsigned>(port_.number()));
    for (int waited = 0; waited < kPatienceMs; waited += 5) {
      std::ostringstream table;
      table << std::ifstream("/proc/net/tcp").rdbuf();
      if (table.str().find(place) != std::string::npos) return;
      usleep(5'000);
    }
    FAIL("nobody dials");
  }
  // From now on what dials gets through.
  void Open() {
    port_.Accept();
    filler_.Close();
  }

 private:
  Port port_{0};
  Peer filler_;
};

}  // namespace postspread::site

#endif  // POSTSPREAD_TESTS_PARTNERS_SLOW_PORT_H_
