#include "net/process_memory.h"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string_view>

namespace postspread::net {
namespace {

constexpr int kMinMappedBytes = 64 * 1024;  // a block of this size is a mapping of its own
constexpr int kMaxFreeTopBytes = 128 * 1024;
constexpr std::size_t kMinTrimmedBytes = std::size_t{512} * 1024;
constexpr std::chrono::milliseconds kTrimInterval{250};

}  // namespace

void ConfigureAllocator() {
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kMaxFreeTopBytes);
}

std::size_t ResidentBytes() {
  const int fd = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
  if (fd < 0) return 0;
  std::array<char, 128> text{};
  const ssize_t size = read(fd, text.data(), text.size());
  close(fd);
  std::string_view line(text.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
  // The second number is the resident set in pages.
  line.remove_prefix(std::min(line.size(), line.find(' ') + 1));
  std::size_t pages = 0;
  std::from_chars(line.data(), line.data() + line.size(), pages);
  return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

MemoryTrimmer::MemoryTrimmer(event_base* base) : timer_(base, [this] { Trim(); }) {
  timer_.Arm(kTrimInterval);
}

void MemoryTrimmer::Trim() {
  timer_.Arm(kTrimInterval);
  if (mallinfo2().fordblks >= kMinTrimmedBytes) malloc_trim(0);
}

}  // namespace postspread::net
