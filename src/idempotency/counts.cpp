#include "idempotency/counts.h"

namespace postspread::idempotency {

std::string Summary(const Counts& counts, std::size_t keys, std::size_t used, std::size_t peak,
                    std::size_t bound) {
  struct NamedValue {
    const char* name;
    std::uint64_t value;
  };
  const NamedValue values[] = {{"keys", keys},
                               {"bytes", used},
                               {"bytes_max", peak},
                               {"bytes_bound", bound},
                               {"started", counts.started},
                               {"joined", counts.joined},
                               {"replayed", counts.replayed},
                               {"fetched", counts.fetched},
                               {"resumed", counts.resumed},
                               {"mismatched", counts.fingerprint_mismatches},
                               {"unknown_told", counts.unknown_outcomes},
                               {"answer_gone_told", counts.dropped_responses},
                               {"full_deferred", counts.full_rejected},
                               {"full_passed", counts.full_unprotected},
                               {"unvouched", counts.unconfirmed},
                               {"values_dropped", counts.values_evicted},
                               {"datagrams_out", counts.datagrams_sent},
                               {"datagrams_in", counts.datagrams_received},
                               {"datagrams_bad", counts.datagrams_invalid},
                               {"records_dropped", counts.records_dropped}};
  std::string out;
  for (const auto& [name, value] : values) {
    if (!out.empty()) out += ' ';
    out.append(name).append("=").append(std::to_string(value));
  }
  return out;
}

}  // namespace postspread::idempotency
