// Slots of classes across reconfigurations.
#include "planner/class_slots.h"

#include <catch2/catch.hpp>
#include <initializer_list>
#include <string>
#include <vector>

namespace postspread::planner {
namespace {

std::vector<ClassSettings> Classes(std::initializer_list<const char*> names) {
  std::vector<ClassSettings> classes;
  for (const char* name : names) classes.emplace_back().name = name;
  return classes;
}

std::vector<std::string> Names(const std::vector<ClassSettings>& classes) {
  std::vector<std::string> names;
  names.reserve(classes.size());
  for (const ClassSettings& each : classes) names.push_back(each.name);
  return names;
}

TEST_CASE("a class keeps its slot, and one that was removed leaves it without a name") {
  const auto merged = MergeClassSlots(Classes({"a", "b", "c"}), Classes({"c", "a"}));
  CHECK(Names(merged) == std::vector<std::string>{"a", "", "c"});
}

TEST_CASE("a new class takes an unused slot before another is added") {
  const auto merged = MergeClassSlots(Classes({"a", "", "c"}), Classes({"d", "e", "c", "a"}));
  CHECK(Names(merged) == std::vector<std::string>{"a", "d", "c", "e"});
}

TEST_CASE("a class that stays takes its new settings") {
  std::vector<ClassSettings> next = Classes({"a"});
  next[0].priority_weight = 2.5;
  CHECK(MergeClassSlots(Classes({"a"}), next)[0].priority_weight == 2.5);
}

}  // namespace
}  // namespace postspread::planner
