// JSON lines of the simulator's wire to and from the structs of postspread/control.h. Pure translation.
#ifndef POSTSPREAD_SIMULATOR_WIRE_H_
#define POSTSPREAD_SIMULATOR_WIRE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "json_read.h"
#include "postspread/control.h"

namespace postspread::simulator {

// What was wrong with a line, in plain words.
using WireError = json_read::JsonError;

struct BatchStart {
  TimePoint now{0};
};
struct BatchEnd {};
struct Nothing {};  // a line that only the decoder needed
struct InstanceStart {
  std::int64_t instance = 0;
  std::uint64_t seed = 0;
  Settings settings;
};
struct InstanceStop {
  std::int64_t instance = 0;
};
struct InstanceEvent {
  std::int64_t instance = 0;
  Event event;
};

using Message = std::variant<BatchStart, BatchEnd, Nothing, InstanceStart, InstanceStop, InstanceEvent>;

// Reads lines in order; keeps the numbered server lists that later lines refer to.
class Decoder {
 public:
  // Throws WireError.
  Message Decode(std::string_view line);

 private:
  std::map<std::int64_t, std::shared_ptr<const std::vector<ServerInfo>>> lists_;
};

// One line, without its end; empty where the wire has no word for the action.
std::string Encode(std::int64_t instance, const Action& action);
std::string EncodeReplyEnd();

}  // namespace postspread::simulator

#endif  // POSTSPREAD_SIMULATOR_WIRE_H_
