-- A rack of three workers (agents and endpoints) is killed at once under load, and others come in its
-- place. Guards against tasks that start again elsewhere and jobs that never end.
require "lib"
local c = cluster{workers = 6, changes = {
  health = {heartbeat_ms = 200, agent_lost_ms = 1000, agent_dead_ms = 4000}}}
local jobs = c:load(80, {tasks = 4, run_ms = {30, 600}, deadline_ms = 60000})
c:await_started(jobs[1])
c:lose({}, {c.workers[1], c.workers[2], c.workers[3]})
for position = 7, 9 do c:join_worker(position) end
c:await_ready()
c:await_answers()
for _, job in ipairs(jobs) do
  local answer = answer_of(job)
  expect(answer and (answer.status == "complete" or answer.reason == "outcome_unknown"),
         "the job %s is complete or has an unknown outcome: %s", job.ticket, host.json_text(answer))
end
-- The same answer is given again.
for position, job in ipairs(jobs) do
  job.first_status = answer_of(job).status
  c:resubmit(job, c.entries[position % #c.entries + 1])
end
local later = c:load(40, {tasks = 4, run_ms = {30, 100}, deadline_ms = 60000})
c:await_answers()
for _, job in ipairs(jobs) do
  expect(answer_of(job).status == job.first_status, "the answer of %s stays %s", job.ticket, job.first_status)
end
for _, job in ipairs(later) do expect_complete(job) end
c:check()
