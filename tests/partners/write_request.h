// Requests with bodies, as clients send them, and the settings under which a gateway admits them.
#ifndef POSTSPREAD_TESTS_PARTNERS_WRITE_REQUEST_H_
#define POSTSPREAD_TESTS_PARTNERS_WRITE_REQUEST_H_

#include <string>
#include <string_view>

#include "partners/site.h"

namespace postspread::site {

// Settings without quotas, with the class `order`, which is not idempotent, beside the class `lookup`.
inline json WriteSettings(int memory_mb, int sockets) {
  json out = NoQuota();
  out["limits"] = {{"memory_mb", memory_mb}, {"sockets", sockets}};
  out["settings"]["Classes"] = {
      {{"Name", "lookup"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "safe"}},
      {{"Name", "order"}, {"Aim", 60'000'000}, {"HardLimit", 60'000'000}, {"Effect", "unsafe"}}};
  return out;
}

struct WriteRequest {
  std::string id;
  std::size_t body_size = 0;
  int timeout_ms = 60'000;
  std::string customer = "0000000000000001";

  // Returns the request up to its body.
  [[nodiscard]] std::string Head() const {
    std::string out = "*5\r\n";
    resp::AppendBulk("API.WRITE", out);
    resp::AppendBulk(customer, out);
    resp::AppendBulk(id, out);
    resp::AppendBulk("c=order,t=team,d=" + std::to_string(timeout_ms) + ",units=1,spread=2,first=0", out);
    return out + "$" + std::to_string(body_size) + "\r\n";
  }
  [[nodiscard]] std::string Encode() const { return Head() + std::string(body_size, 'b') + "\r\n"; }
};

// Sends all of `bytes` to a gateway that may take them slowly.
inline void SendAll(Peer& peer, std::string_view bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const std::size_t accepted = peer.SendSome(bytes.substr(sent));
    sent += accepted;
    if (accepted == 0) usleep(500);
  }
}

}  // namespace postspread::site

#endif  // POSTSPREAD_TESTS_PARTNERS_WRITE_REQUEST_H_
