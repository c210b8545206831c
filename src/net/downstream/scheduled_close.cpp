#include "net/downstream/scheduled_close.h"

#include <algorithm>

#include "safety/connection_rules.h"

namespace postspread::net {

void ScheduledClose::Cancel() {
  if (!HasBegun()) schedule_.reset();
}

void ScheduledClose::OnBytesProcessed(std::size_t size) {
  if (HasBegun()) *bytes_to_process_ -= std::min(*bytes_to_process_, size);
}

bool ScheduledClose::StopsReading(const CommandReader& reader, Clock::time_point now) const {
  if (!schedule_ || !HasBegun()) return false;
  const safety::ReadingFacts facts{.close_at = schedule_->at,
                                   .command_deadline = schedule_->command_deadline,
                                   .bytes_to_process = *bytes_to_process_,
                                   .partial_command = reader.partial_since().has_value()};
  return safety::ReadingAt(facts, now) == safety::Reading::kStop;
}

}  // namespace postspread::net
