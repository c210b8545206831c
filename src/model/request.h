// One request as the decisions see it, whatever protocol it came in by.
#ifndef POSTSPREAD_MODEL_REQUEST_H_
#define POSTSPREAD_MODEL_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <string_view>

namespace postspread {

// Given out by the planner: a client may use one id for several requests. Never used again.
using RequestId = std::uint64_t;

// The text members are slices of the message; they hold for the call that the request is passed to.
struct Request {
  std::string_view class_name{};
  std::string_view plan{};
  std::string_view customer{};
  std::chrono::milliseconds timeout{0};  // how long the sender waits for the answer
  double units = 1.0;
  int spread = 1;         // the customer's gateways: so many in a row ...
  int first = 0;          // ... from this number, counted round
  bool is_retry = false;  // the sender says that it asks again
  bool is_write = false;
  std::string_view key{};   // that marks repeats; empty: its class has none
  std::string_view body{};  // what the request carries
};

}  // namespace postspread

#endif  // POSTSPREAD_MODEL_REQUEST_H_
