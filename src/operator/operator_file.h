// The operator file: what this installation switches on beside the platform's own configuration. Read,
// checked and given defaults here, once; errors name file, line and key. Blocks that are absent leave the
// program as it is without a file.
#ifndef POSTSPREAD_OPERATOR_OPERATOR_FILE_H_
#define POSTSPREAD_OPERATOR_OPERATOR_FILE_H_

#include <stdexcept>
#include <string>

#include "idempotency/limits.h"
#include "membership/types.h"
#include "subsetting/subset.h"
#include "usage/limits.h"

namespace postspread::operator_file {

// What is wrong with the file: "FILE:LINE: what", the key by its full name.
class OperatorError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct OperatorFile {
  idempotency::Limits idempotency;
  usage::Limits usage;
  membership::Limits membership;
  subsetting::Limits subsetting;
  bool operator==(const OperatorFile&) const = default;
};

// Throws OperatorError. A file is 1 MiB at most.
OperatorFile Load(const std::string& path);

// The same from the file's text; `name` stands for its path in messages.
OperatorFile Decode(const std::string& text, const std::string& name);

}  // namespace postspread::operator_file

#endif  // POSTSPREAD_OPERATOR_OPERATOR_FILE_H_
