-- Guarantee 5: a non-idempotent task runs at most once. Guards against bookings repeated after the
-- endpoint took them and the connection broke, or after their agent died.
require "lib"
local c = cluster{workers = 3}
control(c.workers[1].endpoint_address, {drop_after_start = true})
local jobs = c:load(15, {kind = "booking", tasks = 4, run_ms = 40})
c:await_answers()
control(c.workers[1].endpoint_address, {drop_after_start = false})
local more = c:load(6, {kind = "booking", tasks = 4, run_ms = 500})
c:await_started(more[1])
kill(c.workers[2].name)
for position, job in ipairs(more) do c:resubmit(job, c.entries[position % 3 + 1]) end
c:await_answers()
-- The agent's next incarnation must not start what its predecessor had recorded.
c:start_agent(c.workers[2])
for position, job in ipairs(more) do c:resubmit(job, c.entries[(position + 1) % 3 + 1]) end
c:await_answers()
c:check()
