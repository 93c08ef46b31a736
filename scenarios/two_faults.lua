-- Two failures together: the owner dies while an agent with its tasks is frozen and the platform is
-- down. Guards against salvage that trusts an agent that did not answer.
require "lib"
local c = cluster{workers = 3, changes = {
  health = {heartbeat_ms = 200, agent_lost_ms = 1000, agent_dead_ms = 4000}}}
local jobs = c:load(15, {entries = {c.entries[1]}, tasks = 6, run_ms = {50, 800}, deadline_ms = 60000})
c:await_started(jobs[1])
control(c.platform_address, {outage = true})
freeze(c.workers[1].name)
kill(c.entries[1].name)
c:load(10, {entries = {c.entries[2], c.entries[3]}, tasks = 3, run_ms = 50, deadline_ms = 60000})
for _, job in ipairs(jobs) do c:resubmit(job, c.entries[2]) end
-- The agent goes on while salvage is under way, and the dead entry starts again.
c:start_entry(c.entries[1])
thaw(c.workers[1].name)
c:await_answers_with_resubmission{c.entries[2], c.entries[3]}
control(c.platform_address, {outage = false})
c:await_ready()
for _, job in ipairs(jobs) do c:resubmit(job, c.entries[1]) end
c:await_answers()
c:check()
