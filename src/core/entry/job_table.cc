#include "core/entry/job_table.h"

#include <algorithm>

namespace quetzalvale {

Job& JobTable::Add(Job job) {
  job.id = this->next_id++;
  job.open = job.tasks.size();
  job.payload_bytes = job.payload_tail.size();
  for (const Task& task : job.tasks) {
    job.payload_bytes += task.spec.payload.size();
  }
  this->payload_bytes += job.payload_bytes;
  this->by_ticket[job.ticket] = job.id;
  if (job.IsRepeatable()) {
    this->by_name[job.name] = job.id;
  }
  this->due.emplace(job.deadline, job.id);
  this->due_of[job.id] = job.deadline;
  ++this->unanswered_by_service[job.ticket.service];
  const std::uint64_t id = job.id;
  return this->jobs.emplace(id, std::move(job)).first->second;
}

Job* JobTable::Find(std::uint64_t id) {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

const Job* JobTable::Find(std::uint64_t id) const {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

Job* JobTable::Find(const Ticket& ticket) {
  const auto found = this->by_ticket.find(ticket);
  return found == this->by_ticket.end() ? nullptr : this->Find(found->second);
}

Job* JobTable::FindNamed(const std::string& name) {
  const auto found = this->by_name.find(name);
  return found == this->by_name.end() ? nullptr : this->Find(found->second);
}

Job* JobTable::FindByRequest(RequestId request) {
  for (const auto& [name, id] : this->by_name) {
    Job& job = this->jobs.at(id);
    const bool waits = std::ranges::any_of(job.waiters, [request](const Waiter& waiter) {
      return waiter.kind == Waiter::Kind::kCaller && waiter.request == request;
    });
    if (waits) {
      return &job;
    }
  }
  return nullptr;
}

std::vector<std::uint64_t> JobTable::Due(Time now) const {
  std::vector<std::uint64_t> ids;
  for (const auto& [time, id] : this->due) {
    if (time > now) {
      break;
    }
    ids.push_back(id);
  }
  return ids;
}

void JobTable::SetDue(Job& job, Time new_due) {
  const auto found = this->due_of.find(job.id);
  if (found == this->due_of.end()) {
    return;
  }
  this->due.erase({found->second, job.id});
  found->second = new_due;
  this->due.emplace(new_due, job.id);
}

void JobTable::MarkAnswered(Job& job) {
  if (job.answered) {
    return;
  }
  job.answered = true;
  const auto found = this->due_of.find(job.id);
  this->due.erase({found->second, job.id});
  this->due_of.erase(found);
  const auto count = this->unanswered_by_service.find(job.ticket.service);
  if (--count->second == 0) {
    this->unanswered_by_service.erase(count);
  }
  this->payload_bytes -= job.payload_bytes;
  job.payload_bytes = 0;
  job.waiters.clear();
  job.payload_tail = std::string();
  for (Task& task : job.tasks) {
    task.spec.payload = std::string();
    task.result = std::string();
  }
}

void JobTable::Remove(std::uint64_t id) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) {
    return;
  }
  this->MarkAnswered(found->second);
  this->by_ticket.erase(found->second.ticket);
  if (found->second.IsRepeatable()) {
    this->by_name.erase(found->second.name);
  }
  this->jobs.erase(found);
}

std::size_t JobTable::Unanswered(const std::string& service) const {
  const auto found = this->unanswered_by_service.find(service);
  return found == this->unanswered_by_service.end() ? 0 : found->second;
}

std::vector<std::uint64_t> JobTable::UnansweredIds(const std::string& service) const {
  std::vector<std::uint64_t> ids;
  for (const auto& [time, id] : this->due) {
    if (this->jobs.at(id).ticket.service == service) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace quetzalvale

std::size_t std::hash<quetzalvale::TaskRef>::operator()(
    const quetzalvale::TaskRef& value) const noexcept {
  constexpr std::size_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  return static_cast<std::size_t>(value.job) * kMultiplier + value.index;
}
