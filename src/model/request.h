// One client request in the form that the planner takes, independent of the client's protocol.
#ifndef POSTSPREAD_MODEL_REQUEST_H_
#define POSTSPREAD_MODEL_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <string_view>

namespace postspread {

// The planner assigns each request an id and never reuses it. An id that a client chooses may name several
// requests.
using RequestId = std::uint64_t;

// Attempts of one request are numbered 0, 1, ... in the order in which they start.
using AttemptNumber = int;

// The text members refer to the received message. They are valid only during the call that takes the request.
struct Request {
  std::string_view class_name{};
  std::string_view plan{};
  std::string_view customer{};
  std::chrono::milliseconds timeout{0};  // The client waits this long for the response.
  double units = 1.0;
  // The gateways that serve the customer have `spread` consecutive ranks from `first` on, modulo the group
  // size.
  int spread = 1;
  int first = 0;
  bool is_retry = false;  // The client marked the request as a retry.
  bool is_write = false;
  std::string_view key{};  // The idempotency key; empty if the class uses none.
  std::string_view body{};
  std::uint64_t id_hash = 0;  // of the id that the client chose, the same in each process
};

}  // namespace postspread

#endif  // POSTSPREAD_MODEL_REQUEST_H_
