// Anti-entropy: finds out from the hashes in datagrams that views differ, and fills datagrams with entries
// until they do not.
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

// Entries to be added to a datagram: of all members from a position on, or of those in differing buckets.
struct SyncRange {
  SyncPosition from = 0;
  const BucketHashes* remote_buckets = nullptr;  // nullptr: all
};

class ViewSync {
 public:
  ViewSync(const Context& context, MemberTable& table);

  // A datagram has shown the lower half of its sender's hash. Returns whether the views differ.
  bool OnViewHash(std::uint32_t remote_hash, TimePoint now);
  // A difference that was not met before has been seen of late: exchanges are worth their cost.
  [[nodiscard]] bool IsSyncing(TimePoint now) const { return now < syncing_until_; }
  // Some difference has been seen of late, be it an old one.
  [[nodiscard]] bool DifferedRecently(TimePoint now) const;

  // Adds the latest changes and then the range's entries, going round at the end of the order. Returns the
  // position of the first entry that did not fit.
  SyncPosition Fill(Writer& writer, const SyncRange& range);

  // From where unsolicited entries are sent next.
  [[nodiscard]] SyncPosition send_position() const { return send_position_; }
  void set_send_position(SyncPosition position) { send_position_ = position; }

  // From where the exchange that request `number` makes wants entries. Exchanges take turns between two
  // positions, so that two in flight do not fetch the same entries.
  [[nodiscard]] SyncPosition ReceivePosition(std::uint64_t number) const;
  // Its reply ended with the entry of this member.
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
  TimePoint differed_at_{0};  // 0: never
  SyncPosition send_position_ = 0;
  std::array<SyncPosition, 2> receive_positions_{0, 0x8000};
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_VIEW_SYNC_H_
