#include "operator/values.h"

#include <charconv>
#include <cstring>
#include <limits>
#include <string_view>
#include <utility>

namespace postspread::operator_file {
namespace {

// Marks the parser's copy of an option that has a value, in a bit well above libconfuse's flags. libconfuse's
// own flag for a changed option can't be used: it is already set when the first value is parsed.
constexpr cfg_flag_t kAlreadySet = 1 << 30;

struct Unit {
  const char* name;
  long factor;
};
constexpr Unit kDurationUnits[] = {{"ms", 1}, {"s", 1'000}, {"m", 60'000}, {"h", 3'600'000}};
constexpr Unit kSizeUnits[] = {{"b", 1}, {"kb", 1L << 10}, {"mb", 1L << 20}, {"gb", 1L << 30}};

// Accepts only whole numbers, as operators choose a unit in which the value is whole.
template <std::size_t kUnitCount>
int ParseWithUnit(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result,
                  const Unit (&units)[kUnitCount], const char* example) {
  if (ReportRepeatedKey(cfg, opt)) return -1;
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

bool ReportRepeatedKey(cfg_t* cfg, cfg_opt_t* opt) {
  if ((opt->flags & kAlreadySet) == 0) {
    opt->flags |= kAlreadySet;
    return false;
  }
  cfg_error(cfg, "%s is given twice", FullName(cfg, opt).c_str());
  return true;
}

int ParseDuration(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  return ParseWithUnit(cfg, opt, value, result, kDurationUnits, "1500ms or 60s");
}

int ParseSize(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  return ParseWithUnit(cfg, opt, value, result, kSizeUnits, "64kb or 8mb");
}

int ParseCount(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  if (ReportRepeatedKey(cfg, opt)) return -1;
  const std::string_view text = value;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), *static_cast<long*>(result));
  if (error == std::errc() && end == text.data() + text.size()) return 0;
  cfg_error(cfg, "%s is \"%s\": a whole number is wanted", FullName(cfg, opt).c_str(), value);
  return -1;
}

int ParseFlag(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  if (ReportRepeatedKey(cfg, opt)) return -1;
  const std::string_view text = value;
  if (text != "true" && text != "false") {
    ReportUnknownName(cfg, opt, value, "true, false");
    return -1;
  }
  *static_cast<cfg_bool_t*>(result) = text == "true" ? cfg_true : cfg_false;
  return 0;
}

int ParseFraction(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  if (ReportRepeatedKey(cfg, opt)) return -1;
  const std::string_view text = value;
  double& fraction = *static_cast<double*>(result);
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fraction);
  if (error == std::errc() && end == text.data() + text.size() && fraction > 0 && fraction <= 1) return 0;
  cfg_error(cfg, "%s is \"%s\": a fraction above 0 and up to 1 is wanted", FullName(cfg, opt).c_str(), value);
  return -1;
}

void ReportUnknownName(cfg_t* cfg, cfg_opt_t* opt, const char* value, const char* names) {
  cfg_error(cfg, "%s is \"%s\": one of %s is wanted", FullName(cfg, opt).c_str(), value, names);
}

void ReportOutOfBounds(cfg_t* cfg, cfg_opt_t* opt, long min, long max, const char* unit) {
  cfg_error(cfg, "%s is out of bounds: from %ld%s to %ld%s is allowed", FullName(cfg, opt).c_str(), min, unit,
            max, unit);
}

}  // namespace postspread::operator_file
