// One request as the decision module sees it, whatever protocol it arrived by.
#ifndef POSTSPREAD_MODEL_REQUEST_H_
#define POSTSPREAD_MODEL_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <string_view>

namespace postspread {

// Assigned by the planner and never reused; a client's own id may name several requests.
using RequestId = std::uint64_t;

// Attempts of one request are numbered 0, 1, ... in the order in which they start.
using AttemptNumber = int;

// The text members are slices of the received message, valid for the call that the request is passed to.
struct Request {
  std::string_view class_name{};
  std::string_view plan{};
  std::string_view customer{};
  std::chrono::milliseconds timeout{0};  // how long the client waits for the response
  double units = 1.0;
  int spread = 1;         // gateways that serve the customer: this many consecutive ranks ...
  int first = 0;          // ... starting at this one, modulo the group size
  bool is_retry = false;  // the client says that it retries
  bool is_write = false;
  std::string_view key{};  // idempotency key; empty: its class has none
  std::string_view body{};
};

}  // namespace postspread

#endif  // POSTSPREAD_MODEL_REQUEST_H_
