// Splits the heads of HTTP requests and responses, which arrive in pieces, into lines. No I/O.
#ifndef POSTSPREAD_HTTP_LINES_H_
#define POSTSPREAD_HTTP_LINES_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace postspread::http {

class LineReader {
 public:
  explicit LineReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Removes bytes from the front of `rest`. Returns true when a line is complete, and stores it in `line`
  // without its line end. `line` is valid until the next call.
  bool ReadLine(std::string_view& rest, std::string_view& line);
  // Whether all lines together exceed the limit. ReadLine then reads nothing more.
  [[nodiscard]] bool too_long() const { return bytes_read_ > max_bytes_; }
  // The lines from here on have their own limit of the same size.
  void ResetLimit() { bytes_read_ = 0; }

 private:
  std::size_t max_bytes_;
  std::size_t bytes_read_ = 0;
  bool returned_ = false;  // whether line_ was returned to the caller
  std::string line_;       // the received part of the current line
};

}  // namespace postspread::http

#endif  // POSTSPREAD_HTTP_LINES_H_
