-- Hundreds of jobs are cancelled at once in the middle of a load, half of them through an entry that does
-- not own them. Guards against queued tasks that start after "not run", running tasks that are not
-- stopped, slots that stay taken, and harm to other jobs.
require "lib"
local c = cluster{workers = 3}
local victims = c:load(300, {tasks = 3, run_ms = 15000, kind = c.document.kinds[3].name, deadline_ms = 600000})
local others = c:load(60, {tasks = 2, run_ms = {20, 80}, deadline_ms = 120000})
local slots = #c.workers * c.slots
await("all slots are taken", function() return #c:journal() >= slots end)
local calls = {}
for position, job in ipairs(victims) do
  local owner = (position - 1) % #c.entries + 1
  local through = position % 2 == 0 and owner or owner % #c.entries + 1
  calls[position] = c:cancel(job, c.entries[through])
end
for position, call in ipairs(calls) do
  local found = await("the cancellation is answered", function() return record(call) end)
  expect(found.status == 200 or found.status == 202, "cancellation %d is accepted: %s %s", position, found.status,
         found.text or found.error)
end
for _, job in ipairs(victims) do await_answer(job) end
local by_ticket = c:starts_by_ticket()
local not_run, ran = 0, 0
for _, job in ipairs(victims) do
  local answer = answer_of(job)
  expect(answer.status == "failed" and answer.reason == "cancelled", "the job %s is cancelled: %s", job.ticket,
         host.json_text(answer))
  if answer.not_run then not_run = not_run + 1 else ran = ran + 1 end
  if by_ticket[job.ticket] then expect(not answer.not_run, "the started job %s does not claim not run", job.ticket) end
end
log("%d cancelled jobs did not run, %d had started", not_run, ran)
expect(not_run > 0 and ran > 0, "the wave meets queued and running tasks")
c:await_answers()
for _, job in ipairs(others) do expect_complete(job) end
-- Every slot is free again.
local later = c:load(slots, {tasks = 2, run_ms = 30})
c:await_answers()
for _, job in ipairs(later) do expect_complete(job) end
await("no task runs any more", function() return not c:ends().running end)
local cancelled = {}
for _, job in ipairs(victims) do cancelled[job.ticket] = true end
for _, start in ipairs(c:journal()) do
  if cancelled[start.task:match("^(.*)/%d+$")] then
    expect(start["end"] == "stopped", "task %s was stopped at its endpoint, not %s", start.task, start["end"])
  end
end
c:check()
