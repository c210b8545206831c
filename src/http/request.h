// Incremental parser of the head of an HTTP/1.1 request, and the writer of the response to it. No I/O.
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

  enum class State { kLine, kHeaders, kDone, kBroken };

  // Takes bytes as they come and returns how many were used: all, unless the head ended or is broken. A body
  // is not read: no call has one.
  std::size_t Feed(std::string_view bytes);

  [[nodiscard]] bool done() const { return state_ == State::kDone; }
  [[nodiscard]] bool broken() const { return state_ == State::kBroken; }
  [[nodiscard]] const char* error() const { return error_; }  // where broken: what is wrong
  [[nodiscard]] const std::string& method() const { return method_; }
  [[nodiscard]] const std::string& target() const { return target_; }

 private:
  void Line(std::string_view line);
  void RequestLine(std::string_view line);
  void Broken(const char* error);

  State state_ = State::kLine;
  const char* error_ = "";
  LineReader lines_{kMaxHead};
  std::string method_, target_;
};

// A whole response of plain text, after which the connection is closed. `allow`: empty where there is none.
std::string Response(int status, std::string_view body, std::string_view allow = {});

}  // namespace postspread::http

#endif  // POSTSPREAD_HTTP_REQUEST_H_
