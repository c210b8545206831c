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
  [[nodiscard]] std::string address() const { return port_.address(); }
  Port& port() { return port_; }
  // Waits until so many dial; their first packets are dropped by then or are about to be.
  void Dialled(int count = 1) const {
    Await([count](int dials) { return dials >= count; }, "not so many dial: " + std::to_string(count));
  }
  // Waits until nobody dials any more.
  void Left() const {
    Await([](int dials) { return dials == 0; }, "somebody goes on dialling");
  }
  // From now on what dials gets through.
  void Open() {
    port_.Accept();
    filler_.Close();
  }

 private:
  template <typename Is>
  void Await(Is is, const std::string& otherwise) const {
    char address[32];
    std::snprintf(address, sizeof address, " 0100007F:%04X 02 ", static_cast<unsigned>(port_.number()));
    for (int waited = 0; waited < kTimeoutMs; waited += 5) {
      std::ostringstream table;
      table << std::ifstream("/proc/net/tcp").rdbuf();
      const std::string text = table.str();
      int dials = 0;
      for (std::size_t at = 0; (at = text.find(address, at)) != std::string::npos; ++at) ++dials;
      if (is(dials)) return;
      usleep(5'000);
    }
    FAIL(otherwise);
  }
  Port port_{0};
  Peer filler_;
};

}  // namespace postspread::site

#endif  // POSTSPREAD_TESTS_PARTNERS_SLOW_PORT_H_
