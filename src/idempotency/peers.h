// The other gateways of the group as a replica sees them: the records queued for each, the pace to it,
// whether it responds, and its incarnation. Free of I/O and clock.
//
// Bounds: kMaxPeers peers; 512 records are queued for each at most, and the newest is dropped beyond that:
// every record is either sent again later or only saves a question.
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

inline constexpr int kMaxPeers = 1'000;  // as many as the membership view holds

// Whether any live peer responds to a record.
enum class Response { kExpected, kNone };

class Peers {
 public:
  // `incarnation` is higher than at any earlier start of this gateway, unless the wall clock was stepped
  // back.
  Peers(int own_rank, int group_size, std::uint64_t incarnation, const Limits& limits);

  void SetLimits(const Limits& limits) { limits_ = limits; }

  // A peer in the membership view, by rank; an empty view says nothing. A peer that is unavailable by the
  // view is away without being asked; of all others silence decides, as without a view.
  struct Seen {
    bool unavailable = false;       // dead or leaving
    std::uint64_t incarnation = 0;  // in milliseconds; 0: never seen
    bool operator==(const Seen&) const = default;
  };
  void SetView(std::vector<Seen> view);

  void Queue(int rank, const Record& record, Response response, TimePoint now);

  // A datagram of this peer has arrived. False where an incarnation that was replaced recently sent it.
  [[nodiscard]] bool OnDatagram(int rank, std::uint64_t incarnation, TimePoint now);

  // The peer is unavailable by the view, or several questions have gone unanswered for long enough.
  [[nodiscard]] bool IsAway(int rank, TimePoint now) const;
  // The last one heard of from the peer itself; 0: none.
  [[nodiscard]] std::uint64_t Incarnation(int rank) const;
  // Whether the peer has restarted since this incarnation, by its own datagrams or by the view.
  [[nodiscard]] bool HasRestarted(int rank, std::uint64_t incarnation) const;

  // Calls `send(rank, bytes)` for each datagram that the pace allows by now.
  template <typename Send>
  void Flush(TimePoint now, Send send) {
    for (int rank = 0; rank < static_cast<int>(peers_.size()); ++rank) {
      while (std::optional<std::string> bytes = NextDatagram(rank, now)) send(rank, std::move(*bytes));
    }
  }
  // When Flush is due next; nothing: nothing is queued.
  [[nodiscard]] std::optional<TimePoint> NextFlush() const;

  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  struct QueuedRecord {
    std::string bytes;
    Response response = Response::kNone;
  };
  struct Peer {
    std::uint64_t incarnation = 0;
    TimePoint last_received{0};
    std::deque<QueuedRecord> queue;
    double tokens = 1;  // datagrams that may be sent now
    TimePoint refilled{0};
    int unanswered = 0;  // datagrams that expected a response since the last one arrived
    TimePoint unanswered_since{0};
    TimePoint last_sent{0};
  };
  [[nodiscard]] bool IsPeer(int rank) const;
  std::optional<std::string> NextDatagram(int rank, TimePoint now);
  void RefillTokens(Peer& peer, TimePoint now) const;
  [[nodiscard]] double Burst() const;
  [[nodiscard]] TimePoint ReadyAt(const Peer& peer) const;

  Limits limits_;
  Header own_header_;
  std::vector<Peer> peers_;
  std::vector<Seen> view_;
  std::uint64_t dropped_ = 0;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_PEERS_H_
