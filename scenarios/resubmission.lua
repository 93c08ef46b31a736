-- Guarantee 1: no task of a submission starts twice, even when a client resubmits. Guards against a
-- resubmission, through the owner or any other entry, that is taken for a new job.
require "lib"
local c = cluster{workers = 4, speeds = {1, 0.5, 2}}
local jobs = c:load(30, {tasks = 6, run_ms = {20, 60, 150}})
for _ = 1, 3 do
  for position, job in ipairs(jobs) do c:resubmit(job, c.entries[position % 3 + 1]) end
end
c:await_answers()
-- Answered jobs: the retained answer must come again.
for position, job in ipairs(jobs) do c:resubmit(job, c.entries[(position + 1) % 3 + 1]) end
c:await_answers()
for _, job in ipairs(jobs) do expect_complete(job) end
local totals = c:check()
expect(totals.complete == 150, "all 150 submissions get the complete answer, not %d", totals.complete)
-- The same ticket with another body is a conflict and starts nothing.
local conflict = {}
for name, value in pairs(jobs[1]) do conflict[name] = value end
conflict.body = {ticket = jobs[1].ticket, team = c.team, kind = c.kind, tasks = {{payload = {run_ms = 1}}}}
conflict.attempts = {}
c:resubmit(conflict, c.entries[1])
local answer = await_answer(conflict)
expect(answer.status == 409, "another body under a used ticket is answered 409, not %s", answer.status)
expect(c:starts_of(jobs[1]) == 6, "the conflicting job starts nothing")
