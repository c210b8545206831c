// Stateless parsers and writers of RESP2 messages. A parsed message consists of slices of the caller's
// buffer; nothing is copied. Each call parses from the start of a message. For an incomplete message it
// returns a lower bound of the bytes that it needs, so that the caller does not retry before they arrive.
#ifndef POSTSPREAD_RESP_FRAME_H_
#define POSTSPREAD_RESP_FRAME_H_

#include <array>
#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace postspread::resp {

// The maximum size of a command's body or of a reply's first value.
inline constexpr std::size_t kMaxValueBytes = std::size_t{4} * 1024 * 1024;
// The maximum size of any other bulk string. A larger value is a large value.
inline constexpr std::size_t kMaxSmallValueBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxHead = kMaxSmallValueBytes + 4096;  // bytes of a command before its body
inline constexpr std::size_t kMaxCommand = kMaxHead + kMaxValueBytes + 64;  // bytes of a whole command
inline constexpr std::size_t kBodyIndex = 4;        // index of the body in a command's parts
inline constexpr std::size_t kMaxParts = 8;         // elements of an array
inline constexpr std::size_t kMaxLineBytes = 1024;  // bytes of a simple string, an error or an integer

enum class Progress { kComplete, kPartial, kMalformed };

// A command is an array of bulk strings.
struct Command {
  std::array<std::string_view, kMaxParts> parts;
  std::size_t count = 0;
  std::size_t size = 0;          // a complete message: its bytes
  std::size_t bytes_needed = 0;  // an incomplete message: the bytes to have before parsing it again
  const char* error = "";        // a malformed message: the reason; the framing is lost
  [[nodiscard]] std::string_view message() const;  // the complete message as received
  const char* begin = nullptr;
};
Progress ParseCommand(std::string_view bytes, Command& out);

// A reply of an upstream or of the counter.
struct Reply {
  enum class Kind { kSimple, kError, kInteger, kBulk, kNull, kArray };
  struct Part {
    bool null = false;
    std::string_view text;
  };
  Kind kind = Kind::kNull;
  std::string_view text;  // the value of all kinds except kNull and kArray
  std::array<Part, kMaxParts> parts;
  std::size_t count = 0;
  std::string_view first_raw;  // kArray: the first part, framing included
  std::size_t size = 0;
  std::size_t bytes_needed = 0;
};
Progress ParseReply(std::string_view bytes, Reply& out);

// Describes an array reply that begins with a large value, which need not have arrived completely.
struct LargeValue {
  std::size_t at = 0;    // offset of the value's framing
  std::size_t size = 0;  // the value's bytes, framing included
  std::size_t rest = 0;  // number of parts after the value
};
// Returns whether `bytes` begin with the header of an array whose first value is longer than `min_size`
// bytes. Returns false also if the value's header has not arrived completely.
bool BeginsWithLargeValue(std::string_view bytes, LargeValue& out,
                          std::size_t min_size = kMaxSmallValueBytes);

// Reads the parts of an array reply that follow its first, as they arrive, and keeps none of their bytes.
class TrailingParts {
 public:
  // The longest prefix of a part that Read can't split, in bytes: a line with its CRLF.
  static constexpr std::size_t kMaxLineSize = kMaxLineBytes + 2;

  explicit TrailingParts(std::size_t count = 0) : parts_left_(count) {}

  // Reads from `bytes`, which begin where the last call has ended. With kPartial, the next call needs at
  // least one byte more than this call has left unread.
  Progress Read(std::string_view bytes);
  // Returns how many bytes the last call has read.
  [[nodiscard]] std::size_t bytes_read() const { return bytes_read_; }

 private:
  Progress ReadPart(std::string_view bytes);

  std::size_t parts_left_ = 0;
  std::size_t value_bytes_left_ = 0;  // of a bulk string that has begun, with its line end
  std::size_t bytes_read_ = 0;
};

// The writers append to `out`.
void AppendBulk(std::string_view value, std::string& out);
void AppendCommand(std::initializer_list<std::string_view> parts, std::string& out);

}  // namespace postspread::resp

#endif  // POSTSPREAD_RESP_FRAME_H_
