#include "membership/requests.h"

#include <algorithm>
#include <utility>

namespace postspread::membership {
namespace {

constexpr int kRequestTimeoutPeriods = 2;
constexpr std::size_t kMaxRelays = 64;
// A member counts as isolated after this time and at least this many requests without a reply.
constexpr int kIsolationPeriods = 2;
constexpr int kIsolationRequests = 3;

bool IsExchange(Purpose purpose) { return purpose == Purpose::kSync || purpose == Purpose::kContact; }

// Returns whether the lack of a reply is a sign of a local fault. A contact or relay may target an unused
// address.
bool ExpectsReply(Purpose purpose) { return purpose != Purpose::kContact && purpose != Purpose::kRelay; }

Priority PriorityOf(Purpose purpose) {
  switch (purpose) {
    case Purpose::kProbe:
    case Purpose::kIndirectProbe:
      return Priority::kProbe;
    case Purpose::kConfirmation:
    case Purpose::kContact:
      return Priority::kConfirmation;
    case Purpose::kSync:
      return Priority::kGossip;
    case Purpose::kRelay:
      break;
  }
  return Priority::kReply;
}

}  // namespace

Requests::Requests(Context& context, MemberTable& table, ViewSync& sync, DatagramSender& sender,
                   TimePoint now)
    : context_(context),
      table_(table),
      sync_(sync),
      sender_(sender),
      next_number_(context.random() >> 24),
      last_reply_at_(now) {}

bool Requests::Ping(Purpose purpose, const MemberRecord& subject, TimePoint now) {
  return SendPing({.purpose = purpose, .subject = subject.name, .to = subject.peer}, &subject, now);
}

void Requests::Contact(PeerId to, const MemberRecord* subject, TimePoint now) {
  std::string name = subject != nullptr ? subject->name : std::string();
  SendPing({.purpose = Purpose::kContact, .subject = std::move(name), .to = to}, subject, now);
}

void Requests::Relay(const Entry& target, const RelayOrigin& origin, TimePoint now) {
  if (Relays() >= kMaxRelays || target.name == table_.self().name) return;
  const MemberRecord* known = table_.Find(target.name);
  const PeerId to = known != nullptr ? known->peer : target.peer;
  SendPing({.purpose = Purpose::kRelay, .subject = target.name, .to = to, .origin = origin}, known, now);
}

bool Requests::SendPing(const Request& request, const MemberRecord* subject, TimePoint now) {
  Draft draft{.number = next_number_, .subject = subject};
  if (IsExchange(request.purpose)) {
    draft.body = Exchange{sync_.ReceivePosition(next_number_), table_.bucket_hashes()};
  }
  if (sync_.DifferedRecently(now)) draft.sync = SyncRange{sync_.send_position()};
  if (!sender_.Send(request.to, PriorityOf(request.purpose), draft)) return false;
  Request& pending = pending_.emplace(next_number_, request).first->second;
  pending.number = next_number_;
  pending.sent_at = now;
  ++next_number_;
  if (ExpectsReply(request.purpose)) ++unanswered_;
  return true;
}

void Requests::ProbeIndirectly(const MemberRecord& member, std::size_t count, TimePoint now) {
  if (!context_.HasDefense(DisabledDefense::kIndirectProbes)) return;
  const Entry target{member.name, member.peer, member.update, EntryKind::kSync};
  const Priority priority = member.suspicion.active ? Priority::kConfirmation : Priority::kProbe;
  for (const MemberRecord* relay : table_.Sample(count, member.name)) {
    if (!sender_.Send(relay->peer, priority, {.body = PingRequest{target}, .number = next_number_})) return;
    pending_.emplace(next_number_, Request{.number = next_number_,
                                           .purpose = Purpose::kIndirectProbe,
                                           .subject = member.name,
                                           .to = relay->peer,
                                           .sent_at = now});
    ++next_number_;
    ++unanswered_;
  }
}

std::optional<Request> Requests::Match(std::uint64_t number, PeerId from, TimePoint now) {
  const auto found = pending_.find(number);
  if (found == pending_.end() ||
      (found->second.purpose != Purpose::kIndirectProbe && found->second.to != from)) {
    ++context_.counts.unsolicited;
    return std::nullopt;
  }
  Request request = std::move(found->second);
  pending_.erase(found);
  last_reply_at_ = now;
  unanswered_ = 0;
  return request;
}

void Requests::Expire(TimePoint now) {
  for (auto at = pending_.begin(); at != pending_.end();) {
    const Request& request = at->second;
    const bool is_relay = request.purpose == Purpose::kRelay;
    const Duration timeout = is_relay ? context_.TickInterval() : kRequestTimeoutPeriods * context_.Period();
    if (now - request.sent_at < timeout) {
      ++at;
      continue;
    }
    if (is_relay) {
      sender_.Send(request.origin.peer, Priority::kReply, {.body = Nack{}, .number = request.origin.number});
    }
    at = pending_.erase(at);
  }
}

void Requests::Postpone(Duration late) {
  last_reply_at_ += late;
  for (auto& [number, request] : pending_) request.sent_at += late;
}

bool Requests::IsIsolated(TimePoint now) const {
  return unanswered_ >= kIsolationRequests && now - last_reply_at_ > kIsolationPeriods * context_.Period();
}

std::size_t Requests::Relays() const {
  return static_cast<std::size_t>(std::count_if(pending_.begin(), pending_.end(), [](const auto& entry) {
    return entry.second.purpose == Purpose::kRelay;
  }));
}

}  // namespace postspread::membership
