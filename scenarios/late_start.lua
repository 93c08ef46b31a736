-- Guarantee 1: a start message is delayed until its tasks were withdrawn and placed on another agent.
-- Guards against an agent that starts tasks of a start message whose sequence was withdrawn.
require "lib"
local c = cluster{workers = 2, slots = 4, entries = 1, relays = true, changes = {
  placement = "round_robin", health = {heartbeat_ms = 200, agent_lost_ms = 20000, agent_dead_ms = 60000}}}
local entry, worker = c.entries[1], c.workers[1]
hold(entry.name, worker.name)
local job = c:submit{tasks = 8, run_ms = 20, deadline_ms = 120000}
await_held(entry.name, worker.name)
-- The withdrawal passes, so the tasks run elsewhere.
await_answer(job)
expect_complete(job)
release(entry.name, worker.name)
-- A job after it shows that the link carries starts again, and that the late one has been handled.
await("the agent takes starts again", function()
  local before = c:starts_at(worker)
  local probe = c:submit{tasks = 8, run_ms = 5, deadline_ms = 120000}
  await_answer(probe)
  expect_complete(probe)
  return c:starts_at(worker) > before
end)
c:check()
