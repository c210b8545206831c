#include "idempotency/answer_fetcher.h"

#include <algorithm>
#include <utility>

#include "idempotency/timing.h"

namespace postspread::idempotency {
namespace {

constexpr std::uint16_t kFetchWindow = 32;  // fragments per request, one per bit of FetchRecord::requested

}  // namespace

void ResponseFetcher::Request(Entry& entry, TimePoint now) {
  FragmentAssembly& assembly = entry.assembly;
  if (!assembly.active) assembly = FragmentAssembly{.active = true};
  const std::size_t count = assembly.total_bytes == 0 ? kFetchWindow : assembly.Count();
  FetchRecord fetch{.key = entry.key, .first = assembly.first_missing, .requested = 0};
  for (std::uint16_t offset = 0; offset < kFetchWindow; ++offset) {
    const std::size_t index = static_cast<std::size_t>(assembly.first_missing) + offset;
    if (index < count && !assembly.Has(index)) fetch.requested |= std::uint32_t{1} << offset;
  }
  peers_.Queue(entry.holder.rank, fetch, Reply::kExpected, now);
  entry.next_attempt = now + RetryInterval(limits_) + PacedSpan(kFetchWindow, limits_);
}

void ResponseFetcher::Cancel(Entry& entry) {
  if (!std::exchange(entry.assembly.active, false)) return;
  store_.DropResponse(entry);
}

FetchProgress ResponseFetcher::OnFragment(Entry& entry, const FragmentRecord& fragment, TimePoint now) {
  FragmentAssembly& assembly = entry.assembly;
  if (fragment.total == 0 || fragment.total > kMaxResponseBytes) return FetchProgress::kIgnored;
  if (assembly.total_bytes == 0) {
    assembly.total_bytes = fragment.total;
    if (!store_.ReserveResponse(entry, fragment.total)) return FetchProgress::kNoCapacity;
    entry.response.assign(fragment.total, '\0');
  }
  const std::size_t count = assembly.Count();
  const std::size_t offset = fragment.index * kFragmentBytes;
  if (fragment.total != assembly.total_bytes || fragment.index >= count) return FetchProgress::kIgnored;
  if (assembly.Has(fragment.index)) return FetchProgress::kIgnored;
  if (fragment.bytes.size() != std::min(kFragmentBytes, assembly.total_bytes - offset)) {
    return FetchProgress::kIgnored;
  }
  entry.response.replace(offset, fragment.bytes.size(), fragment.bytes);
  assembly.Mark(fragment.index);

  std::uint16_t missing = assembly.first_missing;
  while (missing < count && assembly.Has(missing)) ++missing;
  if (missing == count) {
    assembly.active = false;
    return FetchProgress::kComplete;
  }
  if (missing >= assembly.first_missing + kFetchWindow) {
    assembly.first_missing = missing;
    Request(entry, now);
  }
  return FetchProgress::kIncomplete;
}

void ResponseFetcher::SendFragments(int rank, const Entry& entry, const FetchRecord& fetch, TimePoint now) {
  const auto total = static_cast<std::uint32_t>(entry.response.size());
  for (std::uint16_t offset = 0; offset < kFetchWindow; ++offset) {
    const std::size_t begin = (static_cast<std::size_t>(fetch.first) + offset) * kFragmentBytes;
    if ((fetch.requested >> offset & 1) == 0 || begin >= total) continue;
    const FragmentRecord fragment{.key = entry.key,
                                  .index = static_cast<std::uint16_t>(fetch.first + offset),
                                  .total = total,
                                  .bytes = std::string(entry.response, begin, kFragmentBytes)};
    peers_.Queue(rank, fragment, Reply::kNone, now);
  }
}

}  // namespace postspread::idempotency
