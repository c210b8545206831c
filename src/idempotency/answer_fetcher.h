// Transfers answers between gateways in fragments: requests a holder's answer, assembles what arrives, and
// serves the requests of others.
#ifndef POSTSPREAD_IDEMPOTENCY_ANSWER_FETCHER_H_
#define POSTSPREAD_IDEMPOTENCY_ANSWER_FETCHER_H_

#include "idempotency/entry.h"
#include "idempotency/limits.h"
#include "idempotency/peers.h"
#include "idempotency/store.h"
#include "idempotency/types.h"
#include "idempotency/wire.h"

namespace postspread::idempotency {

enum class FetchProgress {
  kIgnored,     // the fragment is not one that is missing
  kIncomplete,  // more fragments are missing
  kNoCapacity,  // the store has no room for the answer
  kComplete,    // the entry's answer is whole
};

class AnswerFetcher {
 public:
  AnswerFetcher(const Limits& limits, IdempotencyStore& store, Peers& peers)
      : limits_(limits), store_(store), peers_(peers) {}

  // Asks the entry's holder for the missing fragments of the current window; begins the transfer if need be.
  void Request(Entry& entry, TimePoint now);
  // Ends a transfer without its answer.
  void Cancel(Entry& entry);
  FetchProgress OnFragment(Entry& entry, const FragmentRecord& fragment, TimePoint now);
  // Sends a peer the fragments that it asks for, of an entry that has its answer.
  void SendFragments(int rank, const Entry& entry, const FetchRecord& fetch, TimePoint now);

 private:
  const Limits& limits_;
  IdempotencyStore& store_;
  Peers& peers_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_ANSWER_FETCHER_H_
