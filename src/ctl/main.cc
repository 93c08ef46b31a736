/// quetzalvale-ctl: the operators' command line.
#include <docopt/docopt.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "core/types.h"
#include "ctl/apply.h"
#include "ctl/drain.h"
#include "ctl/entry_client.h"
#include "ctl/exit_code.h"
#include "ctl/input_file.h"
#include "ctl/inspect.h"
#include "ctl/status.h"
#include "ctl/submit.h"
#include "ctl/validate.h"
#include "runtime/clock.h"
#include "runtime/entropy.h"

namespace quetzalvale {
namespace {

constexpr char kUsage[] = R"(quetzalvale-ctl: command line for operators of quetzalvale.

Usage:
  quetzalvale-ctl validate FILE
  quetzalvale-ctl apply FILE --base=VERSION [--service=NAME] [--change-id=ID] [--wait]
                  [--entry=ADDRESS]... [--token-file=FILE] [--timeout=SECONDS]
  quetzalvale-ctl show --service=NAME [--entry=ADDRESS]... [--token-file=FILE] [--timeout=SECONDS]
  quetzalvale-ctl audit --service=NAME [--entry=ADDRESS]... [--token-file=FILE] [--timeout=SECONDS]
  quetzalvale-ctl drain (entry|agent) NAME [--entry=ADDRESS]... [--token-file=FILE]
                  [--timeout=SECONDS]
  quetzalvale-ctl status [--entry=ADDRESS]... [--token-file=FILE] [--timeout=SECONDS]
  quetzalvale-ctl submit FILE --service=NAME --team=NAME --kind=NAME [--deadline-ms=N]
                  [--entry=ADDRESS]... [--timeout=SECONDS]
  quetzalvale-ctl (-h | --help)

FILE is a JSON file, or - for standard input: a service document for validate and apply, an array of
tasks such as [{"payload": {"item": 5}}] for submit. NAME is the name of an agent or entry as status
prints it; an entry must be among the --entry addresses.

Options:
  --base=VERSION      Version that the change is based on, as printed by show; 0 for a new service.
  --change-id=ID      Identity of the change. Repeating apply with the same id never applies twice.
                      Drawn at random and printed when left out.
  --wait              Wait until all processes have confirmed the version.
  --service=NAME      Name of the service. Left out with apply: the one that the document names.
  --team=NAME         Team that the job is counted for.
  --kind=NAME         Kind of the job's tasks.
  --deadline-ms=N     Time until the answer is needed. Left out: the kind's default.
  --entry=ADDRESS     Caller address (IPv4:port) of an entry; may be repeated. Others are tried when
                      one does not answer. [default: 127.0.0.1:8080]
  --token-file=FILE   File that holds the administrator's token. Left out: the environment variable
                      QUETZALVALE_TOKEN.
  --timeout=SECONDS   Limit for each call, for --wait and for resubmission. [default: 60]
  -h --help           Show this text.

Exit codes:
  0  done
  1  refused by the entry: nothing was changed and no task ran
  2  wrong arguments, unreadable file or invalid document
  3  stale base version: another change came first
  4  no entry answered: the operation may have taken effect and can be repeated safely
  5  the job failed
  6  applied, but not confirmed by all processes in time
)";

using Arguments = std::map<std::string, docopt::value>;

std::string Text(const Arguments& arguments, const std::string& name) {
  const docopt::value& value = arguments.at(name);
  return value.isString() ? value.asString() : std::string();
}

/// Throws std::invalid_argument that names the option.
std::uint64_t Number(const Arguments& arguments, const std::string& name, std::uint64_t fallback) {
  const std::string text = Text(arguments, name);
  if (text.empty()) {
    return fallback;
  }
  const bool digits = text.find_first_not_of("0123456789") == std::string::npos;
  if (!digits || text.size() > 12) {
    throw std::invalid_argument(name + "=" + text + ": not a number; use digits only");
  }
  return std::stoull(text);
}

bool IsSet(const Arguments& arguments, const std::string& name) {
  return arguments.at(name).isBool() && arguments.at(name).asBool();
}

/// Throws std::invalid_argument when the token file cannot be read.
std::string ReadToken(const Arguments& arguments) {
  const std::string file = Text(arguments, "--token-file");
  if (file.empty()) {
    const char* token = std::getenv("QUETZALVALE_TOKEN");
    return token == nullptr ? "" : token;
  }
  const auto text = ReadText(file);
  if (!IsOk(text)) {
    throw std::invalid_argument(GetError(text).message);
  }
  const std::string& token = std::get<std::string>(text);
  return token.substr(0, token.find_first_of("\r\n"));
}

std::string DrawChangeId() {
  Random random(DrawSeed());
  return Incarnation::Draw([&random] { return random(); }).Text();
}

Apply::Options ApplyOptions(const Arguments& arguments, std::chrono::milliseconds timeout) {
  Apply::Options options;
  options.file = Text(arguments, "FILE");
  options.service = Text(arguments, "--service");
  options.base_version = Number(arguments, "--base", 0);
  options.change_id = Text(arguments, "--change-id");
  if (options.change_id.empty()) {
    options.change_id = DrawChangeId();
  }
  options.wait = IsSet(arguments, "--wait");
  options.timeout = timeout;
  return options;
}

Submit::Options SubmitOptions(const Arguments& arguments, std::chrono::milliseconds timeout) {
  Submit::Options options;
  options.file = Text(arguments, "FILE");
  options.service = Text(arguments, "--service");
  options.team = Text(arguments, "--team");
  options.kind = Text(arguments, "--kind");
  options.deadline = std::chrono::milliseconds(Number(arguments, "--deadline-ms", 0));
  options.timeout = timeout;
  return options;
}

ExitCode RunOperation(const Arguments& arguments) {
  if (IsSet(arguments, "validate")) {
    return Validate(Text(arguments, "FILE"), std::cout, std::cerr).Run();
  }
  const std::chrono::seconds timeout(Number(arguments, "--timeout", 60));
  EntryClient client(arguments.at("--entry").asStringList(), ReadToken(arguments), timeout);
  const SystemClock clock;
  const auto pause = [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); };
  Session session{client, clock, pause, std::cout, std::cerr};
  const std::string service_path = "/admin/v1/services/" + Text(arguments, "--service");
  if (IsSet(arguments, "apply")) {
    return Apply(session, ApplyOptions(arguments, timeout)).Run();
  }
  if (IsSet(arguments, "show")) {
    return Inspect(session, service_path + "/configuration").Run();
  }
  if (IsSet(arguments, "audit")) {
    return Inspect(session, service_path + "/audit").Run();
  }
  if (IsSet(arguments, "drain")) {
    const auto target = IsSet(arguments, "entry") ? Drain::Target::kEntry : Drain::Target::kAgent;
    return Drain(session, target, Text(arguments, "NAME")).Run();
  }
  if (IsSet(arguments, "submit")) {
    return Submit(session, SubmitOptions(arguments, timeout)).Run();
  }
  return StatusReport(session).Run();
}

ExitCode RunProgram(const std::vector<std::string>& words) {
  try {
    return RunOperation(docopt::docopt_parse(kUsage, words, true, false));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return ExitCode::kDone;
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << error.what() << "; see quetzalvale-ctl --help\n";
  } catch (const std::invalid_argument& error) {
    std::cerr << error.what() << "\n";
  }
  return ExitCode::kInvalid;
}

}  // namespace
}  // namespace quetzalvale

int main(int argc, char** argv) {
  return static_cast<int>(quetzalvale::RunProgram({argv + 1, argv + argc}));
}
