-- The owner of tickets dies (kill -9) in the middle of jobs, and the callers resubmit through other
-- entries. Guards against a salvaging entry that starts tasks again or answers without proof.
require "lib"
local c = cluster{workers = 4}
local jobs = c:load(20, {entries = {c.entries[1]}, tasks = 5, run_ms = {30, 500}})
c:await_started(jobs[20])
kill(c.entries[1].name)
c:await_answers_with_resubmission{c.entries[2], c.entries[3]}
for _, job in ipairs(jobs) do
  expect(answer_of(job).status ~= nil, "the job %s gets an answer", job.ticket)
end
c:check()
-- Asking again does not change an answer that says that nothing ran.
for _, job in ipairs(jobs) do c:resubmit(job, c.entries[3]) end
c:await_answers()
c:check()
