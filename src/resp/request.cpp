#include "resp/request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <utility>

namespace postspread::resp {
namespace {

constexpr std::size_t kMaxFieldsBytes = 1024;         // bytes of a command's names and values
constexpr std::size_t kMaxIdBytes = 128;              // bytes of a request's id
constexpr std::uint64_t kCustomerLimit = 1ULL << 33;  // customer ids are below this number
constexpr long kMaxTimeoutMs = 24L * 3600 * 1000;
// The numbers of parts in a command: verb, customer, id, and names and values; a write also has a body.
constexpr std::size_t kReadParts = 4;
constexpr std::size_t kWriteParts = 5;

template <typename T>
bool ToNumber(std::string_view text, T& out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

bool IsCustomerId(std::string_view text) {
  const auto is_hex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
  if (text.size() != 16 || !std::all_of(text.begin(), text.end(), is_hex)) return false;
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return number < kCustomerLimit;
}

// Removes the next item, up to `separator`, from `rest` and returns it.
std::string_view NextItem(std::string_view& rest, char separator) {
  const std::size_t end = std::min(rest.find(separator), rest.size());
  const std::string_view item = rest.substr(0, end);
  rest.remove_prefix(std::min(rest.size(), end + 1));
  return item;
}

}  // namespace

EncodedRequest::EncodedRequest(std::string_view message, std::string_view fields, std::string_view timeout)
    : EncodedRequest(std::make_shared<const std::string>(message), message, fields, timeout) {}

EncodedRequest::EncodedRequest(std::shared_ptr<const std::string> message, std::string_view received,
                               std::string_view fields, std::string_view timeout)
    : message_(std::move(message)),
      fields_offset_(static_cast<std::size_t>(fields.data() - received.data())),
      fields_size_(fields.size()),
      timeout_offset_(static_cast<std::size_t>(timeout.data() - received.data())),
      timeout_size_(timeout.size()) {
  length_offset_ = message_->rfind('$', fields_offset_) + 1;
}

void EncodedRequest::RenderHead(std::chrono::milliseconds time_left, std::string& out) const {
  std::array<char, 24> digits;
  const auto* digits_end = std::to_chars(digits.data(), digits.data() + digits.size(), time_left.count()).ptr;
  const std::string_view timeout(digits.data(), static_cast<std::size_t>(digits_end - digits.data()));
  const std::string_view message = *message_;
  out += message.substr(0, length_offset_);
  out += std::to_string(fields_size_ - timeout_size_ + timeout.size());
  out += "\r\n";
  out += message.substr(fields_offset_, timeout_offset_ - fields_offset_);
  out += timeout;
}

std::string_view EncodedRequest::tail() const {
  return std::string_view(*message_).substr(timeout_offset_ + timeout_size_);
}

namespace {

constexpr const char kDuplicateName[] = "name given twice";

// Decodes a command's fields, its names and values. Each method returns the error text, or null on success.
class FieldDecoder {
 public:
  FieldDecoder(const Vocabulary& vocabulary, DecodedRequest& out) : vocabulary_(vocabulary), out_(out) {}

  // Fields whose names are not in kFields are ignored.
  const char* DecodeAll(std::string_view fields) {
    while (!fields.empty()) {
      const std::string_view item = NextItem(fields, ',');
      const std::size_t equals = item.find('=');
      if (equals == std::string_view::npos || equals == 0) return "bad names and values";
      if (const char* error = DecodeField(item.substr(0, equals), item.substr(equals + 1))) return error;
    }
    return nullptr;
  }

  [[nodiscard]] const char* FindMissing() const {
    for (std::size_t i = 0; i < kFieldCount; ++i) {
      if (kFields[i].missing != nullptr && !seen_[i]) return kFields[i].missing;
    }
    return nullptr;
  }

  // Checks the command and the key against the class. Requires that FindMissing returned null.
  const char* CheckClass() {
    if (class_->is_safe == out_.request.is_write) return "wrong command for this class";
    if (class_->is_keyed && key_.empty()) return "k is missing";
    if (class_->is_keyed) out_.request.key = key_;
    return nullptr;
  }

 private:
  struct Field {
    std::string_view name;  // as in the command
    const char* (FieldDecoder::*decode)(std::string_view value);
    const char* missing;  // the error if the field is absent; null: the field is optional
  };

  const char* DecodeField(std::string_view name, std::string_view value) {
    for (std::size_t i = 0; i < kFieldCount; ++i) {
      if (kFields[i].name != name) continue;
      if (seen_[i]) return kDuplicateName;
      seen_[i] = !value.empty();
      return (this->*kFields[i].decode)(value);
    }
    return nullptr;
  }

  const char* DecodeClass(std::string_view value) {
    const auto found = std::find_if(vocabulary_.classes.begin(), vocabulary_.classes.end(),
                                    [value](const Vocabulary::Class& known) { return known.name == value; });
    if (found == vocabulary_.classes.end()) return "unknown class";
    class_ = &*found;
    out_.request.class_name = value;
    return nullptr;
  }

  const char* DecodePlan(std::string_view value) {
    const auto found = std::find(vocabulary_.plans.begin(), vocabulary_.plans.end(), value);
    if (found == vocabulary_.plans.end()) return "unknown plan";
    out_.request.plan = value;
    return nullptr;
  }

  const char* DecodeTimeout(std::string_view value) {
    long milliseconds = 0;
    if (!ToNumber(value, milliseconds) || milliseconds < 1 || milliseconds > kMaxTimeoutMs) return "bad d";
    out_.timeout = value;
    out_.request.timeout = std::chrono::milliseconds(milliseconds);
    return nullptr;
  }

  const char* DecodeUnits(std::string_view value) {
    double& units = out_.request.units;
    return ToNumber(value, units) && units > 0 && units <= vocabulary_.max_units ? nullptr : "bad units";
  }

  const char* DecodeSpread(std::string_view value) {
    int& spread = out_.request.spread;
    return ToNumber(value, spread) && spread >= 1 && spread <= vocabulary_.gateways ? nullptr : "bad spread";
  }

  const char* DecodeFirst(std::string_view value) {
    int& first = out_.request.first;
    return ToNumber(value, first) && first >= 0 && first < vocabulary_.gateways ? nullptr : "bad first";
  }

  const char* DecodeRetry(std::string_view value) {
    if (value != "0" && value != "1") return "bad r";
    out_.request.is_retry = value == "1";
    return nullptr;
  }

  const char* DecodeKey(std::string_view value) {
    if (value.empty()) return "bad k";
    key_ = value;
    return nullptr;
  }

  static constexpr std::size_t kFieldCount = 8;
  // Missing fields are reported in this order.
  static constexpr std::array<Field, kFieldCount> kFields = {
      {{"c", &FieldDecoder::DecodeClass, "c is missing"},
       {"t", &FieldDecoder::DecodePlan, "t is missing"},
       {"d", &FieldDecoder::DecodeTimeout, "d is missing"},
       {"units", &FieldDecoder::DecodeUnits, "units is missing"},
       {"spread", &FieldDecoder::DecodeSpread, "spread is missing"},
       {"first", &FieldDecoder::DecodeFirst, "first is missing"},
       {"r", &FieldDecoder::DecodeRetry, nullptr},
       {"k", &FieldDecoder::DecodeKey, nullptr}}};

  const Vocabulary& vocabulary_;
  DecodedRequest& out_;
  std::array<bool, kFieldCount> seen_{};
  const Vocabulary::Class* class_ = nullptr;
  std::string_view key_;
};

}  // namespace

namespace {

constexpr std::string_view kReadVerb = "API.READ";
constexpr std::string_view kWriteVerb = "API.WRITE";

}  // namespace

const char* DecodeHead(const Command& command, const Vocabulary& vocabulary, DecodedRequest& out) {
  const std::string_view verb = command.parts[0];
  const bool is_write = verb == kWriteVerb;
  if (!is_write && verb != kReadVerb) return "unknown command";
  if (!IsCustomerId(command.parts[1])) return "bad customer";
  if (command.parts[2].empty() || command.parts[2].size() > kMaxIdBytes) return "bad id";
  out.id = command.parts[2];
  out.fields = command.parts[3];
  if (out.fields.size() > kMaxFieldsBytes) return "names and values too long";
  out.timeout = {};
  out.request = Request{.customer = command.parts[1], .is_write = is_write};

  FieldDecoder fields(vocabulary, out);
  if (const char* error = fields.DecodeAll(out.fields)) return error;
  if (const char* error = fields.FindMissing()) return error;
  return fields.CheckClass();
}

const char* DecodeRequest(const Command& command, const Vocabulary& vocabulary, DecodedRequest& out) {
  const bool is_write = command.parts[0] == kWriteVerb;
  const bool is_known = is_write || command.parts[0] == kReadVerb;
  if (is_known && command.count != (is_write ? kWriteParts : kReadParts)) return "wrong number of arguments";
  if (const char* error = DecodeHead(command, vocabulary, out)) return error;
  if (is_write) out.request.body = command.parts[kBodyIndex];
  return nullptr;
}

UpstreamLoad DecodeLoad(std::string_view text) {
  UpstreamLoad load;
  const std::pair<std::string_view, double*> fields[] = {
      {"inflight", &load.outstanding},  {"outstanding", &load.outstanding},
      {"queue", &load.queue},           {"backlog", &load.queue},
      {"util", &load.utilization},      {"utilization", &load.utilization},
      {"latency_ms", &load.latency_ms}, {"recent_ms", &load.latency_ms},
      {"qps", &load.per_second},        {"throughput", &load.per_second},
      {"eps", &load.errors_per_second}, {"errors_per_s", &load.errors_per_second}};
  while (!text.empty()) {
    const std::string_view item = NextItem(text, ',');
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) continue;
    double value = 0;
    if (!ToNumber(item.substr(equals + 1), value) || !std::isfinite(value) || value < 0) continue;
    for (const auto& [name, field] : fields) {
      if (name == item.substr(0, equals)) *field = value;
    }
  }
  return load;
}

ReportedUsage DecodeUsage(std::string_view text) {
  ReportedUsage use;
  while (!text.empty()) {
    const std::string_view item = NextItem(text, ',');
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = item.substr(0, equals);
    if (name != "used" && name != "cost") continue;
    double value = 0;
    if (!ToNumber(item.substr(equals + 1), value) || !std::isfinite(value) || value < 0) {
      use.unreadable = true;
    } else {
      (name == "used" ? use.percent_of_rate : use.units) = value;
    }
  }
  return use;
}

void DecodeErrorTail(std::string_view line, ReportedUsage& use, UpstreamLoad& load) {
  NextItem(line, ' ');
  while (!line.empty()) {
    const std::string_view item = NextItem(line, ' ');
    const ReportedUsage reported = DecodeUsage(item);
    if (reported.percent_of_rate >= 0) use.percent_of_rate = reported.percent_of_rate;
    if (reported.units > 0) use.units = reported.units;
    use.unreadable |= reported.unreadable;
    if (line.empty()) load = DecodeLoad(item);  // a load report is the last item
  }
}

}  // namespace postspread::resp
