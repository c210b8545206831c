#include "idempotency/store.h"

#include <algorithm>
#include <cstdlib>
#include <new>

namespace postspread::idempotency {
namespace {

// Upper bounds of what one element takes of a container's node, block extra included; measured by the tests.
constexpr std::size_t kNode = 64;                    // links, hash and alignment, with the block's extra
constexpr std::size_t kDueBytes = 3 * (kNode + 32);  // in the indexes of times
constexpr std::size_t kCustomerBytes = kNode + 16;
constexpr std::size_t kEntryBytes = sizeof(Entry) + kNode + 16 + kDueBytes + kCustomerBytes;
constexpr std::size_t kWaiterIndexBytes = kNode + 24;
constexpr std::size_t kBlock = 32;  // of a vector or string that grows: the extra, twice while it is copied

// The tables of buckets are made once, for as many as can ever be: a table that grew would take its old and
// its new size at once, past any bound.
constexpr std::size_t kBucketBytes = std::size_t{6} * sizeof(void*);

}  // namespace

void* CountedMemory::do_allocate(std::size_t bytes, std::size_t alignment) {
  void* const block = std::pmr::new_delete_resource()->allocate(bytes, alignment);
  used_ += bytes + kBlockExtra;
  peak_ = std::max(peak_, used_);
  return block;
}

void CountedMemory::do_deallocate(void* block, std::size_t bytes, std::size_t alignment) {
  used_ -= bytes + kBlockExtra;
  std::pmr::new_delete_resource()->deallocate(block, bytes, alignment);
}

IdempotencyStore::IdempotencyStore(std::size_t memory, double share)
    : limit_(memory),
      share_(share),
      max_entries_(memory / (kEntryBytes + kBucketBytes)),
      entries_(&memory_),
      waiters_(&memory_),
      customers_(&memory_),
      due_(&memory_),
      answered_(&memory_),
      answered_of_(&memory_) {
  entries_.reserve(max_entries_);
  waiters_.reserve(max_entries_);
  customers_.reserve(max_entries_);
}

std::size_t IdempotencyStore::BytesPerKey() { return kEntryBytes + kBucketBytes; }

Entry* IdempotencyStore::Find(const KeyId& key) {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

Entry* IdempotencyStore::FindByWaiter(WaiterId waiter) {
  const auto found = waiters_.find(waiter);
  return found == waiters_.end() ? nullptr : Find(found->second);
}

std::size_t IdempotencyStore::CustomerBytes(std::uint32_t customer) const {
  const auto found = customers_.find(customer);
  return found == customers_.end() ? 0 : found->second;
}

void IdempotencyStore::Charge(Entry& entry, std::ptrdiff_t bytes) {
  std::size_t& held = customers_[entry.customer];
  held = static_cast<std::size_t>(static_cast<std::ptrdiff_t>(held) + bytes);
  if (held == 0) customers_.erase(entry.customer);
}

// Drops answers, the longest answered first, until so many bytes fit.
bool IdempotencyStore::Room(std::size_t bytes) {
  while (memory_.used() + bytes > limit_) {
    if (answered_.empty()) return false;
    DropAnswer(*Find(answered_.begin()->second));
  }
  return true;
}

bool IdempotencyStore::RoomOf(std::uint32_t customer, std::size_t bytes) {
  const auto most = static_cast<std::size_t>(share_ * static_cast<double>(limit_));
  while (CustomerBytes(customer) + bytes > most) {
    const auto first = answered_of_.lower_bound({customer, TimePoint::min(), KeyId{}});
    if (first == answered_of_.end() || std::get<0>(*first) != customer) return false;
    DropAnswer(*Find(std::get<2>(*first)));
  }
  return true;
}

Entry* IdempotencyStore::Add(const KeyId& key, std::uint32_t customer) {
  if (entries_.size() >= max_entries_ || !RoomOf(customer, kEntryBytes) || !Room(kEntryBytes)) return nullptr;
  Entry& entry = entries_.try_emplace(key, &memory_).first->second;
  entry.key = key;
  entry.customer = customer;
  Charge(entry, kEntryBytes);
  return &entry;
}

void IdempotencyStore::Remove(Entry& entry) {
  for (const Waiter& waiter : entry.waiters) waiters_.erase(waiter.id);
  Charge(entry,
         -static_cast<std::ptrdiff_t>(entry.waiters.capacity() * (sizeof(Waiter) + kWaiterIndexBytes)));
  ReleaseAnswer(entry);
  Charge(entry, -static_cast<std::ptrdiff_t>(kEntryBytes));
  due_.erase({entry.due, entry.key});
  entries_.erase(entry.key);
}

bool IdempotencyStore::AddWaiter(Entry& entry, const Waiter& waiter) {
  constexpr std::size_t kEach = sizeof(Waiter) + kWaiterIndexBytes;
  if (waiters_.size() >= max_entries_) return false;
  const std::size_t capacity = entry.waiters.capacity();
  if (entry.waiters.size() == capacity) {
    const std::size_t larger = std::max<std::size_t>(1, capacity * 2);
    if (!RoomOf(entry.customer, (larger - capacity) * kEach)) return false;
    // The old block and the new one are there together while the vector grows.
    if (!Room(larger * sizeof(Waiter) + (larger - capacity) * kWaiterIndexBytes + kBlock)) return false;
    entry.waiters.reserve(larger);
    Charge(entry, static_cast<std::ptrdiff_t>((larger - capacity) * kEach));
  } else if (!Room(kWaiterIndexBytes)) {
    return false;
  }
  entry.waiters.push_back(waiter);
  waiters_.emplace(waiter.id, entry.key);
  return true;
}

void IdempotencyStore::RemoveWaiter(Entry& entry, WaiterId waiter) {
  std::erase_if(entry.waiters, [waiter](const Waiter& w) { return w.id == waiter; });
  waiters_.erase(waiter);
}

std::pmr::vector<Waiter> IdempotencyStore::TakeWaiters(Entry& entry) {
  std::pmr::vector<Waiter> out(&memory_);
  Charge(entry,
         -static_cast<std::ptrdiff_t>(entry.waiters.capacity() * (sizeof(Waiter) + kWaiterIndexBytes)));
  out.swap(entry.waiters);
  for (const Waiter& waiter : out) waiters_.erase(waiter.id);
  return out;
}

bool IdempotencyStore::Reserve(Entry& entry, std::size_t size) {
  if (entry.answer.capacity() >= size) return true;
  ReleaseAnswer(entry);
  if (!RoomOf(entry.customer, size + kBlock) || !Room(size + kBlock)) return false;
  entry.answer.reserve(size);
  Charge(entry, static_cast<std::ptrdiff_t>(entry.answer.capacity()));
  return true;
}

void IdempotencyStore::ReleaseAnswer(Entry& entry) {
  static const std::size_t kInside = std::pmr::string().capacity();  // within the string itself
  if (entry.state == State::kAnswered && entry.has_value) {
    answered_.erase({entry.sent, entry.key});
    answered_of_.erase({entry.customer, entry.sent, entry.key});
  }
  if (entry.answer.capacity() > kInside) {
    Charge(entry, -static_cast<std::ptrdiff_t>(entry.answer.capacity()));
  }
  std::pmr::string(&memory_).swap(entry.answer);
  entry.has_value = false;
}

void IdempotencyStore::DropAnswer(Entry& entry) {
  if (entry.has_value) ++values_dropped_;
  ReleaseAnswer(entry);
}

void IdempotencyStore::MarkAnswered(Entry& entry) {
  entry.state = State::kAnswered;
  entry.has_value = true;
  answered_.emplace(entry.sent, entry.key);
  answered_of_.emplace(entry.customer, entry.sent, entry.key);
}

void IdempotencyStore::SetDue(Entry& entry, TimePoint due) {
  if (entry.due == due && due.count() != 0) return;
  due_.erase({entry.due, entry.key});
  entry.due = due;
  due_.emplace(due, entry.key);
}

Entry* IdempotencyStore::First() { return due_.empty() ? nullptr : Find(due_.begin()->second); }

}  // namespace postspread::idempotency
