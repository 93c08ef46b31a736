#include "standin/endpoint_worker.h"

#include <algorithm>
#include <cmath>

#include "protocol/codec.h"

namespace quetzalvale {
namespace {

constexpr Milliseconds kSamplePeriod{250};
/// A failing endpoint answers faster than any that works.
constexpr Milliseconds kFailTime{1};
constexpr int kUnavailable = 503;

HttpResponse Refusal(const std::string& reason) {
  return {kUnavailable, R"({"status":"refused","reason":")" + reason + R"("})"};
}

std::string FailedBody(const std::string& reason) {
  return R"({"status":"failed","reason":")" + reason + R"("})";
}

std::string OkBody(const Json::Value& echo) {
  Json::Value body;
  body["status"] = "ok";
  body["result"] = echo;
  return WriteJson(body);
}

Json::Value AmountsToJson(const Resources& amounts) {
  Json::Value json;
  json["cores"] = static_cast<double>(amounts.millicores) / 1000;
  json["memory_mb"] = static_cast<Json::Int64>(amounts.memory_mb);
  json["accelerators"] = static_cast<Json::Int64>(amounts.accelerators);
  return json;
}

}  // namespace

EndpointWorker::EndpointWorker(EndpointOptions options, EndpointControl control,
                               EndpointJournal& journal)
    : options(options), control(control), journal(journal), random(options.seed) {}

void EndpointWorker::Start(Time now, const EndpointTask& task, HttpResponder respond) {
  this->Advance(now);
  if (this->open >= this->options.connections) {
    this->Answer(now, std::move(respond), Refusal("connections"));
    return;
  }
  if (this->Running() >= this->options.slots) {
    this->Answer(now, std::move(respond), Refusal("slots"));
    return;
  }
  if (this->control.fail_everything) {
    this->FailAtOnce(now, task, std::move(respond));
    return;
  }
  Run run;
  run.task = task;
  run.record = this->journal.RecordStart(task.task, now);
  run.started = now;
  run.end = now + this->RunTime(task.run_ms);
  run.lease_end = now + task.lease;
  if (this->control.drop_after_start) {
    HttpResponse broken_off;
    broken_off.broken_off = true;
    respond(std::move(broken_off));
  } else {
    run.respond = this->CountOpen(std::move(respond));
  }
  this->CountDeclared(task.declared);
  this->running.emplace(this->next_run++, std::move(run));
}

void EndpointWorker::CountDeclared(const Resources& task) {
  this->declared += task;
  this->peak.slots = std::max(this->peak.slots, this->declared.slots);
  this->peak.millicores = std::max(this->peak.millicores, this->declared.millicores);
  this->peak.memory_mb = std::max(this->peak.memory_mb, this->declared.memory_mb);
  this->peak.accelerators = std::max(this->peak.accelerators, this->declared.accelerators);
}

void EndpointWorker::FailAtOnce(Time now, const EndpointTask& task, HttpResponder respond) {
  const std::size_t record = this->journal.RecordStart(task.task, now);
  this->journal.RecordEnd(record, "failed", now);
  const Milliseconds latency(this->control.added_latency_ms);
  this->delayed.emplace(
      now + kFailTime + latency,
      std::pair{this->CountOpen(std::move(respond)), HttpResponse{200, FailedBody("task_failed")}});
}

HttpResponder EndpointWorker::CountOpen(HttpResponder respond) {
  ++this->open;
  return [this, respond = std::move(respond)](HttpResponse response) {
    --this->open;
    respond(std::move(response));
  };
}

Milliseconds EndpointWorker::RunTime(double run_ms) {
  // One number is drawn per task whatever the share, so that changing it moves no other task.
  const bool straggles =
      std::uniform_real_distribution<double>(0, 1)(this->random) < this->control.straggler_share;
  const double factor = straggles ? this->control.straggler_factor : 1;
  return Milliseconds(std::llround(run_ms / this->control.speed * factor));
}

int EndpointWorker::Renew(Time now, const std::vector<std::string>& tasks, Milliseconds lease) {
  this->Advance(now);
  int renewed = 0;
  for (auto& [number, run] : this->running) {
    if (std::find(tasks.begin(), tasks.end(), run.task.task) != tasks.end()) {
      run.lease_end = now + lease;
      ++renewed;
    }
  }
  return renewed;
}

bool EndpointWorker::Stop(Time now, std::string_view task) {
  this->Advance(now);
  bool found = false;
  for (auto it = this->running.begin(); it != this->running.end();) {
    if (it->second.task.task == task) {
      found = true;
      it = this->End(now, it, "stopped", FailedBody("stopped"));
    } else {
      ++it;
    }
  }
  return found;
}

bool EndpointWorker::Throttle(Time now, std::string_view task, double factor) {
  this->Advance(now);
  bool found = false;
  for (auto& [number, run] : this->running) {
    if (run.task.task == task) {
      found = true;
      run.end = now + std::chrono::duration_cast<Time::duration>((run.end - now) * factor);
    }
  }
  return found;
}

std::optional<double> EndpointWorker::Checkpoint(Time now, std::string_view task) const {
  const auto found = this->Find(task);
  if (found == this->running.end()) {
    return std::nullopt;
  }
  const std::chrono::duration<double> total = found->second.end - found->second.started;
  const std::chrono::duration<double> done = now - found->second.started;
  return total.count() <= 0 ? 1.0 : std::min(1.0, done.count() / total.count());
}

EndpointWorker::RunMap::const_iterator EndpointWorker::Find(std::string_view task) const {
  return std::find_if(this->running.begin(), this->running.end(),
                      [task](const auto& item) { return item.second.task.task == task; });
}

Json::Value EndpointWorker::Usage(Time now) const {
  Sample shown;
  for (const auto& sample : this->samples) {
    if (now - sample.at >= kUsageLag) {
      shown = sample;
    }
  }
  Json::Value usage;
  usage["running"] = shown.running;
  usage["slots"] = this->options.slots;
  usage["connections"] = this->options.connections;
  usage["lag_ms"] = static_cast<Json::Int64>(kUsageLag.count());
  usage["tasks"] = Json::Value(Json::arrayValue);
  for (const auto& [task, used] : shown.used) {
    Json::Value item = AmountsToJson(used);
    item["task"] = task;
    usage["tasks"].append(std::move(item));
  }
  return usage;
}

EndpointWorker::Sample EndpointWorker::TakeSample(Time now) const {
  Sample sample{now, this->Running()};
  for (const auto& [number, run] : this->running) {
    sample.used.emplace_back(run.task.task, run.task.used);
  }
  return sample;
}

Json::Value EndpointWorker::PeakDeclared() const {
  Json::Value json = AmountsToJson(this->peak);
  json["slots"] = static_cast<Json::Int64>(this->peak.slots);
  return json;
}

void EndpointWorker::SetControl(Time now, const EndpointControl& new_control) {
  this->Advance(now);
  this->control = new_control;
  if (!this->control.frozen) {
    for (auto& [respond, response] : std::exchange(this->held, {})) {
      this->Answer(now, std::move(respond), std::move(response));
    }
  }
}

void EndpointWorker::Answer(Time now, HttpResponder respond, HttpResponse response) {
  if (this->control.frozen) {
    this->held.emplace_back(std::move(respond), std::move(response));
  } else if (this->control.added_latency_ms > 0) {
    this->delayed.emplace(now + Milliseconds(this->control.added_latency_ms),
                          std::pair{std::move(respond), std::move(response)});
  } else {
    respond(std::move(response));
  }
}

void EndpointWorker::Advance(Time now) {
  this->EndDue(now);
  while (!this->delayed.empty() && this->delayed.begin()->first <= now) {
    auto [respond, response] = std::move(this->delayed.begin()->second);
    this->delayed.erase(this->delayed.begin());
    if (this->control.frozen) {
      this->held.emplace_back(std::move(respond), std::move(response));
    } else {
      respond(std::move(response));
    }
  }
  if (now >= this->next_sample) {
    this->samples.push_back(this->TakeSample(now));
    this->next_sample = now + kSamplePeriod;
    while (this->samples.size() > 1 && now - this->samples[1].at >= kUsageLag) {
      this->samples.pop_front();
    }
  }
}

void EndpointWorker::EndDue(Time now) {
  for (auto it = this->running.begin(); it != this->running.end();) {
    const Run& run = it->second;
    if (run.lease_end <= now && run.lease_end < run.end) {
      it = this->End(run.lease_end, it, "lease_lapsed", FailedBody("lease_lapsed"));
    } else if (run.end <= now && run.task.fail) {
      it = this->End(run.end, it, "failed", FailedBody("task_failed"));
    } else if (run.end <= now) {
      const std::string body = OkBody(run.task.echo);
      it = this->End(run.end, it, "ok", body);
    } else {
      ++it;
    }
  }
}

EndpointWorker::RunMap::iterator EndpointWorker::End(Time at, RunMap::iterator run,
                                                     const std::string& end,
                                                     const std::string& body) {
  this->journal.RecordEnd(run->second.record, end, at);
  HttpResponder respond = std::move(run->second.respond);
  this->declared -= run->second.task.declared;
  const auto next = this->running.erase(run);
  if (respond) {
    this->Answer(at, std::move(respond), HttpResponse{200, body});
  }
  return next;
}

Time EndpointWorker::NextDue() const {
  Time due = this->next_sample;
  for (const auto& [number, run] : this->running) {
    due = std::min({due, run.end, run.lease_end});
  }
  if (!this->delayed.empty()) {
    due = std::min(due, this->delayed.begin()->first);
  }
  return due;
}

}  // namespace quetzalvale
