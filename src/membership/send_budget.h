// A token bucket over all datagrams of the membership view, with a reserve for what is more urgent.
#ifndef POSTSPREAD_MEMBERSHIP_SEND_BUDGET_H_
#define POSTSPREAD_MEMBERSHIP_SEND_BUDGET_H_

#include <cstdint>

#include "membership/context.h"
#include "membership/types.h"

namespace postspread::membership {

// The most urgent first.
enum class Priority : std::uint8_t { kProbe, kReply, kConfirmation, kGossip };

class SendBudget {
 public:
  SendBudget(Context& context, TimePoint now);

  void Refill(TimePoint now);
  // False: there is no budget left for this priority, and the datagram is counted as held back.
  bool TryConsume(Priority priority);

 private:
  Context& context_;
  double tokens_;  // datagrams
  TimePoint refilled_at_;
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_SEND_BUDGET_H_
