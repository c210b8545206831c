// Reads members of a JSON object into validated values. Every error names the member. The functions whose
// names end in `Or` return their default if the member is absent or null.
#ifndef POSTSPREAD_CONFIG_JSON_READER_H_
#define POSTSPREAD_CONFIG_JSON_READER_H_

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

namespace postspread::json_reader {

using nlohmann::json;

// A value is missing, of the wrong type or out of range. The text names the member.
class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

[[noreturn]] void ThrowJsonError(const std::string& what);

// Returns null if the member is absent or null.
const json* Find(const json& from, const char* key);
const json& Require(const json& from, const char* key);

std::int64_t ToInteger(const json& value, const char* key);
std::int64_t Integer(const json& from, const char* key, std::int64_t min, std::int64_t max);
std::int64_t IntegerOr(const json& from, const char* key, std::int64_t fallback);
double NumberOr(const json& from, const char* key, double fallback);
bool BoolOr(const json& from, const char* key, bool fallback = false);
std::string ToText(const json& value, const char* key);
std::string Text(const json& from, const char* key);
std::string TextOr(const json& from, const char* key, std::string fallback = "");
// The member is a number of microseconds.
std::chrono::microseconds Time(const json& from, const char* key);
std::chrono::microseconds TimeOr(const json& from, const char* key);
const json& Array(const json& from, const char* key);
// Returns an empty object if the member is absent.
const json& ObjectOr(const json& from, const char* key);

// A text value in JSON and the enum value that it stands for.
template <typename T>
struct EnumName {
  const char* name;
  T value;
};

template <typename T>
T Enum(const json& from, const char* key, std::initializer_list<EnumName<T>> names) {
  const std::string text = Text(from, key);
  for (const EnumName<T>& known : names) {
    if (text == known.name) return known.value;
  }
  ThrowJsonError("member \"" + std::string(key) + "\" has the unknown value \"" + text + "\"");
}

template <typename T>
T EnumOr(const json& from, const char* key, T fallback, std::initializer_list<EnumName<T>> names) {
  return Find(from, key) == nullptr ? fallback : Enum(from, key, names);
}

}  // namespace postspread::json_reader

#endif  // POSTSPREAD_CONFIG_JSON_READER_H_
