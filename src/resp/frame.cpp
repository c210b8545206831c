#include "resp/frame.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace postspread::resp {
namespace {

// The maximum size of a line that contains a length, with its type byte and without its CRLF.
constexpr std::size_t kMaxLengthLineBytes = 16;
constexpr std::string_view kLineEnd = "\r\n";

// Reads the lines and values of one message in order.
class Cursor {
 public:
  explicit Cursor(std::string_view bytes) : bytes_(bytes) {}

  // Reads the rest of a line, without its CRLF. The line is malformed as soon as one byte can't be valid: a
  // CR or LF outside a CRLF, or the first byte beyond `max_bytes`.
  Progress Line(std::size_t max_bytes, std::string_view& line) {
    const std::size_t end = bytes_.find_first_of("\r\n", offset_);
    if (std::min(end, bytes_.size()) - offset_ > max_bytes) return Progress::kMalformed;
    if (end == std::string_view::npos || (end + 1 == bytes_.size() && bytes_[end] == '\r')) {
      bytes_needed_ = bytes_.size() + 1;
      return Progress::kPartial;
    }
    if (bytes_.substr(end, 2) != "\r\n") return Progress::kMalformed;
    line = bytes_.substr(offset_, end - offset_);
    offset_ = end + 2;
    return Progress::kComplete;
  }

  // Reads a line of a reply. Its first byte, one of `kinds`, is its type and determines its maximum length.
  Progress Header(std::string_view kinds, std::string_view& line) {
    if (offset_ == bytes_.size()) return Line(kMaxLineBytes, line);
    const char kind = bytes_[offset_];
    if (kinds.find(kind) == std::string_view::npos) return Progress::kMalformed;
    return Line(kind == '$' || kind == '*' ? kMaxLengthLineBytes : kMaxLineBytes, line);
  }

  // Reads a value of known length and the CRLF after it.
  Progress Value(std::size_t length, std::string_view& value) {
    if (bytes_.size() - offset_ < length + 2) {
      bytes_needed_ = offset_ + length + 2;
      return Progress::kPartial;
    }
    if (bytes_.substr(offset_ + length, 2) != "\r\n") return Progress::kMalformed;
    value = bytes_.substr(offset_, length);
    offset_ += length + 2;
    return Progress::kComplete;
  }

  [[nodiscard]] std::size_t offset() const { return offset_; }
  [[nodiscard]] std::size_t bytes_needed() const { return bytes_needed_; }

 private:
  std::string_view bytes_;
  std::size_t offset_ = 0;
  std::size_t bytes_needed_ = 0;
};

std::optional<long> ToLength(std::string_view digits) {
  long value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc() || end != digits.data() + digits.size() || digits.empty()) return std::nullopt;
  return value;
}

Progress Fail(Command& out, const char* error) {
  out.error = error;
  return Progress::kMalformed;
}

// Parses the next argument of a command, a bulk string. Only the body may be large.
Progress ParseArgument(Cursor& cursor, std::string_view bytes, Command& out) {
  if (cursor.offset() < bytes.size() && bytes[cursor.offset()] != '$')
    return Fail(out, "expected a bulk string");
  std::string_view line;
  Progress progress = cursor.Line(kMaxLengthLineBytes, line);
  if (progress == Progress::kMalformed) return Fail(out, "invalid bulk length");
  if (progress == Progress::kPartial) return progress;
  const std::optional<long> size = ToLength(line.substr(1));
  if (!size || *size < 0) return Fail(out, "invalid bulk length");
  const bool is_body = out.count == kBodyIndex;
  if (*size > static_cast<long>(is_body ? kMaxValueBytes : kMaxSmallValueBytes))
    return Fail(out, "argument too long");
  if (cursor.offset() + (is_body ? 0 : static_cast<std::size_t>(*size)) > kMaxHead) {
    return Fail(out, "command too long");
  }
  progress = cursor.Value(static_cast<std::size_t>(*size), out.parts[out.count]);
  return progress == Progress::kMalformed ? Fail(out, "bulk string without its end") : progress;
}

// The header of one part of an array.
struct PartHeader {
  enum class Kind { kSimple, kNull, kBulk };
  Kind kind = Kind::kNull;
  std::string_view text;   // kSimple: the value
  std::size_t length = 0;  // kBulk: the value's bytes, which follow
};

// Parses the header of a part: a bulk string, null or a simple value.
Progress ParsePartHeader(Cursor& cursor, std::size_t max_bytes, PartHeader& out) {
  std::string_view line;
  const Progress progress = cursor.Header(":+-$", line);
  if (progress != Progress::kComplete) return progress;
  out.text = line.substr(1);
  out.kind = PartHeader::Kind::kSimple;
  if (line[0] != '$') return Progress::kComplete;
  const std::optional<long> length = ToLength(out.text);
  out.kind = length == -1 ? PartHeader::Kind::kNull : PartHeader::Kind::kBulk;
  if (length == -1) return Progress::kComplete;
  if (!length || *length < 0 || *length > static_cast<long>(max_bytes)) return Progress::kMalformed;
  out.length = static_cast<std::size_t>(*length);
  return Progress::kComplete;
}

Progress ParsePart(Cursor& cursor, std::size_t max_bytes, Reply::Part& part) {
  PartHeader header;
  const Progress progress = ParsePartHeader(cursor, max_bytes, header);
  if (progress != Progress::kComplete) return progress;
  part.null = header.kind == PartHeader::Kind::kNull;
  part.text = part.null ? std::string_view() : header.text;
  return header.kind == PartHeader::Kind::kBulk ? cursor.Value(header.length, part.text) : progress;
}

// Parses the value of a bulk string whose header is in `out.text`.
Progress ParseBulkReply(Cursor& cursor, Reply& out) {
  const std::optional<long> length = ToLength(out.text);
  out.kind = length == -1 ? Reply::Kind::kNull : Reply::Kind::kBulk;
  if (length == -1) return Progress::kComplete;
  if (!length || *length < 0 || *length > static_cast<long>(kMaxSmallValueBytes)) return Progress::kMalformed;
  return cursor.Value(static_cast<std::size_t>(*length), out.text);
}

// Parses the parts of an array whose header is in `out.text`. Only the first may be large.
Progress ParseArrayReply(Cursor& cursor, std::string_view bytes, Reply& out) {
  const std::optional<long> length = ToLength(out.text);
  out.kind = length == -1 ? Reply::Kind::kNull : Reply::Kind::kArray;
  if (length == -1) return Progress::kComplete;
  if (!length || *length < 0 || *length > static_cast<long>(kMaxParts)) return Progress::kMalformed;
  for (long i = 0; i < *length; ++i) {
    const std::size_t begin = cursor.offset();
    out.parts[out.count] = {};
    const Progress progress =
        ParsePart(cursor, i == 0 ? kMaxValueBytes : kMaxSmallValueBytes, out.parts[out.count]);
    if (progress != Progress::kComplete) return progress;
    if (i == 0) out.first_raw = bytes.substr(begin, cursor.offset() - begin);
    ++out.count;
  }
  return Progress::kComplete;
}

}  // namespace

std::string_view Command::message() const { return {begin, size}; }

Progress ParseCommand(std::string_view bytes, Command& out) {
  out.count = out.size = out.bytes_needed = 0;
  out.begin = bytes.data();
  if (bytes.empty()) {
    out.bytes_needed = 1;
    return Progress::kPartial;
  }
  if (bytes[0] != '*') return Fail(out, "expected an array of bulk strings");
  Cursor cursor(bytes);
  std::string_view line;
  std::optional<long> length;
  Progress progress = cursor.Line(kMaxLengthLineBytes, line);
  if (progress == Progress::kPartial) {
    out.bytes_needed = cursor.bytes_needed();
    return progress;
  }
  if (progress == Progress::kComplete) length = ToLength(line.substr(1));
  if (!length || *length < 0) return Fail(out, "invalid array length");
  if (*length > static_cast<long>(kMaxParts)) return Fail(out, "too many arguments");
  for (long i = 0; i < *length; ++i) {
    progress = ParseArgument(cursor, bytes, out);
    if (progress == Progress::kPartial) out.bytes_needed = cursor.bytes_needed();
    if (progress != Progress::kComplete) return progress;
    ++out.count;
  }
  out.size = cursor.offset();
  return Progress::kComplete;
}

Progress ParseReply(std::string_view bytes, Reply& out) {
  out.count = out.size = out.bytes_needed = 0;
  out.text = out.first_raw = {};
  if (bytes.empty()) {
    out.bytes_needed = 1;
    return Progress::kPartial;
  }
  Cursor cursor(bytes);
  const auto finish = [&](Progress progress) {
    out.bytes_needed = cursor.bytes_needed();
    out.size = cursor.offset();
    return progress;
  };
  std::string_view line;
  Progress progress = cursor.Header("+-:$*", line);
  if (progress != Progress::kComplete) return finish(progress);
  out.text = line.substr(1);
  switch (line[0]) {
    case '+':
      out.kind = Reply::Kind::kSimple;
      break;
    case '-':
      out.kind = Reply::Kind::kError;
      break;
    case ':':
      out.kind = Reply::Kind::kInteger;
      break;
    case '$':
      progress = ParseBulkReply(cursor, out);
      break;
    case '*':
      progress = ParseArrayReply(cursor, bytes, out);
      break;
    default:
      return Progress::kMalformed;
  }
  return progress == Progress::kMalformed ? progress : finish(progress);
}

bool BeginsWithLargeValue(std::string_view bytes, LargeValue& out, std::size_t min_size) {
  if (bytes.empty() || bytes[0] != '*') return false;
  Cursor cursor(bytes);
  std::string_view line;
  if (cursor.Header("*", line) != Progress::kComplete) return false;
  const std::optional<long> parts = ToLength(line.substr(1));
  if (!parts || *parts < 1 || *parts > static_cast<long>(kMaxParts)) return false;
  out.at = cursor.offset();
  if (cursor.offset() == bytes.size() || cursor.Header("$", line) != Progress::kComplete) return false;
  const std::optional<long> length = ToLength(line.substr(1));
  if (!length || *length <= static_cast<long>(min_size) || *length > static_cast<long>(kMaxValueBytes))
    return false;
  out.size = cursor.offset() - out.at + static_cast<std::size_t>(*length) + 2;
  out.rest = static_cast<std::size_t>(*parts) - 1;
  return true;
}

Progress TrailingParts::Read(std::string_view bytes) {
  bytes_read_ = 0;
  while (parts_left_ > 0) {
    const Progress progress = ReadPart(bytes);
    if (progress != Progress::kComplete) return progress;
    --parts_left_;
  }
  return Progress::kComplete;
}

Progress TrailingParts::ReadPart(std::string_view bytes) {
  if (value_bytes_left_ == 0) {
    Cursor cursor(bytes.substr(bytes_read_));
    PartHeader header;
    const Progress progress = ParsePartHeader(cursor, kMaxSmallValueBytes, header);
    if (progress != Progress::kComplete) return progress;
    bytes_read_ += cursor.offset();
    if (header.kind != PartHeader::Kind::kBulk) return Progress::kComplete;
    value_bytes_left_ = header.length + kLineEnd.size();
  }
  const std::size_t available = bytes.size() - bytes_read_;
  const std::size_t skipped = std::min(available, value_bytes_left_ - kLineEnd.size());
  bytes_read_ += skipped;
  value_bytes_left_ -= skipped;
  if (value_bytes_left_ > kLineEnd.size() || available - skipped < kLineEnd.size()) return Progress::kPartial;
  if (bytes.substr(bytes_read_, kLineEnd.size()) != kLineEnd) return Progress::kMalformed;
  bytes_read_ += kLineEnd.size();
  value_bytes_left_ = 0;
  return Progress::kComplete;
}

void AppendBulk(std::string_view value, std::string& out) {
  out += '$';
  out += std::to_string(value.size());
  out += "\r\n";
  out += value;
  out += "\r\n";
}

void AppendCommand(std::initializer_list<std::string_view> parts, std::string& out) {
  out += '*';
  out += std::to_string(parts.size());
  out += "\r\n";
  for (const std::string_view part : parts) AppendBulk(part, out);
}

}  // namespace postspread::resp
