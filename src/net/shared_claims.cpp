#include "net/shared_claims.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <cstring>

#include "net/log.h"

namespace postspread::net {
namespace {

using safety::RequestClaim;
using safety::RequestClaims;

constexpr std::size_t kBytes = RequestClaims::kEntries * sizeof(RequestClaim);
static_assert(std::atomic<std::uint64_t>::is_always_lock_free, "two processes share the entries");

// Returns null on failure. The space is allocated first, since a write to a mapping without it would end the
// process.
void* Map(const std::string& path) {
  const int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600);
  if (fd < 0) return nullptr;
  void* mapping = MAP_FAILED;
  if (posix_fallocate(fd, 0, kBytes) == 0) {
    mapping = mmap(nullptr, kBytes, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  }
  close(fd);
  return mapping == MAP_FAILED ? nullptr : mapping;
}

}  // namespace

SharedClaims::SharedClaims(const std::string& path) {
  if (!path.empty()) {
    mapping_ = Map(path);
    if (mapping_ == nullptr) Log("request ids not shared", path + ": " + std::strerror(errno));
  }
  if (mapping_ != nullptr) {
    entries_ = {static_cast<RequestClaim*>(mapping_), RequestClaims::kEntries};
  } else {
    own_ = std::vector<RequestClaim>(RequestClaims::kEntries);
    entries_ = own_;
  }
}

SharedClaims::~SharedClaims() {
  if (mapping_ != nullptr) munmap(mapping_, kBytes);
}

std::string SharedClaimsPath(const std::string& address) {
  const char* folder = std::getenv("TMPDIR");
  if (folder == nullptr || *folder == '\0') return {};
  std::string name = address;
  std::replace(name.begin(), name.end(), '/', '_');
  return std::string(folder) + "/postspread-requests-" + name;
}

}  // namespace postspread::net
