// Connects membership to the planner: turns its datagrams and log lines into actions, and reports changes of
// the membership view.
#ifndef POSTSPREAD_PLANNER_MEMBERSHIP_ADAPTER_H_
#define POSTSPREAD_PLANNER_MEMBERSHIP_ADAPTER_H_

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "membership/membership.h"
#include "planner/options.h"
#include "planner/types.h"
#include "postspread/control.h"
#include "subsetting/subset.h"

namespace postspread::planner {

class MembershipAdapter {
 public:
  // This callback runs after members were added, removed or changed their state, before the log lines about
  // it.
  using ViewCallback = std::function<void()>;

  // The adapter appends to `actions`, the result of the planner's current call, which must outlive it.
  MembershipAdapter(const PlannerOptions& options, std::uint64_t seed, TimePoint now,
                    std::vector<Action>& actions, ViewCallback on_view_changed);

  void SetLimits(const membership::Limits& limits) { membership_.SetLimits(limits); }

  // These call their counterparts in membership::Membership, and append the resulting actions. HandleDatagram
  // returns false, and does nothing, if the datagram belongs to another subsystem.
  bool HandleDatagram(membership::PeerId from, std::string_view bytes, TimePoint now);
  void Leave(TimePoint now);
  void Tick(TimePoint now);
  [[nodiscard]] TimePoint NextTick() const { return membership_.NextTick(); }

  // Returns this gateway's position among the live gateways.
  [[nodiscard]] subsetting::RingPosition RingPosition() const;
  // Returns the number of live gateways, including this one.
  [[nodiscard]] int LiveCount() { return static_cast<int>(membership_.live_count()); }

  [[nodiscard]] const membership::Membership& membership() const { return membership_; }

 private:
  void EmitActions();
  void LogChange(const membership::Change& change);

  membership::Membership membership_;
  std::vector<Action>& actions_;
  ViewCallback on_view_changed_;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_MEMBERSHIP_ADAPTER_H_
