// The simulator adapter: reads the simulator's messages from standard input, passes the events of each
// instance to its own Controller, and writes one reply per batch to standard output.
#include <iostream>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "postspread/control.h"
#include "simulator/wire.h"

namespace {

using postspread::Action;
using postspread::Controller;
using postspread::TimePoint;
namespace simulator = postspread::simulator;

// Owns a Controller for each simulated instance, and the reply to the current batch.
class InstanceHost {
 public:
  // Handles one message. Returns true if the batch has ended and its reply must be written.
  bool Handle(simulator::Message message) {
    if (const auto* start = std::get_if<simulator::BatchStart>(&message)) {
      StartBatch(*start);
      return false;
    }
    if (!in_batch_) throw simulator::WireError("a line outside a batch");
    if (std::holds_alternative<simulator::BatchEnd>(message)) {
      in_batch_ = false;
      return true;
    }
    if (auto* start = std::get_if<simulator::InstanceStart>(&message)) {
      instances_.insert_or_assign(start->instance, Controller(std::move(start->settings), start->seed, now_));
    } else if (const auto* stop = std::get_if<simulator::InstanceStop>(&message)) {
      instances_.erase(stop->instance);
    } else if (const auto* event = std::get_if<simulator::InstanceEvent>(&message)) {
      HandleEvent(*event);
    }
    return false;
  }

  std::string TakeReply() {
    std::string reply = std::move(reply_);
    reply_.clear();
    return reply + simulator::EncodeReplyEnd() + "\n";
  }

  [[nodiscard]] bool in_batch() const { return in_batch_; }

 private:
  void StartBatch(const simulator::BatchStart& start) {
    if (in_batch_) throw simulator::WireError("a batch begins inside a batch");
    if (start.now < now_) throw simulator::WireError("the clock runs backwards");
    now_ = start.now;
    in_batch_ = true;
  }

  void HandleEvent(const simulator::InstanceEvent& event) {
    const auto instance = instances_.find(event.instance);
    if (instance == instances_.end()) {
      throw simulator::WireError("an event for an instance that was not started");
    }
    actions_.clear();
    instance->second.Handle(event.event, now_, actions_);
    for (const Action& action : actions_) {
      const std::string line = simulator::Encode(event.instance, action);
      if (!line.empty()) reply_ += line + '\n';
    }
  }

  std::map<std::int64_t, Controller> instances_;
  std::vector<Action> actions_;
  std::string reply_;
  TimePoint now_{0};
  bool in_batch_ = false;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  InstanceHost host;
  simulator::Decoder decoder;
  std::string line;
  long number = 0;
  try {
    while (std::getline(std::cin, line)) {
      ++number;
      if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
      if (host.Handle(decoder.Decode(line))) std::cout << host.TakeReply() << std::flush;
    }
    if (host.in_batch()) throw simulator::WireError("the input ends inside a batch");
  } catch (const simulator::WireError& error) {
    std::cerr << "postspread_simulator_adapter: line " << number << ": " << error.what() << "\n";
    return 1;
  }
  return 0;
}
