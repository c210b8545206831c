// Transfers responses between gateways in fragments: requests a holder's response, assembles the fragments
// that arrive, and sends fragments to the peers that request them.
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
  kIgnored,     // the fragment is invalid or has arrived before
  kIncomplete,  // more fragments are missing
  kNoCapacity,  // the store has no capacity for the response
  kComplete,    // the entry's response is complete
};

class ResponseFetcher {
 public:
  ResponseFetcher(const Limits& limits, IdempotencyStore& store, Peers& peers)
      : limits_(limits), store_(store), peers_(peers) {}

  // Requests the missing fragments of the current window from the entry's holder, and begins the transfer if
  // none is active.
  void Request(Entry& entry, TimePoint now);
  // Cancels the transfer, if one is active, and drops the fragments that have arrived.
  void Cancel(Entry& entry);
  FetchProgress OnFragment(Entry& entry, const FragmentRecord& fragment, TimePoint now);
  // Sends a peer the fragments that it requests from an entry with a complete response.
  void SendFragments(int rank, const Entry& entry, const FetchRecord& fetch, TimePoint now);

 private:
  const Limits& limits_;
  IdempotencyStore& store_;
  Peers& peers_;
};

}  // namespace postspread::idempotency

#endif  // POSTSPREAD_IDEMPOTENCY_ANSWER_FETCHER_H_
