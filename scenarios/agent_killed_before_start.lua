-- An agent is killed after it recorded tasks and before it started them. Guards against starting
-- them later, or answering that they ran or did not run without proof.
require "lib"
-- least_outstanding sends tasks to the agent's queue; the default policy keeps them at the entry.
local c = cluster{workers = 1, slots = 1, entries = 2, changes = {
  agent_queue = 2, placement = "least_outstanding",
  health = {heartbeat_ms = 100, agent_lost_ms = 1000, agent_dead_ms = 3000}}}
local worker = c.workers[1]
-- One task runs; the agent's queue holds the other two.
local jobs = c:load(3, {entries = {c.entries[1]}, run_ms = 60000, deadline_ms = 120000})
await("three tasks are at the agent", function()
  return c:status(c.entries[1]).services[1].agents[1].outstanding == 3 and c:starts_at(worker) == 1
end)
kill(worker.name)
await("the worker stops the task whose lease lapsed", function()
  return c:ends().lease_lapsed == 1
end)
c:start_agent(worker)
c:await_ready()
c:await_answers()
for _, job in ipairs(jobs) do
  expect(answer_of(job).status ~= "complete", "a job whose agent died under it is not complete")
end
for _, job in ipairs(jobs) do c:resubmit(job, c.entries[2]) end
c:await_answers()
-- A new job shows that the new incarnation works; nothing of the old ones started with it.
local probe = c:submit{entry = c.entries[2], run_ms = 10, deadline_ms = 60000}
await_answer(probe)
expect_complete(probe)
local totals = c:check()
expect(totals.tasks == 2, "only the first task and the new job started, not %d tasks", totals.tasks)
