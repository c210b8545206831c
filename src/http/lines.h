// Lines out of bytes that come in pieces: what heads of requests and of responses have in common. No I/O.
#ifndef POSTSPREAD_HTTP_LINES_H_
#define POSTSPREAD_HTTP_LINES_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace postspread::http {

class LineReader {
 public:
  explicit LineReader(std::size_t most) : most_(most) {}

  // Takes bytes off the front of `rest`; true with each line that has come whole, without its end. The line
  // holds until the next call.
  bool Take(std::string_view& rest, std::string_view& line);
  // More bytes have come than all lines together may have. Nothing more is taken.
  [[nodiscard]] bool too_long() const { return taken_ > most_; }
  // The lines from here on have `most` bytes of their own.
  void Restart() { taken_ = 0; }

 private:
  std::size_t most_;
  std::size_t taken_ = 0;
  bool whole_ = false;  // line_ was handed out
  std::string line_;    // the part of a line that has come
};

}  // namespace postspread::http

#endif  // POSTSPREAD_HTTP_LINES_H_
