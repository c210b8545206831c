// Connects the usage broadcast to the planner: maps customer names to digests, and turns datagrams into
// actions.
#ifndef POSTSPREAD_PLANNER_USAGE_ADAPTER_H_
#define POSTSPREAD_PLANNER_USAGE_ADAPTER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "planner/types.h"
#include "postspread/control.h"
#include "usage/usage_table.h"

namespace postspread::planner {

class UsageAdapter {
 public:
  // The adapter appends to `actions`, the result of the planner's current call, which must outlive it.
  UsageAdapter(const usage::UsageOptions& options, TimePoint now, std::vector<Action>& actions);

  // These call their counterparts in usage::UsageTable, with the customer's digest for its name.
  void SetGroup(int size) { table_.SetGroup(size); }
  void Observe(std::string_view customer, double demand, TimePoint now);
  [[nodiscard]] double Demand(std::string_view customer, TimePoint now) const;
  // Returns false, and ignores the datagram, if it belongs to another subsystem.
  bool HandleDatagram(std::string_view bytes, TimePoint now) { return table_.HandleDatagram(bytes, now); }

  // Broadcasts the usage that is due.
  void Tick(TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextTick() const { return table_.NextTick(); }

 private:
  usage::UsageTable table_;
  std::vector<Action>& actions_;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_USAGE_ADAPTER_H_
