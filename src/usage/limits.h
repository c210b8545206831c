// What an operator sets of the board: the block `demand` of the operator file.
#ifndef POSTSPREAD_USAGE_LIMITS_H_
#define POSTSPREAD_USAGE_LIMITS_H_

namespace postspread::usage {

struct Limits {
  bool broadcast = false;  // gateways tell one another of customers beyond their quotas
  bool operator==(const Limits&) const = default;
};

}  // namespace postspread::usage

#endif  // POSTSPREAD_USAGE_LIMITS_H_
