#include "json_read.h"

#include <cmath>
#include <limits>

namespace postspread::json_read {

void Bad(const std::string& what) { throw JsonError(what); }

const json* Find(const json& from, const char* key) {
  if (!from.is_object()) return nullptr;
  const auto it = from.find(key);
  return it == from.end() || it->is_null() ? nullptr : &*it;
}

const json& Need(const json& from, const char* key) {
  const json* value = Find(from, key);
  if (value == nullptr) Bad(std::string("missing member \"") + key + "\"");
  return *value;
}

std::int64_t ToInteger(const json& value, const char* key) {
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
      Bad(std::string("member \"") + key + "\" is out of range");
    }
    return static_cast<std::int64_t>(number);
  }
  if (value.is_number_integer()) return value.get<std::int64_t>();
  if (value.is_number_float() && std::abs(value.get<double>()) < 9e15 &&
      value.get<double>() == std::floor(value.get<double>())) {
    return static_cast<std::int64_t>(value.get<double>());
  }
  Bad(std::string("member \"") + key + "\" is not a whole number");
}

std::int64_t Integer(const json& from, const char* key, std::int64_t least, std::int64_t most) {
  const std::int64_t number = ToInteger(Need(from, key), key);
  if (number < least || number > most) Bad(std::string("member \"") + key + "\" is out of range");
  return number;
}

std::int64_t IntegerOr(const json& from, const char* key, std::int64_t absent) {
  const json* value = Find(from, key);
  return value == nullptr ? absent : ToInteger(*value, key);
}

static double ToNumber(const json& value, const char* key) {
  if (!value.is_number()) Bad(std::string("member \"") + key + "\" is not a number");
  return value.get<double>();
}

double NumberOr(const json& from, const char* key, double absent) {
  const json* value = Find(from, key);
  return value == nullptr ? absent : ToNumber(*value, key);
}

bool FlagOr(const json& from, const char* key, bool absent) {
  const json* value = Find(from, key);
  if (value == nullptr) return absent;
  if (!value->is_boolean()) Bad(std::string("member \"") + key + "\" is not true or false");
  return value->get<bool>();
}

std::string ToText(const json& value, const char* key) {
  if (!value.is_string()) Bad(std::string("member \"") + key + "\" is not text");
  return value.get<std::string>();
}

std::string Text(const json& from, const char* key) { return ToText(Need(from, key), key); }

std::string TextOr(const json& from, const char* key, std::string absent) {
  const json* value = Find(from, key);
  return value == nullptr ? std::move(absent) : ToText(*value, key);
}

std::chrono::microseconds Time(const json& from, const char* key) {
  return std::chrono::microseconds(Integer(from, key, 0, std::numeric_limits<std::int64_t>::max()));
}

std::chrono::microseconds TimeOr(const json& from, const char* key) {
  return std::chrono::microseconds(IntegerOr(from, key, 0));
}

const json& Array(const json& from, const char* key) {
  const json& value = Need(from, key);
  if (!value.is_array()) Bad(std::string("member \"") + key + "\" is not a list");
  return value;
}

const json& Part(const json& from, const char* key) {
  static const json kNone = json::object();
  const json* value = Find(from, key);
  if (value != nullptr && !value->is_object()) Bad(std::string("member \"") + key + "\" is not an object");
  return value == nullptr ? kNone : *value;
}

}  // namespace postspread::json_read
