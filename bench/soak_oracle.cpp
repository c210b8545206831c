#include "soak_oracle.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "partners/platform.h"

namespace postspread::bench {
namespace {

using fleet_rig::ClientBehavior;
using fleet_rig::RequestClass;
using fleet_rig::RequestEnd;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A response that is late by no more than this has no value for its client, but violates no invariant.
constexpr milliseconds kLateResponseAllowed{500};
// The close of a client's connection may take this long to reach the gateway.
constexpr milliseconds kClientCloseDelay{100};
// The specification allows this between the gateway's last clock reading and the first byte of an attempt.
constexpr milliseconds kDeadlineSlack{150};
constexpr milliseconds kMaxDrainTime{4'000};
constexpr milliseconds kRecentRequestAge{2'000};
// The delay between an event and the moment at which this process, which simulates all clients, upstreams and
// services in one thread, observes it. A busy machine adds to this delay, which is not the gateway's fault.
constexpr milliseconds kObserverLag{150};
// The remaining time that an upstream receives may be shorter than the actual one by this, because of
// rounding, the delivery time of a signal, and the time that a gateway reserves for sending the response to
// its client.
constexpr milliseconds kRemainingTimeSlack{15};
// A gateway may overestimate the age of a request by this, in addition to the length of a pause.
constexpr milliseconds kMaxAgeError{150};
// A running gateway reads a request that has no earlier one pending on its connection within this time. It
// includes the case that the system temporarily refuses to watch the socket, which the gateway retries 4
// times a second.
constexpr milliseconds kMaxReadDelay{1'000};
// A regular SIGKILL may end requests that were written up to this time after SIGTERM.
constexpr milliseconds kExcusedAfterTerm{700};
// The maximum time from SIGTERM to SIGKILL and until a client that reads slowly observes the end of its
// connection.
constexpr milliseconds kMaxShutdown{5'000};
constexpr std::size_t kMaxExamples = 5;

const char* Name(RequestEnd end) {
  switch (end) {
    case RequestEnd::kPending:
      return "pending";
    case RequestEnd::kServed:
      return "served";
    case RequestEnd::kRejected:
      return "refused";
    case RequestEnd::kFailed:
      return "failed";
    case RequestEnd::kConnectionEnded:
      return "connection ended";
  }
  return "";
}

}  // namespace

SoakOracle::SoakOracle(RequestLog& request_log, int gateways)
    : request_log_(request_log), gateways_(static_cast<std::size_t>(gateways)) {}

void SoakOracle::OnResumed(int gateway) {
  Gateway& g = at(gateway);
  if (!g.paused_since) return;
  g.pauses.emplace_back(*g.paused_since, Clock::now());
  g.paused_since.reset();
}

Clock::duration SoakOracle::PausedTime(int gateway, Clock::time_point from, Clock::time_point to) {
  Clock::duration out{0};
  const Gateway& g = at(gateway);
  for (const auto& [begin, end] : g.pauses)
    out += std::max(Clock::duration(0), std::min(end, to) - std::max(begin, from));
  if (g.paused_since) out += std::max(Clock::duration(0), to - std::max(*g.paused_since, from));
  return out;
}

void SoakOracle::OnWritesDelayed(int gateway, milliseconds max_delay) {
  at(gateway).write_delay = max_delay;
  at(gateway).writes_delayed_until = Clock::time_point::max();
}

void SoakOracle::OnWriteDelayEnded(int gateway) {
  Gateway& g = at(gateway);
  if (g.writes_delayed_until == Clock::time_point::max()) g.writes_delayed_until = Clock::now();
}

// The specification allows 0.15 s between the last clock reading and the first byte. A pause that begins in
// between, which a delayed write makes more likely, exceeds this limit, and the gateway cannot detect it.
// Such a case is recognized by the remaining time that the gateway sent: it equals what remained when the
// pause began.
bool SoakOracle::PausedBeforeWrite(int gateway, Clock::time_point clock_read_at, Clock::time_point now) {
  const Gateway& g = at(gateway);
  return std::any_of(g.pauses.begin(), g.pauses.end(), [&](const auto& pause) {
    const auto& [begin, end] = pause;
    const bool just_resumed = end <= now && now - end <= kObserverLag;
    const auto delay = begin <= g.writes_delayed_until ? g.write_delay : milliseconds(0);
    // A gateway whose writes are delayed repeatedly may correctly subtract more time than has passed.
    const auto age_error = delay.count() > 0 ? delay + kMaxAgeError : milliseconds(0);
    const bool read_before_pause = clock_read_at <= begin + kRemainingTimeSlack + age_error &&
                                   clock_read_at + delay + kRemainingTimeSlack >= begin;
    return just_resumed && read_before_pause;
  });
}

void SoakOracle::OnUpstreamLinkRestored(int gateway) {
  Gateway& g = at(gateway);
  if (g.cut_since) g.cuts.emplace_back(*g.cut_since, Clock::now());
  g.cut_since.reset();
}

bool SoakOracle::CutBetween(int gateway, Clock::time_point from, Clock::time_point to) {
  const Gateway& g = at(gateway);
  if (g.cut_since && *g.cut_since <= to) return true;
  return std::any_of(g.cuts.begin(), g.cuts.end(),
                     [&](const auto& cut) { return cut.first <= to && cut.second + kObserverLag >= from; });
}

bool SoakOracle::KilledBetween(int gateway, Clock::time_point from, Clock::time_point to) {
  const auto& killed = at(gateway).killed;
  return std::any_of(killed.begin(), killed.end(), [&](auto when) { return when >= from && when <= to; });
}

void SoakOracle::AddViolation(const std::string& invariant, const std::string& description) {
  Finding& finding = findings_[invariant];
  ++finding.count;
  char when[32];
  std::snprintf(when, sizeof when, "%.3f ",
                std::chrono::duration<double>(Clock::now() - started_at_).count());
  if (finding.examples.size() < kMaxExamples) finding.examples.push_back(when + description);
}

std::string SoakOracle::Describe(const std::string& id, const RequestRecord& record) const {
  char text[240];
  const auto since = [this](Clock::time_point then) {
    return std::chrono::duration<double>(then - started_at_).count();
  };
  std::snprintf(text, sizeof text,
                "request %s, %s, gk-%d, written %.3f, deadline %.3f, ended %.3f (%s), attempts %d%s",
                id.c_str(), fleet_rig::Name(record.behavior), record.gateway, since(record.written),
                std::chrono::duration<double>(record.deadline).count(), since(record.ended), Name(record.end),
                record.attempts, record.reset ? ", reset" : "");
  return text;
}

void SoakOracle::OnAttempt(std::string_view id, std::string_view extras) {
  RequestRecord* record = request_log_.Find(id);
  if (record == nullptr) return AddViolation("only what clients sent is sent on", std::string(id));
  ++record->attempts;
  const auto now = Clock::now();
  const std::string name(id);
  if (record->request_class == RequestClass::kNotIdempotent && record->attempts > 1) {
    AddViolation("unsafe requests run once", Describe(name, *record));
  }
  if (CutBetween(record->gateway, record->written, now)) return;
  const bool client_disconnected = record->client_disconnected && record->end == RequestEnd::kConnectionEnded;
  if (client_disconnected && now - record->ended > kClientCloseDelay + kObserverLag) {
    const auto paused = PausedTime(record->gateway, record->ended, now);
    // A process that is paused between its clock reading and its write is allowed 0.15 s for that.
    if (now - record->ended - paused > kClientCloseDelay + kObserverLag || paused == Clock::duration(0)) {
      AddViolation("no attempt begins for a client that has left", Describe(name, *record));
    }
  }
  const milliseconds sent(std::atol(partners::ExtraValue(extras, "d").c_str()));
  const auto remaining = duration_cast<milliseconds>(record->written + record->deadline - now);
  const auto paused = duration_cast<milliseconds>(PausedTime(record->gateway, now - kObserverLag, now));
  const auto clock_read_at = record->written + record->deadline - sent;
  if (sent > remaining + kDeadlineSlack + kObserverLag + paused &&
      !PausedBeforeWrite(record->gateway, clock_read_at, now)) {
    AddViolation("no upstream is told more time than is left",
                 Describe(name, *record) + ", sent " + std::to_string(sent.count()) + " ms, left " +
                     std::to_string(remaining.count()) + " ms");
  }
}

void SoakOracle::CheckDrain(int gateway, Clock::time_point drained,
                            const std::vector<const fleet_rig::ScriptedClient*>& clients) {
  const auto now = Clock::now();
  if (now < drained + kMaxDrainTime || KilledBetween(gateway, drained, now)) return;
  if (PausedTime(gateway, drained, now) > Clock::duration(0)) return;
  for (const fleet_rig::ScriptedClient* client : clients) {
    if (!client->open() || client->never_connected() || client->behavior() == ClientBehavior::kSlowReader)
      continue;
    if (client->opened() > now - milliseconds(600))
      continue;  // The gateway is still closing a connection that it accepted only just now.
    const bool recent = now - client->last_written() < kRecentRequestAge;
    if (client->pending() > 0 && !recent) continue;
    AddViolation("a drain holds no connection idle or with a recent request",
                 std::string(fleet_rig::Name(client->behavior())) + " at gk-" + std::to_string(gateway) +
                     ", pending " + std::to_string(client->pending()));
  }
}

// A regular SIGKILL may end requests that were written up to 0.7 s after SIGTERM. A client that reads slowly
// may need more time than remains to a process that was paused during its shutdown.
bool SoakOracle::CutShortByShutdown(const RequestRecord& record) {
  const Gateway& g = at(record.gateway);
  return std::any_of(g.terminated.begin(), g.terminated.end(), [&](auto when) {
    if (record.ended <= when || record.ended - when >= kMaxShutdown) return false;
    const bool killed = std::any_of(g.killed_in_shutdown.begin(), g.killed_in_shutdown.end(),
                                    [&](auto kill) { return kill > when && kill - when < kMaxShutdown; });
    if (killed && record.written <= when + kExcusedAfterTerm) return true;
    return record.behavior == ClientBehavior::kSlowReader &&
           PausedTime(record.gateway, when, record.ended) > Clock::duration(0);
  });
}

void SoakOracle::CheckEnded(const std::string& id, const RequestRecord& record) {
  if (record.client_disconnected) {
    ++tally_.client_disconnected;
    return;
  }
  // A kill ends requests in flight immediately; the gateway is not responsible for it.
  if (KilledBetween(record.gateway, record.written, record.ended + milliseconds(50))) {
    ++tally_.killed;
    return;
  }
  if (CutShortByShutdown(record)) {
    ++tally_.killed;
    return;
  }
  // A value that has begun and can't be finished has failed, as its client can tell that it is not whole.
  if (record.response_begun) {
    ++tally_.failed;
    return;
  }
  if (record.attempts > 0)
    return AddViolation("what was taken is answered before the connection ends", Describe(id, record));
  const auto waited =
      record.ended - record.written - PausedTime(record.gateway, record.written, record.ended);
  if (!record.pipelined && waited > kMaxReadDelay) {
    return AddViolation("what has lain at a socket is taken before the connection ends",
                        Describe(id, record));
  }
  ++tally_.resent;
}

void SoakOracle::CheckPending(const std::string& id, const RequestRecord& record) {
  const auto now = Clock::now();
  const auto timeout = record.deadline + kLateResponseAllowed + kObserverLag;
  if (now - record.written - PausedTime(record.gateway, record.written, now) < timeout) return;
  if (record.behavior == ClientBehavior::kSlowReader) return;  // It delays its own responses.
  AddViolation("every request gets its answer in time", Describe(id, record));
}

void SoakOracle::CheckRequests() {
  for (const auto& [id, record] : request_log_.records()) {
    if (record.written == Clock::time_point()) continue;  // never written completely
    ++tally_.requests;
    switch (record.end) {
      case RequestEnd::kServed:
        ++tally_.served;
        break;
      case RequestEnd::kRejected:
        ++tally_.refused;
        break;
      case RequestEnd::kFailed:
        ++tally_.failed;
        break;
      case RequestEnd::kConnectionEnded:
        CheckEnded(id, record);
        continue;
      case RequestEnd::kPending:
        CheckPending(id, record);
        continue;
    }
    const auto paused = PausedTime(record.gateway, record.written, record.ended);
    const bool in_time =
        record.ended - record.written - paused < record.deadline + kLateResponseAllowed + kObserverLag;
    if (!in_time && record.behavior != ClientBehavior::kSlowReader && !record.pipelined) {
      AddViolation("every request gets its answer in time", Describe(id, record));
    }
  }
}

}  // namespace postspread::bench
