#include "idempotency/answer_fetcher.h"

#include <algorithm>
#include <utility>

#include "idempotency/timing.h"

namespace postspread::idempotency {
namespace {

constexpr std::uint16_t kFetchWindow = 32;  // fragments a request: the bits of FetchRecord::requested

}  // namespace

void AnswerFetcher::Request(Entry& entry, TimePoint now) {
  FragmentAssembly& assembly = entry.assembly;
  if (!assembly.active) assembly = FragmentAssembly{.active = true};
  const std::size_t count = assembly.total_bytes == 0 ? kFetchWindow : assembly.Count();
  FetchRecord fetch{.key = entry.key, .first = assembly.first_missing, .requested = 0};
  for (std::uint16_t offset = 0; offset < kFetchWindow; ++offset) {
    const std::size_t index = static_cast<std::size_t>(assembly.first_missing) + offset;
    if (index < count && !assembly.Has(index)) fetch.requested |= std::uint32_t{1} << offset;
  }
  peers_.Queue(entry.holder.rank, fetch, Response::kExpected, now);
  entry.next_attempt = now + RetryInterval(limits_) + PacedSpan(kFetchWindow, limits_);
}

void AnswerFetcher::Cancel(Entry& entry) {
  if (!std::exchange(entry.assembly.active, false)) return;
  store_.DropAnswer(entry);
}

FetchProgress AnswerFetcher::OnFragment(Entry& entry, const FragmentRecord& fragment, TimePoint now) {
  FragmentAssembly& assembly = entry.assembly;
  if (fragment.total == 0 || fragment.total > kMaxAnswer) return FetchProgress::kIgnored;
  if (assembly.total_bytes == 0) {
    assembly.total_bytes = fragment.total;
    if (!store_.ReserveAnswer(entry, fragment.total)) return FetchProgress::kNoCapacity;
    entry.answer.assign(fragment.total, '\0');
  }
  const std::size_t count = assembly.Count();
  const std::size_t offset = fragment.index * kFragmentBytes;
  if (fragment.total != assembly.total_bytes || fragment.index >= count) return FetchProgress::kIgnored;
  if (assembly.Has(fragment.index)) return FetchProgress::kIgnored;
  if (fragment.bytes.size() != std::min(kFragmentBytes, assembly.total_bytes - offset)) {
    return FetchProgress::kIgnored;
  }
  entry.answer.replace(offset, fragment.bytes.size(), fragment.bytes);
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

void AnswerFetcher::SendFragments(int rank, const Entry& entry, const FetchRecord& fetch, TimePoint now) {
  const auto total = static_cast<std::uint32_t>(entry.answer.size());
  for (std::uint16_t offset = 0; offset < kFetchWindow; ++offset) {
    const std::size_t begin = (static_cast<std::size_t>(fetch.first) + offset) * kFragmentBytes;
    if ((fetch.requested >> offset & 1) == 0 || begin >= total) continue;
    const FragmentRecord fragment{.key = entry.key,
                                  .index = static_cast<std::uint16_t>(fetch.first + offset),
                                  .total = total,
                                  .bytes = std::string(entry.answer, begin, kFragmentBytes)};
    peers_.Queue(rank, fragment, Response::kNone, now);
  }
}

}  // namespace postspread::idempotency
