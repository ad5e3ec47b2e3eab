// The command line by popt, the only user of that library.
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
constexpr size_t kMaxDigits = 18;  // Fits uint64_t.

constexpr const char* kSynopsis =
    "COMMAND [ARGUMENT...]\n"
    "\n"
    "Commands:\n"
    "  validate FILE...             check files without the platform\n"
    "  diff -f FILE                 show what apply would change\n"
    "  apply -f FILE                bring the platform to what files say\n"
    "  get [SERVICE]                list services, or print one\n"
    "  drain SERVICE UPSTREAM       give an upstream no new flows\n"
    "  join SERVICE UPSTREAM        give it new flows at a rising rate\n"
    "  activate SERVICE UPSTREAM    give it new flows without limit of rate\n"
    "  delete SERVICE               take a service out of force\n"
    "  settle EDIT_ID SERVICE       tell whether an edit was accepted\n"
    "  status                       show what is in force on which balancer\n"
    "  flows                        sum up flows over all balancers\n"
    "  explain FLOW -f LOG          tell from logs what became of a flow\n"
    "\n";

enum option_id : int { kFile = 1, kPlatform, kOutput, kAfter };

// Values that popt writes in place.
struct raw_options {
  char* text = nullptr;  // Argument of the option just met.
  char* base = nullptr;
  int merge = 0;
  int timeout_ms = 2000;
  int version = 0;
};

struct free_context {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using context_pointer =
    std::unique_ptr<std::remove_pointer_t<poptContext>, free_context>;

failure Usage(std::string text) {
  return {failure_kind::kInvalid, std::move(text)};
}

bool TakeOutput(const std::string& text, command_line& line) {
  line.output = text == "json" ? output_format::kJson : output_format::kText;
  return text == "json" || text == "text";
}

bool TakeAfter(const std::string& text, command_line& line) {
  if (text.empty() || text.size() > kMaxDigits) return false;
  if (text.find_first_not_of("0123456789") != std::string::npos) return false;
  line.after = std::stoull(text);
  return true;
}

// Takes the option `id` with its argument; false where that is wrong.
bool Take(int id, const std::string& text, command_line& line) {
  switch (id) {
    case kFile:
      line.files.push_back(text);
      return true;
    case kPlatform:
      line.platform = ParseEndpoint(text);
      return line.platform.has_value();
    case kOutput:
      return TakeOutput(text, line);
    case kAfter:
      return TakeAfter(text, line);
    default:
      return true;
  }
}

void TakeArguments(poptContext context, command_line& line) {
  const char* argument = poptGetArg(context);
  if (argument != nullptr) line.command = argument;
  while ((argument = poptGetArg(context)) != nullptr)
    line.arguments.emplace_back(argument);
}

std::string TakeText(char*& text) {
  std::string taken = text == nullptr ? "" : text;
  std::free(text);  // popt hands over memory of malloc.
  text = nullptr;
  return taken;
}

bool ReadOptions(poptContext context, raw_options& raw, command_line& line,
                 failure& why) {
  int id = 0;
  while ((id = poptGetNextOpt(context)) > 0) {
    const std::string text = TakeText(raw.text);
    if (Take(id, text, line)) continue;
    why = Usage("wrong argument \"" + text + "\"");
    return false;
  }
  if (id == -1) return true;
  why = Usage(std::string(poptBadOption(context, 0)) + ": " + poptStrerror(id));
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
      poptOption{"merge", 'm', POPT_ARG_NONE, &raw.merge, 0,
                 "merge with edits that others made meanwhile", nullptr},
      poptOption{"after", 0, POPT_ARG_STRING, &raw.text, kAfter,
                 "version that the edit to settle was made from", "VERSION"},
      poptOption{"output", 'o', POPT_ARG_STRING, &raw.text, kOutput,
                 "form of the report: text or json", "FORM"},
      poptOption{"timeout", 't', POPT_ARG_INT, &raw.timeout_ms, 0,
                 "longest wait for each answer, 2000 unless given", "MS"},
      poptOption{"version", 'V', POPT_ARG_NONE, &raw.version, 0,
                 "print the release and end", nullptr},
      poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
  const context_pointer context(
      poptGetContext("radishyardctl", argc, argv, options.data(), 0));
  poptSetOtherOptionHelp(context.get(), kSynopsis);

  command_line line;
  if (!ReadOptions(context.get(), raw, line, why)) return std::nullopt;
  TakeArguments(context.get(), line);
  line.base = TakeText(raw.base);
  line.merge = raw.merge != 0;
  line.wants_version = raw.version != 0;
  line.timeout = milliseconds(raw.timeout_ms);
  if (raw.timeout_ms >= 1 && raw.timeout_ms <= kMaxTimeoutMs) return line;
  why =
      Usage("--timeout is not between 1 and " + std::to_string(kMaxTimeoutMs));
  return std::nullopt;
}

}  // namespace radishyard
