-- Guarantee 1: the replies to starts are lost after the agent has started the tasks. Guards against an
-- entry that places tasks on another agent without proof that they did not run.
require "lib"
local c = cluster{workers = 2, entries = 1, relays = true, changes = {
  placement = "round_robin", health = {heartbeat_ms = 200, agent_lost_ms = 20000, agent_dead_ms = 60000}}}
local entry, worker = c.entries[1], c.workers[1]
cut(worker.name, entry.name)
-- More tasks than one endpoint has slots, so that some start beyond the cut.
local job = c:submit{tasks = 16, run_ms = 50, deadline_ms = 120000}
await("tasks start beyond the cut", function() return c:starts_at(worker) >= 1 end)
-- The entry has given up waiting for a reply once it withdraws the tasks or places them again.
await("the entry asks again", function()
  return metric(entry.address, "withdrawals_total") + metric(entry.address, "retries_total") >= 1
end)
restore(worker.name, entry.name)
await_answer(job)
c:check()
expect_complete(job)
