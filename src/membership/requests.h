// Requests to other members that await a reply, and what their replies, or the lack of any, say of the local
// member's own connectivity.
#ifndef POSTSPREAD_MEMBERSHIP_REQUESTS_H_
#define POSTSPREAD_MEMBERSHIP_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "membership/context.h"
#include "membership/datagram_sender.h"
#include "membership/member_table.h"
#include "membership/messages.h"
#include "membership/view_sync.h"

namespace postspread::membership {

enum class Purpose : std::uint8_t {
  kProbe,          // this period's health check
  kConfirmation,   // a health check of a suspect
  kIndirectProbe,  // a PingRequest
  kContact,        // whoever may be at an address
  kSync,           // an exchange because views differ
  kRelay,          // a health check on behalf of another member
};

// Where a relayed PingRequest came from.
struct RelayOrigin {
  PeerId peer = 0;
  std::uint64_t number = 0;
};

struct Request {
  std::uint64_t number = 0;
  Purpose purpose = Purpose::kProbe;
  std::string subject{};  // name of the member that is probed; empty: unknown
  PeerId to = 0;
  TimePoint sent_at{0};
  RelayOrigin origin{};  // kRelay
};

class Requests {
 public:
  Requests(Context& context, MemberTable& table, ViewSync& sync, DatagramSender& sender, TimePoint now);

  // Sends a Ping, or an Exchange for kContact and kSync. `subject`: the member that is expected to reply.
  // False: not sent.
  bool Ping(Purpose purpose, const MemberRecord& subject, TimePoint now);
  // To an address at which no live member is known, telling it about `subject` if that is not nullptr.
  void Contact(PeerId to, const MemberRecord* subject, TimePoint now);
  // Asks up to `count` random members to ping this one: the path between it and the local member may be what
  // is broken.
  void ProbeIndirectly(const MemberRecord& member, std::size_t count, TimePoint now);
  // Carries out a PingRequest.
  void Relay(const Entry& target, const RelayOrigin& origin, TimePoint now);

  // Takes the request that this reply answers; nothing: it answers none, and is counted as such.
  std::optional<Request> Match(std::uint64_t number, PeerId from, TimePoint now);
  // Drops requests that were not answered, with a Nack for each that was relayed.
  void Expire(TimePoint now);
  // The local member was not running for `late`: deadlines are moved by as much.
  void Postpone(Duration late);

  // No request has been answered of late: the fault is more likely this member's than all others'.
  [[nodiscard]] bool IsIsolated(TimePoint now) const;
  [[nodiscard]] bool IsRelaying() const { return Relays() > 0; }

 private:
  bool SendPing(const Request& request, const MemberRecord* subject, TimePoint now);
  [[nodiscard]] std::size_t Relays() const;

  Context& context_;
  MemberTable& table_;
  ViewSync& sync_;
  DatagramSender& sender_;
  std::map<std::uint64_t, Request> pending_;  // by number
  std::uint64_t next_number_;
  TimePoint last_reply_at_;
  int unanswered_ = 0;  // requests since then
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_REQUESTS_H_
