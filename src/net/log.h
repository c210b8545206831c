// Writes log lines to standard error through spdlog. The text of each event is stable; docs/oncall.md lists
// the events.
#ifndef POSTSPREAD_NET_LOG_H_
#define POSTSPREAD_NET_LOG_H_

#include <chrono>
#include <string>
#include <string_view>

namespace postspread::net {

enum class LogFormat { kText, kJson };

// Sets the format of all further lines; the default is text. In JSON each line is one object with the members
// "time" (UTC, to the millisecond), "program", "event" and, if there is one, "detail".
void SetLogFormat(LogFormat format);

// Writes one line with the program's name, the event and its detail. Only the detail varies between lines of
// the same event.
void Log(std::string_view event, std::string_view detail = {});

// Logs at most one line per second, for events that may occur with every request. Further lines are dropped.
class RateLimitedLog {
 public:
  void operator()(std::string_view event, std::string_view detail = {});

 private:
  std::chrono::steady_clock::time_point next_{};
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_LOG_H_
