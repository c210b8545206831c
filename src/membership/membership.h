// Membership maintains one gateway's view of which gateways of its group are live. The protocol is SWIM with
// the local health of Lifeguard and anti-entropy between differing views. The class does no I/O and reads no
// clock: the caller passes in datagrams and the time, and takes the datagrams to be sent. The specification
// is docs/membership-design.md.
//
// It guarantees the following. Times are in protocol periods (Limits::period), with Limits::suspicion at
// three periods; bench/fleet verifies the values.
//  1. Convergence: after the last fault all live members that can reach one another have the same view within
//     10 periods at 16 members, within 25 at 500 (99th percentile, 10 % datagram loss).
//  2. Detection: a killed member is removed from every view within 8 periods; if 70 % are killed at once,
//     all are removed within 20 (16 members, no loss).
//  3. No false death: there is none at 10 % datagram loss; a member that is suspended for less than
//     `suspicion` is not declared dead; a member that is isolated, or whose timer is late,
//     declares no other member dead.
//  4. Partitions: each side converges by itself, and both converge to one view after the partition has
//     healed, however long it lasted. An isolated member retains the others as suspects, since it cannot
//     tell which side is at fault.
//  5. Incarnations: a process that is started later under the same name replaces the earlier one, whose
//     datagrams then have no effect. Two live processes under one name are counted in Counts::name_conflicts
//     and logged.
//  6. Joins and leaves: a member that knows the address of one live member learns of all; addresses that do
//     not reply are retried forever. A leave is known to all members within 2 periods.
//  7. Bounds: there are at most kMaxMembers members (some 200 bytes each), Limits::datagram bytes in a
//     datagram and Limits::datagrams_per_second in total, with a reserve for probes that neither a flood of
//     requests nor gossip can exhaust.
//  8. Invalid input: a datagram that is unreadable, of another group, of a later version or of a former
//     incarnation is counted and changes nothing.
#ifndef POSTSPREAD_MEMBERSHIP_MEMBERSHIP_H_
#define POSTSPREAD_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/context.h"
#include "membership/datagram_sender.h"
#include "membership/event_log.h"
#include "membership/failure_detector.h"
#include "membership/gossip_queue.h"
#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/messages.h"
#include "membership/requests.h"
#include "membership/send_budget.h"
#include "membership/types.h"
#include "membership/unoccupied_peers.h"
#include "membership/update_merger.h"
#include "membership/view_sync.h"

namespace postspread::membership {

class Membership {
 public:
  using Self = membership::Self;
  using Datagram = membership::Datagram;

  // `seeds` are addresses to contact, of which the local member's own is ignored. `seed` initializes the
  // random number generator.
  Membership(const Self& self, std::vector<PeerId> seeds, const Limits& limits, std::uint64_t seed,
             TimePoint now, DisabledDefense disabled = DisabledDefense::kNothing);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Handles a datagram from this address. Returns false, and does nothing, if it belongs to another
  // subsystem.
  bool HandleDatagram(PeerId from, std::string_view bytes, TimePoint now);
  // Runs the timers. The caller calls it at NextTick; earlier calls do nothing.
  void Tick(TimePoint now);
  [[nodiscard]] TimePoint NextTick() const { return next_tick_; }
  // Announces the leave, for a graceful shutdown. The member then detects no failures but still replies.
  void Leave(TimePoint now);
  // Applies a reloaded configuration, except for `name`, `seeds` and `listen`, which keep their values.
  void SetLimits(const Limits& limits);

  // Each of these returns what has accumulated since its last call. The caller sends the datagrams.
  std::vector<Datagram> TakeDatagrams() { return sender_.TakeDatagrams(); }
  std::vector<Change> TakeChanges() { return events_.TakeChanges(); }
  std::vector<std::string> TakeLogLines() { return events_.TakeLines(); }

  [[nodiscard]] View view() const { return table_.Snapshot(); }
  [[nodiscard]] std::uint64_t epoch() const { return context_.counts.view_changes; }
  [[nodiscard]] std::uint64_t hash() const { return table_.hash(); }
  // Returns the number of live members, including the local one.
  std::size_t live_count() { return table_.Live().size() + 1; }
  // Returns whether PeerIds are IPv4 addresses and ports rather than ranks.
  [[nodiscard]] bool by_address() const { return !context_.limits.listen.empty(); }
  // Returns the update of another member at this address, of the latest incarnation if there were several.
  [[nodiscard]] std::optional<MemberUpdate> At(PeerId peer) const { return table_.At(peer); }
  [[nodiscard]] std::uint64_t incarnation() const { return table_.self().update.incarnation; }
  [[nodiscard]] const std::string& name() const { return table_.self().name; }
  [[nodiscard]] const Counts& counts() const { return context_.counts; }

 private:
  struct Incoming {
    PeerId from = 0;
    const Message& message;
    bool views_differ = false;
    TimePoint now{0};
  };

  void CountReadError(ReadError error);
  void Handle(const Ping& ping, const Incoming& incoming);
  void Handle(const Exchange& exchange, const Incoming& incoming);
  void Handle(const Ack& ack, const Incoming& incoming);
  void Handle(const Nack& nack, const Incoming& incoming);
  void Handle(const PingRequest& request, const Incoming& incoming);
  void Handle(const Gossip& gossip, const Incoming& incoming);
  void Reply(Priority priority, SyncRange range, const Incoming& incoming);
  void NotifySubject(MemberRecord& record, PeerId address, TimePoint now);
  [[nodiscard]] bool IsFromSubject(const Request& request, const Message& reply);
  void Disseminate(TimePoint now);
  void ContactUnoccupiedPeer(TimePoint now);
  void ScheduleNextTick(TimePoint now);

  Context context_;
  MemberTable table_;
  UnoccupiedPeers unoccupied_;
  GossipQueue gossip_;
  ViewSync sync_;
  SendBudget budget_;
  DatagramSender sender_;
  Requests requests_;
  LocalHealth health_;
  EventLog events_;
  UpdateMerger merger_;
  FailureDetector detector_;
  TimePoint next_tick_;
  int tick_ = 0;  // the tick within the period, from 0 to kTicksPerPeriod - 1
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_MEMBERSHIP_H_
