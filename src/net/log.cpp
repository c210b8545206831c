#include "net/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>

namespace postspread::net {
namespace {

constexpr std::chrono::seconds kMinLogInterval{1};  // between two lines of one RateLimitedLog
constexpr char kTextLogger[] = "postspread";
constexpr char kJsonLogger[] = "postspread-json";

// In JSON the message consists of further members, which the pattern encloses in the object.
constexpr char kTextPattern[] = "postspread: %v";
constexpr char kJsonPattern[] = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","program":"postspread",%v})";

std::shared_ptr<spdlog::logger> MakeLogger(LogFormat format) {
  const bool is_json = format == LogFormat::kJson;
  auto logger = std::make_shared<spdlog::logger>(is_json ? kJsonLogger : kTextLogger,
                                                 std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern(is_json ? kJsonPattern : kTextPattern, spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::trace);
  // A logging failure must not disturb the service.
  logger->set_error_handler([](const std::string&) {});
  return logger;
}

std::string Quote(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void SetLogFormat(LogFormat format) { spdlog::set_default_logger(MakeLogger(format)); }

void Log(std::string_view event, std::string_view detail) {
  spdlog::logger* logger = spdlog::default_logger_raw();
  if (logger->name() != kTextLogger && logger->name() != kJsonLogger) {
    SetLogFormat(LogFormat::kText);
    logger = spdlog::default_logger_raw();
  }
  std::string line;
  if (logger->name() == kJsonLogger) {
    line = "\"event\":" + Quote(event);
    if (!detail.empty()) line += ",\"detail\":" + Quote(detail);
  } else {
    line = event;
    if (!detail.empty()) line.append(": ").append(detail);
  }
  logger->log(spdlog::level::info, spdlog::string_view_t(line.data(), line.size()));
}

void RateLimitedLog::operator()(std::string_view event, std::string_view detail) {
  const auto now = std::chrono::steady_clock::now();
  if (now < next_) return;
  next_ = now + kMinLogInterval;
  Log(event, detail);
}

}  // namespace postspread::net
