-- Guarantee 6: an endpoint that is leaving gets no new work after a few seconds, and loses none.
-- Guards against entries that go on placing tasks on an agent that is being drained or stopped.
require "lib"
local c = cluster{workers = 3}
local function leave(worker, how)
  local jobs = c:load(24, {tasks = 4, run_ms = {50, 400}})
  c:await_started(jobs[1])
  how()
  c:await_no_new_work(worker, 15)
  await_exit(worker.name)
  c:await_answers()
  for _, job in ipairs(c.jobs) do expect_complete(job) end
end
leave(c.workers[1], function() terminate(c.workers[1].name) end)
leave(c.workers[2], function() c:drain_agent(c.entries[2], c.workers[2]) end)
c:check()
local ends = c:ends()
expect(not ends.stopped and not ends.lease_lapsed, "no task of a leaving endpoint is cut off")
