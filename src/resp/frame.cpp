#include "resp/frame.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace postspread::resp {
namespace {

constexpr std::size_t kMaxNumber = 16;  // digits of a length

// Walks the lines and values of one message.
class Cursor {
 public:
  explicit Cursor(std::string_view bytes) : bytes_(bytes) {}

  // The rest of a line, without its end. Broken at the first byte that can't be right: a line end that is not
  // whole, or one byte too many.
  Progress Line(std::size_t most, std::string_view& line) {
    const std::size_t end = bytes_.find_first_of("\r\n", at_);
    if (std::min(end, bytes_.size()) - at_ > most) return Progress::kBroken;
    if (end == std::string_view::npos || (end + 1 == bytes_.size() && bytes_[end] == '\r')) {
      need_ = bytes_.size() + 1;
      return Progress::kPartial;
    }
    if (bytes_.substr(end, 2) != "\r\n") return Progress::kBroken;
    line = bytes_.substr(at_, end - at_);
    at_ = end + 2;
    return Progress::kWhole;
  }

  // The line of an answer: its first byte tells its kind, and how long it may be.
  Progress Header(std::string_view kinds, std::string_view& line) {
    if (at_ == bytes_.size()) return Line(kMaxLine, line);
    const char kind = bytes_[at_];
    if (kinds.find(kind) == std::string_view::npos) return Progress::kBroken;
    return Line(kind == '$' || kind == '*' ? kMaxNumber : kMaxLine, line);
  }

  // A value of known length with the line end after it.
  Progress Value(std::size_t length, std::string_view& value) {
    if (bytes_.size() - at_ < length + 2) {
      need_ = at_ + length + 2;
      return Progress::kPartial;
    }
    if (bytes_.substr(at_ + length, 2) != "\r\n") return Progress::kBroken;
    value = bytes_.substr(at_, length);
    at_ += length + 2;
    return Progress::kWhole;
  }

  [[nodiscard]] std::size_t at() const { return at_; }
  [[nodiscard]] std::size_t need() const { return need_; }

 private:
  std::string_view bytes_;
  std::size_t at_ = 0;
  std::size_t need_ = 0;
};

std::optional<long> ToLength(std::string_view digits) {
  long value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc() || end != digits.data() + digits.size() || digits.empty()) return std::nullopt;
  return value;
}

Progress Broken(Command& out, const char* error) {
  out.error = error;
  return Progress::kBroken;
}

// The next argument of a command: a bulk string. The body alone may be large.
Progress ParseArgument(Cursor& cursor, std::string_view bytes, Command& out) {
  if (cursor.at() < bytes.size() && bytes[cursor.at()] != '$') return Broken(out, "expected a bulk string");
  std::string_view line;
  Progress progress = cursor.Line(kMaxNumber, line);
  if (progress == Progress::kBroken) return Broken(out, "invalid bulk length");
  if (progress == Progress::kPartial) return progress;
  const std::optional<long> size = ToLength(line.substr(1));
  if (!size || *size < 0) return Broken(out, "invalid bulk length");
  const bool is_body = out.count == kBodyAt;
  if (*size > static_cast<long>(is_body ? kMaxValue : kMaxWhole)) return Broken(out, "argument too long");
  if (cursor.at() + (is_body ? 0 : static_cast<std::size_t>(*size)) > kMaxHead) {
    return Broken(out, "command too long");
  }
  progress = cursor.Value(static_cast<std::size_t>(*size), out.parts[out.count]);
  return progress == Progress::kBroken ? Broken(out, "bulk string without its end") : progress;
}

// One part of an array: a bulk string, null, or a simple value.
Progress ParsePart(Cursor& cursor, std::size_t most, Reply::Part& part) {
  std::string_view line;
  Progress progress = cursor.Header(":+-$", line);
  if (progress != Progress::kWhole) return progress;
  if (line[0] != '$') {
    part.text = line.substr(1);
    return Progress::kWhole;
  }
  const std::optional<long> length = ToLength(line.substr(1));
  if (length == -1) {
    part.null = true;
    return Progress::kWhole;
  }
  if (!length || *length < 0 || *length > static_cast<long>(most)) return Progress::kBroken;
  return cursor.Value(static_cast<std::size_t>(*length), part.text);
}

// The value of a bulk string whose header has been read into `out.text`.
Progress ParseBulkReply(Cursor& cursor, Reply& out) {
  const std::optional<long> length = ToLength(out.text);
  out.kind = length == -1 ? Reply::Kind::kNull : Reply::Kind::kBulk;
  if (length == -1) return Progress::kWhole;
  if (!length || *length < 0 || *length > static_cast<long>(kMaxWhole)) return Progress::kBroken;
  return cursor.Value(static_cast<std::size_t>(*length), out.text);
}

// The parts of an array whose header has been read into `out.text`. The first alone may be large.
Progress ParseArrayReply(Cursor& cursor, std::string_view bytes, Reply& out) {
  const std::optional<long> length = ToLength(out.text);
  out.kind = length == -1 ? Reply::Kind::kNull : Reply::Kind::kArray;
  if (length == -1) return Progress::kWhole;
  if (!length || *length < 0 || *length > static_cast<long>(kMaxParts)) return Progress::kBroken;
  for (long i = 0; i < *length; ++i) {
    const std::size_t begin = cursor.at();
    out.parts[out.count] = {};
    const Progress progress = ParsePart(cursor, i == 0 ? kMaxValue : kMaxWhole, out.parts[out.count]);
    if (progress != Progress::kWhole) return progress;
    if (i == 0) out.first_raw = bytes.substr(begin, cursor.at() - begin);
    ++out.count;
  }
  return Progress::kWhole;
}

}  // namespace

std::string_view Command::message() const { return {begin, size}; }

Progress ParseCommand(std::string_view bytes, Command& out) {
  out.count = out.size = out.need = 0;
  out.begin = bytes.data();
  if (bytes.empty()) {
    out.need = 1;
    return Progress::kPartial;
  }
  if (bytes[0] != '*') return Broken(out, "expected an array of bulk strings");
  Cursor cursor(bytes);
  std::string_view line;
  std::optional<long> length;
  Progress progress = cursor.Line(kMaxNumber, line);
  if (progress == Progress::kPartial) {
    out.need = cursor.need();
    return progress;
  }
  if (progress == Progress::kWhole) length = ToLength(line.substr(1));
  if (!length || *length < 0) return Broken(out, "invalid array length");
  if (*length > static_cast<long>(kMaxParts)) return Broken(out, "too many arguments");
  for (long i = 0; i < *length; ++i) {
    progress = ParseArgument(cursor, bytes, out);
    if (progress == Progress::kPartial) out.need = cursor.need();
    if (progress != Progress::kWhole) return progress;
    ++out.count;
  }
  out.size = cursor.at();
  return Progress::kWhole;
}

Progress ParseReply(std::string_view bytes, Reply& out) {
  out.count = out.size = out.need = 0;
  out.text = out.first_raw = {};
  if (bytes.empty()) {
    out.need = 1;
    return Progress::kPartial;
  }
  Cursor cursor(bytes);
  const auto finish = [&](Progress progress) {
    out.need = cursor.need();
    out.size = cursor.at();
    return progress;
  };
  std::string_view line;
  Progress progress = cursor.Header("+-:$*", line);
  if (progress != Progress::kWhole) return finish(progress);
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
      return Progress::kBroken;
  }
  return progress == Progress::kBroken ? progress : finish(progress);
}

bool BeginsLarge(std::string_view bytes, LargeValue& out) {
  if (bytes.empty() || bytes[0] != '*') return false;
  Cursor cursor(bytes);
  std::string_view line;
  if (cursor.Header("*", line) != Progress::kWhole) return false;
  const std::optional<long> parts = ToLength(line.substr(1));
  if (!parts || *parts < 1 || *parts > static_cast<long>(kMaxParts)) return false;
  out.at = cursor.at();
  if (cursor.at() == bytes.size() || cursor.Header("$", line) != Progress::kWhole) return false;
  const std::optional<long> length = ToLength(line.substr(1));
  if (!length || *length <= static_cast<long>(kMaxWhole) || *length > static_cast<long>(kMaxValue))
    return false;
  out.size = cursor.at() - out.at + static_cast<std::size_t>(*length) + 2;
  out.rest = static_cast<std::size_t>(*parts) - 1;
  return true;
}

Progress ParseParts(std::string_view bytes, std::size_t count, Reply& out) {
  out.count = out.size = out.need = 0;
  Cursor cursor(bytes);
  Progress progress = Progress::kWhole;
  while (progress == Progress::kWhole && out.count < count) {
    out.parts[out.count] = {};
    progress = ParsePart(cursor, kMaxWhole, out.parts[out.count]);
    if (progress == Progress::kWhole) ++out.count;
  }
  out.need = cursor.need();
  out.size = cursor.at();
  return progress;
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
