// Tells tests whether the gateway is built with the sanitizers. They allocate memory of their own and keep
// what the program has freed, so the resident memory of such a process is not compared with a limit.
#ifndef POSTSPREAD_TESTS_PARTNERS_SANITIZERS_H_
#define POSTSPREAD_TESTS_PARTNERS_SANITIZERS_H_

namespace postspread::partners {

#if defined(__SANITIZE_ADDRESS__)
inline constexpr bool kHasSanitizers = true;
#else
inline constexpr bool kHasSanitizers = false;
#endif

}  // namespace postspread::partners

#endif  // POSTSPREAD_TESTS_PARTNERS_SANITIZERS_H_
