// The memory of RequestClaims: the process's own, or a file that it shares with the other process of an
// upgrade.
#ifndef POSTSPREAD_NET_SHARED_CLAIMS_H_
#define POSTSPREAD_NET_SHARED_CLAIMS_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "safety/request_claims.h"

namespace postspread::net {

class SharedClaims {
 public:
  // Maps the file at `path`, which is created if it is missing. Uses the process's own memory where `path` is
  // empty or can't be mapped; the log tells of the latter.
  explicit SharedClaims(const std::string& path);
  ~SharedClaims();
  SharedClaims(const SharedClaims&) = delete;
  SharedClaims& operator=(const SharedClaims&) = delete;

  [[nodiscard]] std::span<safety::RequestClaim> entries() { return entries_; }

 private:
  std::vector<safety::RequestClaim> own_;
  void* mapping_ = nullptr;
  std::span<safety::RequestClaim> entries_;
};

// Returns the path of the file for a gateway that listens on `address`, or an empty path if the system names
// no folder for such files.
std::string SharedClaimsPath(const std::string& address);

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_SHARED_CLAIMS_H_
