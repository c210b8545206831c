// The merge of updates, by random cases and by a search of all orders in which they can be received.
#include "membership/types.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace postspread::membership {
namespace {

MemberUpdate AnyUpdate() {
  constexpr State kSent[] = {State::kAlive, State::kDead, State::kLeft};
  return {*rc::gen::inRange<std::uint64_t>(1, 4), *rc::gen::inRange<std::uint32_t>(0, 4),
          kSent[*rc::gen::inRange(0, 3)]};
}

TEST_CASE("the merge of two updates is commutative, associative and idempotent") {
  CHECK(rc::check("merge", [] {
    const MemberUpdate a = AnyUpdate();
    const MemberUpdate b = AnyUpdate();
    const MemberUpdate c = AnyUpdate();
    RC_ASSERT(Merge(a, b) == Merge(b, a));
    RC_ASSERT(Merge(a, Merge(b, c)) == Merge(Merge(a, b), c));
    RC_ASSERT(Merge(a, a) == a);
  }));
}

// Three members receive updates about a fourth in every order, each update by all, all but one or one of
// them, and then synchronize. The merge is unsound if the results differ.
class OrderSearch {
 public:
  using MergeFunction = MemberUpdate (*)(const MemberUpdate&, const MemberUpdate&);
  using Updates = std::vector<MemberUpdate>;

  explicit OrderSearch(MergeFunction merge) : merge_(merge) {}

  void Run(const Updates& updates) { Visit(updates, Updates(kObservers)); }

  [[nodiscard]] bool sound() const { return sound_; }
  [[nodiscard]] std::size_t visited() const { return visited_.size(); }

 private:
  static constexpr std::size_t kObservers = 3;
  static constexpr unsigned kAllObservers = (1U << kObservers) - 1;

  void Visit(const Updates& pending, const Updates& held) {
    if (!sound_ || !MarkVisited(pending, held)) return;
    if (pending.empty()) {
      CheckSynchronized(held);
      return;
    }
    for (std::size_t i = 0; i < pending.size(); ++i) {
      Updates rest = pending;
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(i));
      for (unsigned receivers = 1; receivers <= kAllObservers; ++receivers) {
        Updates next = held;
        for (std::size_t observer = 0; observer < kObservers; ++observer) {
          if ((receivers >> observer & 1) != 0) next[observer] = merge_(next[observer], pending[i]);
        }
        Visit(rest, next);
      }
    }
  }

  bool MarkVisited(const Updates& pending, const Updates& held) {
    Updates state = held;
    state.insert(state.end(), pending.begin(), pending.end());
    return visited_.insert(std::move(state)).second;
  }

  // Each observer sends each other one what it holds, in any order.
  void CheckSynchronized(const Updates& held) {
    const MemberUpdate all = merge_(merge_(held[0], held[1]), held[2]);
    Expect(merge_(held[2], merge_(held[1], held[0])) == all);
    Expect(merge_(held[1], merge_(held[0], held[2])) == all);
    for (const MemberUpdate& update : held) {
      Expect(merge_(all, update) == all);
      for (const MemberUpdate& other : held) Expect(merge_(update, other) == merge_(other, update));
    }
  }

  void Expect(bool holds) { sound_ = sound_ && holds; }

  MergeFunction merge_;
  std::set<Updates> visited_;
  bool sound_ = true;
};

// Precedence that depends on which update came first: after a death no refutation is believed, after a
// refutation no death.
MemberUpdate MergeWithFinalDeath(const MemberUpdate& held, const MemberUpdate& received) {
  const bool is_final = held.incarnation == received.incarnation && held.state == State::kDead;
  return is_final ? held : std::max(held, received);
}

TEST_CASE("updates in every order end in one view, and the search detects an unsound precedence") {
  const std::vector<MemberUpdate> updates{{1, 0, State::kAlive},
                                          {1, 0, State::kDead},
                                          {1, 1, State::kAlive},
                                          {2, 0, State::kAlive},
                                          {2, 0, State::kLeft}};
  OrderSearch search(Merge);
  search.Run(updates);
  CHECK(search.sound());
  CHECK(search.visited() > 900);
  OrderSearch unsound(MergeWithFinalDeath);
  unsound.Run(updates);
  CHECK_FALSE(unsound.sound());
}

}  // namespace
}  // namespace postspread::membership
