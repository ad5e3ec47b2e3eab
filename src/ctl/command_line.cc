// Parses the command line with popt. Only this file includes that library.
#include "ctl/command_line.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <utility>

#include "settings/settings.h"

namespace radishyard {
namespace {

constexpr int kMaxTimeoutMs = 60'000;
constexpr size_t kMaxDigits = 18;  // Any 18 digits fit into uint64_t.

constexpr const char* kSynopsis =
    "COMMAND [ARGUMENT...]\n"
    "\n"
    "Commands:\n"
    "  validate FILE...             check files without the platform\n"
    "  check FILE...                check files, warn, and compare them\n"
    "  diff -f FILE                 show what apply would change\n"
    "  apply -f FILE                write the services of files to the "
    "platform\n"
    "  get [SERVICE]                list services, or print one\n"
    "  drain SERVICE UPSTREAM       give an upstream no new flows\n"
    "  join SERVICE UPSTREAM        give it new flows at a rising rate\n"
    "  activate SERVICE UPSTREAM    give it new flows without a rate limit\n"
    "  delete SERVICE               mark a service as deleted\n"
    "  evacuate DOMAIN              give a failure domain no new flows\n"
    "  restore DOMAIN               end its evacuation\n"
    "  settle EDIT_ID SERVICE       show whether an edit was accepted\n"
    "  status                       show which versions are in force where\n"
    "  flows                        show the sums of flows of all balancers\n"
    "  explain FLOW -f LOG          show from logs what happened to a flow\n"
    "\n";

enum option_id : int { kFile = 1, kPlatform, kOutput, kAfter };

// Variables that popt stores option arguments in.
struct raw_options {
  char* text = nullptr;  // Argument of the option that popt returned last.
  char* base = nullptr;
  char* against = nullptr;
  int merge = 0;
  int timeout_ms = 2000;
  int version = 0;
};

struct popt_context_deleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using popt_context_ptr =
    std::unique_ptr<std::remove_pointer_t<poptContext>, popt_context_deleter>;

failure MakeUsageFailure(std::string text) {
  return {failure_kind::kInvalid, std::move(text)};
}

bool ParseOutput(const std::string& text, command_line& line) {
  line.output = text == "json" ? output_format::kJson : output_format::kText;
  return text == "json" || text == "text";
}

bool ParseAfter(const std::string& text, command_line& line) {
  if (text.empty() || text.size() > kMaxDigits) return false;
  if (text.find_first_not_of("0123456789") != std::string::npos) return false;
  line.after = std::stoull(text);
  return true;
}

// Stores the option `id` with its argument `text` in `line`. Returns false if
// the argument is invalid.
bool ParseOption(int id, const std::string& text, command_line& line) {
  switch (id) {
    case kFile:
      line.files.push_back(text);
      return true;
    case kPlatform:
      line.platform = ParseEndpoint(text);
      return line.platform.has_value();
    case kOutput:
      return ParseOutput(text, line);
    case kAfter:
      return ParseAfter(text, line);
    default:
      return true;
  }
}

void ReadArguments(poptContext context, command_line& line) {
  const char* argument = poptGetArg(context);
  if (argument != nullptr) line.command = argument;
  while ((argument = poptGetArg(context)) != nullptr)
    line.arguments.emplace_back(argument);
}

// Copies a string that popt has allocated with malloc(), and frees it.
std::string CopyAndFree(char*& text) {
  std::string copy = text == nullptr ? "" : text;
  std::free(text);
  text = nullptr;
  return copy;
}

bool ReadOptions(poptContext context, raw_options& raw, command_line& line,
                 failure& why) {
  int id = 0;
  while ((id = poptGetNextOpt(context)) > 0) {
    const std::string text = CopyAndFree(raw.text);
    if (ParseOption(id, text, line)) continue;
    why = MakeUsageFailure("invalid argument \"" + text + "\"");
    return false;
  }
  if (id == -1) return true;
  why = MakeUsageFailure(std::string(poptBadOption(context, 0)) + ": " +
                         poptStrerror(id));
  return false;
}

}  // namespace

std::optional<command_line> ParseCommandLine(int argc, const char** argv,
                                             failure& why) {
  raw_options raw;
  const std::array options{
      poptOption{"platform", 'p', POPT_ARG_STRING, &raw.text, kPlatform,
                 "address of the platform's store", "ADDRESS:PORT"},
      poptOption{"file", 'f', POPT_ARG_STRING, &raw.text, kFile,
                 "a file with a service, a folder of them, or a log", "FILE"},
      poptOption{"base", 'b', POPT_ARG_STRING, &raw.base, 0,
                 "the file or folder that the edit was made from", "FILE"},
      poptOption{"against", 0, POPT_ARG_STRING, &raw.against, 0,
                 "what check compares with: live, a file or a folder",
                 "live|FILE"},
      poptOption{"merge", 'm', POPT_ARG_NONE, &raw.merge, 0,
                 "merge with edits that others have made since", nullptr},
      poptOption{"after", 0, POPT_ARG_STRING, &raw.text, kAfter,
                 "version that the edit to settle was made from", "VERSION"},
      poptOption{"output", 'o', POPT_ARG_STRING, &raw.text, kOutput,
                 "format of the report: text or json", "FORM"},
      poptOption{"format", 0, POPT_ARG_STRING, &raw.text, kOutput,
                 "the same as --output", "FORM"},
      poptOption{"timeout", 't', POPT_ARG_INT, &raw.timeout_ms, 0,
                 "timeout of each call in ms, 2000 by default", "MS"},
      poptOption{"version", 'V', POPT_ARG_NONE, &raw.version, 0,
                 "print the release and exit", nullptr},
      poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
  const popt_context_ptr context(
      poptGetContext("radishyardctl", argc, argv, options.data(), 0));
  poptSetOtherOptionHelp(context.get(), kSynopsis);

  command_line line;
  if (!ReadOptions(context.get(), raw, line, why)) return std::nullopt;
  ReadArguments(context.get(), line);
  line.base = CopyAndFree(raw.base);
  line.against = CopyAndFree(raw.against);
  line.merge = raw.merge != 0;
  line.wants_version = raw.version != 0;
  line.timeout = milliseconds(raw.timeout_ms);
  if (raw.timeout_ms >= 1 && raw.timeout_ms <= kMaxTimeoutMs) return line;
  why = MakeUsageFailure("--timeout is not between 1 ms and " +
                         std::to_string(kMaxTimeoutMs));
  return std::nullopt;
}

}  // namespace radishyard
