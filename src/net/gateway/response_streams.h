// This module streams large response values.
#ifndef POSTSPREAD_NET_GATEWAY_RESPONSE_STREAMS_H_
#define POSTSPREAD_NET_GATEWAY_RESPONSE_STREAMS_H_

#include <cstddef>
#include <unordered_map>

#include "flow/resource_partition.h"
#include "net/downstream/request_handler.h"
#include "net/upstream/upstream_pool.h"
#include "ops/metrics.h"

namespace postspread::net {

// Describes a response that is being streamed.
struct StreamingResponse {
  ResponseWriter* writer = nullptr;
  ResponseWriter::Slot slot = 0;
  // The value comes from this attempt.
  int attempt = 0;
  // These are the metrics of the request's class.
  ops::ClassMetrics* metrics = nullptr;
};

// Passes large values from the upstream to the client as they arrive, without buffering them whole.
class ResponseStreams {
 public:
  ResponseStreams(UpstreamPool& pool, const flow::ResourcePartition& partition)
      : pool_(pool), partition_(partition) {}

  // Begins the response on its client's connection. The request is no longer in flight: its result is known.
  void Begin(RequestId request, const StreamingResponse& response);
  // Returns how many bytes the client's connection can buffer now.
  [[nodiscard]] std::size_t Capacity(RequestId request) const;
  // Moves `size` bytes from the front of `from` to the client's connection.
  void Write(RequestId request, evbuffer* from, std::size_t size);
  // Complete ends the response after its last byte, and Abort ends it if the value broke off. Both count
  // the request.
  void Complete(RequestId request);
  void Abort(RequestId request);
  // Resumes reading from the upstream, since the client's connection has capacity again.
  void Resume(RequestId request);
  // Closes the upstream connection of a stream whose client has disconnected. Returns false if the request
  // has no stream.
  bool Cancel(RequestId request);

  [[nodiscard]] std::size_t size() const { return streams_.size(); }
  // Returns whether one more value may be streamed.
  [[nodiscard]] bool HasCapacity() const { return streams_.size() < partition_.MaxStreams(); }

 private:
  UpstreamPool& pool_;
  const flow::ResourcePartition& partition_;
  std::unordered_map<RequestId, StreamingResponse> streams_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_RESPONSE_STREAMS_H_
