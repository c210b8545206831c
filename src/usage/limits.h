// The operator file's block `demand`.
#ifndef POSTSPREAD_USAGE_LIMITS_H_
#define POSTSPREAD_USAGE_LIMITS_H_

namespace postspread::usage {

struct Limits {
  bool broadcast = false;  // gateways notify one another of customers beyond their quotas
  bool operator==(const Limits&) const = default;
};

}  // namespace postspread::usage

#endif  // POSTSPREAD_USAGE_LIMITS_H_
