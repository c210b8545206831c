// Log lines on standard error, through spdlog. The wording of each event is fixed; docs/oncall.md lists them.
#ifndef POSTSPREAD_NET_LOG_H_
#define POSTSPREAD_NET_LOG_H_

#include <chrono>
#include <string>
#include <string_view>

namespace postspread::net {

enum class LogFormat { kText, kJson };

// Sets the format of all lines from now on; until then it is text. In JSON a line is one object: "time" (UTC,
// in milliseconds), "program", "event" and, where there is one, "detail".
void OpenLog(LogFormat format);

// One line: the program's name, the event and its detail, which is the part that varies.
void Log(std::string_view event, std::string_view detail = {});

// The same at most once a second, for events that may come with every request. Others are dropped.
class RareLog {
 public:
  void operator()(std::string_view event, std::string_view detail = {});

 private:
  std::chrono::steady_clock::time_point next_{};
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_LOG_H_
