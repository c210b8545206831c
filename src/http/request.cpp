#include "http/request.h"

#include <algorithm>

namespace postspread::http {
namespace {

// Whether the text is a token as defined in RFC 9110.
bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool IsVisible(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

std::string_view Reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 503:
      return "Service Unavailable";
  }
  return "Other";
}

}  // namespace

std::size_t RequestParser::Feed(std::string_view bytes) {
  std::string_view rest = bytes, line;
  while (!rest.empty() && !done() && !broken()) {
    const bool has_line = lines_.ReadLine(rest, line);
    if (lines_.too_long()) {
      Fail("the head is too long");
    } else if (has_line) {
      HandleLine(line);
    }
  }
  return bytes.size() - rest.size();
}

void RequestParser::HandleLine(std::string_view line) {
  if (state_ == State::kRequestLine) {
    if (!line.empty()) ParseRequestLine(line);  // RFC 9112 lets a server ignore an empty line here
    return;
  }
  if (line.empty()) {
    state_ = State::kDone;
    return;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) Fail("a header can't be read");
}

void RequestParser::ParseRequestLine(std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || last == first) return Fail("the request line has not three parts");
  const std::string_view version = line.substr(last + 1);
  method_ = line.substr(0, first);
  target_ = line.substr(first + 1, last - first - 1);
  if (!IsToken(method_)) return Fail("the method can't be read");
  if (target_.empty() || target_[0] != '/' || !IsVisible(target_)) return Fail("the path can't be read");
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return Fail("the version is not HTTP/1.1");
  state_ = State::kHeaders;
}

void RequestParser::Fail(const char* error) {
  state_ = State::kMalformed;
  error_ = error;
}

std::string FormatResponse(int status, std::string_view body, std::string_view allow) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out += Reason(status);
  out += "\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n";
  if (!allow.empty()) out += "Allow: " + std::string(allow) + "\r\n";
  out += "Connection: close\r\n\r\n";
  out += body;
  return out;
}

}  // namespace postspread::http
