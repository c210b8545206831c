// Decodes a client's command into a Request, and encodes the command that is forwarded to an upstream.
#ifndef POSTSPREAD_RESP_REQUEST_H_
#define POSTSPREAD_RESP_REQUEST_H_

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "model/load_report.h"
#include "model/request.h"
#include "resp/frame.h"

namespace postspread::resp {

// The names and bounds that commands are validated against.
struct Vocabulary {
  struct Class {
    std::string name;
    bool is_safe = true;    // true: its requests are API.READ, else API.WRITE
    bool is_keyed = false;  // its requests must have an idempotency key
  };
  std::vector<Class> classes;
  std::vector<std::string> plans;
  int gateways = 1;
  double max_units = 1.0;
};

// Owns a copy of a received command. Encodes it for an upstream, unchanged except for its timeout (field d).
class EncodedRequest {
 public:
  EncodedRequest() = default;
  // `fields` and `timeout` are slices of `message`; `timeout` contains the digits of field d.
  EncodedRequest(std::string_view message, std::string_view fields, std::string_view timeout);
  // The same for a message that exists already: `fields` and `timeout` are slices of `received`, which holds
  // the same bytes.
  EncodedRequest(std::shared_ptr<const std::string> message, std::string_view received,
                 std::string_view fields, std::string_view timeout);

  // Appends the command up to its timeout, and `time_left` in place of it. The caller appends tail().
  void RenderHead(std::chrono::milliseconds time_left, std::string& out) const;
  [[nodiscard]] std::string_view tail() const;
  // Owns the bytes of tail().
  [[nodiscard]] const std::shared_ptr<const std::string>& text() const { return message_; }
  [[nodiscard]] std::size_t size() const { return message_ ? message_->size() : 0; }

 private:
  std::shared_ptr<const std::string> message_;
  std::size_t length_offset_ = 0;  // offset of the length of the fields' bulk string, after its '$'
  std::size_t fields_offset_ = 0, fields_size_ = 0;
  std::size_t timeout_offset_ = 0, timeout_size_ = 0;
};

struct DecodedRequest {
  Request request;  // its views are slices of the command
  std::string_view id;
  std::string_view fields;   // the command's fields: names and values
  std::string_view timeout;  // the digits of field d
};

// Decodes a request whose body need not have arrived. Returns the error text if the head is invalid, else
// null. `command` has at least the parts before the body.
const char* DecodeHead(const Command& command, const Vocabulary& vocabulary, DecodedRequest& out);

// Returns the error text if the command is invalid, else null.
const char* DecodeRequest(const Command& command, const Vocabulary& vocabulary, DecodedRequest& out);

// Decodes the load report of a reply or of the end of an error line. Unknown fields are ignored, and so are
// values that are not finite numbers of at least 0.
UpstreamLoad DecodeLoad(std::string_view text);

// Decodes the usage values of a reply, for example `used=37,cost=4`. Other names are ignored.
ReportedUsage DecodeUsage(std::string_view text);

// Decodes an error line after its first word, which contains usage values, a load report, both or neither.
void DecodeErrorTail(std::string_view line, ReportedUsage& use, UpstreamLoad& load);

}  // namespace postspread::resp

#endif  // POSTSPREAD_RESP_REQUEST_H_
