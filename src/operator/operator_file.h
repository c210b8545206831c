// The operator file: the optional features that an installation enables in addition to the platform's
// configuration. It is read, validated and completed with defaults only here. Errors name file, line and key.
// An absent block has the same effect as an absent file.
#ifndef POSTSPREAD_OPERATOR_OPERATOR_FILE_H_
#define POSTSPREAD_OPERATOR_OPERATOR_FILE_H_

#include <stdexcept>
#include <string>

#include "idempotency/limits.h"
#include "membership/types.h"
#include "subsetting/subset.h"
#include "usage/limits.h"

namespace postspread::operator_file {

// The file is invalid. The text has the form "FILE:LINE: message" and contains the key's full name.
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

// Throws OperatorError, also if the file is larger than 1 MiB.
OperatorFile Load(const std::string& path);

// Decodes the file's text. Error messages contain `name` as its path. Throws OperatorError.
OperatorFile Decode(const std::string& text, const std::string& name);

}  // namespace postspread::operator_file

#endif  // POSTSPREAD_OPERATOR_OPERATOR_FILE_H_
