// Settings of the operator file's block `demand`.
#ifndef POSTSPREAD_USAGE_LIMITS_H_
#define POSTSPREAD_USAGE_LIMITS_H_

namespace postspread::usage {

struct Limits {
  bool broadcast = false;  // gateways notify each other of customers that exceed their quotas
  bool operator==(const Limits&) const = default;
};

}  // namespace postspread::usage

#endif  // POSTSPREAD_USAGE_LIMITS_H_
