// Value types of the membership view: its configuration, its snapshots and the changes that it reports.
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
using TimePoint = std::chrono::microseconds;  // counted from the Unix epoch

// A PeerId is the address of a member: a rank in the configuration's `peers`, or an IPv4 address and port in
// 48 bits. Only the owner of the socket interprets it; this library compares ids and returns them unchanged.
using PeerId = std::uint64_t;

inline constexpr std::size_t kMaxMembers = 1'000;
inline constexpr std::size_t kMaxNameBytes = 31;
inline constexpr std::size_t kMaxDatagramBytes = 1'400;
inline constexpr std::size_t kMinDatagramBytes = 128;

// kSuspect is local to the member that raised the suspicion and is never sent.
enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
inline constexpr std::size_t kStates = 4;

constexpr std::string_view Name(State state) {
  constexpr std::string_view kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

// Returns whether the member counts as live. A suspect does until a member has confirmed its death.
constexpr bool IsLive(State state) { return state <= State::kSuspect; }

// A statement about a member's liveness. Two updates about one member merge to the greater one. The merge is
// commutative, associative and idempotent, so updates may be lost, duplicated, delayed and reordered.
struct MemberUpdate {
  // The start time of the member's process, in milliseconds since the Unix epoch.
  std::uint64_t incarnation = 0;
  // The member increments this each time it refutes its own death in this incarnation, and when it leaves.
  std::uint32_t refutations = 0;
  State state = State::kAlive;  // An update that is sent never holds kSuspect.
  auto operator<=>(const MemberUpdate&) const =
      default;  // NOLINT(modernize-use-nullptr): taken for a comparison with 0
};

// Returns the update that takes precedence: the greater one.
constexpr MemberUpdate Merge(const MemberUpdate& a, const MemberUpdate& b) { return std::max(a, b); }

struct Member {
  std::string name;
  PeerId peer = 0;
  MemberUpdate update;
  TimePoint since{0};  // The member's state or incarnation last changed in this view at this time.
};

// A snapshot of the membership. Two views have the same `hash` exactly if they hold the same live members in
// the same incarnations.
struct View {
  std::uint64_t epoch = 0;  // The epoch grows with each change of the live members or their incarnations.
  std::uint64_t hash = 0;
  // All members sorted by name, including the local one. Those that died or left stay until they expire.
  std::vector<Member> members;
};

// The identity of the local member.
struct Self {
  std::string name;  // 1 to kMaxNameBytes bytes
  PeerId peer = 0;
  std::uint64_t incarnation = 0;
  // This is true if a successor process may take over the address, as in an upgrade.
  bool may_have_successor = false;
};

struct Datagram {
  PeerId to = 0;
  std::string bytes;
};

// The settings of the operator file's block `fleet`.
struct Limits {
  bool enabled = false;
  // The group's name. Datagrams of any other group are dropped.
  std::string name = "fleet";
  // Addresses of members to join through. If empty, the configuration's `peers` are used.
  std::vector<std::string> seeds;
  // The local address. If empty, the configuration's `peer_listen` is used.
  std::string listen;
  std::size_t datagram = 256;  // maximum size in bytes
  double datagrams_per_second = 20;
  // The protocol period, in which each member sends one probe.
  std::chrono::milliseconds period{1'000};
  // The minimum time between the suspicion of a member and the declaration of its death.
  std::chrono::milliseconds suspicion{3'000};
  // The time between the death or leave of a member and its removal from the view.
  std::chrono::milliseconds forget{600'000};
  bool operator==(const Limits&) const = default;
};

// A test disables one defense to show that the test detects its absence. Production use must disable none.
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
  bool is_new = false;   // The member was unknown before, or known in another incarnation.
  bool by_self = false;  // The local member detected the change rather than learned it by gossip.
};

struct Counts {
  std::uint64_t sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t received = 0;
  // The local member raised these suspicions; the suspect refuted some of them by a reply.
  std::uint64_t suspicions_raised = 0;
  std::uint64_t suspicions_refuted = 0;
  std::uint64_t own_refutations = 0;  // The local member refuted these updates about itself.
  std::uint64_t deaths_declared = 0;  // The local member declared these deaths.
  std::uint64_t view_changes = 0;
  std::uint64_t name_conflicts = 0;  // Each is a sign of a second process under a live member's name.
  // The following count dropped datagrams or updates, by cause.
  std::uint64_t unreadable = 0;
  std::uint64_t foreign = 0;             // The datagram belongs to another group.
  std::uint64_t future = 0;              // The version is later, or the incarnation is in the future.
  std::uint64_t former_incarnation = 0;  // The sender is a process that has been replaced.
  std::uint64_t unsolicited = 0;         // The datagram is a reply to no pending request.
  std::uint64_t over_capacity = 0;       // The update is about a new member beyond kMaxMembers.
  std::uint64_t throttled = 0;           // The datagram was not sent because the budget was exhausted.
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_TYPES_H_
