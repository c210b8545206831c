// EventLog collects changes and log lines until the caller takes them. The Membership owns it.
#ifndef POSTSPREAD_MEMBERSHIP_EVENT_LOG_H_
#define POSTSPREAD_MEMBERSHIP_EVENT_LOG_H_

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "membership/types.h"

namespace postspread::membership {

class EventLog {
 public:
  void Add(Change change) { changes_.push_back(std::move(change)); }

  // Adds a log line that an operator should see. For kLogInterval after a line, further lines are dropped.
  void Log(std::string line, TimePoint now) {
    if (logged_at_.count() != 0 && now - logged_at_ < kLogInterval) return;
    logged_at_ = now;
    lines_.push_back(std::move(line));
  }

  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }
  std::vector<std::string> TakeLines() { return std::exchange(lines_, {}); }

 private:
  static constexpr std::chrono::seconds kLogInterval{10};

  TimePoint logged_at_{0};  // the time of the last line; 0: none so far
  std::vector<Change> changes_;
  std::vector<std::string> lines_;
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_EVENT_LOG_H_
