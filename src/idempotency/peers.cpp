#include "idempotency/peers.h"

#include <algorithm>
#include <utility>

namespace postspread::idempotency {
namespace {

constexpr std::size_t kMaxWaiting = 512;
// Datagrams without any answer after which silence is no accident: at one lost in five each way, eleven in a
// million such runs are.
constexpr int kUnanswered = 12;
constexpr Duration kAwayLook{250'000};  // between two datagrams to a peer that is away
// A life is numbered by the wall clock at its start, which may have been stepped back since: a lower one is a
// former life only as long as it may still be under way, or stands beside its successor, and after that a new
// start.
constexpr Duration kFormerIncarnation{10'000'000};
constexpr double kBurstS = 0.1;  // of the pace: may go at once after a rest

}  // namespace

Peers::Peers(int own_rank, int group_size, std::uint64_t incarnation, const Limits& limits)
    : limits_(limits),
      own_{static_cast<std::uint16_t>(own_rank), incarnation},
      peers_(static_cast<std::size_t>(std::clamp(group_size, 1, kMaxPeers))) {}

void Peers::Queue(int rank, const Record& record, bool wants_answer, TimePoint now) {
  if (rank < 0 || rank >= static_cast<int>(peers_.size()) || rank == own_.rank) return;
  Peer& peer = peers_[static_cast<std::size_t>(rank)];
  // To one that is away only a look now and then: it would find a full queue when it comes back.
  if (Away(rank, now) && (!peer.queue.empty() || now - peer.last_sent < kAwayLook)) return;
  if (peer.queue.size() >= kMaxWaiting) {
    ++dropped_;
    return;
  }
  peer.queue.push_back({EncodeRecord(record), wants_answer});
}

bool Peers::Heard(int rank, std::uint64_t incarnation, TimePoint now) {
  if (rank < 0 || rank >= static_cast<int>(peers_.size()) || rank == own_.rank) return false;
  Peer& peer = peers_[static_cast<std::size_t>(rank)];
  if (incarnation < peer.incarnation && now - peer.heard < kFormerIncarnation) return false;
  peer.incarnation = incarnation;
  peer.heard = now;
  peer.unanswered = 0;
  return true;
}

void Peers::SetView(std::vector<Seen> view) {
  for (std::size_t rank = 0; rank < std::min(view.size(), peers_.size()); ++rank) {
    // Back again: what its former life did not answer is not held against it.
    if (!view[rank].gone && rank < view_.size() && view_[rank].gone) peers_[rank].unanswered = 0;
  }
  view_ = std::move(view);
}

bool Peers::Restarted(int rank, std::uint64_t incarnation) const {
  const auto index = static_cast<std::size_t>(rank);
  const std::uint64_t heard = peers_[index].incarnation;
  if (heard != 0 && heard != incarnation) return true;
  return index < view_.size() &&
         view_[index].incarnation > incarnation / 1'000;  // a life here is in microseconds
}

bool Peers::Away(int rank, TimePoint now) const {
  const Peer& peer = peers_[static_cast<std::size_t>(rank)];
  if (static_cast<std::size_t>(rank) < view_.size() && view_[static_cast<std::size_t>(rank)].gone)
    return true;
  return peer.unanswered >= kUnanswered && now - peer.unanswered_since >= limits_.peer_silent;
}

std::uint64_t Peers::Incarnation(int rank) const {
  return peers_[static_cast<std::size_t>(rank)].incarnation;
}

double Peers::Burst() const {
  return std::max(1.0, static_cast<double>(limits_.datagrams_per_second) * kBurstS);
}

TimePoint Peers::ReadyAt(const Peer& peer) const {
  if (peer.tokens >= 1) return peer.filled;
  const double seconds = (1 - peer.tokens) / static_cast<double>(limits_.datagrams_per_second);
  return peer.filled + Duration(static_cast<std::int64_t>(seconds * 1e6) + 1);
}

std::optional<std::string> Peers::Next(int rank, TimePoint now) {
  Peer& peer = peers_[static_cast<std::size_t>(rank)];
  if (peer.queue.empty()) return std::nullopt;
  const double seconds = std::chrono::duration<double>(std::max(Duration(0), now - peer.filled)).count();
  peer.tokens = std::min(Burst(), peer.tokens + seconds * static_cast<double>(limits_.datagrams_per_second));
  peer.filled = std::max(peer.filled, now);
  if (peer.tokens < 1) return std::nullopt;
  peer.tokens -= 1;
  std::string records;
  bool wants_answer = false;
  while (!peer.queue.empty() &&
         kHeaderBytes + records.size() + peer.queue.front().bytes.size() <= kMaxDatagram) {
    records += peer.queue.front().bytes;
    wants_answer = wants_answer || peer.queue.front().wants_answer;
    peer.queue.pop_front();
  }
  if (wants_answer && peer.unanswered++ == 0) peer.unanswered_since = now;
  peer.last_sent = now;
  return Seal(own_, records);
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
