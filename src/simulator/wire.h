// Converts the simulator's JSON lines to and from the types of postspread/control.h.
#ifndef POSTSPREAD_SIMULATOR_WIRE_H_
#define POSTSPREAD_SIMULATOR_WIRE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/json_reader.h"
#include "postspread/control.h"

namespace postspread::simulator {

// A line can't be decoded. The text names the invalid member.
using WireError = json_reader::JsonError;

struct BatchStart {
  TimePoint now{0};
};
struct BatchEnd {};
struct NothingToHandle {};  // the line only changed the decoder's state
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

using Message =
    std::variant<BatchStart, BatchEnd, NothingToHandle, InstanceStart, InstanceStop, InstanceEvent>;

// Decodes lines in order, and stores the numbered upstream lists to which later lines refer.
class Decoder {
 public:
  // Throws WireError.
  Message Decode(std::string_view line);

 private:
  NothingToHandle StoreEndpointList(const json_reader::json& from);
  [[nodiscard]] EndpointListEvent DecodeEndpointList(const json_reader::json& from) const;

  std::map<std::int64_t, std::shared_ptr<const std::vector<EndpointInfo>>> lists_;
};

// Returns one line, without its line end; empty if the simulator has no message for the action.
std::string Encode(std::int64_t instance, const Action& action);
std::string EncodeReplyEnd();

}  // namespace postspread::simulator

#endif  // POSTSPREAD_SIMULATOR_WIRE_H_
