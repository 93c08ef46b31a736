-- Guarantee 7: every planned stop is graceful and interrupts no request in flight. Guards against
-- processes that exit with requests, tasks or outcomes open.
require "lib"
local c = cluster{workers = 4}
local function stop_under_load(name, remaining)
  local before = c:load(24, {tasks = 4, run_ms = {30, 600}})
  c:await_started(before[1])
  terminate(name)
  -- The callers' load balancer sends new jobs to the remaining entries.
  c:load(24, {tasks = 4, run_ms = {30, 100}, entries = remaining})
  await_exit(name)
  c:await_answers()
  for _, job in ipairs(c.jobs) do expect_complete(job) end
end
stop_under_load(c.entries[1].name, {c.entries[2], c.entries[3]})
-- Entry 1 starts again as a new incarnation and is taken up again.
c:start_entry(c.entries[1])
c:await_ready()
stop_under_load(c.workers[1].name, c.entries)
stop_under_load("platform", c.entries)
-- An answered job of the departed entry is still answered, by its successor.
c:resubmit(c.jobs[1], c.entries[2])
await_answer(c.jobs[1])
expect_complete(c.jobs[1])
-- An endpoint stops after its agent: tasks there end first.
stop(c.workers[2].name)
c:journal()
stop(c.workers[2].endpoint)
local totals = c:check()
expect(totals.broken == 0 and totals.failed == 0, "no request is interrupted")
