// A client's command into an Request, and the form in which it is passed on to an upstream.
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

// The names and bounds that a command is checked against.
struct Vocabulary {
  struct Class {
    std::string name;
    bool is_safe = true;    // asked for by API.READ; others by API.WRITE
    bool is_keyed = false;  // must carry a key
  };
  std::vector<Class> classes;
  std::vector<std::string> plans;
  int gateways = 1;
  double max_units = 1.0;
};

// A command that outlives the buffer it came in: all of it as received, but for the time that it tells.
class EncodedRequest {
 public:
  EncodedRequest() = default;
  // `extras` and `patience` are slices of `message`; `patience` holds the digits of d.
  EncodedRequest(std::string_view message, std::string_view extras, std::string_view timeout);

  // Appends the command up to and with `wait` in the place of the time that it named; the tail follows.
  void RenderHead(std::chrono::milliseconds wait, std::string& out) const;
  [[nodiscard]] std::string_view tail() const;
  // Holds what tail() shows.
  [[nodiscard]] const std::shared_ptr<const std::string>& text() const { return message_; }
  [[nodiscard]] std::size_t size() const { return message_ ? message_->size() : 0; }

 private:
  std::shared_ptr<const std::string> message_;
  std::size_t length_at_ = 0;  // of the header of the extras, behind its '$'
  std::size_t extras_at_ = 0, extras_size_ = 0;
  std::size_t timeout_at_ = 0, timeout_size_ = 0;
};

struct DecodedRequest {
  Request request;  // slices of the command
  std::string_view id;
  std::string_view extras;   // the names and values
  std::string_view timeout;  // the digits of d in them
};

// Returns what is wrong with the command, or null where it is sound.
const char* DecodeRequest(const Command& command, const Vocabulary& vocabulary, DecodedRequest& out);

// The load report of an answer, or of the end of an error line. Fields that are not known are skipped.
UpstreamLoad DecodeLoad(std::string_view text);

// The figures on use of an answer, such as `used=37,cost=4`. Other names are skipped.
ReportedUsage DecodeUse(std::string_view text);

// What stands in an error line behind its first word: the figures on use, the load report, both or neither.
void DecodeErrorTail(std::string_view line, ReportedUsage& use, UpstreamLoad& load);

}  // namespace postspread::resp

#endif  // POSTSPREAD_RESP_REQUEST_H_
