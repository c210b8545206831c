// The table of idempotency keys and its bound on memory. Entries, indexes, waiters and answers all take their
// memory from one counted resource, and `used()` never exceeds the limit.
//
// Only answers are evicted before their time, the oldest first: the key stays, and a repeat of it is still
// recognised. A customer at its quota evicts its own answers, else any may go.
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
  // Takes `memory` bytes at most, and at most the fraction `customer_quota` of them for one customer's keys.
  IdempotencyStore(std::size_t memory, double customer_quota);
  IdempotencyStore(const IdempotencyStore&) = delete;
  IdempotencyStore& operator=(const IdempotencyStore&) = delete;

  void SetCustomerQuota(double customer_quota) { customer_quota_ = customer_quota; }

  // Null where there is none.
  Entry* Find(const KeyId& key);
  Entry* FindByWaiter(WaiterId waiter);

  // A new entry, or null where there is no room for it: in all, or for this customer.
  Entry* Add(const KeyId& key, std::uint32_t customer);
  void Remove(Entry& entry);

  // False where there is no room.
  [[nodiscard]] bool AddWaiter(Entry& entry, const Waiter& waiter);
  void RemoveWaiter(Entry& entry, WaiterId waiter);
  [[nodiscard]] std::pmr::vector<Waiter> TakeWaiters(Entry& entry);

  // Reserves `size` bytes for the entry's answer, evicting older answers for it; false where it cannot.
  [[nodiscard]] bool ReserveAnswer(Entry& entry, std::size_t size);
  // The entry's answer is complete: it is the last of those that may be evicted.
  void CommitAnswer(Entry& entry);
  void DropAnswer(Entry& entry);

  // Updates the entry's position in the index of times.
  void Reschedule(Entry& entry);
  // The entry that needs attention first; null: none.
  Entry* NextDue();

  [[nodiscard]] std::size_t used() const { return memory_.used(); }
  [[nodiscard]] std::size_t peak() const { return memory_.peak(); }
  [[nodiscard]] std::size_t bound() const { return memory_limit_; }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] std::uint64_t answers_evicted() const { return answers_evicted_; }

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
  void ReleaseAnswer(Entry& entry);

  CountedMemory memory_;
  std::size_t memory_limit_;
  double customer_quota_;
  std::uint64_t answers_evicted_ = 0;
  std::size_t max_entries_;
  std::pmr::unordered_map<KeyId, Entry, KeyHash> entries_;
  std::pmr::unordered_map<WaiterId, KeyId> waiters_;
  std::pmr::unordered_map<std::uint32_t, std::size_t> customer_bytes_;
  std::pmr::set<TimedKey> due_;
  std::pmr::set<TimedKey> answered_;  // the entries with answers, by when their work began
  std::pmr::set<CustomerTimedKey> answered_by_customer_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_STORE_H_
