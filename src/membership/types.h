// Value types of the membership view: what callers configure, read and are notified of.
#ifndef POSTSPREAD_MEMBERSHIP_TYPES_H_
#define POSTSPREAD_MEMBERSHIP_TYPES_H_

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace postspread::membership {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::microseconds;  // since the Unix epoch

// The address of a member: a rank in the configuration's `peers`, or an IPv4 address and port in 48 bits. The
// owner of the socket knows which; this library compares ids and hands them back.
using PeerId = std::uint64_t;

inline constexpr std::size_t kMaxMembers = 1'000;
inline constexpr std::size_t kMaxName = 31;  // bytes
inline constexpr std::size_t kMaxDatagram = 1'400;
inline constexpr std::size_t kLeastDatagram = 128;

// kSuspect is a member's local judgement and is never sent.
enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
inline constexpr std::size_t kStates = 4;

constexpr std::string_view Name(State state) {
  constexpr std::string_view kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

// A suspect counts as live until a member has confirmed its death.
constexpr bool IsLive(State state) { return state <= State::kSuspect; }

// What is known of a member's liveness. Two updates about one member merge to the greater one. The merge is
// commutative, associative and idempotent, so updates may be lost, duplicated, delayed and reordered.
struct MemberUpdate {
  std::uint64_t incarnation = 0;  // milliseconds of the Unix epoch when its process started
  std::uint32_t refutations = 0;  // how often it has refuted its death in this incarnation
  State state = State::kAlive;    // never kSuspect in an update that is sent
  auto operator<=>(const MemberUpdate&) const =
      default;  // NOLINT(modernize-use-nullptr): taken for a comparison with 0
};

constexpr MemberUpdate Merge(const MemberUpdate& a, const MemberUpdate& b) { return std::max(a, b); }

struct Member {
  std::string name;
  PeerId peer = 0;
  MemberUpdate update;
  TimePoint since{0};  // when its state or incarnation last changed in this view
};

// A snapshot. Two views have the same `hash` exactly where their sets of live members and the incarnations of
// these are equal.
struct View {
  std::uint64_t epoch = 0;  // grows with each change of that set
  std::uint64_t hash = 0;
  std::vector<Member> members;  // by name, the local one included; dead and left ones until they expire
};

// The local member.
struct Self {
  std::string name;  // 1 to kMaxName bytes
  PeerId peer = 0;
  std::uint64_t incarnation = 0;
  // A later process may take over this one's address, as in an upgrade.
  bool may_be_succeeded = false;
};

struct Datagram {
  PeerId to = 0;
  std::string bytes;
};

// The operator file's block `fleet`.
struct Limits {
  bool enabled = false;
  std::string name = "fleet";      // of the group: datagrams of any other are dropped
  std::vector<std::string> seeds;  // addresses; empty: the configuration's `peers`
  std::string listen;              // empty: the configuration's `peer_listen`
  std::size_t datagram = 256;      // bytes
  double datagrams_per_second = 20;
  std::chrono::milliseconds period{1'000};     // one probe a protocol period
  std::chrono::milliseconds suspicion{3'000};  // from suspicion to death
  std::chrono::milliseconds forget{600'000};   // from death or leave to removal
  bool operator==(const Limits&) const = default;
};

// Lets a test disable one defense to show that the test detects its absence. Not for production.
enum class DisabledDefense {
  kNothing,
  kRefutation,
  kIncarnations,
  kLocalHealth,
  kReconnect,
  kGossipOrder,
  kBudget,
  kConfirmation,
  kIndirectProbes
};

// A change of one member in the view.
struct Change {
  std::string name;
  std::uint64_t incarnation = 0;
  State from = State::kLeft;
  State to = State::kAlive;
  bool is_new = false;   // unknown before, or in another incarnation
  bool by_self = false;  // detected by the local member rather than learned by gossip
};

struct Counts {
  std::uint64_t sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t received = 0;
  std::uint64_t suspicions_raised = 0;   // by the local member ...
  std::uint64_t suspicions_refuted = 0;  // ... and refuted by an answer of the suspect
  std::uint64_t own_refutations = 0;     // of updates about the local member
  std::uint64_t deaths_declared = 0;     // by the local member
  std::uint64_t view_changes = 0;
  std::uint64_t name_conflicts = 0;  // signs of another process under a live member's name
  // Dropped, by cause.
  std::uint64_t unreadable = 0;
  std::uint64_t foreign = 0;             // of another group
  std::uint64_t future = 0;              // of a later version, or an incarnation in the future
  std::uint64_t former_incarnation = 0;  // from a process that has been replaced
  std::uint64_t unasked = 0;             // a reply to no pending request
  std::uint64_t over_capacity = 0;       // a member beyond kMaxMembers
  std::uint64_t throttled = 0;           // not sent for want of budget
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_TYPES_H_
