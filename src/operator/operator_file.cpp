// The functions for each block below map its keys and values to the fields of a Limits struct.
#include "operator/operator_file.h"

#include <confuse.h>

#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <initializer_list>
#include <memory>
#include <sstream>
#include <vector>

#include "operator/values.h"

namespace postspread::operator_file {
namespace {

constexpr std::size_t kMaxFileBytes = 1 << 20;

// This option is appended to the text to detect a truncated file: libconfuse closes an open block at the end
// of the file, and would accept the part of the block that is there. No block has an option of this name.
constexpr char kEndMarker[] = "__end";

struct FreeConfig {
  void operator()(cfg_t* cfg) const { cfg_free(cfg); }
};
using ConfigHandle = std::unique_ptr<cfg_t, FreeConfig>;

// Receives the error of this thread's current parse, as libconfuse passes no context to its error callback.
struct ErrorSink {
  const std::string& name;
  std::string error;
};
thread_local ErrorSink* error_sink = nullptr;

void RecordError(cfg_t* cfg, const char* format, va_list arguments) {
  if (error_sink == nullptr || !error_sink->error.empty()) return;  // only the first error is reported
  char text[512];
  std::vsnprintf(text, sizeof text, format, arguments);
  error_sink->error = error_sink->name + ":" + std::to_string(cfg->line) + ": " + text;
}

// A text value in the file and the enum value that it stands for.
template <typename T>
struct EnumName {
  const char* name;
  T value;
};

template <typename T>
int ParseEnum(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result, const char* all_names,
              std::initializer_list<EnumName<T>> names) {
  if (ReportRepeatedKey(cfg, opt)) return -1;
  for (const EnumName<T>& known : names) {
    if (std::strcmp(known.name, value) != 0) continue;
    *static_cast<long*>(result) = static_cast<long>(known.value);
    return 0;
  }
  ReportUnknownName(cfg, opt, value, all_names);
  return -1;
}

int ParseWhenFull(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  using idempotency::WhenFull;
  return ParseEnum<WhenFull>(cfg, opt, value, result, "defer, pass",
                             {{"defer", WhenFull::kReject}, {"pass", WhenFull::kStartUnprotected}});
}

int ParseWhenUnconfirmed(cfg_t* cfg, cfg_opt_t* opt, const char* value, void* result) {
  using idempotency::WhenUnconfirmed;
  return ParseEnum<WhenUnconfirmed>(
      cfg, opt, value, result, "pin, defer",
      {{"pin", WhenUnconfirmed::kStartSticky}, {"defer", WhenUnconfirmed::kReject}});
}

// ---- idempotency { ... }

void RegisterIdempotencyChecks(cfg_t* root) {
  cfg_set_validate_func(root, "idempotency|memory", CheckRange<64L << 10, 1L << 30, ' ', 'b'>);
  cfg_set_validate_func(root, "idempotency|keep", CheckRange<1'000, 3'600'000, 'm', 's'>);
  cfg_set_validate_func(root, "idempotency|max_waiters", CheckRange<1, 4'096>);
  cfg_set_validate_func(root, "idempotency|witnesses", CheckRange<1, 15>);
  cfg_set_validate_func(root, "idempotency|datagrams_per_second", CheckRange<1, 100'000>);
  cfg_set_validate_func(root, "idempotency|peer_silent", CheckRange<100, 60'000, 'm', 's'>);
}

idempotency::Limits DecodeIdempotency(cfg_t* block) {
  idempotency::Limits out;
  out.enabled = cfg_getbool(block, "enabled") == cfg_true;
  out.memory = static_cast<std::size_t>(cfg_getint(block, "memory"));
  out.keep = std::chrono::milliseconds(cfg_getint(block, "keep"));
  out.customer_quota = cfg_getfloat(block, "customer_share");
  out.max_waiters = static_cast<std::size_t>(cfg_getint(block, "max_waiters"));
  out.when_full = static_cast<idempotency::WhenFull>(cfg_getint(block, "when_full"));
  out.when_unconfirmed = static_cast<idempotency::WhenUnconfirmed>(cfg_getint(block, "unvouched"));
  out.replicas = static_cast<std::size_t>(cfg_getint(block, "witnesses"));
  out.datagrams_per_second = static_cast<std::size_t>(cfg_getint(block, "datagrams_per_second"));
  out.peer_silent = std::chrono::milliseconds(cfg_getint(block, "peer_silent"));
  return out;
}

// ---- fleet { ... }

int CheckMembershipName(cfg_t* cfg, cfg_opt_t* opt) {
  const std::string name = cfg_opt_getnstr(opt, 0);
  if (!name.empty() && name.size() <= membership::kMaxNameBytes) return 0;
  cfg_error(cfg, "%s is \"%s\": 1 to %zu bytes are wanted", FullName(cfg, opt).c_str(), name.c_str(),
            membership::kMaxNameBytes);
  return -1;
}

void RegisterMembershipChecks(cfg_t* root) {
  cfg_set_validate_func(root, "fleet|name", CheckMembershipName);
  cfg_set_validate_func(root, "fleet|datagram",
                        CheckRange<membership::kMinDatagramBytes, membership::kMaxDatagramBytes, ' ', 'b'>);
  cfg_set_validate_func(root, "fleet|datagrams_per_second", CheckRange<5, 10'000>);
  cfg_set_validate_func(root, "fleet|period", CheckRange<50, 60'000, 'm', 's'>);
  cfg_set_validate_func(root, "fleet|suspicion", CheckRange<100, 600'000, 'm', 's'>);
  cfg_set_validate_func(root, "fleet|forget", CheckRange<1'000, 86'400'000, 'm', 's'>);
}

membership::Limits DecodeMembership(cfg_t* block, const std::string& file) {
  membership::Limits out;
  out.enabled = cfg_getbool(block, "enabled") == cfg_true;
  out.name = cfg_getstr(block, "name");
  for (unsigned i = 0; i < cfg_size(block, "seeds"); ++i) out.seeds.push_back(cfg_getnstr(block, "seeds", i));
  out.listen = cfg_getstr(block, "listen");
  out.datagram = static_cast<std::size_t>(cfg_getint(block, "datagram"));
  out.datagrams_per_second = static_cast<double>(cfg_getint(block, "datagrams_per_second"));
  out.period = std::chrono::milliseconds(cfg_getint(block, "period"));
  out.suspicion = std::chrono::milliseconds(cfg_getint(block, "suspicion"));
  out.forget = std::chrono::milliseconds(cfg_getint(block, "forget"));
  const auto fail = [&](const char* what) { throw OperatorError(file + ": " + what); };
  // At five confirmation probes per period, ten must fail before a member is declared dead.
  if (out.suspicion < 2 * out.period) fail("fleet.suspicion is shorter than twice fleet.period");
  if (out.forget < out.suspicion) fail("fleet.forget is shorter than fleet.suspicion");
  if (out.listen.empty() && !out.seeds.empty()) fail("fleet.seeds needs fleet.listen");
  if (!out.listen.empty() && out.seeds.empty()) fail("fleet.listen needs fleet.seeds");
  return out;
}

subsetting::Limits DecodeSubsetting(cfg_t* block) {
  return {.subsets = cfg_getbool(block, "subsets") == cfg_true,
          .min_own_zone = static_cast<std::size_t>(cfg_getint(block, "nodes")),
          .min_other_zone = static_cast<std::size_t>(cfg_getint(block, "least"))};
}

// ---- Keys, parsers and defaults of each block ----

using Options = std::vector<cfg_opt_t>;

Options IdempotencyOptions() {
  const idempotency::Limits defaults;
  return {
      CFG_BOOL_CB("enabled", defaults.enabled ? cfg_true : cfg_false, CFGF_NONE, ParseFlag),
      CFG_INT_CB("memory", static_cast<long>(defaults.memory), CFGF_NONE, ParseSize),
      CFG_INT_CB("keep", defaults.keep.count(), CFGF_NONE, ParseDuration),
      CFG_FLOAT_CB("customer_share", defaults.customer_quota, CFGF_NONE, ParseFraction),
      CFG_INT_CB("max_waiters", static_cast<long>(defaults.max_waiters), CFGF_NONE, ParseCount),
      CFG_INT_CB("when_full", static_cast<long>(defaults.when_full), CFGF_NONE, ParseWhenFull),
      CFG_INT_CB("unvouched", static_cast<long>(defaults.when_unconfirmed), CFGF_NONE, ParseWhenUnconfirmed),
      CFG_INT_CB("witnesses", static_cast<long>(defaults.replicas), CFGF_NONE, ParseCount),
      CFG_INT_CB("datagrams_per_second", static_cast<long>(defaults.datagrams_per_second), CFGF_NONE,
                 ParseCount),
      CFG_INT_CB("peer_silent", defaults.peer_silent.count(), CFGF_NONE, ParseDuration),
      CFG_END()};
}

Options UsageOptions() {
  const usage::Limits defaults;
  return {CFG_BOOL_CB("tell", defaults.broadcast ? cfg_true : cfg_false, CFGF_NONE, ParseFlag), CFG_END()};
}

Options MembershipOptions() {
  static const membership::Limits defaults;  // the options point to its strings until libconfuse copies them
  return {CFG_BOOL_CB("enabled", defaults.enabled ? cfg_true : cfg_false, CFGF_NONE, ParseFlag),
          CFG_STR("name", defaults.name.c_str(), CFGF_NONE),
          CFG_STR_LIST("seeds", const_cast<char*>("{}"), CFGF_NONE),
          CFG_STR("listen", "", CFGF_NONE),
          CFG_INT_CB("datagram", static_cast<long>(defaults.datagram), CFGF_NONE, ParseSize),
          CFG_INT_CB("datagrams_per_second", static_cast<long>(defaults.datagrams_per_second), CFGF_NONE,
                     ParseCount),
          CFG_INT_CB("period", defaults.period.count(), CFGF_NONE, ParseDuration),
          CFG_INT_CB("suspicion", defaults.suspicion.count(), CFGF_NONE, ParseDuration),
          CFG_INT_CB("forget", defaults.forget.count(), CFGF_NONE, ParseDuration),
          CFG_END()};
}

Options SubsettingOptions() {
  const subsetting::Limits defaults;
  return {CFG_BOOL_CB("subsets", defaults.subsets ? cfg_true : cfg_false, CFGF_NONE, ParseFlag),
          CFG_INT_CB("nodes", static_cast<long>(defaults.min_own_zone), CFGF_NONE, ParseCount),
          CFG_INT_CB("least", static_cast<long>(defaults.min_other_zone), CFGF_NONE, ParseCount), CFG_END()};
}

// Creates the parser for the whole file. libconfuse copies the options.
ConfigHandle MakeParser(const std::string& file) {
  Options idempotency = IdempotencyOptions();
  Options usage = UsageOptions();
  Options membership = MembershipOptions();
  Options subsetting = SubsettingOptions();
  cfg_opt_t blocks[] = {CFG_SEC("idempotency", idempotency.data(), CFGF_NONE),
                        CFG_SEC("demand", usage.data(), CFGF_NONE),
                        CFG_SEC("fleet", membership.data(), CFGF_NONE),
                        CFG_SEC("concert", subsetting.data(), CFGF_NONE),
                        CFG_BOOL(kEndMarker, cfg_false, CFGF_NONE),
                        CFG_END()};
  ConfigHandle root(cfg_init(blocks, CFGF_NONE));
  if (!root) throw OperatorError(file + ": not enough memory to read it");
  cfg_set_error_function(root.get(), RecordError);
  RegisterIdempotencyChecks(root.get());
  RegisterMembershipChecks(root.get());
  cfg_set_validate_func(root.get(), "concert|nodes", CheckRange<2, 1'000>);
  cfg_set_validate_func(root.get(), "concert|least", CheckRange<1, 1'000>);
  return root;
}

void Parse(cfg_t* root, const std::string& text, const std::string& file) {
  ErrorSink sink{file, {}};
  error_sink = &sink;
  const bool is_text = text.find('\0') == std::string::npos;
  const int result =
      is_text ? cfg_parse_buf(root, (text + "\n" + kEndMarker + " = true\n").c_str()) : CFG_FILE_ERROR;
  error_sink = nullptr;
  if (sink.error.find(kEndMarker) != std::string::npos) throw OperatorError(file + ": a block is not closed");
  if (result == CFG_SUCCESS) return;
  throw OperatorError(sink.error.empty() ? file + ": not a text file" : sink.error);
}

}  // namespace

OperatorFile Decode(const std::string& text, const std::string& name) {
  const ConfigHandle root = MakeParser(name);
  Parse(root.get(), text, name);
  return {.idempotency = DecodeIdempotency(cfg_getsec(root.get(), "idempotency")),
          .usage = {.broadcast = cfg_getbool(cfg_getsec(root.get(), "demand"), "tell") == cfg_true},
          .membership = DecodeMembership(cfg_getsec(root.get(), "fleet"), name),
          .subsetting = DecodeSubsetting(cfg_getsec(root.get(), "concert"))};
}

OperatorFile Load(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw OperatorError(path + ": can't be read");
  if (text.view().size() > kMaxFileBytes) throw OperatorError(path + ": is larger than 1 MiB");
  return Decode(text.str(), path);
}

}  // namespace postspread::operator_file
