#include "net/upstream/upstream_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "resp/frame.h"

namespace postspread::net {
namespace {

using planner::AttemptResult;
using std::chrono::microseconds;

constexpr std::chrono::milliseconds kMaintenanceInterval{250};
// The fraction of the upstreams' idle limit within which a connection is reused. A request that is sent at
// the limit itself would be reset.
constexpr double kIdleLimitFraction = 0.7;

std::string HealthCheckCommand() {
  std::string out;
  resp::AppendCommand({"INFO", "load"}, out);
  return out;
}

}  // namespace

UpstreamPool::UpstreamPool(event_base* base, Limits limits, flow::MemoryBudgets& memory,
                           AttemptListener& listener)
    : limits_(limits),
      max_idle_(std::chrono::duration_cast<microseconds>(limits.idle * kIdleLimitFraction)),
      context_{.base = base,
               .dial_timeout = limits.dial_timeout,
               .health_check_command = HealthCheckCommand(),
               .memory = memory,
               .listener = listener},
      maintenance_(base, [this] { RunMaintenance(); }) {
  maintenance_.Arm(kMaintenanceInterval);
}

UpstreamPool::~UpstreamPool() = default;

// ---- Endpoint list

PooledUpstream& UpstreamPool::FindOrAdd(const std::string& name) {
  std::unique_ptr<PooledUpstream>& upstream = upstreams_[name];
  if (!upstream) {
    upstream = std::make_unique<PooledUpstream>();
    upstream->name = name;
  }
  return *upstream;
}

void UpstreamPool::Apply(const config::EndpointList& endpoint_list) {
  if (endpoint_list.is_snapshot) {
    for (auto& [name, upstream] : upstreams_) upstream->state = UpstreamState::kRemoved;
  }
  std::vector<PooledUpstream*> replaced;
  for (const config::Endpoint& entry : endpoint_list.entries) {
    PooledUpstream& upstream = FindOrAdd(entry.upstream.name);
    upstream.state = entry.upstream.state;
    if (upstream.state == UpstreamState::kRemoved) continue;
    if (!upstream.IsSameProcess(entry)) {
      ++upstream.incarnation;
      CloseIdleConnections(upstream);
      replaced.push_back(&upstream);
    }
    upstream.SetProcess(entry);
  }
  std::vector<PooledUpstream*> not_ready;
  for (auto& [name, upstream] : upstreams_) {
    if (upstream->state != UpstreamState::kReady) not_ready.push_back(upstream.get());
  }
  for (PooledUpstream* upstream : not_ready) CloseIdleConnections(*upstream);
  // Closes connections with unsent attempts, which can be retried at another upstream. This comes last, so
  // that the retries find the whole list applied.
  for (PooledUpstream* upstream : replaced) CloseUnsent(*upstream);
  for (PooledUpstream* upstream : not_ready) CloseUnsent(*upstream);
}

// The report of a closed attempt may close further connections.
void UpstreamPool::CloseUnsent(PooledUpstream& upstream) {
  for (std::size_t i = upstream.connections.size(); i-- > 0;) {
    if (i < upstream.connections.size()) upstream.connections[i]->CloseIfUnsent();
  }
}

// ---- Attempts and health checks

void UpstreamPool::StartAttempt(const AttemptKey& key, const std::string& upstream,
                                const resp::EncodedRequest& message, const AttemptLimits& limits) {
  Start(upstream, UpstreamAttempt::ForRequest(key, message, limits));
}

void UpstreamPool::StartHealthCheck(const std::string& upstream) {
  Start(upstream, UpstreamAttempt::ForHealthCheck(limits_.dial_timeout));
}

void UpstreamPool::Start(const std::string& upstream, UpstreamAttempt attempt) {
  const auto found = upstreams_.find(upstream);
  UpstreamConnection* connection = found == upstreams_.end() ? nullptr : Acquire(*found->second);
  if (connection != nullptr) {
    if (!attempt.is_health_check()) attempts_[attempt.key] = connection;
    return connection->Begin(std::move(attempt));
  }
  if (attempt.is_health_check()) {
    return context_.listener.OnHealthCheckFinished(
        {.upstream = upstream, .result = AttemptResult::kConnectFailed});
  }
  context_.listener.OnAttemptFinished({.request = attempt.key.request,
                                       .attempt = attempt.key.attempt,
                                       .upstream = upstream,
                                       .result = AttemptResult::kConnectFailed},
                                      {});
}

void UpstreamPool::CancelAttempt(const AttemptKey& key) {
  const auto found = attempts_.find(key);
  if (found != attempts_.end()) found->second->Close(AttemptResult::kCancelled);
}

void UpstreamPool::CancelIfPartlySent(const AttemptKey& key) {
  const auto found = attempts_.find(key);
  if (found != attempts_.end()) found->second->CloseIfPartlySent();
}

void UpstreamPool::DiscardMessage(const AttemptKey& key) {
  const auto found = attempts_.find(key);
  if (found != attempts_.end()) found->second->DiscardMessage();
}

void UpstreamPool::LimitArrival(const AttemptKey& key, Clock::time_point arrive_by) {
  const auto found = attempts_.find(key);
  if (found != attempts_.end()) found->second->LimitArrival(arrive_by);
}

void UpstreamPool::Resume(const AttemptKey& key) {
  const auto found = attempts_.find(key);
  if (found != attempts_.end()) found->second->Resume();
}

// ---- Connections

// Returns a connection for a new attempt, or null if none is available.
UpstreamConnection* UpstreamPool::Acquire(PooledUpstream& upstream) {
  if (upstream.state != UpstreamState::kReady) return nullptr;
  UpstreamConnection* idle = FindIdle(upstream);
  return idle != nullptr ? idle : Open(upstream);
}

// Returns the most recently used idle connection, so that the others reach their idle limit, or null if none
// can be reused.
UpstreamConnection* UpstreamPool::FindIdle(PooledUpstream& upstream) {
  for (;;) {
    UpstreamConnection* best = nullptr;
    const auto now = Clock::now();
    const auto reusable_since = context_.late_duplicates.ReusableIfIdleSince(now);
    for (const auto& connection : upstream.connections) {
      if (!connection->is_idle() || connection->idle_since() > reusable_since) continue;
      if (best == nullptr || connection->idle_since() > best->idle_since()) best = connection.get();
    }
    if (best == nullptr || now - best->idle_since() >= max_idle_) return nullptr;
    if (!best->IsStale()) return best;
    if (best->HasUnsolicitedBytes()) context_.late_duplicates.Record(Clock::now());
    Remove(*best);
  }
}

UpstreamConnection* UpstreamPool::Open(PooledUpstream& upstream) {
  if (open_connections_ >= context_.memory.partition.upstream_connections && !EvictIdle()) {
    not_dialed_log_("upstream not dialed", "too many connections are open");
    return nullptr;
  }
  auto connection =
      std::make_unique<UpstreamConnection>(context_, static_cast<UpstreamConnectionOwner&>(*this), upstream);
  if (!connection->Connect()) return nullptr;
  ++open_connections_;
  return upstream.connections.emplace_back(std::move(connection)).get();
}

// Closes the connection that has been idle for longest. Returns false if none is idle.
bool UpstreamPool::EvictIdle() {
  UpstreamConnection* oldest = nullptr;
  for (auto& [name, upstream] : upstreams_) {
    for (const auto& connection : upstream->connections) {
      if (!connection->is_idle()) continue;
      if (oldest == nullptr || connection->idle_since() < oldest->idle_since()) oldest = connection.get();
    }
  }
  if (oldest != nullptr) Remove(*oldest);
  return oldest != nullptr;
}

std::unique_ptr<UpstreamConnection> UpstreamPool::Remove(UpstreamConnection& connection) {
  auto& connections = connection.upstream().connections;
  const auto found = std::find_if(connections.begin(), connections.end(),
                                  [&connection](const auto& owned) { return owned.get() == &connection; });
  std::unique_ptr<UpstreamConnection> removed = std::move(*found);
  connections.erase(found);
  --open_connections_;
  return removed;
}

void UpstreamPool::CloseIdleConnections(PooledUpstream& upstream) {
  CloseIdleSince(upstream, Clock::time_point::max());
}

// Closes the connections that have been idle since `idle_since` or earlier.
void UpstreamPool::CloseIdleSince(PooledUpstream& upstream, Clock::time_point idle_since) {
  for (std::size_t i = upstream.connections.size(); i-- > 0;) {
    UpstreamConnection& connection = *upstream.connections[i];
    if (connection.is_idle() && connection.idle_since() <= idle_since) Remove(connection);
  }
}

void UpstreamPool::RunMaintenance() {
  maintenance_.Arm(kMaintenanceInterval);
  const auto idle_since = Clock::now() - max_idle_;
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    PooledUpstream& upstream = *it->second;
    CloseIdleSince(upstream, idle_since);
    for (const auto& connection : upstream.connections) connection->EnsureWatched();
    const bool is_unused = upstream.state == UpstreamState::kRemoved && upstream.connections.empty();
    it = is_unused ? upstreams_.erase(it) : std::next(it);
  }
}

}  // namespace postspread::net
