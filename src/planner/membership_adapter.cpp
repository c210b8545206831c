#include "planner/membership_adapter.h"

#include <chrono>
#include <string>
#include <utility>

namespace postspread::planner {
namespace {

membership::Membership::Self ToSelf(const PlannerOptions& options, TimePoint now) {
  const auto incarnation = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return {options.name, options.peer, static_cast<std::uint64_t>(incarnation), options.may_have_successor};
}

}  // namespace

MembershipAdapter::MembershipAdapter(const PlannerOptions& options, std::uint64_t seed, TimePoint now,
                                     std::vector<Action>& actions, ViewCallback on_view_changed)
    : membership_(ToSelf(options, now), options.seeds, options.membership, seed, now, options.disabled),
      actions_(actions),
      on_view_changed_(std::move(on_view_changed)) {}

bool MembershipAdapter::HandleDatagram(membership::PeerId from, std::string_view bytes, TimePoint now) {
  if (!membership_.HandleDatagram(from, bytes, now)) return false;
  EmitActions();
  return true;
}

void MembershipAdapter::Leave(TimePoint now) {
  membership_.Leave(now);
  EmitActions();
}

void MembershipAdapter::Tick(TimePoint now) {
  membership_.Tick(now);
  EmitActions();
}

subsetting::RingPosition MembershipAdapter::RingPosition() const {
  std::vector<std::string> live;
  for (const membership::Member& member : membership_.view().members) {
    if (membership::IsLive(member.update.state)) live.push_back(member.name);
  }
  return subsetting::RingPositionOf(membership_.name(), live);
}

void MembershipAdapter::EmitActions() {
  for (membership::Membership::Datagram& datagram : membership_.TakeDatagrams()) {
    actions_.emplace_back(SendMembershipDatagram{datagram.to, std::move(datagram.bytes)});
  }
  const std::vector<membership::Change> changes = membership_.TakeChanges();
  if (!changes.empty()) on_view_changed_();
  for (const membership::Change& change : changes) LogChange(change);
  for (std::string& line : membership_.TakeLogLines()) {
    actions_.emplace_back(LogEvent{"membership: " + std::move(line)});
  }
}

void MembershipAdapter::LogChange(const membership::Change& change) {
  std::string line = "membership: " + change.name + " is " + std::string(Name(change.to));
  if (!change.is_new) line += ", was " + std::string(Name(change.from));
  line += change.by_self ? ", observed here" : ", by gossip";
  actions_.emplace_back(LogEvent{line + ", incarnation " + std::to_string(change.incarnation)});
}

}  // namespace postspread::planner
