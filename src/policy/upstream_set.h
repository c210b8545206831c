// The upstreams that a gateway knows, and those of them that are available, that is, listed and up.
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

  // Applies an endpoint list, which must not be null.
  void OnEndpointList(const EndpointListEvent& event);
  // Removes upstreams that are no longer in the list and have no attempt in flight.
  void RunMaintenance();

  [[nodiscard]] Upstream* Find(const std::string& id);
  [[nodiscard]] const Upstream* Find(const std::string& id) const;
  // Returns the available upstreams, ordered by id and including ejected ones.
  [[nodiscard]] const std::vector<Upstream*>& available() const { return available_; }
  // Returns the sum of the slow-start weights of the available upstreams, as of the last refresh.
  [[nodiscard]] double total_weight() const { return total_weight_; }
  [[nodiscard]] Controller::UpstreamCounts Count(TimePoint now) const;

 private:
  // Takes an upstream out of the list. The entry that removes it states nothing but its id.
  void Remove(const std::string& id);
  void Refresh();

  const DecisionContext& context_;
  std::map<std::string, Upstream> upstreams_;
  std::vector<Upstream*> available_;
  double total_weight_ = 0.0;
};

}  // namespace postspread::policy

#endif  // POSTSPREAD_POLICY_UPSTREAM_SET_H_
