-- The link between one entry and one agent is cut one way, the other way and both ways, and restored.
-- Guards against a lost start or reply that leads to a second start on another endpoint.
require "lib"
local c = cluster{workers = 3, relays = true, changes = {
  health = {heartbeat_ms = 200, agent_lost_ms = 1000, agent_dead_ms = 30000}}}
local entry, worker = c.entries[1].name, c.workers[1].name
local cuts = {
  {"entry to agent", function() cut(entry, worker) end, function() restore(entry, worker) end},
  {"agent to entry", function() cut(worker, entry) end, function() restore(worker, entry) end},
  {"both ways", function() cut_both(entry, worker) end, function() restore_both(entry, worker) end},
}
for _, step in ipairs(cuts) do
  log("cutting %s", step[1])
  local jobs = c:load(12, {tasks = 6, run_ms = {20, 300}, deadline_ms = 60000})
  c:await_started(jobs[1])
  step[2]()
  c:load(12, {tasks = 6, run_ms = {20, 100}, deadline_ms = 60000})
  -- Jobs of the other entries do not depend on the link.
  for _, job in ipairs(c.jobs) do
    if job.entry.name ~= entry then await_answer(job) expect_complete(job) end
  end
  step[3]()
  c:await_answers()
  for _, job in ipairs(c.jobs) do expect_complete(job) end
end
c:check()
