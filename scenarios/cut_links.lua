-- The link between one entry and one agent is cut one way, the other way and both ways, and restored.
-- Guards against a lost start or reply that leads to a second start on another endpoint.
require "lib"
local c = cluster{workers = 3, relays = true, changes = {
  health = {heartbeat_ms = 200, agent_lost_ms = 1000, agent_dead_ms = 30000}}}
local entry, worker = c.entries[1].name, c.workers[1].name
local cuts = {
  -- Name, whether the agent's outcomes cannot reach the entry, cut, restore.
  {"entry to agent", false, function() cut(entry, worker) end, function() restore(entry, worker) end},
  {"agent to entry", true, function() cut(worker, entry) end, function() restore(worker, entry) end},
  {"both ways", true, function() cut_both(entry, worker) end, function() restore_both(entry, worker) end},
}

-- Whether tasks of the job started at the worker, and all of those have ended.
local function ran_at_worker(job, ended)
  local found = false
  for _, start in ipairs(call_ok(c.workers[1].endpoint_address, "GET", "/journal").starts) do
    if start.task:sub(1, #job.ticket + 1) == job.ticket .. "/" then
      if ended and start["end"] == null then return false end
      found = true
    end
  end
  return found
end

for _, step in ipairs(cuts) do
  local name, holds_back, apply, undo = table.unpack(step)
  log("cutting %s", name)
  -- After a cut the entry spares the agent for a while, so jobs are sent until one runs there.
  local long
  await("the link carries a start", function()
    long = c:submit{entry = c.entries[1], tasks = 24, run_ms = 700, deadline_ms = 60000}
    c:await_started(long, 24)
    if ran_at_worker(long, false) then return true end
    -- The next job must find free slots: tasks that wait for this one's would start after those at
    -- the worker have ended, and their outcomes would pass before the cut.
    await_answer(long)
    return false
  end)
  apply()
  c:load(12, {tasks = 6, run_ms = {20, 100}, deadline_ms = 60000})
  -- Jobs of the other entries do not depend on the link.
  for _, job in ipairs(c.jobs) do
    if job.entry.name ~= entry then await_answer(job) expect_complete(job) end
  end
  if holds_back then
    await("the tasks beyond the cut end", function() return ran_at_worker(long, true) end)
    local other = c:submit{entry = c.entries[2], tasks = 24, run_ms = 20, deadline_ms = 60000}
    await_answer(other)
    expect(not record(long.attempts[1]), "outcomes do not pass the cut %s", name)
  end
  undo()
  c:await_answers()
  for _, job in ipairs(c.jobs) do expect_complete(job) end
end
c:check()
