-- Guarantee 6: an agent leaves while an entry cannot hear it, and that entry goes on sending starts.
-- Guards against a leaving agent that takes them.
require "lib"
local c = cluster{workers = 2, entries = 1, slots = 4, relays = true, changes = {
  placement = "round_robin", health = {heartbeat_ms = 200, agent_lost_ms = 20000, agent_dead_ms = 60000}}}
local entry, worker = c.entries[1], c.workers[1]
-- An agent announces itself before its first check of its endpoint has ended and refuses starts until then.
await("both agents take tasks", function()
  return is_ready(worker.settings.caller_address) and is_ready(c.workers[2].settings.caller_address)
end)
-- A task that runs keeps the leaving agent there. One starts at each endpoint.
local long = c:load(2, {run_ms = 8000, deadline_ms = 120000})
await("a task runs at each endpoint", function()
  return c:starts_at(worker) >= 1 and c:starts_at(c.workers[2]) >= 1
end)
cut(worker.name, entry.name)
local before = c:starts_at(worker)
terminate(worker.name)
await(worker.name .. " is leaving", function() return not is_ready(worker.settings.caller_address) end)
hold(entry.name, worker.name)
local job = c:submit{tasks = 6, run_ms = 20, deadline_ms = 120000}
await_held(entry.name, worker.name)
release(entry.name, worker.name)
restore(worker.name, entry.name)
await_answer(job)
local started = c:starts_at(worker) - before
guarantee(6, started == 0, "the leaving %s gets no new work, not %d starts", worker.endpoint, started)
expect_complete(job)
c:await_answers()
for _, other in ipairs(long) do expect_complete(other) end
await_exit(worker.name)
c:check()
