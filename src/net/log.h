// Log lines on standard error. The wording of each is fixed; docs/oncall.md lists them.
#ifndef POSTSPREAD_NET_LOG_H_
#define POSTSPREAD_NET_LOG_H_

#include <string>
#include <string_view>

namespace postspread::net {

// One line: the program's name, the event's fixed wording, and what varies behind a colon.
void Log(std::string_view event, std::string_view detail = {});

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_LOG_H_
