// One gateway's view of which gateways of its group are live: SWIM with the local health of Lifeguard and
// anti-entropy between differing views. Free of I/O and clock: datagrams and time are handed in, datagrams to
// be sent are taken out. Design: docs/fleet-view-design.md.
//
// Promises, in protocol periods (Limits::period), with Limits::suspicion at three of them; bench/fleet
// verifies the numbers.
//  1. Convergence: after the last fault all live members that reach one another have the same view within 10
//     at 16 members, within 25 at 500 (99th percentile, 10 % datagram loss).
//  2. Detection: a killed member is out of every view within 8; of 70 % killed at once all are within 20 (16
//     members, no loss).
//  3. No false death: none at 10 % datagram loss; a member that is suspended for less than `suspicion` is not
//     declared dead; a member that is isolated, or whose timer is late, declares nobody dead.
//  4. Partitions: each side converges by itself, and both do together after the partition has healed, however
//     long it took. An isolated member keeps the others as suspects, since it cannot tell whose the fault is.
//  5. Incarnations: a process that is started later under the same name replaces the earlier one, whose
//     datagrams have no effect any more. Two live processes under one name are counted in
//     Counts::name_conflicts and logged.
//  6. Joins and leaves: a member that knows the address of one live member learns of all; addresses that do
//     not reply are retried for ever. A leave is known within 2.
//  7. Bounds: kMaxMembers members (some 200 bytes each), Limits::datagram bytes a datagram,
//     Limits::datagrams_per_second in all, with a reserve for probes that neither a flood of requests nor
//     gossip can use up.
//  8. Bad input: a datagram that is unreadable, of another group, of a later version or of a former
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

  // `seeds`: addresses to be contacted; the own one is left out. `seed`: of the random numbers.
  Membership(const Self& self, std::vector<PeerId> seeds, const Limits& limits, std::uint64_t seed,
             TimePoint now, DisabledDefense disabled = DisabledDefense::kNothing);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // A datagram has come from this address. False: it is another subsystem's, and was ignored.
  bool Received(PeerId from, std::string_view bytes, TimePoint now);
  // To be called at NextTick; earlier calls do nothing.
  void Tick(TimePoint now);
  [[nodiscard]] TimePoint NextTick() const { return next_tick_; }
  // Graceful shutdown: announces the leave and detects failures no more, but goes on replying.
  void Leave(TimePoint now);
  // Applies a changed configuration, except for the group's name, seeds and listen.
  void SetLimits(const Limits& limits);

  // Datagrams to be sent, changes, and lines for the log since the last call.
  std::vector<Datagram> TakeDatagrams() { return sender_.TakeDatagrams(); }
  std::vector<Change> TakeChanges() { return events_.TakeChanges(); }
  std::vector<std::string> TakeLogLines() { return events_.TakeLines(); }

  [[nodiscard]] View view() const { return table_.Snapshot(); }
  [[nodiscard]] std::uint64_t epoch() const { return context_.counts.view_changes; }
  [[nodiscard]] std::uint64_t hash() const { return table_.hash(); }
  // Live members, the local one included.
  std::size_t living() { return table_.Live().size() + 1; }
  // PeerIds are addresses rather than ranks.
  [[nodiscard]] bool by_address() const { return !context_.limits.listen.empty(); }
  // What is known of another member at this address: of the latest incarnation, if several were there.
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
  void NotifySubject(MemberRecord& record, PeerId at, TimePoint now);
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
  int tick_ = 0;  // of the period
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_MEMBERSHIP_H_
