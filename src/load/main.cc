/// Load generator: sends one workload and reports how the service did.

#include <docopt/docopt.h>

#include <chrono>
#include <fstream>
#include <future>
#include <iostream>
#include <iterator>
#include <memory>
#include <set>

#include "load/clairvoyant.h"
#include "load/job_plan.h"
#include "load/journal.h"
#include "load/load_runner.h"
#include "load/report.h"
#include "load/request_sender.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace quetzalvale {
namespace {

constexpr char kUsage[] =
    R"(Sends a workload to entries, open loop, and compares the answers with a clairvoyant dispatcher.

Usage:
  quetzalvale-load --workload=FILE (--entry=ADDRESS)... [--endpoint=ADDRESS]... [--metrics=ADDRESS]...
                   [--platform=ADDRESS] [--label=NAME] [--report=FILE]

Options:
  --workload=FILE     Workload file (JSON).
  --entry=ADDRESS     Caller address of an entry, IPv4:port. Repeat for each entry.
  --endpoint=ADDRESS  Endpoint stand-in, in the order of the workload's endpoints.
  --metrics=ADDRESS   Address of an entry or agent that serves /metrics.
  --platform=ADDRESS  Platform stand-in, for workloads that disturb it.
  --label=NAME        Name of the policy in the report [default: default].
  --report=FILE       Writes the report (JSON) to this file.
)";

/// Longer than any deadline of the workloads, so that every job gets its answer.
constexpr std::chrono::seconds kCallTimeout{90};

std::vector<std::string> Texts(const docopt::value& value) {
  return value.isStringList() ? value.asStringList() : std::vector<std::string>{};
}

std::string TextOr(const docopt::value& value, const std::string& otherwise) {
  return value.isString() ? value.asString() : otherwise;
}

LoadReply Get(RequestSender& sender, const std::string& address, const std::string& target) {
  auto promise = std::make_shared<std::promise<LoadReply>>();
  auto reply = promise->get_future();
  sender.Send({address, "GET", target, ""},
              [promise](LoadReply got) { promise->set_value(std::move(got)); });
  return reply.get();
}

/// One experiment: the run and what the processes say before and after it.
class Experiment {
 public:
  Experiment(Workload workload, LoadTargets targets, std::vector<std::string> metrics)
      : workload(std::move(workload)),
        targets(std::move(targets)),
        metrics(std::move(metrics)),
        sender(kCallTimeout) {}

  LoadReport Run() {
    const std::vector<PlannedJob> jobs = PlanJobs(this->workload);
    this->ReadMetrics([this](const std::string& address, const MessageCounts& counts) {
      this->tally.Before(address, counts);
    });
    const SystemClock clock;
    LoadRunner runner(
        this->workload, jobs, this->targets,
        [this](const LoadRequest& request, std::function<void(LoadReply)> done) {
          this->sender.Send(request, std::move(done));
        },
        clock, [](const std::string& line) { std::cerr << "load: " << line << std::endl; });
    const std::vector<JobRecord> records = runner.Run();
    this->unread += runner.FailedControls();
    const RunEvidence evidence = this->Collect(records);
    const auto ideal = ClairvoyantResponses(
        jobs, this->workload.endpoints,
        this->workload.caller_latency_ms + this->workload.endpoint_latency_ms / 2.0);
    return Summarize(this->workload, jobs, records, ideal, evidence);
  }

  const Workload& GetWorkload() const { return this->workload; }

 private:
  template <typename Keep>
  void ReadMetrics(const Keep& keep) {
    for (const std::string& address : this->metrics) {
      const LoadReply reply = Get(this->sender, address, "/metrics");
      if (reply.status == 200) {
        keep(address, MessageCounts::Parse(reply.body));
      } else {
        ++this->unread;
        Log(LogLevel::kWarning, 7001, "metrics_unread",
            "address=" + address + " status=" + std::to_string(reply.status));
      }
    }
  }

  RunEvidence Collect(const std::vector<JobRecord>& records) {
    this->ReadMetrics([this](const std::string& address, const MessageCounts& counts) {
      this->tally.After(address, counts);
    });
    Journal journal;
    for (const std::string& address : this->targets.endpoints) {
      const LoadReply reply = Get(this->sender, address, "/journal");
      if (reply.status != 200 || !IsOk(journal.Add(reply.body))) {
        ++this->unread;
        Log(LogLevel::kWarning, 7002, "journal_unread",
            "address=" + address + " status=" + std::to_string(reply.status));
      }
    }
    std::set<std::string> not_run;
    for (const JobRecord& record : records) {
      if (record.answer.not_run) not_run.insert(record.ticket);
    }
    return {this->tally.Total(), journal.Tasks(), journal.DoubleStarts(),
            journal.RanThoughNotRun(not_run), this->unread};
  }

  Workload workload;
  LoadTargets targets;
  std::vector<std::string> metrics;
  RequestSender sender;
  MessageTally tally;
  std::uint64_t unread = 0;
};

Result<Workload> ReadWorkloadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorKind::kInvalidSettings, path + " cannot be read; give a workload file"};
  }
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  auto workload = ParseWorkload(text);
  if (!IsOk(workload)) {
    return Error{ErrorKind::kInvalidSettings, path + ": " + GetError(workload).message};
  }
  return workload;
}

int Main(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  InitLog("quetzalvale-load", LogLevel::kInfo);
  auto workload = ReadWorkloadFile(arguments["--workload"].asString());
  if (!IsOk(workload)) {
    std::cerr << "quetzalvale-load: " << GetError(workload).message << "\n";
    return 2;
  }
  const std::string label = arguments["--label"].asString();
  Experiment experiment(std::get<0>(std::move(workload)),
                        {Texts(arguments["--entry"]), Texts(arguments["--endpoint"]),
                         TextOr(arguments["--platform"], "")},
                        Texts(arguments["--metrics"]));
  const LoadReport report = experiment.Run();
  if (arguments["--report"].isString()) {
    std::ofstream(arguments["--report"].asString()) << report.Json(experiment.GetWorkload(), label);
  }
  std::cout << report.Line(experiment.GetWorkload(), label) << std::endl;
  return report.ViolationCount() == 0 && report.evidence.unread == 0 ? 0 : 1;
}

}  // namespace
}  // namespace quetzalvale

int main(int argc, char** argv) { return quetzalvale::Main(argc, argv); }
