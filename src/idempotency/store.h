// The table of idempotency keys, with a limit on its memory. Entries, indexes, waiters and responses are all
// allocated from one counted memory resource, and `used()` never exceeds the limit.
//
// Only responses are evicted before they expire, the oldest first: the key stays in the table, and a repeat
// of it is still recognised. A customer at its quota evicts its own responses; a full store evicts any.
#ifndef POSTSPREAD_IDEMPOTENCY_STORE_H_
#define POSTSPREAD_IDEMPOTENCY_STORE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory_resource>
#include <set>
#include <unordered_map>
#include <vector>

#include "idempotency/counted_memory.h"
#include "idempotency/entry.h"
#include "idempotency/types.h"

namespace postspread::idempotency {

class IdempotencyStore {
 public:
  // The store uses at most `memory` bytes, of which one customer's keys take at most the fraction
  // `customer_quota`.
  IdempotencyStore(std::size_t memory, double customer_quota);
  IdempotencyStore(const IdempotencyStore&) = delete;
  IdempotencyStore& operator=(const IdempotencyStore&) = delete;

  void SetCustomerQuota(double customer_quota) { customer_quota_ = customer_quota; }

  // Return null if there is no such entry.
  Entry* Find(const KeyId& key);
  Entry* FindByWaiter(WaiterId waiter);

  // Returns a new entry, or null if the store or the customer's quota has no capacity for it.
  Entry* Add(const KeyId& key, std::uint32_t customer);
  void Remove(Entry& entry);

  // Returns false if the store or the customer's quota has no capacity.
  [[nodiscard]] bool AddWaiter(Entry& entry, const Waiter& waiter);
  void RemoveWaiter(Entry& entry, WaiterId waiter);
  [[nodiscard]] std::pmr::vector<Waiter> TakeWaiters(Entry& entry);

  // Reserves `size` bytes for the entry's response and evicts older responses if necessary. Returns false if
  // that does not free enough capacity.
  [[nodiscard]] bool ReserveResponse(Entry& entry, std::size_t size);
  // Marks the entry's response as complete; from then on it may be evicted.
  void CommitResponse(Entry& entry);
  void DropResponse(Entry& entry);

  // Updates the entry's position in the time index.
  void Reschedule(Entry& entry);
  // Returns the entry with the earliest timer, or null if there is none.
  Entry* NextDue();

  [[nodiscard]] std::size_t used() const { return memory_.used(); }
  [[nodiscard]] std::size_t peak() const { return memory_.peak(); }
  [[nodiscard]] std::size_t bound() const { return memory_limit_; }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] std::uint64_t responses_evicted() const { return responses_evicted_; }

 private:
  struct TimedKey {
    TimePoint time;
    KeyId key;
    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with 0
    auto operator<=>(const TimedKey&) const = default;
  };
  struct CustomerTimedKey {
    std::uint32_t customer;
    TimePoint time;
    KeyId key;
    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with 0
    auto operator<=>(const CustomerTimedKey&) const = default;
  };

  bool EvictUntilFits(std::size_t bytes);
  bool EvictUntilWithinQuota(std::uint32_t customer, std::size_t bytes);
  [[nodiscard]] std::size_t BytesOf(std::uint32_t customer) const;
  void Charge(const Entry& entry, std::size_t bytes);
  void Refund(const Entry& entry, std::size_t bytes);
  void ReleaseResponse(Entry& entry);

  CountedMemory memory_;
  std::size_t memory_limit_;
  double customer_quota_;
  std::uint64_t responses_evicted_ = 0;
  std::size_t max_entries_;
  std::pmr::unordered_map<KeyId, Entry, KeyHash> entries_;
  std::pmr::unordered_map<WaiterId, KeyId> waiters_;
  std::pmr::unordered_map<std::uint32_t, std::size_t> customer_bytes_;
  std::pmr::set<TimedKey> due_;
  std::pmr::set<TimedKey> responses_by_age_;  // the entries with a response, by the start of their work
  std::pmr::set<CustomerTimedKey> responses_by_customer_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_STORE_H_
