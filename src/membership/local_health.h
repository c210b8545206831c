// LocalHealth is the local health multiplier of Lifeguard: the more signs there are that the local member
// itself is slow or badly connected, the longer it waits before it declares others dead.
#ifndef POSTSPREAD_MEMBERSHIP_LOCAL_HEALTH_H_
#define POSTSPREAD_MEMBERSHIP_LOCAL_HEALTH_H_

#include <algorithm>

#include "membership/context.h"
#include "membership/types.h"

namespace postspread::membership {

class LocalHealth {
 public:
  explicit LocalHealth(const Context& context) : context_(context) {}

  // Records a sign of a local fault: the group considered this member dead, or its own probe failed without a
  // Nack.
  void Degrade() {
    if (context_.HasDefense(DisabledDefense::kLocalHealth)) score_ = std::min(score_ + 1, kMaxScore);
  }
  // Records that a probe received its reply.
  void Recover() { score_ = std::max(score_ - 1, 0); }

  // Returns the factor by which the suspicion timeout is multiplied.
  [[nodiscard]] int Multiplier() const { return 1 + score_; }

 private:
  static constexpr int kMaxScore = 2;

  const Context& context_;
  int score_ = 0;
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_LOCAL_HEALTH_H_
