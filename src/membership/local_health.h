// The local health multiplier of Lifeguard: the more signs that the local member itself is slow or badly
// connected, the longer it waits before it declares others dead.
#ifndef POSTSPREAD_MEMBERSHIP_LOCAL_HEALTH_H_
#define POSTSPREAD_MEMBERSHIP_LOCAL_HEALTH_H_

#include <algorithm>

#include "membership/context.h"
#include "membership/types.h"

namespace postspread::membership {

class LocalHealth {
 public:
  explicit LocalHealth(const Context& context) : context_(context) {}

  // A sign of a local fault: others suspected this member, or its own probe failed without a Nack.
  void Degrade() {
    if (context_.Defends(DisabledDefense::kLocalHealth)) score_ = std::min(score_ + 1, kMaxScore);
  }
  // A probe was answered.
  void Recover() { score_ = std::max(score_ - 1, 0); }

  // Of the suspicion timeout.
  [[nodiscard]] int Multiplier() const { return 1 + score_; }

 private:
  static constexpr int kMaxScore = 2;

  const Context& context_;
  int score_ = 0;
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_LOCAL_HEALTH_H_
