#include "membership/membership.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace postspread::membership {
namespace {

using std::chrono::milliseconds;

constexpr int kHelpAfterBeats = 2;  // without an answer others are asked to ask
constexpr int kFailAfterBeats = 4;  // and then the member is suspected
constexpr std::size_t kLooks = 3;
constexpr std::size_t kSyncsABeat = 2;  // exchanges with others while views differ
constexpr std::size_t kHelpers = 3;
constexpr std::size_t kProbesInTrouble = 3;  // a period, for a while after a suspicion: faults come together
constexpr int kTroublePeriods = 3;
constexpr int kKnockBeats = 1;           // between two knocks at one member
constexpr int kLeastKnocks = 5;          // in vain, before a death: the budget may have kept some back
constexpr std::size_t kKnocksABeat = 2;  // so that many suspects do not use up the budget
constexpr std::size_t kToldABeat = 2;    // members told of what is new
constexpr std::size_t kToldAtLeave = 8;
constexpr double kToldFactor = 1.2;  // times log2 of the members: how often a word is told by each
constexpr int kToldOfFill = 2;
constexpr std::size_t kRecent = 4;       // words that changed last go first where views differ
constexpr std::size_t kMaxUpdates = 24;  // in a datagram of 256 bytes are some 15; more are not sorted for
constexpr int kMostHealth = 2;           // suspicions take up to three times as long
constexpr int kDeafPeriods = 2;
constexpr int kDeafAsks = 3;
constexpr int kAsksLive = 2;  // periods after which an answer is none any more
constexpr std::size_t kMaxRelays = 64;
constexpr int kFallsFree = 2;  // deaths denied before the next suspicion takes longer
constexpr int kMostFalls = 5;
constexpr int kFallPeriods = 60;  // after which one is forgiven
constexpr int kUnsettledPeriods = 3;
constexpr std::size_t kDiffered = 8;  // pairs of hashes remembered, so that a lasting difference is quiet
// Of the datagrams that may be sent, what must be left for those that go before them.
constexpr double kLeft[] = {0, 0.15, 0.3, 0.5};             // by Rank
constexpr milliseconds kFutureIncarnation{24 * 3'600'000};  // clocks of one fleet do not differ by more
constexpr std::uint32_t kMaxRefutations = (1U << 30) - 1;
constexpr milliseconds kNoteEvery{10'000};

std::uint16_t Spot(std::uint64_t digest) { return static_cast<std::uint16_t>(digest >> 48); }

}  // namespace

Membership::Membership(Self self, std::vector<PeerId> seeds, const Limits& limits, std::uint64_t seed,
                       TimePoint now, DisabledDefense disabled)
    : self_(std::move(self)),
      seeds_(std::move(seeds)),
      limits_(limits),
      without_(disabled),
      random_(seed),
      fleet_(DigestGroup(limits.name)),
      tokens_(limits.datagrams_per_second),
      filled_(now) {
  std::erase(seeds_, self_.peer);
  own_.name = self_.name;
  own_.digest = DigestMember(self_.name, 0);
  own_.peer = self_.peer;
  own_.since = now;
  next_number_ = random_() >> 24;
  last_answer_ = now;
  // Apart from the others that were started at the same moment.
  next_beat_ =
      now + Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(Beat().count())));
  by_digest_.push_back(&own_);
  TellOfSelf();
  Count(PartOf(own_.digest), 0, Share(own_));
}

void Membership::SetLimits(const Limits& limits) {
  const Limits before = std::exchange(limits_, limits);
  // What the datagrams and places go by stays as it was at the start.
  limits_.name = before.name;
  limits_.seeds = before.seeds;
  limits_.listen = before.listen;
}

// ---- What is sent, within the budget ----

void Membership::Refill(TimePoint now) {
  if (now <= filled_) return;
  const double seconds = std::chrono::duration<double>(now - filled_).count();
  tokens_ = std::min(limits_.datagrams_per_second, tokens_ + seconds * limits_.datagrams_per_second);
  filled_ = now;
}

bool Membership::MaySend(Rank rank) {
  if (without_ == DisabledDefense::kBudget) return true;
  if (tokens_ < 1 + kLeft[static_cast<std::size_t>(rank)] * limits_.datagrams_per_second) {
    ++counts_.held_back;
    return false;
  }
  tokens_ -= 1;
  return true;
}

bool Membership::Send(PeerId to, Rank rank, const Draft& draft) {
  if (superseded_ || !MaySend(rank)) return false;
  Message head;
  head.kind = draft.kind;
  head.number = draft.number;
  head.view = static_cast<std::uint32_t>(hash_);
  head.from = draft.from;
  if (draft.kind == Kind::kExchange) head.parts = Parts();
  head.sender = {self_.name, 0, own_.update, true};
  if (draft.target != nullptr)
    head.target = {draft.target->name, draft.target->peer, draft.target->update, false};
  Writer writer(fleet_, head, limits_.datagram);
  if (draft.about != nullptr) writer.Add(draft.about->name, draft.about->peer, draft.about->update, false);
  if (draft.news && !queue_.empty()) {
    // Those told least often first, and of these the newest: it goes out at once however much is on its way.
    if (without_ != DisabledDefense::kOrder) {
      const auto most = static_cast<std::ptrdiff_t>(std::min(queue_.size(), kMaxUpdates));
      std::partial_sort(queue_.begin(), queue_.begin() + most, queue_.end(),
                        [](const Known* a, const Known* b) {
                          return a->told != b->told ? a->told < b->told : a->since > b->since;
                        });
    }
    for (Known* known : queue_) {
      if (known == draft.about) continue;
      if (!writer.Add(known->name, known->peer, known->update, true)) break;
      ++known->told;
    }
    std::erase_if(queue_, [most = MostTold()](Known* k) {
      if (k->told < most) return false;
      k->queued = false;
      return true;
    });
  }
  if (draft.fill) {
    const std::uint16_t next = Fill(writer, *draft.fill, draft.unlike);
    if (draft.kind != Kind::kAck) fill_from_ = next;
  }
  out_.push_back({to, std::move(writer).Seal()});
  ++counts_.sent;
  counts_.bytes_sent += out_.back().bytes.size();
  return true;
}

// Adds words on members in the order of their digests, and round again; returns where it came to.
std::uint16_t Membership::Fill(Writer& writer, std::uint16_t from, const PartHashes* unlike) {
  Refresh();
  for (const Known* known : recent_) writer.Add(known->name, known->peer, known->update, false);
  auto at = std::lower_bound(by_digest_.begin(), by_digest_.end(), from,
                             [](const Known* k, std::uint16_t spot) { return Spot(k->digest) < spot; });
  const PartHashes own = Parts();
  for (std::size_t i = 0; i < by_digest_.size(); ++i, ++at) {
    if (at == by_digest_.end()) at = by_digest_.begin();
    const std::size_t part = PartOf((*at)->digest);
    if (unlike != nullptr && (*unlike)[part] == own[part]) continue;
    if (!writer.Add((*at)->name, (*at)->peer, (*at)->update, false)) return Spot((*at)->digest);
  }
  return from;
}

bool Membership::Ping(Purpose purpose, PeerId to, const Known* whom, TimePoint now, const Ask* relay) {
  const bool exchange = purpose == Purpose::kSync || purpose == Purpose::kLook;
  Draft draft;
  draft.kind = exchange ? Kind::kExchange : Kind::kPing;
  draft.number = next_number_;
  draft.about = whom;
  const std::size_t want = next_number_ % want_from_.size();
  if (Differed(now)) draft.fill = fill_from_;
  if (exchange) draft.from = want_from_[want];
  constexpr Rank kRanks[] = {Rank::kAsk, Rank::kKnock, Rank::kAsk, Rank::kKnock, Rank::kNews, Rank::kAnswer};
  const Rank rank = kRanks[static_cast<std::size_t>(purpose)];
  if (!Send(to, rank, draft)) return false;
  Ask ask;
  if (relay != nullptr) ask = *relay;
  ask.purpose = purpose;
  if (whom != nullptr) ask.name = whom->name;
  ask.peer = to;
  ask.at = now;
  ask.want = want;
  asks_.emplace(next_number_++, std::move(ask));
  // A place that nobody may stand at is no sign of anything.
  if (purpose != Purpose::kLook && purpose != Purpose::kRelay) ++unanswered_;
  return true;
}

// Others are asked to ask for it: the way between the two of us may be what is broken.
void Membership::AskFor(const Known& member, std::size_t helpers, TimePoint now) {
  if (without_ == DisabledDefense::kHelp) return;
  for (const Known* helper : Several(helpers, member.name)) {
    Draft draft;
    draft.kind = Kind::kAskFor;
    draft.number = next_number_;
    draft.target = &member;
    if (!Send(helper->peer, member.accused ? Rank::kKnock : Rank::kAsk, draft)) return;
    asks_.emplace(next_number_++, Ask{Purpose::kHelp, member.name, helper->peer, now});
    ++unanswered_;
  }
}

void Membership::Tell(Known& member, int told) {
  member.told = told;
  if (member.queued) return;
  member.queued = true;
  queue_.push_back(&member);
}

void Membership::TellOfSelf() {
  own_.update.incarnation = self_.incarnation;
  Tell(own_, 0);
}

// How often a word is told on. Where there are more than fit into a datagram or two, others tell them as well
// and exchanges find what is missing: they would else be told for longer than they are new.
int Membership::MostTold() {
  Refresh();
  const double most = kToldFactor * static_cast<double>(std::bit_width(living_.size() + 1)) + 2;
  const double crowd = std::max(1.0, static_cast<double>(queue_.size()) / kMaxUpdates);
  return std::max(2, static_cast<int>(most / crowd));
}

// ---- Members ----

Membership::Known* Membership::Find(std::string_view name) {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

void Membership::Erase(const std::string& name) {
  const auto found = members_.find(name);
  if (found == members_.end()) return;
  std::erase(queue_, &found->second);
  std::erase(by_digest_, &found->second);
  stale_ = lost_stale_ = true;
  // Asked again for ever: the other side of a cut may come back after any time.
  if (found->second.update.state == State::kDead) {
    if (former_.size() >= kMaxMembers) former_.pop_front();
    former_.push_back(found->second.peer);
  }
  members_.erase(found);
}

bool Membership::MakeRoom() {
  if (members_.size() + 1 < kMaxMembers) return true;
  const Known* oldest = nullptr;
  for (const auto& [name, known] : members_) {
    if (!IsLive(known.update.state) && (oldest == nullptr || known.since < oldest->since)) oldest = &known;
  }
  if (oldest == nullptr) return false;
  Erase(std::string(oldest->name));
  return true;
}

// What is looked up often, made anew after a change of who lives or where.
void Membership::Refresh() {
  if (!std::exchange(stale_, false)) return;
  living_.clear();
  for (auto& [name, known] : members_) {
    if (IsLive(known.update.state)) living_.push_back(&known);
  }
  recent_ = by_digest_;
  const auto most = static_cast<std::ptrdiff_t>(std::min(recent_.size(), kRecent));
  std::partial_sort(recent_.begin(), recent_.begin() + most, recent_.end(),
                    [](const Known* a, const Known* b) { return a->since > b->since; });
  recent_.resize(static_cast<std::size_t>(most));
}

const std::vector<PeerId>& Membership::Lost() {
  if (!std::exchange(lost_stale_, false)) return lost_;
  std::set<PeerId> taken{self_.peer};
  std::set<PeerId> lost(seeds_.begin(), seeds_.end());
  lost.insert(former_.begin(), former_.end());
  for (const auto& [name, known] : members_) {
    if (IsLive(known.update.state)) taken.insert(known.peer);
    if (known.update.state == State::kDead) lost.insert(known.peer);
  }
  lost_.clear();
  std::set_difference(lost.begin(), lost.end(), taken.begin(), taken.end(), std::back_inserter(lost_));
  return lost_;
}

// A member's part of the hash: nothing where it does not live.
std::uint64_t Membership::Share(const Known& member) const {
  return IsLive(member.update.state) ? DigestMember(member.name, member.update.incarnation) : 0;
}

void Membership::Count(std::size_t part, std::uint64_t before, std::uint64_t after) {
  if (before == after) return;
  hash_ ^= before ^ after;
  parts_[part] ^= before ^ after;
  ++counts_.view_changes;
}

PartHashes Membership::Parts() const {
  PartHashes out;
  std::transform(parts_.begin(), parts_.end(), out.begin(),
                 [](std::uint64_t p) { return static_cast<std::uint16_t>(p); });
  return out;
}

State Membership::StateOf(const Known& known) const {
  return known.accused && known.update.state == State::kAlive ? State::kSuspect : known.update.state;
}

std::vector<Membership::Known*> Membership::Several(std::size_t count, std::string_view except) {
  Refresh();
  std::vector<Known*> out;
  for (Known* known : living_) {
    if (!known->accused && known->name != except) out.push_back(known);
  }
  for (std::size_t i = 0; i < out.size() && i < count; ++i)
    std::swap(out[i], out[i + Random(out.size() - i)]);
  out.resize(std::min(out.size(), count));
  return out;
}

View Membership::view() const {
  View out{counts_.view_changes, hash_, {}};
  out.members.push_back({own_.name, own_.peer, own_.update, own_.since});
  for (const auto& [name, known] : members_) {
    out.members.push_back({name, known.peer, known.update, known.since});
    out.members.back().update.state = StateOf(known);
  }
  std::sort(out.members.begin(), out.members.end(),
            [](const Member& a, const Member& b) { return a.name < b.name; });
  return out;
}

std::optional<MemberUpdate> Membership::At(PeerId peer) const {
  std::optional<MemberUpdate> out;
  for (const auto& [name, known] : members_) {
    if (known.peer != peer || (out && out->incarnation >= known.update.incarnation)) continue;
    out = known.update;
    out->state = StateOf(known);
  }
  return out;
}

void Membership::Become(Known& member, const MemberUpdate& update, bool by_self, bool news, TimePoint now) {
  const std::uint64_t share = member.update.incarnation == 0 ? 0 : Share(member);
  const State state = StateOf(member);
  const MemberUpdate before = std::exchange(member.update, update);
  const bool is_new = before.incarnation != update.incarnation;
  if (is_new) member.falls = 0;
  if (!is_new && before.state == State::kDead && update.state == State::kAlive) {
    member.falls = std::min(member.falls + 1, kMostFalls);
    member.fell_at = now;
  }
  member.accused = false;
  // What only filled a datagram is known to many: a change is told on a little, and the rest is left to
  // filling.
  if (news) {
    Tell(member, 0);
  } else if (before.incarnation != 0) {
    Tell(member, std::max(0, MostTold() - kToldOfFill));
  }
  if (!is_new && before.state == update.state) return;
  member.since = now;
  changes_.push_back({member.name, update.incarnation, state, update.state, is_new, by_self});
  Count(PartOf(member.digest), share, Share(member));
  stale_ = lost_stale_ = true;
}

// ---- What is said of members ----

void Membership::Hear(const Entry& entry, bool direct, PeerId from, TimePoint now) {
  if (entry.update.incarnation == 0) {
    ++counts_.unreadable;
    return;
  }
  if (entry.name == self_.name) return HearOfSelf(entry, now);
  if (milliseconds(entry.update.incarnation) >
      std::chrono::duration_cast<milliseconds>(now) + kFutureIncarnation) {
    ++counts_.future;
    return;
  }
  Known* known = Find(entry.name);
  if (known == nullptr) {
    if (!MakeRoom()) {
      ++counts_.no_room;
      return;
    }
    known = &members_[entry.name];
    known->name = entry.name;
    known->digest = DigestMember(entry.name, 0);
    known->peer = direct ? from : entry.peer;
    // Below any word, so that whatever is said holds.
    by_digest_.insert(std::upper_bound(by_digest_.begin(), by_digest_.end(), known,
                                       [](const Known* a, const Known* b) { return a->digest < b->digest; }),
                      known);
    return Become(*known, entry.update, false, entry.news, now);
  }
  MemberUpdate update = entry.update;
  if (without_ == DisabledDefense::kIncarnations) update.incarnation = known->update.incarnation;
  const bool newer_incarnation = update.incarnation > known->update.incarnation;
  if (direct && update.incarnation < known->update.incarnation && from != known->peer &&
      IsLive(known->update.state)) {
    ++counts_.name_conflicts;
    Note("two processes are named \"" + known->name + "\": the one started later counts", now);
  }
  if (!(known->update < update)) return;
  if (direct || newer_incarnation) known->peer = direct ? from : entry.peer;
  Become(*known, update, false, entry.news, now);
}

void Membership::HearOfSelf(const Entry& entry, TimePoint now) {
  if (left_) return;
  if (entry.update.incarnation > self_.incarnation) {
    if (entry.peer != self_.peer) {
      ++counts_.name_conflicts;
      return Note("another process is named \"" + self_.name + "\", as this one is, and was started later",
                  now);
    }
    if (milliseconds(entry.update.incarnation) >
        std::chrono::duration_cast<milliseconds>(now) + kFutureIncarnation) {
      ++counts_.future;
      return;
    }
    if (self_.may_be_succeeded) {
      if (!std::exchange(superseded_, true))
        Note("a later process has taken over the view of the fleet", now);
      return;
    }
    // Nobody else stands here: it is what an earlier start of ours left, on a clock that was ahead.
    self_.incarnation = entry.update.incarnation + 1;
    const std::uint64_t share = Share(own_);
    own_.update = {self_.incarnation, 0, State::kAlive};
    ++counts_.own_refutations;
    TellOfSelf();
    return Count(PartOf(own_.digest), share, Share(own_));
  }
  if (entry.update.incarnation < self_.incarnation || !(own_.update < entry.update)) return;
  if (without_ == DisabledDefense::kRefutation) return;
  if (entry.update.refutations >= kMaxRefutations) {
    const std::uint64_t share = Share(own_);
    own_.update = {++self_.incarnation, 0, State::kAlive};
    Count(PartOf(own_.digest), share, Share(own_));
  } else {
    own_.update.refutations = entry.update.refutations + 1;
  }
  ++counts_.own_refutations;
  if (without_ != DisabledDefense::kLocalHealth) health_ = std::min(health_ + 1, kMostHealth);
  TellOfSelf();
}

// ---- Datagrams that come ----

bool Membership::Received(PeerId from, std::string_view bytes, TimePoint now) {
  Message message;
  const Fault fault = Read(bytes, fleet_, message);
  if (fault == Fault::kNotOurs) return false;
  ++counts_.received;
  if (fault != Fault::kNone) {
    ++(fault == Fault::kForeign  ? counts_.foreign
       : fault == Fault::kFuture ? counts_.future
                                 : counts_.unreadable);
    return true;
  }
  Refill(now);
  if (superseded_) return true;
  Known* before = Find(message.sender.name);
  const bool former = without_ != DisabledDefense::kIncarnations && before != nullptr &&
                      message.sender.update.incarnation < before->update.incarnation;
  if (former && from == before->peer) {
    ++counts_.former_incarnation;
    // It may be a new start on a clock that was stepped back: it learns only so that it has to count on.
    TellOfItself(*before, from, now);
    return true;
  }
  // What a process that is not the one of its name says of others counts still: it may see more than we do.
  Hear(message.sender, true, from, now);
  for (const Entry& entry : message.entries) Hear(entry, false, from, now);
  const bool differs = Differs(message.view, now);
  switch (message.kind) {
    case Kind::kPing:
    case Kind::kExchange:
      TakePing(from, message, differs, now);
      break;
    case Kind::kAskFor:
      TakeAskFor(from, message, now);
      break;
    case Kind::kAck:
    case Kind::kNack:
      TakeAnswer(from, message, now);
      break;
    case Kind::kGossip:
      break;
  }
  Known* sender = Find(message.sender.name);
  // One that sends, and of whom worse is said, is told so at once: only itself can deny it.
  if (sender != nullptr && !former && sender->update.state == State::kDead) TellOfItself(*sender, from, now);
  return true;
}

void Membership::TellOfItself(Known& member, PeerId at, TimePoint now) {
  if (now - member.informed_at < Beat()) return;
  member.informed_at = now;
  Ping(Purpose::kLook, at, &member, now);
}

// Whether the sender's view differs; where that is new, more is told for a while.
bool Membership::Differs(std::uint32_t view, TimePoint now) {
  const auto own = static_cast<std::uint32_t>(hash_);
  if (view == own) return false;
  differed_at_ = now;
  const std::pair<std::uint32_t, std::uint32_t> pair{own, view};
  if (std::find(differed_.begin(), differed_.end(), pair) == differed_.end()) {
    if (differed_.size() >= kDiffered) differed_.pop_front();
    differed_.push_back(pair);
    unsettled_until_ = now + kUnsettledPeriods * Duration(limits_.period);
  }
  return true;
}

// Lately, be it for the same reason as long before.
bool Membership::Differed(TimePoint now) const {
  return differed_at_.count() != 0 && now - differed_at_ < kUnsettledPeriods * Duration(limits_.period);
}

void Membership::TakePing(PeerId from, const Message& message, bool differs, TimePoint now) {
  Draft draft;
  draft.kind = Kind::kAck;
  draft.number = message.number;
  // Worse is said of the sender than it says itself: it hears so first.
  const Known* sender = Find(message.sender.name);
  if (sender != nullptr && sender->update > message.sender.update) draft.about = sender;
  if (differs || Differed(now)) draft.fill = message.kind == Kind::kExchange ? message.from : fill_from_;
  if (message.kind == Kind::kExchange) draft.unlike = &message.parts;
  Send(from, message.kind == Kind::kPing ? Rank::kAnswer : Rank::kKnock, draft);
}

void Membership::TakeAskFor(PeerId from, const Message& message, TimePoint now) {
  const auto relays = std::count_if(asks_.begin(), asks_.end(),
                                    [](const auto& a) { return a.second.purpose == Purpose::kRelay; });
  if (static_cast<std::size_t>(relays) >= kMaxRelays || message.target.name == self_.name) return;
  const Known* known = Find(message.target.name);
  const Ask relay{Purpose::kRelay, message.target.name, 0, now, from, message.number};
  Ping(Purpose::kRelay, known != nullptr ? known->peer : message.target.peer, known, now, &relay);
}

void Membership::TakeAnswer(PeerId from, const Message& message, TimePoint now) {
  const auto found = asks_.find(message.number);
  if (found == asks_.end() || (found->second.purpose != Purpose::kHelp && found->second.peer != from)) {
    ++counts_.unasked;
    return;
  }
  const Ask ask = found->second;
  asks_.erase(found);
  last_answer_ = now;
  unanswered_ = 0;
  if (message.kind == Kind::kNack) {
    for (Probe& probe : probes_) probe.heard = probe.heard || probe.name == ask.name;
    return;
  }
  if (message.entries.size() > 1 && (ask.purpose == Purpose::kSync || ask.purpose == Purpose::kLook)) {
    want_from_[ask.want] = Spot(DigestMember(message.entries.back().name, 0));
  }
  // The one asked for has answered, and not whoever else stands at its place now.
  Known* known = Find(ask.name);
  const bool itself = ask.purpose == Purpose::kHelp ||
                      (message.sender.name == ask.name &&
                       (known == nullptr || message.sender.update.incarnation >= known->update.incarnation));
  if (!itself) return;
  if (ask.purpose == Purpose::kRelay) {
    Draft draft;
    draft.kind = Kind::kAck;
    draft.number = ask.for_number;
    draft.about = known;
    Send(ask.for_peer, Rank::kAnswer, draft);
    return;
  }
  if (ask.purpose == Purpose::kProbe) health_ = std::max(health_ - 1, 0);
  for (Probe& probe : probes_) probe.answered = probe.answered || probe.name == ask.name;
  if (known == nullptr || !known->accused) return;
  known->accused = false;
  known->since = now;
  ++counts_.suspicions_refuted;
  changes_.push_back({known->name, known->update.incarnation, State::kSuspect, State::kAlive, false, true});
}

// ---- In turn ----

bool Membership::Deaf(TimePoint now) const {
  return unanswered_ >= kDeafAsks && now - last_answer_ > kDeafPeriods * Duration(limits_.period);
}

void Membership::Tick(TimePoint now) {
  if (now < next_beat_) return;
  Refill(now);
  Refresh();
  // Called late, we stood still and not the others: what they could not say meanwhile is not held against
  // them.
  const Duration late = now - next_beat_;
  if (late > Beat() && without_ != DisabledDefense::kLocalHealth) {
    last_answer_ += late;
    for (Probe& probe : probes_) probe.at += late;
    for (auto& [number, ask] : asks_) ask.at += late;
    for (Known* known : living_) known->accused_at += late;
  }
  if (beat_ == 0) BeginPeriod(now);
  Probing(now);
  Knocking(now);
  Gossip(now);
  Expire(now);
  beat_ = (beat_ + 1) % kBeats;
  next_beat_ = now + Beat();
  // Nothing under way: the next period is soon enough.
  const bool quiet =
      queue_.empty() && probes_.empty() && !Unsettled(now) && !living_.empty() &&
      std::none_of(living_.begin(), living_.end(), [](const Known* k) { return k->accused; }) &&
      std::none_of(asks_.begin(), asks_.end(),
                   [](const auto& a) { return a.second.purpose == Purpose::kRelay; });
  if (quiet && beat_ != 0) {
    next_beat_ = now + (kBeats - beat_ + 1) * Beat();
    beat_ = 0;
  }
}

void Membership::BeginPeriod(TimePoint now) {
  Forgetting(now);
  Refresh();
  if (!Judges()) return;
  if (without_ != DisabledDefense::kAskingAgain || living_.empty()) LookAround(now);
  // In the order that the period's number and the names give, the next one after us.
  const auto period = static_cast<std::uint64_t>(now / Duration(limits_.period));
  const std::uint64_t own = OrderIn(period, own_.digest);
  std::vector<std::pair<std::uint64_t, Known*>> order;
  for (Known* known : living_) {
    if (!known->accused) order.emplace_back(OrderIn(period, known->digest) - own, known);
  }
  const std::size_t count = std::min(order.size(), more_probes_ > 0 ? kProbesInTrouble : 1);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
  for (std::size_t i = 0; i < count; ++i) {
    Known& member = *order[i].second;
    if (Ping(Purpose::kProbe, member.peer, &member, now)) probes_.push_back({member.name, now});
  }
  more_probes_ = std::max(more_probes_ - 1, 0);
}

// Asks at a place that nobody is known to stand at. All together ask at each some kLooks times a period.
void Membership::LookAround(TimePoint now) {
  const std::vector<PeerId>& lost = Lost();
  if (lost.empty() || Random(living_.size() + 1) >= kLooks * lost.size()) return;
  Ping(Purpose::kLook, lost[Random(lost.size())], nullptr, now);
}

void Membership::Probing(TimePoint now) {
  for (Probe& probe : probes_) {
    Known* member = Find(probe.name);
    if (probe.answered || member == nullptr || !IsLive(member->update.state) || member->accused) {
      probe.answered = true;
      continue;
    }
    if (now - probe.at < Beat() / 2) continue;  // asked in this beat
    if (now - probe.at < kFailAfterBeats * Beat() - Beat() / 2) {
      // Asked again each time: one lost datagram in ten would else be a suspicion in a hundred.
      Ping(Purpose::kProbe, member->peer, member, now);
      if (!probe.helped && now - probe.at >= kHelpAfterBeats * Beat() - Beat() / 2) {
        probe.helped = true;
        AskFor(*member, kHelpers, now);
      }
      continue;
    }
    probe.answered = true;  // judged
    if (!probe.heard && without_ != DisabledDefense::kLocalHealth)
      health_ = std::min(health_ + 1, kMostHealth);
    Accuse(*member, now);
  }
  std::erase_if(probes_, [](const Probe& p) { return p.answered; });
}

void Membership::Accuse(Known& member, TimePoint now) {
  ++counts_.suspicions_raised;
  more_probes_ = kTroublePeriods;
  member.accused = true;
  member.knocks = 0;
  member.accused_at = now;
  member.since = now;
  changes_.push_back({member.name, member.update.incarnation, State::kAlive, State::kSuspect, false, true});
}

Duration Membership::SuspicionOf(const Known& member) const {
  const int falls = std::max(0, member.falls - kFallsFree);
  return Duration(limits_.suspicion) * (1 + health_) * (1 << falls);
}

void Membership::Knocking(TimePoint now) {
  if (!Judges()) return;
  // Judging stands still while it may be our own fault that nobody answers.
  const bool deaf = without_ != DisabledDefense::kLocalHealth && Deaf(now);
  std::vector<Known*> suspects;
  std::copy_if(living_.begin(), living_.end(), std::back_inserter(suspects),
               [](const Known* k) { return k->accused; });
  std::shuffle(suspects.begin(), suspects.end(), random_);
  std::size_t knocks = 0;
  for (Known* member : suspects) {
    if (deaf) member->accused_at += Beat();
    if (now - member->accused_at >= SuspicionOf(*member) &&
        (member->knocks >= kLeastKnocks || without_ == DisabledDefense::kKnocking)) {
      ++counts_.deaths_declared;
      MemberUpdate update = member->update;
      update.state = State::kDead;
      Become(*member, update, true, true, now);
      continue;
    }
    if (without_ == DisabledDefense::kKnocking || knocks >= kKnocksABeat) continue;
    if (now - member->knocked_at < kKnockBeats * Beat() - Beat() / 2) continue;
    member->knocked_at = now;
    if (!Ping(Purpose::kKnock, member->peer, member, now)) continue;
    ++knocks;
    if (++member->knocks % 2 == 0) AskFor(*member, 1, now);
  }
  Refresh();
}

void Membership::Gossip(TimePoint now) {
  if (left_ && queue_.empty()) return;
  if (Judges() && Unsettled(now)) {
    // What is new rides on these as well, both ways.
    for (const Known* member : Several(kSyncsABeat, {})) Ping(Purpose::kSync, member->peer, member, now);
  } else if (!queue_.empty()) {
    for (const Known* member : Several(kToldABeat, {})) {
      Draft draft;
      draft.kind = Kind::kGossip;
      if (Differed(now)) draft.fill = fill_from_;
      Send(member->peer, Rank::kNews, draft);
    }
  }
  if (!Judges()) return;
  // Nobody is known yet, or any more: whoever may be there is asked more often.
  if (living_.empty() && beat_ != 0) LookAround(now);
}

// Asks that were not answered; whoever asked for another hears that we could not reach it either, and knows
// that its own way is sound.
void Membership::Expire(TimePoint now) {
  for (auto at = asks_.begin(); at != asks_.end();) {
    const Ask& ask = at->second;
    const bool relay = ask.purpose == Purpose::kRelay;
    if (now - ask.at < (relay ? Beat() : kAsksLive * Duration(limits_.period))) {
      ++at;
      continue;
    }
    if (relay) {
      Draft draft;
      draft.kind = Kind::kNack;
      draft.number = ask.for_number;
      Send(ask.for_peer, Rank::kAnswer, draft);
    }
    at = asks_.erase(at);
  }
}

void Membership::Forgetting(TimePoint now) {
  std::vector<std::string> gone;
  for (auto& [name, known] : members_) {
    if (known.falls > 0 && now - known.fell_at > kFallPeriods * Duration(limits_.period)) {
      --known.falls;
      known.fell_at = now;
    }
    if (!IsLive(known.update.state) && now - known.since > Duration(limits_.forget)) gone.push_back(name);
  }
  for (const std::string& name : gone) Erase(name);
}

void Membership::Leave(TimePoint now) {
  if (left_) return;
  left_ = true;
  ++own_.update.refutations;
  own_.update.state = State::kLeft;
  own_.since = now;
  TellOfSelf();
  Count(PartOf(own_.digest), DigestMember(self_.name, self_.incarnation), 0);
  Refill(now);
  for (const Known* member : Several(kToldAtLeave, {})) {
    Draft draft;
    draft.kind = Kind::kGossip;
    Send(member->peer, Rank::kAsk, draft);
  }
  next_beat_ = std::min(next_beat_, now + Beat());
}

void Membership::Note(std::string line, TimePoint now) {
  if (noted_.count() != 0 && now - noted_ < kNoteEvery) return;
  noted_ = now;
  notes_.push_back(std::move(line));
}

}  // namespace postspread::membership
