#include "http/lines.h"

#include <utility>

namespace postspread::http {

bool LineReader::ReadLine(std::string_view& rest, std::string_view& line) {
  if (std::exchange(returned_, false)) line_.clear();
  const std::size_t end = rest.find('\n');
  const std::size_t size = end == std::string_view::npos ? rest.size() : end + 1;
  bytes_read_ += size;
  if (too_long()) return false;
  line_.append(rest.substr(0, size));
  rest.remove_prefix(size);
  if (end == std::string_view::npos) return false;
  line_.pop_back();
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  returned_ = true;
  line = line_;
  return true;
}

}  // namespace postspread::http
