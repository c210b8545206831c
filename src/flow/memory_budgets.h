// This module owns the budgets of the process's memory. It has no clock and does no I/O.
#ifndef POSTSPREAD_FLOW_MEMORY_BUDGETS_H_
#define POSTSPREAD_FLOW_MEMORY_BUDGETS_H_

#include "flow/byte_budget.h"
#include "flow/resource_partition.h"

namespace postspread::flow {

// Each part of the gateway that grows with its clients, requests or upstreams reserves its memory here or is
// bounded by a number in the partition.
struct MemoryBudgets {
  explicit MemoryBudgets(const ResourcePartition& resources)
      : partition(resources),
        requests(resources.request_bytes),
        large_requests(resources.large_request_bytes),
        commands(resources.command_bytes),
        responses(resources.response_bytes) {}

  const ResourcePartition partition;
  ByteBudget requests;        // in flight, without large ones
  ByteBudget large_requests;  // being read and in flight
  ByteBudget commands;        // beyond the read-ahead, while they are read
  ByteBudget responses;       // replies beyond the read-ahead, and responses that clients have not read
};

}  // namespace postspread::flow

#endif  // POSTSPREAD_FLOW_MEMORY_BUDGETS_H_
