// FailureDetector detects failed members as in SWIM: it probes one member in each protocol period, probes it
// indirectly if it does not reply, and then suspects it. Unlike in SWIM, a member declares a suspect dead
// only after its own confirmation probes to the suspect have gone without a reply. The Membership owns it.
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

  // Begins a protocol period: probes the next members in the probe order.
  void StartPeriod(TimePoint now);
  // Runs in each tick: repeats probes, requests indirect ones, and suspects members that have not replied.
  void CheckProbes(TimePoint now);
  // Runs in each tick: sends confirmation probes to suspects, and declares dead those that have not replied
  // to them within the suspicion timeout.
  void ConfirmSuspects(TimePoint now);

  // Handles a reply of the request's subject: its probe and its suspicion end.
  void OnAlive(const Request& request, TimePoint now);
  // Handles the notice that another member could not reach the subject either.
  void OnNack(const Request& request);
  // Moves all deadlines by `late`, for which the local member was not running.
  void Postpone(Duration late);

  // Returns whether no probe is in flight and no member is suspected.
  [[nodiscard]] bool IsIdle();

 private:
  struct Probe {
    std::string name;
    TimePoint started_at{0};
    bool indirect = false;  // Other members have been requested to probe the target.
    bool nacked = false;    // One of them could not reach the target either.
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
  int alert_periods_ = 0;  // the remaining periods in which more members are probed
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_FAILURE_DETECTOR_H_
