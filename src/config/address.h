// A numeric IP address and port in the form that socket calls take.
#ifndef POSTSPREAD_CONFIG_ADDRESS_H_
#define POSTSPREAD_CONFIG_ADDRESS_H_

#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

namespace postspread::config {

class Address {
 public:
  // Parses "10.0.0.4:6379" or "[::1]:6379". Host names are not resolved. Returns nullopt if `text` is not of
  // this form or the port is 0.
  static std::optional<Address> Parse(std::string_view text);

  [[nodiscard]] const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage_); }
  [[nodiscard]] socklen_t size() const { return size_; }
  [[nodiscard]] const std::string& text() const { return text_; }
  bool operator==(const Address& other) const { return text_ == other.text_; }

 private:
  sockaddr_storage storage_{};
  socklen_t size_ = 0;
  std::string text_;
};

}  // namespace postspread::config

#endif  // POSTSPREAD_CONFIG_ADDRESS_H_
