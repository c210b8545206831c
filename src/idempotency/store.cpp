#include "idempotency/store.h"

#include <algorithm>
#include <cstddef>

namespace postspread::idempotency {
namespace {

// Upper bounds for the memory of one container element, including the allocator's overhead.
constexpr std::size_t kNodeBytes = 64;  // links, hash and alignment
constexpr std::size_t kTimeIndexBytes = 3 * (kNodeBytes + 32);
constexpr std::size_t kCustomerIndexBytes = kNodeBytes + 16;
constexpr std::size_t kEntryBytes = sizeof(Entry) + kNodeBytes + 16 + kTimeIndexBytes + kCustomerIndexBytes;
constexpr std::size_t kWaiterIndexBytes = kNodeBytes + 24;
constexpr std::size_t kWaiterBytes = sizeof(Waiter) + kWaiterIndexBytes;
// The allocator's overhead for a vector or string that grows. It counts twice, because the old block and the
// new one both exist during the copy.
constexpr std::size_t kGrowthBytes = 32;

// The hash tables allocate their buckets once, for the maximum number of elements: a table that grew would
// hold its old and its new buckets at the same time and exceed the memory limit.
constexpr std::size_t kBucketBytes = std::size_t{6} * sizeof(void*);

}  // namespace

IdempotencyStore::IdempotencyStore(std::size_t memory, double customer_quota)
    : memory_limit_(memory),
      customer_quota_(customer_quota),
      max_entries_(memory / (kEntryBytes + kBucketBytes)),
      entries_(&memory_),
      waiters_(&memory_),
      customer_bytes_(&memory_),
      due_(&memory_),
      responses_by_age_(&memory_),
      responses_by_customer_(&memory_) {
  entries_.reserve(max_entries_);
  waiters_.reserve(max_entries_);
  customer_bytes_.reserve(max_entries_);
}

Entry* IdempotencyStore::Find(const KeyId& key) {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

Entry* IdempotencyStore::FindByWaiter(WaiterId waiter) {
  const auto found = waiters_.find(waiter);
  return found == waiters_.end() ? nullptr : Find(found->second);
}

// ---- Capacity ----

std::size_t IdempotencyStore::BytesOf(std::uint32_t customer) const {
  const auto found = customer_bytes_.find(customer);
  return found == customer_bytes_.end() ? 0 : found->second;
}

void IdempotencyStore::Charge(const Entry& entry, std::size_t bytes) {
  if (bytes > 0) customer_bytes_[entry.customer] += bytes;
}

void IdempotencyStore::Refund(const Entry& entry, std::size_t bytes) {
  const auto found = customer_bytes_.find(entry.customer);
  if (found == customer_bytes_.end()) return;
  found->second -= bytes;
  if (found->second == 0) customer_bytes_.erase(found);
}

bool IdempotencyStore::EvictUntilFits(std::size_t bytes) {
  while (memory_.used() + bytes > memory_limit_) {
    if (responses_by_age_.empty()) return false;
    DropResponse(*Find(responses_by_age_.begin()->key));
  }
  return true;
}

bool IdempotencyStore::EvictUntilWithinQuota(std::uint32_t customer, std::size_t bytes) {
  const auto quota = static_cast<std::size_t>(customer_quota_ * static_cast<double>(memory_limit_));
  while (BytesOf(customer) + bytes > quota) {
    const auto oldest = responses_by_customer_.lower_bound({customer, TimePoint::min(), KeyId{}});
    if (oldest == responses_by_customer_.end() || oldest->customer != customer) return false;
    DropResponse(*Find(oldest->key));
  }
  return true;
}

// ---- Entries and waiters ----

Entry* IdempotencyStore::Add(const KeyId& key, std::uint32_t customer) {
  if (entries_.size() >= max_entries_) return nullptr;
  if (!EvictUntilWithinQuota(customer, kEntryBytes) || !EvictUntilFits(kEntryBytes)) return nullptr;
  Entry& entry = entries_.try_emplace(key, &memory_).first->second;
  entry.key = key;
  entry.customer = customer;
  Charge(entry, kEntryBytes);
  return &entry;
}

void IdempotencyStore::Remove(Entry& entry) {
  for (const Waiter& waiter : entry.waiters) waiters_.erase(waiter.id);
  Refund(entry, entry.waiters.capacity() * kWaiterBytes);
  ReleaseResponse(entry);
  Refund(entry, kEntryBytes);
  due_.erase({entry.due, entry.key});
  entries_.erase(entry.key);
}

bool IdempotencyStore::AddWaiter(Entry& entry, const Waiter& waiter) {
  if (waiters_.size() >= max_entries_) return false;
  const std::size_t capacity = entry.waiters.capacity();
  if (entry.waiters.size() == capacity) {
    const std::size_t larger = std::max<std::size_t>(1, capacity * 2);
    const std::size_t added = larger - capacity;
    if (!EvictUntilWithinQuota(entry.customer, added * kWaiterBytes)) return false;
    // The vector's old block and its new one exist at the same time while the vector grows.
    if (!EvictUntilFits(larger * sizeof(Waiter) + added * kWaiterIndexBytes + kGrowthBytes)) return false;
    entry.waiters.reserve(larger);
    Charge(entry, added * kWaiterBytes);
  } else if (!EvictUntilFits(kWaiterIndexBytes)) {
    return false;
  }
  entry.waiters.push_back(waiter);
  waiters_.emplace(waiter.id, entry.key);
  return true;
}

void IdempotencyStore::RemoveWaiter(Entry& entry, WaiterId waiter) {
  std::erase_if(entry.waiters, [waiter](const Waiter& candidate) { return candidate.id == waiter; });
  waiters_.erase(waiter);
}

std::pmr::vector<Waiter> IdempotencyStore::TakeWaiters(Entry& entry) {
  std::pmr::vector<Waiter> out(&memory_);
  Refund(entry, entry.waiters.capacity() * kWaiterBytes);
  out.swap(entry.waiters);
  for (const Waiter& waiter : out) waiters_.erase(waiter.id);
  return out;
}

// ---- Responses ----

bool IdempotencyStore::ReserveResponse(Entry& entry, std::size_t size) {
  if (entry.response.capacity() >= size) return true;
  ReleaseResponse(entry);
  if (!EvictUntilWithinQuota(entry.customer, size + kGrowthBytes) || !EvictUntilFits(size + kGrowthBytes)) {
    return false;
  }
  entry.response.reserve(size);
  Charge(entry, entry.response.capacity());
  return true;
}

void IdempotencyStore::CommitResponse(Entry& entry) {
  entry.has_response = true;
  responses_by_age_.insert({entry.sent, entry.key});
  responses_by_customer_.insert({entry.customer, entry.sent, entry.key});
}

void IdempotencyStore::ReleaseResponse(Entry& entry) {
  static const std::size_t kInlineCapacity = std::pmr::string().capacity();  // stored in the string object
  if (entry.has_response) {
    responses_by_age_.erase({entry.sent, entry.key});
    responses_by_customer_.erase({entry.customer, entry.sent, entry.key});
  }
  if (entry.response.capacity() > kInlineCapacity) Refund(entry, entry.response.capacity());
  std::pmr::string(&memory_).swap(entry.response);
  entry.has_response = false;
}

void IdempotencyStore::DropResponse(Entry& entry) {
  if (entry.has_response) ++responses_evicted_;
  ReleaseResponse(entry);
}

// ---- Timers ----

void IdempotencyStore::Reschedule(Entry& entry) {
  const TimePoint due = entry.NextDue();
  if (entry.due == due && due.count() != 0) return;
  due_.erase({entry.due, entry.key});
  entry.due = due;
  due_.insert({due, entry.key});
}

Entry* IdempotencyStore::NextDue() { return due_.empty() ? nullptr : Find(due_.begin()->key); }

}  // namespace postspread::idempotency
