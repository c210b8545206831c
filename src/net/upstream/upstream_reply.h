// Decodes the complete reply of an upstream to an attempt or health check.
#ifndef POSTSPREAD_NET_UPSTREAM_UPSTREAM_REPLY_H_
#define POSTSPREAD_NET_UPSTREAM_UPSTREAM_REPLY_H_

#include <optional>
#include <string_view>

#include "model/load_report.h"
#include "net/upstream/upstream_attempt.h"
#include "planner/types.h"
#include "resp/frame.h"

namespace postspread::net {

struct UpstreamReply {
  planner::AttemptResult result = planner::AttemptResult::kError;
  UpstreamLoad load;
  ReportedUsage use;
  std::string_view value;  // a slice of the reply, with its framing
};

// Returns nothing if the reply is malformed.
std::optional<UpstreamReply> DecodeReply(const resp::Reply& reply, UpstreamAttempt::Kind kind);

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_UPSTREAM_UPSTREAM_REPLY_H_
