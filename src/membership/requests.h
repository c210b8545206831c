// Requests tracks the requests to other members that await a reply. From the replies, or the lack of any, it
// derives whether the local member itself is isolated. The Membership owns it.
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
  kProbe,          // A health check of the period's target.
  kConfirmation,   // A health check of a suspect.
  kIndirectProbe,  // A PingRequest to another member.
  kContact,        // An Exchange with any member that may be at an address.
  kSync,           // An Exchange because views differ.
  kRelay,          // A health check on behalf of another member.
};

// The sender of a PingRequest that is relayed, and its request number.
struct RelayOrigin {
  PeerId peer = 0;
  std::uint64_t number = 0;
};

struct Request {
  std::uint64_t number = 0;
  Purpose purpose = Purpose::kProbe;
  std::string subject{};  // the probed member's name; empty: unknown
  PeerId to = 0;
  TimePoint sent_at{0};
  RelayOrigin origin{};  // set for kRelay only
};

class Requests {
 public:
  Requests(Context& context, MemberTable& table, ViewSync& sync, DatagramSender& sender, TimePoint now);

  // Sends `subject`, the member that should reply, a Ping, or an Exchange for kContact and kSync. Returns
  // whether it was sent.
  bool Ping(Purpose purpose, const MemberRecord& subject, TimePoint now);
  // Sends an Exchange to an address at which no live member is known. The Exchange holds the entry of
  // `subject`, if not nullptr.
  void Contact(PeerId to, const MemberRecord* subject, TimePoint now);
  // Requests that up to `count` random members ping this one, since only the path between it and the local
  // member may be at fault.
  void ProbeIndirectly(const MemberRecord& member, std::size_t count, TimePoint now);
  // Pings the target of a PingRequest on behalf of its origin.
  void Relay(const Entry& target, const RelayOrigin& origin, TimePoint now);

  // Removes and returns the request to which this reply belongs. A reply without a request is counted.
  std::optional<Request> Match(std::uint64_t number, PeerId from, TimePoint now);
  // Drops requests whose timeout has elapsed, and sends a Nack to the origin of each relayed one.
  void Expire(TimePoint now);
  // Moves all deadlines by `late`, for which the local member was not running.
  void Postpone(Duration late);

  // Returns whether several requests in a row have had no reply for some periods. Then the fault is more
  // likely the local member's than that of all others.
  [[nodiscard]] bool IsIsolated(TimePoint now) const;
  [[nodiscard]] bool IsRelaying() const { return Relays() > 0; }

 private:
  bool SendPing(const Request& request, const MemberRecord* subject, TimePoint now);
  [[nodiscard]] std::size_t Relays() const;

  Context& context_;
  MemberTable& table_;
  ViewSync& sync_;
  DatagramSender& sender_;
  std::map<std::uint64_t, Request> pending_;  // The key is the request's number.
  std::uint64_t next_number_;
  TimePoint last_reply_at_;
  int unanswered_ = 0;  // the requests sent since the last reply
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_REQUESTS_H_
