#include "config/json_reader.h"

#include <cmath>
#include <limits>

namespace postspread::json_reader {
namespace {

constexpr double kMaxExactDouble = 9e15;  // a double represents integers up to about 2^53 exactly

double ToNumber(const json& value, const char* key) {
  if (!value.is_number()) ThrowJsonError(std::string("member \"") + key + "\" is not a number");
  return value.get<double>();
}

}  // namespace

void ThrowJsonError(const std::string& what) { throw JsonError(what); }

const json* Find(const json& from, const char* key) {
  if (!from.is_object()) return nullptr;
  const auto it = from.find(key);
  return it == from.end() || it->is_null() ? nullptr : &*it;
}

const json& Require(const json& from, const char* key) {
  const json* value = Find(from, key);
  if (value == nullptr) ThrowJsonError(std::string("missing member \"") + key + "\"");
  return *value;
}

std::int64_t ToInteger(const json& value, const char* key) {
  if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
      ThrowJsonError(std::string("member \"") + key + "\" is out of range");
    }
    return static_cast<std::int64_t>(number);
  }
  if (value.is_number_integer()) return value.get<std::int64_t>();
  if (value.is_number_float() && std::abs(value.get<double>()) < kMaxExactDouble &&
      value.get<double>() == std::floor(value.get<double>())) {
    return static_cast<std::int64_t>(value.get<double>());
  }
  ThrowJsonError(std::string("member \"") + key + "\" is not a whole number");
}

std::int64_t Integer(const json& from, const char* key, std::int64_t min, std::int64_t max) {
  const std::int64_t number = ToInteger(Require(from, key), key);
  if (number < min || number > max) ThrowJsonError(std::string("member \"") + key + "\" is out of range");
  return number;
}

std::int64_t IntegerOr(const json& from, const char* key, std::int64_t fallback) {
  const json* value = Find(from, key);
  return value == nullptr ? fallback : ToInteger(*value, key);
}

double NumberOr(const json& from, const char* key, double fallback) {
  const json* value = Find(from, key);
  return value == nullptr ? fallback : ToNumber(*value, key);
}

bool BoolOr(const json& from, const char* key, bool fallback) {
  const json* value = Find(from, key);
  if (value == nullptr) return fallback;
  if (!value->is_boolean()) ThrowJsonError(std::string("member \"") + key + "\" is not true or false");
  return value->get<bool>();
}

std::string ToText(const json& value, const char* key) {
  if (!value.is_string()) ThrowJsonError(std::string("member \"") + key + "\" is not a string");
  return value.get<std::string>();
}

std::string Text(const json& from, const char* key) { return ToText(Require(from, key), key); }

std::string TextOr(const json& from, const char* key, std::string fallback) {
  const json* value = Find(from, key);
  return value == nullptr ? std::move(fallback) : ToText(*value, key);
}

std::chrono::microseconds Time(const json& from, const char* key) {
  return std::chrono::microseconds(Integer(from, key, 0, std::numeric_limits<std::int64_t>::max()));
}

std::chrono::microseconds TimeOr(const json& from, const char* key) {
  return std::chrono::microseconds(IntegerOr(from, key, 0));
}

const json& Array(const json& from, const char* key) {
  const json& value = Require(from, key);
  if (!value.is_array()) ThrowJsonError(std::string("member \"") + key + "\" is not an array");
  return value;
}

const json& ObjectOr(const json& from, const char* key) {
  static const json kNone = json::object();
  const json* value = Find(from, key);
  if (value != nullptr && !value->is_object())
    ThrowJsonError(std::string("member \"") + key + "\" is not an object");
  return value == nullptr ? kNone : *value;
}

}  // namespace postspread::json_reader
