-- Guarantee 4: when a refusal says "not run", the task did not run. Guards against refusals given
-- after a task was started.
require "lib"
local c = cluster{workers = 2, slots = 2, changes = {limits = {tasks_per_job = 440, queued_tasks = 60}}}
-- Far more work than fits before the deadlines, so that some jobs are refused and some expire.
c:load(60, {tasks = 4, run_ms = 150, deadline_ms = 1500})
c:await_answers()
local totals = c:check()
expect(totals.refused + totals.failed > 0, "an overload of many times the capacity refuses or fails some jobs")
-- Refusals before anything is placed.
for _, options in ipairs{{kind = "no_such_kind"}, {team = "no_such_team"}, {ticket = "no-ticket"}} do
  local job = c:submit(options)
  local found = await_answer(job)
  expect(found.status >= 400 and found.body.not_run == true, "a malformed job is refused as not run: %s", found.text)
end
-- A leaving entry refuses new jobs while it finishes its own.
local last = c:submit{entry = c.entries[1], run_ms = 1500, deadline_ms = 20000}
c:await_started(last)
local ticket = c:tickets(c.entries[1])[1]
terminate(c.entries[1].name)
await("entry-1 is no longer ready", function() return not is_ready(c.entries[1].address) end)
local late = c:submit{entry = c.entries[1], ticket = ticket}
await_answer(last)
await_answer(late)
await_exit(c.entries[1].name)
expect_complete(last)
c:check()
