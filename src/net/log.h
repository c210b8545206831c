// Log lines on standard error, by way of spdlog. The wording of each is fixed; docs/oncall.md lists them.
#ifndef POSTSPREAD_NET_LOG_H_
#define POSTSPREAD_NET_LOG_H_

#include <chrono>
#include <string>
#include <string_view>

namespace postspread::net {

enum class LogFormat { kText, kJson };

// Sets the form of all lines from now on; before it is called they are text. As JSON a line is one object:
// "time" (UTC, to the millisecond), "program", "event" and, where there is one, "detail".
void OpenLog(LogFormat format);

// One line: the program's name, the event's fixed wording, and what varies behind a colon.
void Log(std::string_view event, std::string_view detail = {});

// The same once a second at most, for what may come with every request.
class RareLog {
 public:
  void operator()(std::string_view event, std::string_view detail = {});

 private:
  std::chrono::steady_clock::time_point next_{};
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_LOG_H_
