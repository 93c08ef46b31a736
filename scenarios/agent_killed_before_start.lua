-- An agent is killed after it recorded tasks and before it started them. Guards against starting
-- them later, or answering that they ran or did not run without proof.
require "lib"
local c = cluster{workers = 1, slots = 1, entries = 2, changes = {
  agent_queue = 2, health = {heartbeat_ms = 100, agent_lost_ms = 1000, agent_dead_ms = 3000}}}
local worker = c.workers[1]
-- One task runs; the agent's queue holds the next two.
local jobs = c:load(3, {entries = {c.entries[1]}, run_ms = 5000, deadline_ms = 60000})
c:await_started(jobs[1], 0)
await("one task runs", function() return c:starts_at(worker) == 1 end)
local before = c:starts_by_task()
kill(worker.name)
c:start_agent(worker)
c:await_answers()
for _, job in ipairs(jobs) do
  expect(answer_of(job).status ~= "complete" or before[job.ticket .. "/0"] == nil,
         "a job whose agent died under it is not complete")
end
-- A new job shows that the new incarnation works; nothing of the old ones may have started with it.
for _, job in ipairs(jobs) do c:resubmit(job, c.entries[2]) end
c:await_answers()
local probe = c:submit{entry = c.entries[2], run_ms = 10, deadline_ms = 60000}
await_answer(probe)
expect_complete(probe)
c:check()
