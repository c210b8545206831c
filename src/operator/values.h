// Parses values of the operator file that libconfuse does not support: durations and sizes with units, enums
// and ranges. Every error is reported with its line and the key's full name.
#ifndef POSTSPREAD_OPERATOR_VALUES_H_
#define POSTSPREAD_OPERATOR_VALUES_H_

#include <confuse.h>

#include <string>

namespace postspread::operator_file {

// Returns the key's full name, for example "idempotency.keep".
std::string FullName(cfg_t* cfg, cfg_opt_t* opt);

// Parsing callbacks. Each stores a long in `result`, unless noted otherwise: a duration ("1500ms", "60s",
// "2m") in milliseconds, a size ("8mb", "64kb", "4096b") in bytes. A number without a unit is an error, and
// so is a key that is given twice.
int ParseDuration(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result);
int ParseSize(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result);
int ParseCount(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result);
int ParseFlag(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result);  // stores a cfg_bool_t
int ParseFraction(cfg_t* cfg, cfg_opt_t* opt, const char* value,
                  void* result);  // above 0, up to 1; stores a double

// Reports that `value` is not one of `names`.
void ReportUnknownName(cfg_t* cfg, cfg_opt_t* opt, const char* value, const char* names);
// Reports an error and returns true if the key already has a value; otherwise marks it as set.
bool ReportRepeatedKey(cfg_t* cfg, cfg_opt_t* opt);

void ReportOutOfBounds(cfg_t* cfg, cfg_opt_t* opt, long min, long max, const char* unit);
// Validating callback: reports a value outside [kMin, kMax]. `kUnit` is the unit in the message.
template <long kMin, long kMax, char... kUnit>
int CheckRange(cfg_t* cfg, cfg_opt_t* opt) {
  static constexpr char kName[] = {kUnit..., '\0'};
  const long value = cfg_opt_getnint(opt, cfg_opt_size(opt) - 1);
  if (value >= kMin && value <= kMax) return 0;
  ReportOutOfBounds(cfg, opt, kMin, kMax, kName);
  return -1;
}

}  // namespace postspread::operator_file

#endif  // POSTSPREAD_OPERATOR_VALUES_H_
