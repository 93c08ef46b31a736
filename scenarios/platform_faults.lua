-- The platform is down, slow, or answers after the effect. Guards against jobs that wait for the
-- platform, and against changes and keys that are applied twice or reported wrongly.
require "lib"
local c = cluster{workers = 3}
-- Down: the hot path goes on, keys are refused as not run.
control(c.platform_address, {outage = true})
c:load(20, {tasks = 4, run_ms = 30})
c:await_answers()
for _, job in ipairs(c.jobs) do expect_complete(job) end
local fresh = c:submit{entry = c.entries[1], key = "key-during-outage"}
local refused = await_answer(fresh)
expect(refused.status == 503 and refused.body.error == "platform_unavailable",
       "a key during the outage is refused: %s", refused.text)
local totals = c:check()
expect(totals.tasks == 80, "the refused job started nothing: %d tasks started in all", totals.tasks)
-- The job of this key has run, so a refusal during an outage must not say that it did not.
control(c.platform_address, {outage = false})
local ran = c:submit{entry = c.entries[1], key = "key-before-outage", tasks = 2}
await_answer(ran)
expect_complete(ran)
control(c.platform_address, {outage = true})
c:resubmit(ran, c.entries[2])
local again = await_answer(ran)
expect(again.status == 503 and again.body.not_run == false,
       "a used key during the outage is refused without \"not run\": %s", again.text)
-- Slow.
control(c.platform_address, {outage = false, read_latency_ms = 1500, write_latency_ms = 1500})
local slow = c:load(20, {tasks = 4, run_ms = 30})
c:await_answers()
for _, job in ipairs(slow) do expect_complete(job) end
-- After effect: the write is done, but its answer is lost.
control(c.platform_address, {read_latency_ms = 0, write_latency_ms = 0, lose_answers = 1})
local version = c.version
local change = c:await_change(c:start_change(c.entries[1], version, "lost-answer", {agent_queue = 5}))
if change.status ~= 200 then
  -- The entry may say that it does not know; then the same change id must not be applied twice.
  expect(change.body and not change.body.not_run, "the entry does not claim that the change was not applied")
  change = c:await_change(c:start_change(c.entries[2], version, "lost-answer", {agent_queue = 5}))
end
expect(c:configuration(c.entries[3]).version == version + 1, "the change is applied once")
-- A key whose claim took effect but was answered late belongs to one job.
control(c.platform_address, {lose_answers = 1})
local keyed = c:submit{entry = c.entries[2], key = "key-with-lost-answer", tasks = 3}
await_answer(keyed)
c:resubmit(keyed, c.entries[3])
await_answer(keyed)
expect_complete(keyed)
totals = c:check()
expect(totals.tasks == 20 * 4 + 2 + 20 * 4 + 3, "the keyed job runs once: %d tasks started in all", totals.tasks)
