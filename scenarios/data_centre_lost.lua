-- All processes of a data centre (an entry, agents, endpoints) are killed at once under load, and others
-- come in their place. Guards against answers that claim too much and against new jobs that suffer.
require "lib"
local c = cluster{entries = 4, workers = 8, changes = {
  health = {heartbeat_ms = 200, agent_lost_ms = 1000, agent_dead_ms = 4000}}}
local jobs = c:load(80, {tasks = 4, run_ms = {30, 600}, deadline_ms = 60000})
c:await_started(jobs[1])
local centre = c.entries[1].settings.data_centre
local entries, workers = {}, {}
for _, entry in ipairs(c.entries) do
  if entry.settings.data_centre == centre then entries[#entries + 1] = entry end
end
for _, worker in ipairs(c.workers) do
  if worker.settings.data_centre == centre then workers[#workers + 1] = worker end
end
expect(#entries == 1 and #workers == 2, "the data centre has an entry and two workers")
c:lose(entries, workers)
local during = c:load(24, {tasks = 4, run_ms = {30, 100}, deadline_ms = 60000})
-- Numbers 5, 9 and 13 are in the same data centre.
c:join_entry(5)
c:join_worker(9)
c:join_worker(13)
c:await_ready()
c:await_answers_with_resubmission(c.entries)
for _, job in ipairs(jobs) do
  expect(answer_of(job) and answer_of(job).status, "the job %s gets an answer", job.ticket)
end
for _, job in ipairs(during) do
  local answer = answer_of(job)
  expect(answer.status == "complete" or answer.reason == "outcome_unknown", "a job sent after the loss is complete or unknown: %s",
         host.json_text(answer))
end
local later = c:load(40, {tasks = 4, run_ms = {30, 100}, deadline_ms = 60000})
c:await_answers()
for _, job in ipairs(later) do expect_complete(job) end
local totals = c:check()
expect(totals.complete >= #later, "the remaining data centres go on")
