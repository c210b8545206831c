// One connection of a client: reads its commands, keeps its answers in order, and ends when src/safety/
// allows it. Its states: docs/design.md.
#ifndef POSTSPREAD_NET_DOWNSTREAM_CLIENT_CONNECTION_H_
#define POSTSPREAD_NET_DOWNSTREAM_CLIENT_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "flow/arrival_times.h"
#include "flow/byte_budget.h"
#include "flow/eviction.h"
#include "net/downstream/request_handler.h"
#include "net/log.h"
#include "net/loop.h"
#include "ops/metrics.h"
#include "resp/request.h"
#include "safety/connection_rules.h"

namespace postspread::net {

// What all connections of a listener share.
struct ConnectionContext {
  event_base* base;
  resp::Vocabulary vocabulary;  // what commands are checked against
  flow::ByteBudget& bodies;     // what large commands are read under
  ops::Metrics& metrics;
  RequestHandler& handler;
  // Ids of requests that are owed an answer, by hash: another one under such an id is a fault of its client,
  // and passed on it could run in the other's place.
  std::unordered_set<std::size_t> open_ids{};
  RareLog turned_down{};  // commands that are answered with an error
};

class ClientConnection final : public ResponseWriter, private flow::ByteBudget::Waiter {
 public:
  // Who holds the connections.
  class Owner {
   public:
    // Ends the connection; it is gone when this returns.
    virtual void Remove(ClientConnection* connection) = 0;
    // Reading of a connection is paused with more behind it: its end is to be looked for.
    virtual void WatchForDisconnect() = 0;

   protected:
    ~Owner() = default;
  };

  ClientConnection(ConnectionContext& context, Owner& owner, evutil_socket_t fd);

  ~ClientConnection();

  // Tells of every request that is still owed an answer.
  void CancelPendingRequests();

  [[nodiscard]] safety::ConnectionFacts Facts() const;
  // Between requests, with nothing read and nothing waiting at the socket.
  [[nodiscard]] bool idle() const;
  // Counts it where this end breaks a rule. Before what is pending is given up.
  void JudgeClose() const;
  [[nodiscard]] bool HeldAgainstDrain(Clock::time_point now) const;
  // All is answered, and the client's system has acknowledged it.
  [[nodiscard]] bool delivered() const {
    return state_ == State::kLingering && Unacknowledged(connection_.get()) == 0;
  }
  // What keeps it open, for the log.
  [[nodiscard]] std::string Describe() const;
  void ClosesFor(ops::CloseReason reason) { close_reason_ = reason; }
  [[nodiscard]] bool has_asked() const { return has_asked_; }
  [[nodiscard]] Clock::time_point used() const { return used_; }

  // What a client that stands still is owed: an error where it has begun a command, a close where it has said
  // nothing at all, and where connections are many also where it has nothing to ask any more. Guards against
  // connections that hold descriptors and buffers for nothing: clients may hold only so many, and those that
  // ask once and stay would keep all others out.
  void CheckTimeouts(Clock::time_point now, bool many, Clock::time_point unused_since);
  [[nodiscard]] flow::ConnectionState EvictionState(Clock::time_point now) const;
  // Bytes have come that are not read yet. Those of a command that has begun may be some of a whole one.
  [[nodiscard]] bool HasUnread() const {
    return state_ == State::kOpen && !broken_ && HasNews(connection_.get());
  }

  // To be closed from then on.
  struct Closing {
    Clock::time_point at;
    Clock::time_point commands_until;  // by then a command that has begun must be whole
    ops::CloseReason reason = ops::CloseReason::kDrained;
  };
  void CloseAt(const Closing& closing) { closing_ = closing; }
  // Takes that back where its time has not come.
  void Keep();
  // Its time may have come: what lies at the socket by then is read and taken, and nothing that comes after
  // it, or a client that always has one more request out would hold its connection for good. It sends what
  // was not read again elsewhere once it sees the close.
  void CloseInTime(Clock::time_point now);

  // More has come than is read ahead while answers are owed: its end can't be read.
  [[nodiscard]] bool reading_paused() const;
  [[nodiscard]] bool HungUp() const { return net::HungUp(connection_.get()); }
  void OnDisconnect();

  // ResponseWriter
  void Complete(Slot slot, std::string_view value) override { Answer(slot, value); }
  void RejectWithRetryAfter(Slot slot, std::chrono::milliseconds retry_after) override;
  void Fail(Slot slot, planner::FailureReason reason) override;
  void BeginStream(Slot slot, std::size_t window) override;
  std::size_t StreamCapacity(Slot slot) override;
  void WriteStream(Slot slot, evbuffer* from, std::size_t size) override;
  void EndStream(Slot slot) override;
  bool IsClientConnected() override { return !broken_ && !net::HungUp(connection_.get()); }
  void AbortStream(Slot slot) override;

 private:
  enum class State {
    kOpen,
    kClosing,    // reads nothing more; closes once all is answered
    kLingering,  // all is answered and our side is shut; what still comes is thrown away
  };
  struct PendingResponse {
    std::optional<RequestId> number;
    std::size_t id = 0;  // its hash
    bool ready = false;
    bool in_pieces = false;  // its value comes in pieces
    std::string answer;      // while the answers before it are owed
  };

  void Read();

  // `fresh` more bytes have been read. They may have lain at the socket: before it was accepted, or while
  // nobody watched it.
  void NoteArrival(std::size_t fresh, Clock::time_point now);

  // Whether the next command may be handled now. Late in its time to be closed all that it still has to take
  // is.
  [[nodiscard]] bool TakesCommand(Clock::time_point now) const;

  // Nothing more is taken once what had come by its time to be closed is.
  void StopReadingInTime(Clock::time_point now);

  // A large command is read once its bytes are reserved, and not before. Returns whether they are.
  bool Reserve();
  void Reserved();
  void Granted() override;
  void Unreserve();

  // A command that has begun to come and does not end in time: a head by the clock, a body by its progress.
  // Waiting for room of ours is no fault of the client's.
  [[nodiscard]] bool Overdue(Clock::time_point now) const;

  // A client that takes nothing of what it is sent.
  bool Untaken(Clock::time_point now);

  [[nodiscard]] bool HasPendingResponse(Slot slot) const;

  // The framing is lost: says so behind what is owed, reads nothing more, and closes.
  void ProtocolError(const std::string& what);

  // A client that broke the framing learns of it soon, also where answers before the error take their time:
  // those fail, which promises nothing.
  void GiveUpOwed();

  void Handle();

  // Answers a command that goes nowhere else.
  void Say(const std::string& answer);

  void Answer(Slot slot, std::string_view answer);

  // Writes the answers that waited for the one before them; the next may be one that comes in pieces.
  void Flush();

  void AskForMore();

  void Pop();

  [[nodiscard]] bool Full() const;

  // Back-pressure: of a client that does not take its answers, or is owed many, no command is taken, and no
  // more is read than is read ahead of any. Up to there its end is seen at once; behind more by a look.
  void Flow();

  // Reading failed for a moment: what is read next may have come by now.
  void NoteDeaf();

  void Written();

  void CloseBetweenRequests();

  // A client that still takes our answers is waited for: a close over what it sends meanwhile would reset the
  // connection, and the answers would be lost on the way.
  void CheckLinger();

  ConnectionContext& context_;
  Owner& owner_;
  Clock::time_point used_;  // when the last command was taken; at first, when it connected
  bool has_asked_ = false;  // a sound request has come
  std::optional<Clock::time_point> partial_since_;  // the first part of a command that is not whole yet
  std::optional<Closing> closing_;
  std::optional<std::size_t> bytes_to_take_;  // at its time to be closed: of what had come, not yet handled
  bool protocol_error_ = false;
  BufferEvent connection_;
  Timer linger_;
  State state_ = State::kOpen;
  ops::CloseReason close_reason_ = ops::CloseReason::kClientClosed;
  bool handling_ = false;
  bool paused_ = false;
  bool broken_ = false;        // a value broke off: nothing is written behind it
  bool waits_ = false;         // in line for the bytes of a large command
  std::size_t wants_ = 0;      // of them
  std::size_t reserved_ = 0;   // of them, while it is read
  std::size_t window_ = 0;     // of a value in pieces: bytes that may wait to be taken
  std::size_t unwritten_ = 0;  // at the last look
  Clock::time_point untaken_since_;
  Clock::time_point came_ = Clock::now();  // the last bytes, as the loop saw them
  flow::ArrivalTimes arrivals_;            // of what was read, as the system saw them
  const Clock::time_point accepted_at_ = Clock::now();
  bool ended_by_client_ = false;
  std::optional<Clock::time_point> deaf_since_;  // bytes may have come that the loop was not told of
  bool is_watched_ = false;                      // the system tells of what comes
  Clock::time_point shut_at_, progress_at_;
  std::size_t unacknowledged_ = 0;  // at the last look
  std::size_t need_ = 0;
  std::size_t in_flight_ = 0;  // bytes of answers that wait for their turn
  resp::Command command_;
  Slot first_slot_ = 0;                  // of the first slot
  std::deque<PendingResponse> pending_;  // the commands that are owed an answer, in order
};

}  // namespace postspread::net

#endif  // POSTSPREAD_NET_DOWNSTREAM_CLIENT_CONNECTION_H_
