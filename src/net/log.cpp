#include "net/log.h"

#include <unistd.h>

namespace postspread::net {

void Log(std::string_view event, std::string_view detail) {
  std::string line = "postspread: ";
  line += event;
  if (!detail.empty()) line.append(": ").append(detail);
  line += '\n';
  // One call a line, so that lines stay whole; a log that takes nothing must not stop the service.
  [[maybe_unused]] const ssize_t written = write(STDERR_FILENO, line.data(), line.size());
}

void RareLog::operator()(std::string_view event, std::string_view detail) {
  const auto now = std::chrono::steady_clock::now();
  if (now < next_) return;
  next_ = now + std::chrono::seconds(1);
  Log(event, detail);
}

}  // namespace postspread::net
