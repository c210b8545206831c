// What the operators' calls mean. No sockets.
#ifndef POSTSPREAD_OPS_ADMIN_CALLS_H_
#define POSTSPREAD_OPS_ADMIN_CALLS_H_

#include <string>
#include <string_view>

namespace postspread::ops {

struct Answer {
  int status = 200;
  std::string body;   // plain text, with a line end
  std::string allow;  // with 405: the method that the path has
};

// Who carries the calls out.
class AdminHandler {
 public:
  // Whether it serves; `state` is told in plain words.
  virtual bool Ready(std::string_view& state) = 0;
  virtual std::string Metrics() = 0;
  // The membership view as JSON; empty: it is off.
  virtual std::string Membership() = 0;
  // False: too late, the process is stopping.
  virtual bool Drain() = 0;
  virtual bool Activate() = 0;

 protected:
  ~AdminHandler() = default;
};

// `target` as the request line has it; what follows a '?' is not looked at.
Answer Call(std::string_view method, std::string_view target, AdminHandler& handler);

}  // namespace postspread::ops

#endif  // POSTSPREAD_OPS_ADMIN_CALLS_H_
