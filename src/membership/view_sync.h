// ViewSync does the anti-entropy between members: it detects by the hashes in datagrams that views differ,
// and adds entries to datagrams until the views are equal. The Membership owns it.
#ifndef POSTSPREAD_MEMBERSHIP_VIEW_SYNC_H_
#define POSTSPREAD_MEMBERSHIP_VIEW_SYNC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

#include "membership/context.h"
#include "membership/member_table.h"
#include "membership/wire.h"

namespace postspread::membership {

// The entries to add to a datagram: those of all members from a position on, or only of those in differing
// buckets.
struct SyncRange {
  SyncPosition from = 0;
  const BucketHashes* remote_buckets = nullptr;  // nullptr selects all members.
};

class ViewSync {
 public:
  ViewSync(const Context& context, MemberTable& table);

  // Handles the view hash in a datagram, the lower half of the sender's. Returns whether the views differ.
  bool OnViewHash(std::uint32_t remote_hash, TimePoint now);
  // Returns whether a new difference has been seen recently, so that exchanges are worth their cost.
  [[nodiscard]] bool IsSyncing(TimePoint now) const { return now < syncing_until_; }
  // Returns whether any difference, new or known, has been seen recently.
  [[nodiscard]] bool DifferedRecently(TimePoint now) const;

  // Adds the latest changes and then the range's entries, in a circular order. Returns the position of the
  // first entry that did not fit.
  SyncPosition Fill(Writer& writer, const SyncRange& range);

  // Returns the position from which unsolicited entries are sent next.
  [[nodiscard]] SyncPosition send_position() const { return send_position_; }
  void set_send_position(SyncPosition position) { send_position_ = position; }

  // Returns the position from which the Exchange with request number `number` requests entries. Exchanges
  // alternate between two positions, so that two in flight do not fetch the same entries.
  [[nodiscard]] SyncPosition ReceivePosition(std::uint64_t number) const;
  // Handles the reply to that Exchange, whose last entry is that of `last_name`.
  void OnExchanged(std::uint64_t number, std::string_view last_name);

 private:
  struct HashPair {
    std::uint32_t own = 0;
    std::uint32_t remote = 0;
    bool operator==(const HashPair&) const = default;
  };

  const Context& context_;
  MemberTable& table_;
  std::deque<HashPair> known_differences_;
  TimePoint syncing_until_{0};
  TimePoint differed_at_{0};  // the time of the last difference; 0: none so far
  SyncPosition send_position_ = 0;
  std::array<SyncPosition, 2> receive_positions_{0, 0x8000};
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_VIEW_SYNC_H_
