-- An agent is frozen until the worker's lease lapses, then goes on. Guards against tasks that run
-- without a lease, and against starting a stopped task again.
require "lib"
local c = cluster{workers = 2, changes = {
  lease_ms = 600, health = {heartbeat_ms = 200, agent_lost_ms = 1000, agent_dead_ms = 3000}}}
local worker = c.workers[1]
local jobs = c:load(8, {tasks = 4, run_ms = 20000, deadline_ms = 60000})
await("tasks run at the endpoint", function() return c:starts_at(worker) >= 1 end)
freeze(worker.name)
-- Every task there is stopped by the worker, because its lease is not renewed.
await("the worker stops the tasks", function()
  for _, start in ipairs(call_ok(worker.endpoint_address, "GET", "/journal").starts) do
    if start["end"] == nil or start["end"] == null or start["end"] == "running" then return false end
  end
  return true
end)
local stopped = c:starts_at(worker)
thaw(worker.name)
c:await_answers()
expect(c:starts_at(worker) >= stopped, "the journal keeps its starts")
c:check()
