#include "config/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstdint>
#include <cstring>

namespace postspread::config {

std::optional<Address> Address::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() || port == 0) return std::nullopt;

  Address out;
  out.text_ = text;
  std::string host(text.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    sockaddr_in6 v6{};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(port);
    if (inet_pton(AF_INET6, host.c_str(), &v6.sin6_addr) != 1) return std::nullopt;
    std::memcpy(&out.storage_, &v6, sizeof v6);
    out.size_ = sizeof v6;
    return out;
  }
  sockaddr_in v4{};
  v4.sin_family = AF_INET;
  v4.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &v4.sin_addr) != 1) return std::nullopt;
  std::memcpy(&out.storage_, &v4, sizeof v4);
  out.size_ = sizeof v4;
  return out;
}

}  // namespace postspread::config
