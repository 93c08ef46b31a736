-- The owner of tickets is frozen in the middle of jobs, callers resubmit through another entry, and
-- the owner then goes on. Guards against starts by an owner that does not know of the salvage.
require "lib"
local c = cluster{workers = 2, slots = 2,
                  changes = {health = {heartbeat_ms = 100, agent_lost_ms = 1000, agent_dead_ms = 3000}}}
-- More tasks than slots, so that the owner still has some to start when it goes on.
local jobs = c:load(10, {entries = {c.entries[1]}, tasks = 4, run_ms = 300, deadline_ms = 120000})
c:await_started(jobs[1])
freeze(c.entries[1].name)
for _, job in ipairs(jobs) do c:resubmit(job, c.entries[2]) end
c:await_started(jobs[1])
-- The owner stays away until the other entry has settled every job without it.
for _, job in ipairs(jobs) do
  local attempt = job.attempts[2]
  await("the resubmission is answered while the owner is frozen", function() return record(attempt) end)
end
thaw(c.entries[1].name)
c:await_answers()
c:check()
