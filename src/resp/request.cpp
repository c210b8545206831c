#include "resp/request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <utility>

namespace postspread::resp {
namespace {

constexpr std::size_t kMaxExtras = 1024;           // bytes of names and values
constexpr std::size_t kMaxId = 128;                // bytes of a request's id
constexpr std::uint64_t kCustomers = 1ULL << 33;   // customers are numbered below this
constexpr long kMaxTimeoutMs = 24L * 3600 * 1000;  // what waits longer has a fault in its clock

template <typename T>
bool ToNumber(std::string_view text, T& out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

bool IsCustomer(std::string_view text) {
  const auto is_hex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
  if (text.size() != 16 || !std::all_of(text.begin(), text.end(), is_hex)) return false;
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return number < kCustomers;
}

// Takes the next of the items that `separator` divides.
std::string_view Next(std::string_view& rest, char separator) {
  const std::size_t end = std::min(rest.find(separator), rest.size());
  const std::string_view item = rest.substr(0, end);
  rest.remove_prefix(std::min(rest.size(), end + 1));
  return item;
}

}  // namespace

EncodedRequest::EncodedRequest(std::string_view message, std::string_view extras, std::string_view timeout)
    : message_(std::make_shared<const std::string>(message)),
      extras_at_(static_cast<std::size_t>(extras.data() - message.data())),
      extras_size_(extras.size()),
      timeout_at_(static_cast<std::size_t>(timeout.data() - message.data())),
      timeout_size_(timeout.size()) {
  length_at_ = message_->rfind('$', extras_at_) + 1;
}

void EncodedRequest::RenderHead(std::chrono::milliseconds wait, std::string& out) const {
  std::array<char, 24> digits;
  const auto* digits_end = std::to_chars(digits.data(), digits.data() + digits.size(), wait.count()).ptr;
  const std::string_view timeout(digits.data(), static_cast<std::size_t>(digits_end - digits.data()));
  const std::string_view message = *message_;
  out += message.substr(0, length_at_);
  out += std::to_string(extras_size_ - timeout_size_ + timeout.size());
  out += "\r\n";
  out += message.substr(extras_at_, timeout_at_ - extras_at_);
  out += timeout;
}

std::string_view EncodedRequest::tail() const {
  return std::string_view(*message_).substr(timeout_at_ + timeout_size_);
}

const char* DecodeRequest(const Command& command, const Vocabulary& vocabulary, DecodedRequest& out) {
  const std::string_view verb = command.parts[0];
  const bool is_write = verb == "API.WRITE";
  if (!is_write && verb != "API.READ") return "unknown command";
  if (command.count != (is_write ? 5U : 4U)) return "wrong number of arguments";
  if (!IsCustomer(command.parts[1])) return "bad customer";
  if (command.parts[2].empty() || command.parts[2].size() > kMaxId) return "bad id";
  out.id = command.parts[2];
  out.extras = command.parts[3];
  if (out.extras.size() > kMaxExtras) return "names and values too long";
  out.timeout = {};
  Request& request = out.request;
  request = Request{.customer = command.parts[1], .is_write = is_write};

  const Vocabulary::Class* cls = nullptr;
  bool has_key = false, has_units = false, has_spread = false, has_first = false, has_retry = false;
  std::string_view rest = out.extras, key;
  while (!rest.empty()) {
    const std::string_view item = Next(rest, ',');
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos || equals == 0) return "bad names and values";
    const std::string_view name = item.substr(0, equals), value = item.substr(equals + 1);
    if (name == "c") {
      if (cls != nullptr) return "name given twice";
      const auto found = std::find_if(vocabulary.classes.begin(), vocabulary.classes.end(),
                                      [value](const auto& c) { return c.name == value; });
      if (found == vocabulary.classes.end()) return "unknown class";
      cls = &*found;
      request.class_name = value;
    } else if (name == "t") {
      if (!request.plan.empty()) return "name given twice";
      if (std::find(vocabulary.plans.begin(), vocabulary.plans.end(), value) == vocabulary.plans.end()) {
        return "unknown plan";
      }
      request.plan = value;
    } else if (name == "d") {
      if (!out.timeout.empty()) return "name given twice";
      long ms = 0;
      if (!ToNumber(value, ms) || ms < 1 || ms > kMaxTimeoutMs) return "bad d";
      out.timeout = value;
      request.timeout = std::chrono::milliseconds(ms);
    } else if (name == "units") {
      if (std::exchange(has_units, true)) return "name given twice";
      if (!ToNumber(value, request.units) || !(request.units > 0) || request.units > vocabulary.max_units) {
        return "bad units";
      }
    } else if (name == "spread") {
      if (std::exchange(has_spread, true)) return "name given twice";
      if (!ToNumber(value, request.spread) || request.spread < 1 || request.spread > vocabulary.gateways) {
        return "bad spread";
      }
    } else if (name == "first") {
      if (std::exchange(has_first, true)) return "name given twice";
      if (!ToNumber(value, request.first) || request.first < 0 || request.first >= vocabulary.gateways) {
        return "bad first";
      }
    } else if (name == "r") {
      if (std::exchange(has_retry, true)) return "name given twice";
      if (value != "0" && value != "1") return "bad r";
      request.is_retry = value == "1";
    } else if (name == "k") {
      if (std::exchange(has_key, true)) return "name given twice";
      if (value.empty()) return "bad k";
      key = value;
    }
  }
  if (cls == nullptr) return "c is missing";
  if (request.plan.empty()) return "t is missing";
  if (out.timeout.empty()) return "d is missing";
  if (!has_units) return "units is missing";
  if (!has_spread) return "spread is missing";
  if (!has_first) return "first is missing";
  if (cls->is_safe == is_write) return "wrong command for this class";
  if (cls->is_keyed && !has_key) return "k is missing";
  if (cls->is_keyed) request.key = key;
  if (is_write) request.body = command.parts[4];
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
    const std::string_view item = Next(text, ',');
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

ReportedUsage DecodeUse(std::string_view text) {
  ReportedUsage use;
  while (!text.empty()) {
    const std::string_view item = Next(text, ',');
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = item.substr(0, equals);
    if (name != "used" && name != "cost") continue;
    double value = 0;
    if (!ToNumber(item.substr(equals + 1), value) || !std::isfinite(value) || value < 0) {
      use.unreadable = true;
    } else {
      (name == "used" ? use.percent : use.units) = value;
    }
  }
  return use;
}

void DecodeErrorTail(std::string_view line, ReportedUsage& use, UpstreamLoad& load) {
  Next(line, ' ');
  while (!line.empty()) {
    const std::string_view word = Next(line, ' ');
    const ReportedUsage told = DecodeUse(word);
    if (told.percent >= 0) use.percent = told.percent;
    if (told.units > 0) use.units = told.units;
    use.unreadable |= told.unreadable;
    if (line.empty()) load = DecodeLoad(word);  // it stands last
  }
}

}  // namespace postspread::resp
