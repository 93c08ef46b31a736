-- Guarantee 7: an entry is stopped while it has a job, whose caller asks again later. Guards against an
-- entry that hands its tickets over before its last job has ended.
require "lib"
local c = cluster{workers = 2, entries = 2}
local job = c:submit{entry = c.entries[1], tasks = 2, run_ms = 2000, deadline_ms = 60000}
c:await_started(job)
stop(c.entries[1].name)
await_answer(job)
expect_complete(job)
c:resubmit(job, c.entries[2])
local again = await_answer(job)
guarantee(7, again.body and again.body.status == "complete",
          "the successor answers the finished job %s as complete, not %s", job.ticket, again.text or again.error)
c:check()
