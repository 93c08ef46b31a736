-- The only endpoint refuses a task because its slot is taken, and then gets free. Guards against a
-- task that is never offered again to an endpoint that once refused it.
require "lib"
local c = cluster{workers = 1, slots = 1, entries = 1, changes = {
  health = {heartbeat_ms = 100, agent_lost_ms = 1000, agent_dead_ms = 3000}}}
local worker = c.workers[1]
c:submit{run_ms = 60000, deadline_ms = 120000}
await("the task runs", function() return c:starts_at(worker) == 1 end)
-- The new incarnation does not know that the slot is taken until the old lease lapses.
kill(worker.name)
c:start_agent(worker)
c:await_answers()
c:await_ready()
local job = c:submit{run_ms = 10, deadline_ms = 30000}
await_answer(job)
expect_complete(job)
c:check()
