// The servers that a gateway knows, and which of them are available: listed and up.
#ifndef POSTSPREAD_POLICY_UPSTREAM_SET_H_
#define POSTSPREAD_POLICY_UPSTREAM_SET_H_

#include <map>
#include <string>
#include <vector>

#include "policy/decision_context.h"
#include "policy/upstream.h"

namespace postspread::policy {

class UpstreamSet {
 public:
  explicit UpstreamSet(const DecisionContext& context) : context_(context) {}

  // Takes on an endpoint list; `event.servers` is not null.
  void OnEndpointList(const EndpointListEvent& event);
  // Forgets servers that have left the list and have no attempt in flight.
  void RunMaintenance();

  [[nodiscard]] Upstream* Find(const std::string& id);
  [[nodiscard]] const Upstream* Find(const std::string& id) const;
  // In the order of ids; ejected servers included.
  [[nodiscard]] const std::vector<Upstream*>& available() const { return available_; }
  // Sum of the slow-start weights of the available servers, as of the last refresh.
  [[nodiscard]] double total_weight() const { return total_weight_; }
  [[nodiscard]] Controller::UpstreamCounts Count(TimePoint now) const;

 private:
  void Refresh();

  const DecisionContext& context_;
  std::map<std::string, Upstream> upstreams_;
  std::vector<Upstream*> available_;
  double total_weight_ = 0.0;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_UPSTREAM_SET_H_
