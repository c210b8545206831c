// Parses the head of an HTTP/1.1 request incrementally, and formats the response. No I/O.
#ifndef POSTSPREAD_HTTP_REQUEST_H_
#define POSTSPREAD_HTTP_REQUEST_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "http/lines.h"

namespace postspread::http {

class RequestParser {
 public:
  static constexpr std::size_t kMaxHead = std::size_t{8} * 1024;  // bytes of request line and headers

  enum class State { kRequestLine, kHeaders, kDone, kMalformed };

  // Parses bytes as they arrive and returns how many were used: all, unless the head ended or is malformed.
  // Bodies are not read, as no request to the admin server has one.
  std::size_t Feed(std::string_view bytes);

  [[nodiscard]] bool done() const { return state_ == State::kDone; }
  [[nodiscard]] bool broken() const { return state_ == State::kMalformed; }
  [[nodiscard]] const char* error() const { return error_; }  // the reason if broken()
  [[nodiscard]] const std::string& method() const { return method_; }
  [[nodiscard]] const std::string& target() const { return target_; }

 private:
  void HandleLine(std::string_view line);
  void ParseRequestLine(std::string_view line);
  void Fail(const char* error);

  State state_ = State::kRequestLine;
  const char* error_ = "";
  LineReader lines_{kMaxHead};
  std::string method_, target_;
};

// Returns a complete plain-text response that closes the connection. An empty `allow` adds no Allow header.
std::string FormatResponse(int status, std::string_view body, std::string_view allow = {});

}  // namespace postspread::http

#endif  // POSTSPREAD_HTTP_REQUEST_H_
