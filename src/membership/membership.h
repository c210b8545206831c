// One gateway's view of which gateways of its fleet live. Free of I/O and clock: datagrams and time are
// handed in, datagrams to be sent are taken out. Design: docs/fleet-view-design.md.
//
// Promises, in protocol periods (Limits::period), with `suspicion` at three of them; the numbers are what
// bench/fleet holds this to.
//  1. Settling: from the last fault on all live members that reach one another hold the same view within 10
//     at 16 members, within 25 at 500 (99th percentile, one datagram in ten lost).
//  2. Detection: a killed member is out of every view within 8; of seven in ten killed at once all within 20
//     (16 members, no loss).
//  3. No false death: none at one datagram in ten lost; a member that stands still for less than `suspicion`
//     is not declared dead; a member that gets no answers, or is called late, declares nobody dead.
//  4. Partitions: each side of two or more settles on itself; both are one again after the cut, however long
//     it was. A member that is alone keeps the others as suspects: it can't tell.
//  5. Lives: a process under the same name started later takes the earlier one's place, and what the earlier
//     one sends does nothing. Two that live under one name are told in Counts::name_conflicts and in a note.
//  6. Joins and leaves: whoever knows the place of one live member comes to know all; places that answer not
//     are asked again for ever. A leave is known in 2.
//  7. Bounds: kMaxMembers members (some 200 bytes each); `datagram` bytes a datagram; `datagrams_per_second`
//     in all, of which answers get seven tenths and what is merely news a half at most.
//  8. Bad input: whatever can't be read, is of another fleet, of a later version or of a former life is
//     counted and changes nothing.
#ifndef POSTSPREAD_MEMBERSHIP_MEMBERSHIP_H_
#define POSTSPREAD_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "membership/types.h"
#include "membership/wire.h"

namespace postspread::membership {

class Membership {
 public:
  struct Self {
    std::string name;  // 1 to kMaxName bytes
    PeerId peer = 0;
    std::uint64_t incarnation = 0;
    // Another process may come to stand at our place and take over, as in an upgrade.
    bool may_be_succeeded = false;
  };
  struct Datagram {
    PeerId to = 0;
    std::string bytes;
  };

  Membership(Self self, std::vector<PeerId> seeds, const Limits& limits, std::uint64_t seed, TimePoint now,
             DisabledDefense disabled = DisabledDefense::kNothing);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // A datagram has come from this place. False: it is of another subsystem, and was left alone.
  bool Received(PeerId from, std::string_view bytes, TimePoint now);
  void Tick(TimePoint now);
  [[nodiscard]] TimePoint NextTick() const { return next_beat_; }
  // SIGTERM has come: says that it leaves, and judges nobody from now on; it goes on answering.
  void Leave(TimePoint now);
  // Takes on what may change while it runs: all but the fleet's name, seeds and listen.
  void SetLimits(const Limits& limits);

  // What is to be sent, changes and lines for the log since the last call.
  std::vector<Datagram> TakeDatagrams() { return std::exchange(out_, {}); }
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }
  std::vector<std::string> TakeNotes() { return std::exchange(notes_, {}); }

  [[nodiscard]] View view() const;
  [[nodiscard]] std::uint64_t epoch() const { return counts_.view_changes; }
  [[nodiscard]] std::uint64_t hash() const { return hash_; }
  // Members that live, this one included.
  std::size_t living() {
    Refresh();
    return living_.size() + 1;
  }
  // Places are addresses and not ranks.
  [[nodiscard]] bool by_address() const { return !limits_.listen.empty(); }
  // The state of the member at this place: of the latest life, if several stood there. Nothing: never heard.
  [[nodiscard]] std::optional<MemberUpdate> At(PeerId peer) const;
  [[nodiscard]] std::uint64_t incarnation() const { return self_.incarnation; }
  [[nodiscard]] const std::string& name() const { return self_.name; }
  [[nodiscard]] const Counts& counts() const { return counts_; }
  // Nothing it asked has been answered of late: it does not judge.
  [[nodiscard]] bool Deaf(TimePoint now) const;

 private:
  struct Known {
    std::string name;
    std::uint64_t digest = 0;  // of the name alone
    PeerId peer = 0;
    MemberUpdate update;
    TimePoint since{0};
    bool accused = false;  // by this member, which knocks at it
    TimePoint accused_at{0};
    TimePoint knocked_at{0};
    int knocks = 0;
    TimePoint informed_at{0};  // when it was last told what is said of it
    int falls = 0;             // deaths that it denied, of late
    TimePoint fell_at{0};
    int told = 0;
    bool queued = false;
  };
  enum class Purpose : std::uint8_t { kProbe, kKnock, kHelp, kLook, kSync, kRelay };
  struct Ask {
    Purpose purpose = Purpose::kProbe;
    std::string name;  // who is asked for
    PeerId peer = 0;   // who is asked
    TimePoint at{0};
    PeerId for_peer = 0;  // kRelay: who wants to know
    std::uint64_t for_number = 0;
    std::size_t want = 0;  // which of want_from_ it went by
  };
  struct Probe {  // of this period
    std::string name;
    TimePoint at{0};
    bool helped = false, answered = false;
    bool heard = false;  // a helper's own word that it could not reach it either
  };
  enum class Rank { kAsk, kAnswer, kKnock, kNews };  // of a datagram, in the order of precedence

  [[nodiscard]] Duration Beat() const { return Duration(limits_.period) / kBeats; }
  [[nodiscard]] bool Judges() const { return !left_ && !superseded_; }
  void Refill(TimePoint now);
  bool MaySend(Rank rank);
  struct Draft {
    Kind kind = Kind::kPing;
    std::uint64_t number = 0;
    const Known* about = nullptr;         // its word goes first
    const Known* target = nullptr;        // kAskFor
    bool news = true;                     // words that are to be told ride on it
    std::optional<std::uint16_t> fill{};  // words from here on in the order of digests fill the room left ...
    const PartHashes* unlike = nullptr;   // ... of the parts that differ from these
    std::uint16_t from = 0;               // kExchange: from where on words are wanted
  };
  bool Send(PeerId to, Rank rank, const Draft& draft);
  bool Ping(Purpose purpose, PeerId to, const Known* whom, TimePoint now, const Ask* relay = nullptr);
  std::uint16_t Fill(Writer& writer, std::uint16_t from, const PartHashes* unlike);
  void BeginPeriod(TimePoint now);
  void TakeAnswer(PeerId from, const Message& message, TimePoint now);
  void TakePing(PeerId from, const Message& message, bool differs, TimePoint now);
  void TakeAskFor(PeerId from, const Message& message, TimePoint now);
  void AskFor(const Known& member, std::size_t helpers, TimePoint now);
  void Probing(TimePoint now);
  void Expire(TimePoint now);
  void Knocking(TimePoint now);
  void Gossip(TimePoint now);
  void Forgetting(TimePoint now);
  void Accuse(Known& member, TimePoint now);
  [[nodiscard]] Duration SuspicionOf(const Known& member) const;
  void Hear(const Entry& entry, bool direct, PeerId from, TimePoint now);
  void HearOfSelf(const Entry& entry, TimePoint now);
  void Become(Known& member, const MemberUpdate& update, bool by_self, bool news, TimePoint now);
  void Tell(Known& member, int told);
  void TellOfSelf();
  int MostTold();
  void Note(std::string line, TimePoint now);
  Known* Find(std::string_view name);
  bool MakeRoom();
  void Erase(const std::string& name);
  // Sends what is known of a member to the place it was heard from, once a beat at most.
  void TellOfItself(Known& member, PeerId at, TimePoint now);
  bool Differs(std::uint32_t view, TimePoint now);
  [[nodiscard]] bool Differed(TimePoint now) const;
  [[nodiscard]] bool Unsettled(TimePoint now) const { return now < unsettled_until_; }
  void Count(std::size_t part, std::uint64_t before, std::uint64_t after);
  [[nodiscard]] PartHashes Parts() const;
  void Refresh();
  const std::vector<PeerId>& Lost();
  void LookAround(TimePoint now);
  [[nodiscard]] std::uint64_t Share(const Known& member) const;
  [[nodiscard]] State StateOf(const Known& known) const;
  std::size_t Random(std::size_t below) { return static_cast<std::size_t>(random_() % below); }
  std::vector<Known*> Several(std::size_t count, std::string_view except);

  static constexpr int kBeats = 5;  // in a period

  Self self_;
  Known own_;  // the own word, to be told as any other
  std::vector<PeerId> seeds_;
  Limits limits_;
  DisabledDefense without_;
  std::mt19937_64 random_;
  std::uint32_t fleet_;

  std::map<std::string, Known, std::less<>> members_;  // but for the own one
  std::vector<Known*> by_digest_;                      // the own word, too
  bool stale_ = true;                                  // and then these are made anew by Refresh
  std::vector<Known*> living_, recent_;
  bool lost_stale_ = true;
  std::vector<PeerId> lost_;   // seeds and former places that no living member stands at
  std::deque<PeerId> former_;  // of members that were forgotten
  std::vector<Known*> queue_;  // to be told
  std::uint64_t hash_ = 0;
  std::array<std::uint64_t, kParts> parts_{};

  std::map<std::uint64_t, Ask> asks_;  // under way, by number
  std::vector<Probe> probes_;
  std::uint64_t next_number_ = 1;
  TimePoint last_answer_{0};
  int unanswered_ = 0;   // asks since then
  int health_ = 0;       // reasons to suspect oneself
  int more_probes_ = 0;  // periods in which three are asked instead of one

  TimePoint next_beat_{0};
  int beat_ = 0;
  TimePoint unsettled_until_{0};  // somebody's view differed, as none had before
  TimePoint differed_at_{0};
  std::deque<std::pair<std::uint32_t, std::uint32_t>> differed_;
  // In the order of digests: from where others' words are wanted next, by exchanges in turn so that two under
  // way do not bring the same ones, and from where own datagrams are filled next.
  std::array<std::uint16_t, 2> want_from_{0, 0x8000};
  std::uint16_t fill_from_ = 0;

  double tokens_ = 0;
  TimePoint filled_{0};
  bool left_ = false, superseded_ = false;
  TimePoint noted_{0};
  Counts counts_;
  std::vector<Datagram> out_;
  std::vector<Change> changes_;
  std::vector<std::string> notes_;
};

}  // namespace postspread::membership

#endif  // POSTSPREAD_MEMBERSHIP_MEMBERSHIP_H_
