// Addresses on the loopback interface, where all partners of the tests and benches listen.
#ifndef POSTSPREAD_TESTS_PARTNERS_LOOPBACK_H_
#define POSTSPREAD_TESTS_PARTNERS_LOOPBACK_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>

namespace postspread::partners {

inline sockaddr_in Loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  return out;
}

}  // namespace postspread::partners

#endif  // POSTSPREAD_TESTS_PARTNERS_LOOPBACK_H_
