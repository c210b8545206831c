// SendBudget is a token bucket that bounds the rate of all membership datagrams and reserves a part of it for
// more urgent ones. The Membership owns it.
#ifndef POSTSPREAD_MEMBERSHIP_SEND_BUDGET_H_
#define POSTSPREAD_MEMBERSHIP_SEND_BUDGET_H_

#include <cstdint>

#include "membership/context.h"
#include "membership/types.h"

namespace postspread::membership {

// The priorities of datagrams, most urgent first.
enum class Priority : std::uint8_t { kProbe, kReply, kConfirmation, kGossip };

class SendBudget {
 public:
  SendBudget(Context& context, TimePoint now);

  void Refill(TimePoint now);
  // Takes a token. Returns false, and counts the datagram as throttled, if none is left for this priority.
  bool TryConsume(Priority priority);

 private:
  Context& context_;
  double tokens_;  // A token permits one datagram.
  TimePoint refilled_at_;
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_SEND_BUDGET_H_
