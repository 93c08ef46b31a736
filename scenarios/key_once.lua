-- Guarantee 5: a booking submitted with the same key through every entry runs once. Guards against
-- an entry that claims a key which another one has claimed.
require "lib"
local c = cluster{workers = 2}
local job = c:submit{entry = c.entries[1], key = "booking-1", kind = "booking", tasks = 3}
await_answer(job)
expect_complete(job)
for position = 2, 3 do
  c:resubmit(job, c.entries[position])
  await_answer(job)
end
local started = #c:journal()
guarantee(5, started == 3, "the 3 tasks of the key %s start once, not %d times in all", job.body.key, started)
expect_complete(job)
c:check()
