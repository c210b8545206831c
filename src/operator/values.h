// Values of the operator file beyond what libconfuse reads by itself: spans and sizes with units, words, and
// bounds. Every fault is reported with its line and the key's full name.
#ifndef POSTSPREAD_OPERATOR_VALUES_H_
#define POSTSPREAD_OPERATOR_VALUES_H_

#include <confuse.h>

#include <string>

namespace postspread::operator_file {

// The key's full name, as in "idempotency.keep".
std::string FullName(cfg_t* cfg, cfg_opt_t* opt);

// Parsing callbacks; each leaves a long. A span ("1500ms", "60s", "2m") becomes milliseconds, a size ("8mb",
// "64kb", "4096b") bytes. A number without its unit is an error, and so is a key that is given twice.
int ParseSpan(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result);
int ParseSize(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result);
int ParseCount(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result);
int ParseFlag(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result);      // leaves a cfg_bool_t
int ParseFraction(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result);  // above 0 up to 1; a double

// Reports that `value` is none of `names`.
void ReportUnknownName(cfg_t* cfg, cfg_opt_t* opt, const char* value, const char* names);
// Reports a second value for a key; false where this is the first.
bool GivenTwice(cfg_t* cfg, cfg_opt_t* opt);

// Validating callback: the value, in the unit named, lies within the bounds.
void OutOfBounds(cfg_t* cfg, cfg_opt_t* opt, long least, long most, const char* unit);
template <long kLeast, long kMost, char... kUnit>
int Within(cfg_t* cfg, cfg_opt_t* opt) {
  static constexpr char kName[] = {kUnit..., '\0'};
  const long value = cfg_opt_getnint(opt, cfg_opt_size(opt) - 1);
  if (value >= kLeast && value <= kMost) return 0;
  OutOfBounds(cfg, opt, kLeast, kMost, kName);
  return -1;
}

}  // namespace postspread::operator_file

#endif  // POSTSPREAD_OPERATOR_VALUES_H_
