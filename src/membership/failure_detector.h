// Finds out which members have failed, as SWIM does: one member is probed a protocol period, indirectly if it
// does not reply, and then suspected. Unlike there only a member that has sent a suspect confirmation probes
// in vain declares it dead.
#ifndef POSTSPREAD_MEMBERSHIP_FAILURE_DETECTOR_H_
#define POSTSPREAD_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/context.h"
#include "membership/event_log.h"
#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/requests.h"
#include "membership/update_merger.h"

namespace postspread::membership {

class FailureDetector {
 public:
  FailureDetector(Context& context, MemberTable& table, Requests& requests, UpdateMerger& merger,
                  LocalHealth& health, EventLog& events);

  // Probes the members whose turn it is.
  void StartPeriod(TimePoint now);
  // Each tick: repeats probes, asks for indirect ones, suspects who has not replied.
  void CheckProbes(TimePoint now);
  // Each tick: sends confirmation probes to suspects, and declares dead who has not replied for long enough.
  void ConfirmSuspects(TimePoint now);

  // The subject of this request has replied.
  void OnAlive(const Request& request, TimePoint now);
  // Another member could not reach the subject either.
  void OnNack(const Request& request);
  // The local member was not running for `late`: deadlines are moved by as much.
  void Postpone(Duration late);

  // No probe is in flight and nobody is suspected.
  [[nodiscard]] bool IsIdle();

 private:
  struct Probe {
    std::string name;
    TimePoint started_at{0};
    bool indirect = false;  // other members have been asked
    bool nacked = false;    // one of them could not reach the target either
    bool finished = false;
  };

  std::vector<MemberRecord*> NextTargets(TimePoint now);
  void Advance(Probe& probe, MemberRecord& target, TimePoint now);
  void Suspect(MemberRecord& record, TimePoint now);
  [[nodiscard]] bool IsConfirmed(const MemberRecord& suspect, TimePoint now) const;
  [[nodiscard]] Duration SuspicionTimeout(const MemberRecord& suspect) const;
  std::vector<MemberRecord*> Suspects();
  bool SendConfirmationProbe(MemberRecord& suspect, TimePoint now);

  Context& context_;
  MemberTable& table_;
  Requests& requests_;
  UpdateMerger& merger_;
  LocalHealth& health_;
  EventLog& events_;
  std::vector<Probe> probes_;
  int alert_periods_ = 0;  // left, in which more members are probed
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_FAILURE_DETECTOR_H_
