#include "net/upstream/upstream_reply.h"

#include "resp/request.h"

namespace postspread::net {
namespace {

using planner::AttemptResult;
using Kind = resp::Reply::Kind;

std::optional<UpstreamReply> DecodeError(const resp::Reply& reply) {
  const std::string_view code = reply.text.substr(0, reply.text.find(' '));
  if (code != "BUSY" && code != "ERR") return std::nullopt;
  UpstreamReply out;
  out.result = code == "BUSY" ? AttemptResult::kRejected : AttemptResult::kError;
  resp::DecodeErrorTail(reply.text, out.use, out.load);
  return out;
}

std::optional<UpstreamReply> DecodeLoadReport(const resp::Reply& reply) {
  if (reply.kind != Kind::kBulk && reply.kind != Kind::kSimple) return std::nullopt;
  UpstreamReply out;
  out.result = AttemptResult::kSucceeded;
  out.load = resp::DecodeLoad(reply.text);
  return out;
}

// Decodes an array of the value, the usage values and the load report. The last two may be absent.
std::optional<UpstreamReply> DecodeValue(const resp::Reply& reply) {
  if (reply.kind != Kind::kArray || reply.count < 1) return std::nullopt;
  if (reply.parts[0].null || reply.first_raw.front() != '$') return std::nullopt;
  UpstreamReply out;
  out.result = AttemptResult::kSucceeded;
  out.value = reply.first_raw;
  if (reply.count >= 2 && !reply.parts[1].null) out.use = resp::DecodeUsage(reply.parts[1].text);
  if (reply.count >= 3 && !reply.parts[2].null) out.load = resp::DecodeLoad(reply.parts[2].text);
  return out;
}

}  // namespace

std::optional<UpstreamReply> DecodeReply(const resp::Reply& reply, UpstreamAttempt::Kind kind) {
  if (reply.kind == Kind::kError) return DecodeError(reply);
  return kind == UpstreamAttempt::Kind::kHealthCheck ? DecodeLoadReport(reply) : DecodeValue(reply);
}

}  // namespace postspread::net
