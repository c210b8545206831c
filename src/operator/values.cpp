#include "operator/values.h"

#include <charconv>
#include <cstring>
#include <limits>
#include <string_view>
#include <utility>

namespace postspread::operator_file {
namespace {

// A flag of ours on the parser's own copy of an option, well above those of libconfuse: its own mark of a
// change is set already when the first value is parsed.
constexpr cfg_flag_t kSeen = 1 << 30;

struct Unit {
  const char* name;
  long factor;
};
constexpr Unit kSpans[] = {{"ms", 1}, {"s", 1'000}, {"m", 60'000}, {"h", 3'600'000}};
constexpr Unit kSizes[] = {{"b", 1}, {"kb", 1L << 10}, {"mb", 1L << 20}, {"gb", 1L << 30}};

// A whole number of the largest unit that fits it is what people write; a fraction is not taken.
template <std::size_t kSize>
int ParseWithUnit(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result, const Unit (&units)[kSize],
                  const char* example) {
  if (GivenTwice(cfg, opt)) return -1;
  const std::string_view text = value;
  long number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  if (error == std::errc() && number >= 0) {
    for (const Unit& known : units) {
      if (unit != known.name) continue;
      if (number > std::numeric_limits<long>::max() / known.factor) break;
      *static_cast<long*>(result) = number * known.factor;
      return 0;
    }
  }
  cfg_error(cfg, "%s is \"%s\": a whole number with its unit is wanted, as in %s", FullName(cfg, opt).c_str(),
            value, example);
  return -1;
}

}  // namespace

std::string FullName(cfg_t* cfg, cfg_opt_t* opt) {
  const std::string block = cfg->name != nullptr && std::strcmp(cfg->name, "root") != 0 ? cfg->name : "";
  return (block.empty() ? "" : block + ".") + opt->name;
}

bool GivenTwice(cfg_t* cfg, cfg_opt_t* opt) {
  if ((opt->flags & kSeen) == 0) {
    opt->flags |= kSeen;
    return false;
  }
  cfg_error(cfg, "%s is given twice", FullName(cfg, opt).c_str());
  return true;
}

int ParseSpan(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  return ParseWithUnit(cfg, opt, value, result, kSpans, "1500ms or 60s");
}

int ParseSize(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  return ParseWithUnit(cfg, opt, value, result, kSizes, "64kb or 8mb");
}

int ParseCount(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  if (GivenTwice(cfg, opt)) return -1;
  const std::string_view text = value;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), *static_cast<long*>(result));
  if (error == std::errc() && end == text.data() + text.size()) return 0;
  cfg_error(cfg, "%s is \"%s\": a whole number is wanted", FullName(cfg, opt).c_str(), value);
  return -1;
}

int ParseFlag(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  if (GivenTwice(cfg, opt)) return -1;
  const std::string_view text = value;
  if (text != "true" && text != "false") {
    ReportUnknownName(cfg, opt, value, "true, false");
    return -1;
  }
  *static_cast<cfg_bool_t*>(result) = text == "true" ? cfg_true : cfg_false;
  return 0;
}

int ParseFraction(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  if (GivenTwice(cfg, opt)) return -1;
  const std::string_view text = value;
  double& fraction = *static_cast<double*>(result);
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fraction);
  if (error == std::errc() && end == text.data() + text.size() && fraction > 0 && fraction <= 1) return 0;
  cfg_error(cfg, "%s is \"%s\": a share above 0 and up to 1 is wanted", FullName(cfg, opt).c_str(), value);
  return -1;
}

void ReportUnknownName(cfg_t* cfg, cfg_opt_t* opt, const char* value, const char* names) {
  cfg_error(cfg, "%s is \"%s\": one of %s is wanted", FullName(cfg, opt).c_str(), value, names);
}

void OutOfBounds(cfg_t* cfg, cfg_opt_t* opt, long least, long most, const char* unit) {
  cfg_error(cfg, "%s is out of bounds: from %ld%s to %ld%s is possible", FullName(cfg, opt).c_str(), least,
            unit, most, unit);
}

}  // namespace postspread::operator_file
