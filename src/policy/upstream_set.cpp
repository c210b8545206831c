#include "policy/upstream_set.h"

#include <iterator>

#include "policy/slow_start.h"

namespace postspread::policy {

void UpstreamSet::OnEndpointList(const EndpointListEvent& event) {
  if (event.kind != EndpointListKind::kPartial) {
    for (auto& [id, upstream] : upstreams_) upstream.in_endpoint_list = false;
  }
  for (const EndpointInfo& info : *event.upstreams) {
    if (info.state == EndpointState::kRemoved) {
      Remove(info.id);
      continue;
    }
    Upstream& upstream = upstreams_[info.id];
    // The upstream has a new process, so the state of the old one is discarded.
    if (info.started != upstream.info.started) {
      upstream = Upstream{.in_flight = upstream.in_flight, .waiting_since = context_.now()};
    }
    upstream.info = info;
    upstream.in_endpoint_list = true;
  }
  Refresh();
}

void UpstreamSet::Remove(const std::string& id) {
  Upstream* upstream = Find(id);
  if (upstream == nullptr) return;
  upstream->info.state = EndpointState::kRemoved;
  upstream->in_endpoint_list = false;
}

void UpstreamSet::RunMaintenance() {
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    const bool forget = !it->second.in_endpoint_list && it->second.in_flight == 0;
    it = forget ? upstreams_.erase(it) : std::next(it);
  }
  Refresh();
}

Upstream* UpstreamSet::Find(const std::string& id) {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second;
}

const Upstream* UpstreamSet::Find(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second;
}

Controller::UpstreamCounts UpstreamSet::Count(TimePoint now) const {
  Controller::UpstreamCounts counts;
  for (const auto& [id, upstream] : upstreams_) {
    if (!upstream.in_endpoint_list) continue;
    ++counts.total;
    if (upstream.IsAvoided(now)) ++counts.avoided;
  }
  return counts;
}

void UpstreamSet::Refresh() {
  available_.clear();
  total_weight_ = 0;
  for (auto& [id, upstream] : upstreams_) {
    if (!upstream.in_endpoint_list || upstream.info.state != EndpointState::kUp) continue;
    available_.push_back(&upstream);
    total_weight_ +=
        SlowStartWeight(context_.settings(), upstream, SlowStartCause::kStartOrEjection, context_.now());
  }
}

}  // namespace postspread::policy
