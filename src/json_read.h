// Reads members of a JSON object into checked values; what is wrong is said with the member's name.
#ifndef POSTSPREAD_JSON_READ_H_
#define POSTSPREAD_JSON_READ_H_

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

namespace postspread::json_read {

using nlohmann::json;

// What was wrong with a value, in plain words.
class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

[[noreturn]] void Bad(const std::string& what);

const json* Find(const json& from, const char* key);  // null: absent
const json& Need(const json& from, const char* key);

std::int64_t ToInteger(const json& value, const char* key);
std::int64_t Integer(const json& from, const char* key, std::int64_t least, std::int64_t most);
std::int64_t IntegerOr(const json& from, const char* key, std::int64_t absent);
double NumberOr(const json& from, const char* key, double absent);
bool FlagOr(const json& from, const char* key, bool absent = false);
std::string ToText(const json& value, const char* key);
std::string Text(const json& from, const char* key);
std::string TextOr(const json& from, const char* key, std::string absent = "");
std::chrono::microseconds Time(const json& from, const char* key);
std::chrono::microseconds TimeOr(const json& from, const char* key);
const json& Array(const json& from, const char* key);
const json& Part(const json& from, const char* key);  // an empty object where it is absent

template <typename T>
T Word(const json& from, const char* key, std::initializer_list<std::pair<const char*, T>> words) {
  const std::string word = Text(from, key);
  for (const auto& [name, value] : words) {
    if (word == name) return value;
  }
  Bad("member \"" + std::string(key) + "\" has the unknown value \"" + word + "\"");
}

template <typename T>
T WordOr(const json& from, const char* key, T absent,
         std::initializer_list<std::pair<const char*, T>> words) {
  return Find(from, key) == nullptr ? absent : Word(from, key, words);
}

}  // namespace postspread::json_read

#endif  // POSTSPREAD_JSON_READ_H_
