// Responses whose value is large and is passed from the upstream to the client as it comes.
#ifndef POSTSPREAD_NET_GATEWAY_RESPONSE_STREAMS_H_
#define POSTSPREAD_NET_GATEWAY_RESPONSE_STREAMS_H_

#include <cstddef>
#include <unordered_map>

#include "flow/resource_partition.h"
#include "net/downstream/request_handler.h"
#include "net/upstream/upstream_pool.h"
#include "ops/metrics.h"

namespace postspread::net {

struct StreamingResponse {
  ResponseWriter* writer = nullptr;
  ResponseWriter::Slot slot = 0;
  int attempt = 0;  // that its value comes from
  ops::ClassMetrics* metrics = nullptr;
};

class ResponseStreams {
 public:
  ResponseStreams(UpstreamPool& pool, const flow::ResourcePartition& partition)
      : pool_(pool), partition_(partition) {}

  // Begins the response at its client's connection. The request is no longer in flight: its result is known.
  void Begin(RequestId request, const StreamingResponse& response);
  // How many bytes the client's connection takes now.
  [[nodiscard]] std::size_t Capacity(RequestId request) const;
  // Moves `size` bytes from the front of `from` to the client's connection.
  void Write(RequestId request, evbuffer* from, std::size_t size);
  // The value has come to its end, or broken off: ends or aborts the response, and counts it.
  void Complete(RequestId request);
  void Abort(RequestId request);
  // The client's connection takes bytes again.
  void Resume(RequestId request);
  // The client has disconnected: its upstream connection is closed. False where the request has no stream.
  bool Cancel(RequestId request);

  [[nodiscard]] std::size_t size() const { return streams_.size(); }

 private:
  UpstreamPool& pool_;
  const flow::ResourcePartition& partition_;
  std::unordered_map<RequestId, StreamingResponse> streams_;
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_GATEWAY_RESPONSE_STREAMS_H_
