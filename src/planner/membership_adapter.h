// Joins membership to the planner: its datagrams and log lines become actions, and a change of the view is
// passed on.
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
  // Called when members came, went or changed their state, before the log lines about it.
  using ViewCallback = std::function<void()>;

  // `actions`: the list that the planner is filling; outlives this.
  MembershipAdapter(const PlannerOptions& options, std::uint64_t seed, TimePoint now,
                    std::vector<Action>& actions, ViewCallback on_view_changed);

  void SetLimits(const membership::Limits& limits) { membership_.SetLimits(limits); }

  // See membership::Membership for these.
  bool Received(membership::PeerId from, std::string_view bytes, TimePoint now);
  void Leave(TimePoint now);
  void Tick(TimePoint now);
  [[nodiscard]] TimePoint NextTick() const { return membership_.NextTick(); }

  // This gateway's position among those that live.
  [[nodiscard]] subsetting::RingPosition RingPosition() const;
  // How many gateways live, this one included.
  [[nodiscard]] int LiveCount() { return static_cast<int>(membership_.living()); }

  [[nodiscard]] const membership::Membership& membership() const { return membership_; }

 private:
  void Publish();
  void LogChange(const membership::Change& change);

  membership::Membership membership_;
  std::vector<Action>& actions_;
  ViewCallback on_view_changed_;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_MEMBERSHIP_ADAPTER_H_
