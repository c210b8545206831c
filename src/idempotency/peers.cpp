#include "idempotency/peers.h"

#include <algorithm>
#include <utility>

namespace postspread::idempotency {
namespace {

constexpr std::size_t kMaxQueued = 512;
// Datagrams without any response after which silence is not taken for loss: with one datagram in five lost
// each way, eleven such runs in a million are.
constexpr int kMinUnanswered = 12;
constexpr Duration kAwayProbeInterval{250'000};  // between datagrams to a peer that is away
// Incarnations are numbered by the wall clock, which may have been stepped back since. A lower one is taken
// for a replaced incarnation only while its datagrams may still be on their way; after that it is a new
// start.
constexpr Duration kReplacedIncarnation{10'000'000};
constexpr double kBurstSeconds = 0.1;  // the pace's datagrams of this span may be sent at once after a pause

}  // namespace

Peers::Peers(int own_rank, int group_size, std::uint64_t incarnation, const Limits& limits)
    : limits_(limits),
      own_header_{static_cast<std::uint16_t>(own_rank), incarnation},
      peers_(static_cast<std::size_t>(std::clamp(group_size, 1, kMaxPeers))) {}

bool Peers::IsPeer(int rank) const {
  return rank >= 0 && rank < static_cast<int>(peers_.size()) && rank != own_header_.rank;
}

void Peers::Queue(int rank, const Record& record, Response response, TimePoint now) {
  if (!IsPeer(rank)) return;
  Peer& peer = peers_[static_cast<std::size_t>(rank)];
  // A peer that is away gets a probe now and then, or it would come back to a full queue.
  if (IsAway(rank, now) && (!peer.queue.empty() || now - peer.last_sent < kAwayProbeInterval)) return;
  if (peer.queue.size() >= kMaxQueued) {
    ++dropped_;
    return;
  }
  peer.queue.push_back({EncodeRecord(record), response});
}

bool Peers::OnDatagram(int rank, std::uint64_t incarnation, TimePoint now) {
  if (!IsPeer(rank)) return false;
  Peer& peer = peers_[static_cast<std::size_t>(rank)];
  if (incarnation < peer.incarnation && now - peer.last_received < kReplacedIncarnation) return false;
  peer.incarnation = incarnation;
  peer.last_received = now;
  peer.unanswered = 0;
  return true;
}

void Peers::SetView(std::vector<Seen> view) {
  for (std::size_t rank = 0; rank < std::min(view.size(), peers_.size()); ++rank) {
    const bool returned = !view[rank].unavailable && rank < view_.size() && view_[rank].unavailable;
    // What its former incarnation left unanswered says nothing of the new one.
    if (returned) peers_[rank].unanswered = 0;
  }
  view_ = std::move(view);
}

bool Peers::HasRestarted(int rank, std::uint64_t incarnation) const {
  constexpr std::uint64_t kMicrosecondsPerMillisecond = 1'000;  // incarnations here are in microseconds
  const auto index = static_cast<std::size_t>(rank);
  const std::uint64_t received = peers_[index].incarnation;
  if (received != 0 && received != incarnation) return true;
  return index < view_.size() && view_[index].incarnation > incarnation / kMicrosecondsPerMillisecond;
}

bool Peers::IsAway(int rank, TimePoint now) const {
  const auto index = static_cast<std::size_t>(rank);
  const Peer& peer = peers_[index];
  if (index < view_.size() && view_[index].unavailable) return true;
  return peer.unanswered >= kMinUnanswered && now - peer.unanswered_since >= limits_.peer_silent;
}

std::uint64_t Peers::Incarnation(int rank) const {
  return peers_[static_cast<std::size_t>(rank)].incarnation;
}

double Peers::Burst() const {
  return std::max(1.0, static_cast<double>(limits_.datagrams_per_second) * kBurstSeconds);
}

TimePoint Peers::ReadyAt(const Peer& peer) const {
  if (peer.tokens >= 1) return peer.refilled;
  const double seconds = (1 - peer.tokens) / static_cast<double>(limits_.datagrams_per_second);
  return peer.refilled + Duration(static_cast<std::int64_t>(seconds * 1e6) + 1);
}

void Peers::RefillTokens(Peer& peer, TimePoint now) const {
  const double seconds = std::chrono::duration<double>(std::max(Duration(0), now - peer.refilled)).count();
  const double refill = seconds * static_cast<double>(limits_.datagrams_per_second);
  peer.tokens = std::min(Burst(), peer.tokens + refill);
  peer.refilled = std::max(peer.refilled, now);
}

std::optional<std::string> Peers::NextDatagram(int rank, TimePoint now) {
  Peer& peer = peers_[static_cast<std::size_t>(rank)];
  if (peer.queue.empty()) return std::nullopt;
  RefillTokens(peer, now);
  if (peer.tokens < 1) return std::nullopt;
  peer.tokens -= 1;
  std::string records;
  bool expects_response = false;
  while (!peer.queue.empty()) {
    const QueuedRecord& next = peer.queue.front();
    if (kHeaderBytes + records.size() + next.bytes.size() > kMaxDatagram) break;
    records += next.bytes;
    expects_response = expects_response || next.response == Response::kExpected;
    peer.queue.pop_front();
  }
  if (expects_response && peer.unanswered++ == 0) peer.unanswered_since = now;
  peer.last_sent = now;
  return EncodeDatagram(own_header_, records);
}

std::optional<TimePoint> Peers::NextFlush() const {
  std::optional<TimePoint> out;
  for (const Peer& peer : peers_) {
    if (peer.queue.empty()) continue;
    const TimePoint at = ReadyAt(peer);
    if (!out || at < *out) out = at;
  }
  return out;
}

}  // namespace postspread::idempotency
