#include "net/gateway/response_streams.h"

namespace postspread::net {

void ResponseStreams::Begin(RequestId request, const StreamingResponse& response) {
  streams_.emplace(request, response);
  response.writer->BeginStream(response.slot, partition_.StreamWindow(streams_.size()));
}

std::size_t ResponseStreams::Capacity(RequestId request) const {
  const auto found = streams_.find(request);
  return found == streams_.end() ? 0 : found->second.writer->StreamCapacity(found->second.slot);
}

void ResponseStreams::Write(RequestId request, evbuffer* from, std::size_t size) {
  const auto found = streams_.find(request);
  if (found != streams_.end()) found->second.writer->WriteStream(found->second.slot, from, size);
}

void ResponseStreams::Complete(RequestId request) {
  const auto found = streams_.find(request);
  if (found == streams_.end()) return;
  const StreamingResponse response = found->second;
  streams_.erase(found);
  ++response.metrics->completed;
  response.writer->EndStream(response.slot);
}

void ResponseStreams::Abort(RequestId request) {
  const auto found = streams_.find(request);
  if (found == streams_.end()) return;
  const StreamingResponse response = found->second;
  streams_.erase(found);
  ++response.metrics->failed;
  response.writer->AbortStream(response.slot);
}

void ResponseStreams::Resume(RequestId request) {
  const auto found = streams_.find(request);
  if (found != streams_.end()) pool_.Resume({request, found->second.attempt});
}

bool ResponseStreams::Cancel(RequestId request) {
  const auto found = streams_.find(request);
  if (found == streams_.end()) return false;
  const int attempt = found->second.attempt;
  streams_.erase(found);
  pool_.CancelAttempt({request, attempt});
  return true;
}

}  // namespace postspread::net
