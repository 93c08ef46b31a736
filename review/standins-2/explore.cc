// Not a case: random troubles against a small deployment, checked for TWICE, REFUSED, MIXED and
// DRAIN.
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <random>

#include "rig.h"

namespace {

const std::vector<std::string> kFronts{"127.0.0.11", "127.0.0.12"};
std::int64_t Env(const char* name, std::int64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoll(text);
}

std::vector<std::string> Sides() {
  std::vector<std::string> sides;
  for (std::int64_t i = 0; i < Env("SIDES", 3); ++i) {
    sides.push_back("127.0.0.2" + std::to_string(i + 1));
  }
  return sides;
}

const std::vector<std::string> kSides = Sides();

struct Attempt {
  int status = 0;
  bool failed = false;
  std::int64_t answered = 0;
};

int Play(rig::Deployment& site) {
  const std::int64_t seed = Env("SEED", 1);
  const std::int64_t deadline = Env("DEADLINE", 1500);
  const std::int64_t length = Env("LENGTH", 80000);
  const std::int64_t events = Env("EVENTS", 255);
  const std::int64_t gap = Env("GAP", 1200);
  std::mt19937 random(static_cast<unsigned>(seed));
  const auto draw = [&random](std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution<std::int64_t>(from, to)(random);
  };
  const rig::Queue queue;
  rig::JobBook jobs;
  rig::PutConfig(site.store(), 7, queue, deadline, static_cast<double>(Env("STRETCH", 25)) / 10,
                 60);
  std::map<std::string, std::string> names;
  for (const auto& host : kFronts) {
    names[host] = "front-" + host.substr(8);
    site.StartFront(host, names[host]);
  }
  for (const auto& host : kSides) {
    names[host] = "side-" + host.substr(8);
    site.StartSide(host, names[host]);
  }
  rig::SleepMs(200);
  int lives = 0;
  std::map<std::string, std::unique_ptr<rig::Worker>> workers;
  std::vector<std::pair<std::vector<rig::Run>, std::int64_t>> gone;
  std::map<std::string, std::string> ids;
  const auto begin = [&](const std::string& host, bool same_id) {
    if (!same_id || ids[host].empty()) ids[host] = "i-" + std::to_string(++lives);
    rig::Worker::Options options{ids[host], "order-desk", site.App(host), site.Control(host)};
    options.cpu = host == kSides[0] ? 8000 : 16000;
    options.speed = host == kSides[0] ? 0.55 : 1.2;
    options.lost_answers = static_cast<double>(Env("LOST", 0)) / 1000;
    options.applied_late = static_cast<double>(Env("LATE", 0)) / 1000;
    workers.at(host) = std::make_unique<rig::Worker>(options, jobs);
  };
  for (const auto& host : kSides) {
    workers[host] = nullptr;
    begin(host, false);
  }
  rig::SleepMs(2500);

  std::atomic<bool> over{false};
  std::atomic<std::uint64_t> number{0};
  std::mutex mutex;
  std::map<std::string, std::pair<int, std::vector<Attempt>>> sent;
  std::vector<std::thread> callers;
  for (int i = 0; i < 14; ++i) {
    callers.emplace_back([&, i] {
      std::mt19937 own(static_cast<unsigned>(seed * 1000 + i));
      const auto pick = [&own](std::int64_t from, std::int64_t to) {
        return std::uniform_int_distribution<std::int64_t>(from, to)(own);
      };
      while (!over) {
        const std::string job = rig::JobName(++number);
        const int count = static_cast<int>(pick(1, 8));
        const std::int64_t work = pick(0, 2) == 0 ? pick(700, 1400) : pick(60, 400);
        jobs.Add(job, {1600, work, static_cast<double>(Env("FAILS", 0)) / 1000});
        std::vector<Attempt> attempts;
        for (int attempt = 0; attempt < 4; ++attempt) {
          const std::string& front = kFronts[static_cast<std::size_t>(pick(0, 1))];
          rig::Record("submit " + job + " to " + front);
          const bool reset = pick(0, 99) < Env("RESET", 10);
          const std::int64_t patience = reset ? pick(5, deadline) : deadline;
          const rig::Answer answer =
              rig::Call(site.Caller(front), "POST", queue.prefix + job, queue.host,
                        rig::JobBody(count, 1600, 64, work), patience, deadline);
          rig::Record("answer " + job + " " + std::to_string(answer.status) + " " + answer.body);
          attempts.push_back(
              {answer.status, answer.body.find("failed") != std::string::npos, rig::NowMs()});
          if (answer.status != 0 && answer.status != 502 && answer.status != 504) break;
          rig::SleepMs(1300);
        }
        {
          const std::lock_guard lock(mutex);
          sent[job] = {count, attempts};
        }
        rig::SleepMs(pick(0, 300));
      }
    });
  }

  const std::int64_t end = rig::NowMs() + length;
  std::mutex gone_mutex;
  std::vector<std::thread> troubles;
  std::vector<std::string> hosts = kFronts;
  hosts.insert(hosts.end(), kSides.begin(), kSides.end());
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    troubles.emplace_back([&, i] {
      const std::string host = hosts[i];
      const bool side = i >= kFronts.size();
      std::mt19937 own(static_cast<unsigned>(seed * 7919 + static_cast<std::int64_t>(i)));
      const auto pick = [&own](std::int64_t from, std::int64_t to) {
        return std::uniform_int_distribution<std::int64_t>(from, to)(own);
      };
      const auto restart = [&] {
        side ? site.StartSide(host, names.at(host)) : site.StartFront(host, names.at(host));
      };
      const auto end_life = [&] {
        const std::lock_guard lock(gone_mutex);
        gone.emplace_back(workers.at(host)->Runs(), workers.at(host)->DrainAcknowledged());
        workers.at(host).reset();
      };
      while (rig::NowMs() < end) {
        rig::SleepMs(pick(gap / 2, gap * 3 / 2));
        const int kind = static_cast<int>(pick(0, side ? 4 : 2));
        if ((events >> kind & 1) == 0) continue;
        if (kind == 0) {
          site.Signal(host, SIGTERM);
          const std::int64_t kill_at = rig::NowMs() + 6000;
          while (!site.HasEnded(host) && rig::NowMs() < kill_at) rig::SleepMs(5);
          if (!site.HasEnded(host)) site.Signal(host, SIGKILL);
          rig::SleepMs(pick(50, 400));
          restart();
        } else if (kind == 1) {
          site.Signal(host, SIGKILL);
          rig::SleepMs(pick(50, 1500));
          restart();
        } else if (kind == 2) {
          site.Signal(host, SIGSTOP);
          rig::SleepMs(pick(200, 3000));
          site.Signal(host, SIGCONT);
        } else {
          if (kind == 3) {
            workers.at(host)->Crash();
          } else {
            workers.at(host)->Drain();
            rig::SleepMs(pick(500, 3500));
            workers.at(host)->Leave();
          }
          end_life();
          rig::SleepMs(pick(10, 1500));
          const std::lock_guard lock(gone_mutex);
          begin(host, pick(0, 1) == 0);
        }
        rig::SleepMs(500);
      }
    });
  }
  for (std::thread& trouble : troubles) trouble.join();
  over = true;
  for (std::thread& caller : callers) caller.join();
  rig::SleepMs(1000);
  std::vector<rig::Run> runs;
  for (auto& [host, worker] : workers)
    gone.emplace_back(worker->Runs(), worker->DrainAcknowledged());
  int broken = 0;
  for (const auto& [of_life, drained] : gone) {
    for (rig::Run run : of_life) {
      if (run.ended < 0) run.ended = rig::NowMs();
      if (drained >= 0 && run.started > drained + 2000) {
        ++broken;
        rig::Record("DRAIN " + run.task);
      }
      runs.push_back(run);
    }
  }
  std::map<std::string, std::vector<rig::Run>> by_task;
  for (const rig::Run& run : runs) by_task[run.task].push_back(run);
  for (const auto& [task, list] : by_task) {
    for (std::size_t i = 0; i < list.size(); ++i) {
      for (std::size_t j = i + 1; j < list.size(); ++j) {
        const auto from = std::max(list[i].started, list[j].started);
        const auto to = std::min(list[i].ended, list[j].ended);
        if (from < to) {
          ++broken;
          rig::Record("TWICE " + task + " at " + list[i].worker + " and " + list[j].worker +
                      " from " + std::to_string(from) + " to " + std::to_string(to));
        }
      }
    }
  }
  std::map<int, int> statuses;
  for (const auto& [job, item] : sent) {
    const auto& [count, attempts] = item;
    ++statuses[attempts.back().status];
    const bool rejected = std::ranges::all_of(
        attempts, [](const Attempt& one) { return one.status == 503 || one.status == 429; });
    if (attempts.back().status == 200 && attempts.back().failed) {
      std::ptrdiff_t most = 0;
      for (int index = 0; index < count; ++index) {
        const auto& list = by_task[job + ".0.0." + std::to_string(index)];
        most = std::max(most, std::ranges::count(list, "failed", &rig::Run::how));
      }
      ++statuses[-static_cast<int>(most)];
      if (most < 2) {
        ++broken;
        rig::Record("FAILED " + job + " after " + std::to_string(most) + " failed runs of a task");
      }
    }
    for (int index = 0; index < count; ++index) {
      const auto found = by_task.find(job + ".0.0." + std::to_string(index));
      if (rejected && found != by_task.end()) {
        ++broken;
        rig::Record("REFUSED " + found->first);
      }
      if (attempts.back().status == 200 && !attempts.back().failed) {
        const bool done =
            found != by_task.end() && std::ranges::any_of(found->second, [&](const rig::Run& run) {
              return run.how == "done" && run.ended <= attempts.back().answered + 1;
            });
        if (!done) {
          ++broken;
          rig::Record("MIXED " + job + " task " + std::to_string(index));
        }
      }
    }
  }
  std::string summary =
      "jobs " + std::to_string(sent.size()) + " runs " + std::to_string(runs.size());
  for (const auto& [status, times] : statuses) {
    summary += " " + std::to_string(status) + ":" + std::to_string(times);
  }
  rig::Record(summary + " broken " + std::to_string(broken));
  return broken > 0 ? rig::kBroken : rig::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> hosts = kFronts;
  hosts.insert(hosts.end(), kSides.begin(), kSides.end());
  return rig::Main(argc, argv, Play, hosts);
}
