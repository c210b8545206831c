// The other gateways of the group as the replica sees them: what waits to be sent to each, at what pace,
// who answers, and which life each is in. Free of I/O and clock.
//
// Bounds: kMaxPeers peers; 512 records wait for each at most (the newest is dropped beyond that: every record
// is either asked for again or only saves a question later).
#ifndef POSTSPREAD_IDEMPOTENCY_PEERS_H_
#define POSTSPREAD_IDEMPOTENCY_PEERS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "idempotency/limits.h"
#include "idempotency/types.h"
#include "idempotency/wire.h"

namespace postspread::idempotency {

inline constexpr int kMaxPeers = 1'000;  // as many as the membership view holds

class Peers {
 public:
  // `life` is higher than that of any earlier start of this gateway, but where the wall clock was stepped
  // back.
  Peers(int own_rank, int group_size, std::uint64_t incarnation, const Limits& limits);

  void SetLimits(const Limits& limits) { limits_ = limits; }

  // What the membership view says of each peer, by rank, where this installation keeps one; empty: nothing.
  // Who is gone by it is away without being asked; of all others silence decides, as without it.
  struct Seen {
    bool gone = false;              // dead, or told to leave
    std::uint64_t incarnation = 0;  // milliseconds; 0: never heard of
    bool operator==(const Seen&) const = default;
  };
  void SetView(std::vector<Seen> view);

  // Queues a record for a peer. `wants_answer`: it is answered by any live peer.
  void Queue(int rank, const Record& record, bool wants_answer, TimePoint now);

  // A datagram of this peer has come. False where it is of an earlier life than one that was heard of late.
  bool Heard(int rank, std::uint64_t incarnation, TimePoint now);

  // The peer is gone by the view, or was asked often and long enough and has said nothing.
  [[nodiscard]] bool Away(int rank, TimePoint now) const;
  // Of the life last heard of; 0: never heard.
  [[nodiscard]] std::uint64_t Incarnation(int rank) const;
  // Whether the peer has started again since `life`, by what it sent itself or by the view.
  [[nodiscard]] bool Restarted(int rank, std::uint64_t incarnation) const;

  // What may be sent by now, sealed; calls `tell(rank, bytes)` for each datagram.
  template <typename F>
  void Flush(TimePoint now, F tell) {
    for (int rank = 0; rank < static_cast<int>(peers_.size()); ++rank) {
      while (std::optional<std::string> bytes = Next(rank, now)) tell(rank, std::move(*bytes));
    }
  }
  // When Flush is wanted next; nothing: not at all.
  [[nodiscard]] std::optional<TimePoint> NextFlush() const;

  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  struct Waiting {
    std::string bytes;
    bool wants_answer = false;
  };
  struct Peer {
    std::uint64_t incarnation = 0;
    TimePoint heard{0};
    std::deque<Waiting> queue;
    double tokens = 1;  // datagrams that may go now
    TimePoint filled{0};
    int unanswered = 0;  // datagrams that wanted an answer since the last one came
    TimePoint unanswered_since{0};
    TimePoint last_sent{0};
  };
  std::optional<std::string> Next(int rank, TimePoint now);
  [[nodiscard]] double Burst() const;
  [[nodiscard]] TimePoint ReadyAt(const Peer& peer) const;

  Limits limits_;
  Header own_;
  std::vector<Peer> peers_;
  std::vector<Seen> view_;
  std::uint64_t dropped_ = 0;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_PEERS_H_
