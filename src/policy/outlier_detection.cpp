#include "policy/outlier_detection.h"

#include <algorithm>
#include <cmath>

namespace postspread::policy {
namespace {

constexpr double kMaxConsecutiveFailures = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(1);  // doubles with each consecutive ejection
constexpr Duration kMaxEjection = std::chrono::seconds(8);
constexpr int kMaxDoublings = 4;

}  // namespace

void OutlierDetector::OnSuccess(Upstream& upstream) const {
  upstream.consecutive_failures = 0;
  if (context_.now() - upstream.ejected_until > kMaxEjection) upstream.ejections = 0;
}

void OutlierDetector::OnFailure(Upstream& upstream) const {
  // A gateway that receives less than one response per second from an upstream can't wait for a second
  // failure.
  const double responses_per_second = load_.recent_responses() / statistics::kTrafficTimeConstant.count();
  const double responses_per_upstream =
      responses_per_second / std::max<double>(1, static_cast<double>(upstreams_.available().size()));
  ++upstream.consecutive_failures;
  if (upstream.consecutive_failures >=
      std::clamp(std::ceil(responses_per_upstream), 1.0, kMaxConsecutiveFailures)) {
    Eject(upstream);
  }
}

void OutlierDetector::Eject(Upstream& upstream) const {
  upstream.consecutive_failures = 0;
  const auto& available = upstreams_.available();
  const auto ejected = std::count_if(available.begin(), available.end(), [this](const Upstream* other) {
    return other->IsEjected(context_.now());
  });
  if (2 * (ejected + 1) > std::ssize(available)) return;
  const Duration length =
      std::min(kMaxEjection, kFirstEjection * (1 << std::min(upstream.ejections, kMaxDoublings)));
  ++upstream.ejections;
  upstream.ejected_until = context_.now() + length;
  upstream.readmitted_at = upstream.ejected_until;
}

}  // namespace postspread::policy
