#include "idempotency/peers.h"

#include <algorithm>
#include <utility>

#include "idempotency/timing.h"

namespace postspread::idempotency {
namespace {

constexpr std::size_t kMaxQueued = 512;
// The number of datagrams without a reply after which the peer's silence is not attributed to packet loss.
// With one datagram in five lost each way, loss alone causes eleven such runs in a million.
constexpr int kMinUnanswered = 12;
// A peer that is queried continuously receives a query at least this often, in multiples of the retry
// interval.
constexpr int kMaxRetryIntervalsBetweenQueries = 4;
constexpr Duration kUnavailableProbeInterval{250'000};  // between datagrams to an unavailable peer
// Incarnations are wall-clock times, and the wall clock may be set back before a restart. A lower incarnation
// is taken for a replaced one only while its datagrams may still be in flight, and for a new start after
// that.
constexpr Duration kReplacedIncarnation{10'000'000};
constexpr double kBurstSeconds = 0.1;  // after a pause, the datagrams of this time may be sent at once

}  // namespace

Peers::Peers(int own_rank, int group_size, std::uint64_t incarnation, const Limits& limits)
    : limits_(limits),
      own_header_{static_cast<std::uint16_t>(own_rank), incarnation},
      peers_(static_cast<std::size_t>(std::clamp(group_size, 1, kMaxPeers))) {}

bool Peers::IsPeer(int rank) const {
  return rank >= 0 && rank < static_cast<int>(peers_.size()) && rank != own_header_.rank;
}

void Peers::Queue(int rank, const Record& record, Reply reply, TimePoint now) {
  if (!IsPeer(rank)) return;
  Peer& peer = peers_[static_cast<std::size_t>(rank)];
  // An unavailable peer receives only a probe at intervals; otherwise its queue would be full on its return.
  if (IsUnavailable(rank, now) && (!peer.queue.empty() || now - peer.last_sent < kUnavailableProbeInterval))
    return;
  if (peer.queue.size() >= kMaxQueued) {
    ++dropped_;
    return;
  }
  peer.queue.push_back({EncodeRecord(record), reply});
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

void Peers::SetView(std::vector<ViewedPeer> view) {
  for (std::size_t rank = 0; rank < std::min(view.size(), peers_.size()); ++rank) {
    const bool returned = !view[rank].unavailable && rank < view_.size() && view_[rank].unavailable;
    // Queries without a reply from the former incarnation do not count against the new one.
    if (returned) peers_[rank].unanswered = 0;
  }
  view_ = std::move(view);
}

bool Peers::HasRestarted(int rank, std::uint64_t incarnation) const {
  constexpr std::uint64_t kMicrosecondsPerMillisecond = 1'000;  // replica incarnations are in microseconds
  const auto index = static_cast<std::size_t>(rank);
  const std::uint64_t received = peers_[index].incarnation;
  if (received != 0 && received != incarnation) return true;
  return index < view_.size() && view_[index].incarnation > incarnation / kMicrosecondsPerMillisecond;
}

bool Peers::IsUnavailable(int rank, TimePoint now) const {
  const auto index = static_cast<std::size_t>(rank);
  const Peer& peer = peers_[index];
  if (index < view_.size() && view_[index].unavailable) return true;
  return peer.unanswered >= kMinUnanswered && now - peer.unanswered_since >= limits_.peer_silent &&
         now - peer.min_unanswered_at >= RetryInterval(limits_);
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
  bool expects_reply = false;
  while (!peer.queue.empty()) {
    const QueuedRecord& next = peer.queue.front();
    if (kHeaderBytes + records.size() + next.bytes.size() > kMaxDatagram) break;
    records += next.bytes;
    expects_reply = expects_reply || next.reply == Reply::kExpected;
    peer.queue.pop_front();
  }
  if (expects_reply) RecordQuery(peer, now);
  peer.last_sent = now;
  return EncodeDatagram(own_header_, records);
}

// A peer's silence counts only while it is queried. If a reply was lost before a pause, the pause is not part
// of the silence: otherwise the first burst of queries after it would make the peer unavailable at once.
void Peers::RecordQuery(Peer& peer, TimePoint now) const {
  const bool after_pause = now - peer.last_query > kMaxRetryIntervalsBetweenQueries * RetryInterval(limits_);
  peer.last_query = now;
  if (after_pause && peer.unanswered < kMinUnanswered) peer.unanswered = 0;
  if (peer.unanswered == 0) peer.unanswered_since = now;
  ++peer.unanswered;
  if (peer.unanswered == kMinUnanswered) peer.min_unanswered_at = now;
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
