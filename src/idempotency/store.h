// The table of keys and its bound. All its memory comes from one counted resource: entries, indexes, waiters
// and answers, with what the allocator adds to each block. `used()` never passes the limit, whatever comes.
//
// What makes room, in this order: nothing else is ever thrown out before its time.
//   1. keys whose time is over (the replica ends them at once);
//   2. the answers of the longest answered keys: the key stays, and a repeat is still recognised. A customer
//      at its share makes room with its own answers, else all with all.
#ifndef POSTSPREAD_IDEMPOTENCY_STORE_H_
#define POSTSPREAD_IDEMPOTENCY_STORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory_resource>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "idempotency/rank_set.h"
#include "idempotency/types.h"
#include "idempotency/wire.h"

namespace postspread::idempotency {

// Counts what is taken from the heap through it.
class CountedMemory final : public std::pmr::memory_resource {
 public:
  [[nodiscard]] std::size_t used() const { return used_; }
  [[nodiscard]] std::size_t peak() const { return peak_; }

 private:
  static constexpr std::size_t kBlockExtra = 16;  // what glibc's allocator adds to a block, at most
  void* do_allocate(std::size_t bytes, std::size_t alignment) override;
  void do_deallocate(void* block, std::size_t bytes, std::size_t alignment) override;
  [[nodiscard]] bool do_is_equal(const memory_resource& other) const noexcept override {
    return this == &other;
  }
  std::size_t used_ = 0, peak_ = 0;
};

enum class State : std::uint8_t {
  kAsking,     // peers are asked whether one of them holds the key
  kRunning,    // its work runs here
  kAnswered,   // it was served here
  kUnknown,    // its work ended here and may have run
  kElsewhere,  // a peer holds it
};

struct Waiter {
  WaiterId id = 0;
  TimePoint deadline{0};
  Work work;
  bool gone = false;  // its client has left; kept where its request is the one that runs
};

struct Entry {
  KeyId key;
  std::uint64_t fingerprint = 0;
  std::uint32_t customer = 0;
  State state = State::kAsking;
  bool has_pod = false;
  bool resumed = false;    // kRunning: an earlier attempt may have run
  bool applied = false;    // it was carried out for sure, though its answer may be lost
  bool has_value = false;  // kAnswered: `answer` is held
  bool vouched = false;    // kAsking: somebody who can't have forgotten said that it holds nothing
  bool following = false;  // kElsewhere: own_round is of a question to the holder
  bool fetching = false;   // kElsewhere: `answer` is being put together
  std::int64_t pod = 0;
  TimePoint sent{0};    // when its work began, wherever; the pod's window counts from here
  TimePoint ends{0};    // it is forgotten then, unless its work runs
  TimePoint ask_at{0};  // kAsking, kElsewhere with waiters: when to ask (again)
  TimePoint due{0};     // its place in the index of times
  Duration window{0};
  WaiterId running = 0;  // kRunning: whose request is out
  // Between gateways:
  std::uint32_t own_round = 0;  // of our last question ...
  TimePoint own_asked{0};       // ... and when it first went out
  std::uint32_t round = 0;      // kElsewhere: of the holder's claim
  RankSet pending;              // kAsking: those whose votes are missing
  RankSet asked;                // those that may have noted our claim down
  RankSet interested;           // those that asked about it: they are told how it ends
  std::uint16_t holder = 0;     // kElsewhere
  std::uint64_t holder_incarnation = 0;
  Phase phase = Phase::kRunning;  // kElsewhere: what the holder last said
  std::uint16_t cleared_holder =
      0xffff;  // said itself, in the life below, that it holds nothing: what others
  std::uint64_t cleared_incarnation = 0;  // remember of its claims before this round is out of date
  std::uint32_t cleared_mark = 0;
  std::uint32_t total = 0;          // fetching: bytes of the whole answer; 0: not known yet
  std::uint16_t first_missing = 0;  // fetching: fragment
  std::array<std::uint64_t, (kMaxFragments + 63) / 64> fragments{};  // fetching: those that are here
  std::pmr::vector<Waiter> waiters;
  std::pmr::string answer;

  explicit Entry(std::pmr::memory_resource* memory) : waiters(memory), answer(memory) {}
};

class IdempotencyStore {
 public:
  // `memory` bytes in all; `share` of them for one customer at most.
  IdempotencyStore(std::size_t memory, double share);
  IdempotencyStore(const IdempotencyStore&) = delete;
  IdempotencyStore& operator=(const IdempotencyStore&) = delete;

  void SetShare(double share) { share_ = share; }

  Entry* Find(const KeyId& key);
  Entry* FindByWaiter(WaiterId waiter);

  // A new entry, or null where there is no room for it: in all, or for this customer.
  Entry* Add(const KeyId& key, std::uint32_t customer);
  void Remove(Entry& entry);

  // False where there is no room for another one.
  bool AddWaiter(Entry& entry, const Waiter& waiter);
  void RemoveWaiter(Entry& entry, WaiterId waiter);
  std::pmr::vector<Waiter> TakeWaiters(Entry& entry);

  // Makes `answer` hold `size` bytes, dropping older answers for it; false where it can't.
  bool Reserve(Entry& entry, std::size_t size);
  void DropAnswer(Entry& entry);
  // The entry is answered with what `answer` holds: the youngest of those whose answers make room.
  void MarkAnswered(Entry& entry);

  // Files the entry under the time at which it wants attention next.
  void SetDue(Entry& entry, TimePoint due);
  // The entry that wants attention first; null: none.
  Entry* First();

  std::size_t used() const { return memory_.used(); }
  std::size_t peak() const { return memory_.peak(); }
  std::size_t bound() const { return limit_; }
  std::size_t size() const { return entries_.size(); }
  std::uint64_t values_dropped() const { return values_dropped_; }
  // Bytes that a key without waiters and answer takes: what sizing starts from.
  static std::size_t BytesPerKey();

 private:
  bool Room(std::size_t bytes);
  bool RoomOf(std::uint32_t customer, std::size_t bytes);  // within its share
  std::size_t CustomerBytes(std::uint32_t customer) const;
  void Charge(Entry& entry, std::ptrdiff_t bytes);
  void ReleaseAnswer(Entry& entry);

  CountedMemory memory_;
  std::size_t limit_;
  double share_;
  std::uint64_t values_dropped_ = 0;
  std::size_t max_entries_;
  std::pmr::unordered_map<KeyId, Entry, KeyHash> entries_;
  std::pmr::unordered_map<WaiterId, KeyId> waiters_;
  std::pmr::unordered_map<std::uint32_t, std::size_t> customers_;  // bytes each takes
  std::pmr::set<std::pair<TimePoint, KeyId>> due_;
  std::pmr::set<std::pair<TimePoint, KeyId>> answered_;  // those with values, by when they were sent
  std::pmr::set<std::tuple<std::uint32_t, TimePoint, KeyId>> answered_of_;  // the same by customer
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_STORE_H_
