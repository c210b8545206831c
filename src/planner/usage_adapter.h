// Joins the usage broadcast to the planner: customers by name, datagrams as actions.
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
  // `actions`: the list that the planner is filling; outlives this.
  UsageAdapter(const usage::UsageOptions& options, TimePoint now, std::vector<Action>& actions);

  // See usage::UsageTable for these.
  void SetGroup(int size) { table_.SetGroup(size); }
  void Observe(std::string_view customer, double demand, TimePoint now);
  [[nodiscard]] double Demand(std::string_view customer, TimePoint now) const;
  bool Received(std::string_view bytes, TimePoint now) { return table_.Received(bytes, now); }

  // Broadcasts what is due.
  void Tick(TimePoint now);
  [[nodiscard]] std::optional<TimePoint> NextTick() const { return table_.NextTick(); }

 private:
  usage::UsageTable table_;
  std::vector<Action>& actions_;
};

}  // namespace postspread::planner

#endif  // POSTSPREAD_PLANNER_USAGE_ADAPTER_H_
