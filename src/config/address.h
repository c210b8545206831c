// A numeric address and port, ready for the socket calls.
#ifndef POSTSPREAD_CONFIG_ADDRESS_H_
#define POSTSPREAD_CONFIG_ADDRESS_H_

#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

namespace postspread::config {

class Address {
 public:
  // "10.0.0.4:6379" or "[::1]:6379"; there are no names to look up. Nothing where it is not of this form.
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
