// These tests guard against views that depend on the order of updates. They merge random updates, and search
// all orders in which members can receive them.
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

TEST_CASE("given two or three updates, the merge is commutative, associative and idempotent") {
  CHECK(rc::check("merge", [] {
    const MemberUpdate a = AnyUpdate();
    const MemberUpdate b = AnyUpdate();
    const MemberUpdate c = AnyUpdate();
    RC_ASSERT(Merge(a, b) == Merge(b, a));
    RC_ASSERT(Merge(a, Merge(b, c)) == Merge(Merge(a, b), c));
    RC_ASSERT(Merge(a, a) == a);
  }));
}

// OrderSearch lets three members receive updates about a fourth in every order, each update by any non-empty
// subset of them, and then synchronize. The merge is inconsistent if the results differ.
class OrderSearch {
 public:
  using MergeFunction = MemberUpdate (*)(const MemberUpdate&, const MemberUpdate&);
  using Updates = std::vector<MemberUpdate>;

  explicit OrderSearch(MergeFunction merge) : merge_(merge) {}

  void Run(const Updates& updates) { Visit(updates, Updates(kObservers)); }

  [[nodiscard]] bool consistent() const { return consistent_; }
  [[nodiscard]] std::size_t visited() const { return visited_.size(); }

 private:
  static constexpr std::size_t kObservers = 3;
  static constexpr unsigned kAllObservers = (1U << kObservers) - 1;

  void Visit(const Updates& pending, const Updates& known) {
    if (!consistent_ || !MarkVisited(pending, known)) return;
    if (pending.empty()) {
      CheckSynchronized(known);
      return;
    }
    for (std::size_t i = 0; i < pending.size(); ++i) {
      Updates rest = pending;
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(i));
      for (unsigned receivers = 1; receivers <= kAllObservers; ++receivers) {
        Updates next = known;
        for (std::size_t observer = 0; observer < kObservers; ++observer) {
          if ((receivers >> observer & 1) != 0) next[observer] = merge_(next[observer], pending[i]);
        }
        Visit(rest, next);
      }
    }
  }

  bool MarkVisited(const Updates& pending, const Updates& known) {
    Updates state = known;
    state.insert(state.end(), pending.begin(), pending.end());
    return visited_.insert(std::move(state)).second;
  }

  // Each observer sends its known update to each other one, in any order.
  void CheckSynchronized(const Updates& known) {
    const MemberUpdate all = merge_(merge_(known[0], known[1]), known[2]);
    Expect(merge_(known[2], merge_(known[1], known[0])) == all);
    Expect(merge_(known[1], merge_(known[0], known[2])) == all);
    for (const MemberUpdate& update : known) {
      Expect(merge_(all, update) == all);
      for (const MemberUpdate& other : known) Expect(merge_(update, other) == merge_(other, update));
    }
  }

  void Expect(bool condition) { consistent_ = consistent_ && condition; }

  MergeFunction merge_;
  std::set<Updates> visited_;
  bool consistent_ = true;
};

// A merge that depends on which update came first: after a death no refutation is accepted, and after a
// refutation no earlier death.
MemberUpdate MergeWithFinalDeath(const MemberUpdate& known, const MemberUpdate& received) {
  const bool is_final = known.incarnation == received.incarnation && known.state == State::kDead;
  return is_final ? known : std::max(known, received);
}

TEST_CASE("given updates in every order, they end in one view, and an order-dependent merge is detected") {
  const std::vector<MemberUpdate> updates{{1, 0, State::kAlive},
                                          {1, 0, State::kDead},
                                          {1, 1, State::kAlive},
                                          {2, 0, State::kAlive},
                                          {2, 0, State::kLeft}};
  OrderSearch search(Merge);
  search.Run(updates);
  CHECK(search.consistent());
  CHECK(search.visited() > 900);
  OrderSearch order_dependent(MergeWithFinalDeath);
  order_dependent.Run(updates);
  CHECK_FALSE(order_dependent.consistent());
}

}  // namespace
}  // namespace postspread::membership
