// RESP2 messages as slices of the buffer that they stand in. Nothing is copied and nothing is kept between
// calls: a parser looks at the bytes from the start of a message, and where they do not suffice it says how
// many are needed at least, so that a caller need not try again before those are there.
#ifndef POSTSPREAD_RESP_FRAME_H_
#define POSTSPREAD_RESP_FRAME_H_

#include <array>
#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace postspread::resp {

inline constexpr std::size_t kMaxValue =
    std::size_t{4} * 1024 * 1024;  // bytes of a body or an answer's value
inline constexpr std::size_t kMaxWhole =
    std::size_t{64} * 1024;  // bytes of any other bulk string; a value over this is large
inline constexpr std::size_t kMaxHead = kMaxWhole + 4096;              // bytes of a command before its body
inline constexpr std::size_t kMaxCommand = kMaxHead + kMaxValue + 64;  // bytes of a whole command
inline constexpr std::size_t kBodyAt = 4;      // the part of a command that is its body
inline constexpr std::size_t kMaxParts = 8;    // elements of an array
inline constexpr std::size_t kMaxLine = 1024;  // bytes of a line that is not a bulk string

enum class Progress { kWhole, kPartial, kBroken };

// A command: an array of bulk strings.
struct Command {
  std::array<std::string_view, kMaxParts> parts;
  std::size_t count = 0;
  std::size_t size = 0;    // bytes of the whole message, with kWhole
  std::size_t need = 0;    // bytes that must be there before another try, with kPartial
  const char* error = "";  // what is wrong, with kBroken: the framing is lost
  [[nodiscard]] std::string_view message() const;  // the whole message as received
  const char* begin = nullptr;
};
Progress ParseCommand(std::string_view bytes, Command& out);

// An answer: of an upstream or of the counter.
struct Reply {
  enum class Kind { kSimple, kError, kInteger, kBulk, kNull, kArray };
  struct Part {
    bool null = false;
    std::string_view text;
  };
  Kind kind = Kind::kNull;
  std::string_view text;  // of all kinds but kNull and kArray
  std::array<Part, kMaxParts> parts;
  std::size_t count = 0;
  std::string_view first_raw;  // kArray: the first part with its own framing
  std::size_t size = 0;
  std::size_t need = 0;
};
Progress ParseReply(std::string_view bytes, Reply& out);

// An answer that begins with a large value, of which not all need be there.
struct LargeValue {
  std::size_t at = 0;    // where the value's own framing begins
  std::size_t size = 0;  // its bytes, framing included
  std::size_t rest = 0;  // parts of the answer after it
};
bool BeginsLarge(std::string_view bytes, LargeValue& out);
// The parts of an answer that stand behind its first.
Progress ParseParts(std::string_view bytes, std::size_t count, Reply& out);

// Writers append to `out`.
void AppendBulk(std::string_view value, std::string& out);
void AppendCommand(std::initializer_list<std::string_view> parts, std::string& out);

}  // namespace postspread::resp

#endif  // POSTSPREAD_RESP_FRAME_H_
