// A replica's state for each of the other gateways of the group: the queued records, the rate limit, whether
// the peer replies, and its incarnation. It does no I/O and reads no clock.
//
// Limits: kMaxPeers peers, and at most 512 queued records for each. If the queue is full, a new record is
// dropped. That is safe, because every record is either sent again later or only saves a query.
#ifndef POSTSPREAD_IDEMPOTENCY_PEERS_H_
#define POSTSPREAD_IDEMPOTENCY_PEERS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "idempotency/limits.h"
#include "idempotency/types.h"
#include "idempotency/wire.h"

namespace postspread::idempotency {

inline constexpr int kMaxPeers = 1'000;  // the maximum of the membership view

// Whether a live peer replies to a record.
enum class Reply { kExpected, kNone };

class Peers {
 public:
  // `incarnation` is higher than at any earlier start of this gateway, unless the wall clock was set back.
  Peers(int own_rank, int group_size, std::uint64_t incarnation, const Limits& limits);

  void SetLimits(const Limits& limits) { limits_ = limits; }

  // The state of one peer in the membership view, which is indexed by rank and may be empty. A peer that the
  // view reports as unavailable is taken for unavailable without a query. All others, and all peers without a
  // view, are judged by their replies.
  struct ViewedPeer {
    bool unavailable = false;       // the peer is dead or leaving
    std::uint64_t incarnation = 0;  // in milliseconds; 0: never seen
    bool operator==(const ViewedPeer&) const = default;
  };
  void SetView(std::vector<ViewedPeer> view);

  void Queue(int rank, const Record& record, Reply reply, TimePoint now);

  // Records that a datagram from this peer has arrived. Returns false if the sender is not a peer, or if a
  // recently replaced incarnation sent the datagram.
  [[nodiscard]] bool OnDatagram(int rank, std::uint64_t incarnation, TimePoint now);

  // Returns whether the view reports the peer as unavailable, or several queries, sent without a pause, have
  // had no reply for `peer_silent`.
  [[nodiscard]] bool IsUnavailable(int rank, TimePoint now) const;
  // Returns the incarnation in the peer's last datagram; 0: none has arrived.
  [[nodiscard]] std::uint64_t Incarnation(int rank) const;
  // Returns whether the peer has restarted since this incarnation, by its own datagrams or by the view.
  [[nodiscard]] bool HasRestarted(int rank, std::uint64_t incarnation) const;

  // Calls `send(rank, bytes)` for each datagram that the rate limit allows at `now`.
  template <typename Send>
  void Flush(TimePoint now, Send send) {
    for (int rank = 0; rank < static_cast<int>(peers_.size()); ++rank) {
      while (std::optional<std::string> bytes = NextDatagram(rank, now)) send(rank, std::move(*bytes));
    }
  }
  // Returns when Flush is due next, or nullopt if no record is queued.
  [[nodiscard]] std::optional<TimePoint> NextFlush() const;

  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  struct QueuedRecord {
    std::string bytes;
    Reply reply = Reply::kNone;
  };
  struct Peer {
    std::uint64_t incarnation = 0;
    TimePoint last_received{0};
    std::deque<QueuedRecord> queue;
    double tokens = 1;  // datagrams that may be sent now
    TimePoint refilled{0};
    int unanswered = 0;  // datagrams that expect a reply, sent since the peer's last datagram arrived
    TimePoint unanswered_since{0};
    TimePoint min_unanswered_at{0};  // when the number of unanswered datagrams reached its minimum
    TimePoint last_query{0};         // when a datagram that expects a reply was last sent
    TimePoint last_sent{0};
  };
  [[nodiscard]] bool IsPeer(int rank) const;
  std::optional<std::string> NextDatagram(int rank, TimePoint now);
  void RecordQuery(Peer& peer, TimePoint now) const;
  void RefillTokens(Peer& peer, TimePoint now) const;
  [[nodiscard]] double Burst() const;
  [[nodiscard]] TimePoint ReadyAt(const Peer& peer) const;

  Limits limits_;
  Header own_header_;
  std::vector<Peer> peers_;
  std::vector<ViewedPeer> view_;
  std::uint64_t dropped_ = 0;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_PEERS_H_
