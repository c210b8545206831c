// Parses HTTP/1.1 responses incrementally, and formats the requests. No I/O.
#ifndef POSTSPREAD_HTTP_RESPONSE_H_
#define POSTSPREAD_HTTP_RESPONSE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "http/lines.h"

namespace postspread::http {

class ResponseParser {
 public:
  enum class State {
    kStatus,
    kHeaders,
    kBody,
    kChunkSize,
    kChunk,
    kChunkEnd,
    kTrailers,
    kUntilClose,
    kDone,
    kMalformed
  };

  static constexpr std::size_t kMaxBody = std::size_t{8} * 1024 * 1024;
  // A longer body than `max_body` is malformed.
  explicit ResponseParser(std::size_t max_body = kMaxBody) : max_body_(max_body) {}

  // Parses bytes as they arrive and returns how many were used: all, unless the response ended or failed.
  std::size_t Feed(std::string_view bytes);
  // The peer closed the connection. This completes a body without a stated length.
  void OnEndOfStream();
  // Prepares for the next response, and frees the storage of this one.
  void Reset();

  [[nodiscard]] bool done() const { return state_ == State::kDone; }
  [[nodiscard]] bool broken() const { return state_ == State::kMalformed; }
  [[nodiscard]] int status() const { return status_; }
  [[nodiscard]] const std::string& body() const { return body_; }
  [[nodiscard]] bool closes() const { return closes_; }  // the connection can't be reused

 private:
  void HandleLine(std::string_view line);
  void ParseStatusLine(std::string_view line);
  void ParseHeader(std::string_view line);
  void FinishHeaders();
  void ParseChunkSize(std::string_view line);

  static constexpr std::size_t kMaxHeaders = std::size_t{16} * 1024;  // for status line and headers

  std::size_t max_body_;
  State state_ = State::kStatus;
  LineReader lines_{kMaxHeaders};
  int status_ = 0;
  bool closes_ = false;
  bool chunked_ = false;
  bool has_length_ = false;
  std::size_t remaining_ = 0;  // bytes of the body or chunk that have not arrived
  std::string body_;
};

std::string FormatGetRequest(std::string_view host, std::string_view target);

}  // namespace postspread::http

#endif  // POSTSPREAD_HTTP_RESPONSE_H_
