#include "membership/membership.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace postspread::membership {
namespace {

// All members together contact each unoccupied address this often in a period.
constexpr std::size_t kContactsPerPeriod = 3;
constexpr std::size_t kSyncsPerTick = 2;
constexpr std::size_t kGossipFanout = 2;  // members per tick
constexpr std::size_t kLeaveFanout = 8;   // members

}  // namespace

Membership::Membership(const Self& self, std::vector<PeerId> seeds, const Limits& limits, std::uint64_t seed,
                       TimePoint now, DisabledDefense disabled)
    : context_{.limits = limits, .disabled = disabled, .random = std::mt19937_64(seed)},
      table_(context_, self, now),
      unoccupied_(table_, std::move(seeds)),
      gossip_(context_, table_),
      sync_(context_, table_),
      budget_(context_, now),
      sender_(context_, table_, gossip_, sync_, budget_),
      requests_(context_, table_, sync_, sender_, now),
      health_(context_),
      merger_(context_, table_, gossip_, unoccupied_, health_, events_,
              self.may_have_successor ? Succession::kAllowed : Succession::kForbidden),
      detector_(context_, table_, requests_, merger_, health_, events_),
      // The random phase separates the ticks of members that were started at the same moment.
      next_tick_(now +
                 Duration(context_.RandomBelow(static_cast<std::size_t>(context_.TickInterval().count())))) {
  gossip_.Enqueue(table_.self());
}

void Membership::SetLimits(const Limits& limits) {
  const Limits before = std::exchange(context_.limits, limits);
  context_.limits.name = before.name;
  context_.limits.seeds = before.seeds;
  context_.limits.listen = before.listen;
}

// ---- Incoming datagrams ----

bool Membership::HandleDatagram(PeerId from, std::string_view bytes, TimePoint now) {
  Message message;
  const ReadError error = Read(bytes, sender_.group(), message);
  if (error == ReadError::kOtherSubsystem) return false;
  ++context_.counts.received;
  if (error != ReadError::kNone) {
    CountReadError(error);
    return true;
  }
  budget_.Refill(now);
  if (table_.superseded()) return true;
  MemberRecord* known = table_.Find(message.sender.name);
  const bool is_former = context_.HasDefense(DisabledDefense::kIncarnations) && known != nullptr &&
                         message.sender.update.incarnation < known->update.incarnation;
  if (is_former && from == known->peer) {
    ++context_.counts.former_incarnation;
    // The sender may have been restarted on a clock that was set back. The notice lets it choose a later
    // incarnation.
    NotifySubject(*known, from, now);
    return true;
  }
  merger_.Apply(message.sender, from, now);
  for (const Entry& entry : message.entries) merger_.Apply(entry, std::nullopt, now);
  const Incoming incoming{from, message, sync_.OnViewHash(message.view_hash, now), now};
  std::visit([&](const auto& body) { Handle(body, incoming); }, message.body);
  // A live member that is considered dead is notified at once, since only it can refute its death.
  MemberRecord* sender = table_.Find(message.sender.name);
  const bool is_considered_dead = sender != nullptr && sender->update.state == State::kDead;
  if (is_considered_dead && !is_former) NotifySubject(*sender, from, now);
  return true;
}

void Membership::CountReadError(ReadError error) {
  switch (error) {
    case ReadError::kNone:
    case ReadError::kOtherSubsystem:
      break;
    case ReadError::kUnreadable:
      ++context_.counts.unreadable;
      break;
    case ReadError::kForeignGroup:
      ++context_.counts.foreign;
      break;
    case ReadError::kLaterVersion:
      ++context_.counts.future;
      break;
  }
}

// Sends the known update of a member to the address of its last datagram, at most once per tick.
void Membership::NotifySubject(MemberRecord& record, PeerId address, TimePoint now) {
  if (now - record.notified_at < context_.TickInterval()) return;
  record.notified_at = now;
  requests_.Contact(address, &record, now);
}

void Membership::Handle(const Ping& /*ping*/, const Incoming& incoming) {
  Reply(Priority::kReply, {.from = sync_.send_position()}, incoming);
}

void Membership::Handle(const Exchange& exchange, const Incoming& incoming) {
  Reply(Priority::kConfirmation, {.from = exchange.from, .remote_buckets = &exchange.buckets}, incoming);
}

void Membership::Reply(Priority priority, SyncRange range, const Incoming& incoming) {
  Draft draft{.body = Ack{}, .number = incoming.message.number};
  // If the known update takes precedence over the sender's own, its entry comes first so that the sender can
  // refute it.
  const Entry& sender = incoming.message.sender;
  const MemberRecord* known = table_.Find(sender.name);
  if (known != nullptr && known->update > sender.update) draft.subject = known;
  if (incoming.views_differ || sync_.DifferedRecently(incoming.now)) draft.sync = range;
  sender_.Send(incoming.from, priority, draft);
}

void Membership::Handle(const PingRequest& request, const Incoming& incoming) {
  requests_.Relay(request.target, {incoming.from, incoming.message.number}, incoming.now);
}

void Membership::Handle(const Ack& /*ack*/, const Incoming& incoming) {
  const Message& reply = incoming.message;
  const std::optional<Request> request = requests_.Match(reply.number, incoming.from, incoming.now);
  if (!request) return;
  const bool is_exchange = request->purpose == Purpose::kSync || request->purpose == Purpose::kContact;
  if (is_exchange && reply.entries.size() > 1) {
    sync_.OnExchanged(request->number, reply.entries.back().name);
  }
  if (!IsFromSubject(*request, reply)) return;
  if (request->purpose == Purpose::kRelay) {
    const Draft draft{
        .body = Ack{}, .number = request->origin.number, .subject = table_.Find(request->subject)};
    sender_.Send(request->origin.peer, Priority::kReply, draft);
    return;
  }
  detector_.OnAlive(*request, incoming.now);
}

// Returns whether the subject of the request has replied, rather than another process that now has its
// address.
bool Membership::IsFromSubject(const Request& request, const Message& reply) {
  if (request.purpose == Purpose::kIndirectProbe) return true;
  if (reply.sender.name != request.subject) return false;
  const MemberRecord* known = table_.Find(request.subject);
  return known == nullptr || reply.sender.update.incarnation >= known->update.incarnation;
}

void Membership::Handle(const Nack& /*nack*/, const Incoming& incoming) {
  const std::optional<Request> request =
      requests_.Match(incoming.message.number, incoming.from, incoming.now);
  if (request) detector_.OnNack(*request);
}

void Membership::Handle(const Gossip& /*gossip*/, const Incoming& /*incoming*/) {}

// ---- Timer ----

void Membership::Tick(TimePoint now) {
  if (now < next_tick_) return;
  budget_.Refill(now);
  table_.RefreshCaches();
  // A late tick means that the local member was suspended, so the lack of replies is no fault of other
  // members.
  const Duration late = now - next_tick_;
  if (late > context_.TickInterval() && context_.HasDefense(DisabledDefense::kLocalHealth)) {
    requests_.Postpone(late);
    detector_.Postpone(late);
  }
  if (tick_ == 0) {
    merger_.Expire(now);
    table_.RefreshCaches();
    if (table_.detects_failures()) {
      if (context_.HasDefense(DisabledDefense::kReconnect) || table_.Live().empty())
        ContactUnoccupiedPeer(now);
      detector_.StartPeriod(now);
    }
  }
  detector_.CheckProbes(now);
  if (table_.detects_failures()) detector_.ConfirmSuspects(now);
  Disseminate(now);
  requests_.Expire(now);
  ScheduleNextTick(now);
}

void Membership::Disseminate(TimePoint now) {
  const bool detects = table_.detects_failures();
  if (detects && sync_.IsSyncing(now)) {
    // Gossip is piggybacked on exchanges, too.
    for (const MemberRecord* member : table_.Sample(kSyncsPerTick)) {
      requests_.Ping(Purpose::kSync, *member, now);
    }
  } else if (!gossip_.empty()) {
    for (const MemberRecord* member : table_.Sample(kGossipFanout)) {
      Draft draft{.body = Gossip{}};
      if (sync_.DifferedRecently(now)) draft.sync = SyncRange{sync_.send_position()};
      sender_.Send(member->peer, Priority::kGossip, draft);
    }
  }
  // While no other live member is known, an unoccupied address is contacted in each tick.
  if (detects && table_.Live().empty() && tick_ != 0) ContactUnoccupiedPeer(now);
}

// Contacts a random unoccupied address with such a probability that all members together contact each address
// kContactsPerPeriod times in a period.
void Membership::ContactUnoccupiedPeer(TimePoint now) {
  const std::vector<PeerId>& peers = unoccupied_.Addresses();
  if (peers.empty()) return;
  if (context_.RandomBelow(table_.Live().size() + 1) >= kContactsPerPeriod * peers.size()) return;
  requests_.Contact(peers[context_.RandomBelow(peers.size())], nullptr, now);
}

void Membership::ScheduleNextTick(TimePoint now) {
  tick_ = (tick_ + 1) % kTicksPerPeriod;
  next_tick_ = now + context_.TickInterval();
  const bool is_idle = gossip_.empty() && detector_.IsIdle() && !sync_.IsSyncing(now) &&
                       !table_.Live().empty() && !requests_.IsRelaying();
  if (!is_idle || tick_ == 0) return;
  // An idle member skips the ticks until the next period.
  next_tick_ = now + (kTicksPerPeriod - tick_ + 1) * context_.TickInterval();
  tick_ = 0;
}

void Membership::Leave(TimePoint now) {
  if (table_.has_left()) return;
  merger_.Leave(now);
  budget_.Refill(now);
  for (const MemberRecord* member : table_.Sample(kLeaveFanout)) {
    sender_.Send(member->peer, Priority::kProbe, {.body = Gossip{}});
  }
  next_tick_ = std::min(next_tick_, now + context_.TickInterval());
}

}  // namespace postspread::membership
