#include "http/response.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace postspread::http {
namespace {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool ToSize(std::string_view text, int base, std::size_t& out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

}  // namespace

std::size_t ResponseParser::Feed(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && !done() && !broken()) {
    const std::string_view rest = bytes.substr(used);
    if (state_ == State::kBody || state_ == State::kChunk || state_ == State::kUntilClose) {
      const std::size_t take = state_ == State::kUntilClose ? rest.size() : std::min(remaining_, rest.size());
      if (body_.size() + take > max_body_) {
        state_ = State::kMalformed;
        break;
      }
      body_.append(rest.substr(0, take));
      used += take;
      if (state_ == State::kUntilClose) continue;
      remaining_ -= take;
      if (remaining_ == 0) state_ = state_ == State::kBody ? State::kDone : State::kChunkEnd;
      continue;
    }
    std::string_view unread = rest, line;
    const bool has_line = lines_.ReadLine(unread, line);
    used += rest.size() - unread.size();
    if (lines_.too_long()) {
      state_ = State::kMalformed;
    } else if (has_line) {
      HandleLine(line);
    }
  }
  return used;
}

void ResponseParser::Reset() {
  // An assignment would keep the storage of the strings.
  ResponseParser fresh(max_body_);
  std::swap(*this, fresh);
}

void ResponseParser::OnEndOfStream() {
  if (state_ == State::kDone) return;
  state_ = state_ == State::kUntilClose ? State::kDone : State::kMalformed;
}

void ResponseParser::HandleLine(std::string_view line) {
  switch (state_) {
    case State::kStatus:
      return ParseStatusLine(line);
    case State::kHeaders:
      return line.empty() ? FinishHeaders() : ParseHeader(line);
    case State::kChunkSize:
      return ParseChunkSize(line);
    case State::kChunkEnd:
      lines_.ResetLimit();
      state_ = line.empty() ? State::kChunkSize : State::kMalformed;
      return;
    case State::kTrailers:
      if (line.empty()) state_ = State::kDone;
      return;
    default:
      state_ = State::kMalformed;
  }
}

void ResponseParser::ParseStatusLine(std::string_view line) {
  state_ = State::kMalformed;
  if (line.size() < 12 || !line.starts_with("HTTP/1.")) return;
  closes_ = line[7] == '0';
  const std::string_view code = line.substr(9, 3);
  const auto [end, error] = std::from_chars(code.data(), code.data() + code.size(), status_);
  if (error != std::errc() || end != code.data() + code.size()) return;
  state_ = State::kHeaders;
}

void ResponseParser::ParseHeader(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    state_ = State::kMalformed;
    return;
  }
  const std::string_view name = line.substr(0, colon), value = Trim(line.substr(colon + 1));
  if (EqualsIgnoreCase(name, "content-length")) {
    has_length_ = ToSize(value, 10, remaining_);
    if (!has_length_ || remaining_ > max_body_) state_ = State::kMalformed;
  } else if (EqualsIgnoreCase(name, "transfer-encoding")) {
    chunked_ = EqualsIgnoreCase(value, "chunked");
    if (!chunked_) state_ = State::kMalformed;
  } else if (EqualsIgnoreCase(name, "connection")) {
    if (EqualsIgnoreCase(value, "close")) closes_ = true;
    if (EqualsIgnoreCase(value, "keep-alive")) closes_ = false;
  }
}

void ResponseParser::FinishHeaders() {
  if (status_ >= 100 && status_ < 200) {  // an interim response: the final one follows
    Reset();
  } else if (status_ == 204 || status_ == 304) {
    state_ = State::kDone;
  } else if (chunked_) {
    state_ = State::kChunkSize;
  } else if (has_length_) {
    state_ = remaining_ == 0 ? State::kDone : State::kBody;
  } else {
    closes_ = true;
    state_ = State::kUntilClose;
  }
}

void ResponseParser::ParseChunkSize(std::string_view line) {
  const std::string_view digits = Trim(line.substr(0, line.find(';')));
  if (!ToSize(digits, 16, remaining_) || remaining_ > max_body_) {
    state_ = State::kMalformed;
  } else {
    state_ = remaining_ == 0 ? State::kTrailers : State::kChunk;
  }
}

std::string FormatGetRequest(std::string_view host, std::string_view target) {
  std::string out = "GET ";
  out.append(target)
      .append(" HTTP/1.1\r\nHost: ")
      .append(host)
      .append("\r\nAccept: application/json\r\n\r\n");
  return out;
}

}  // namespace postspread::http
