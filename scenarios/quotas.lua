-- Quotas of teams hold over all entries while demand is uneven, an entry is killed and another one
-- joins. Guards against entries that each grant the whole quota, and against refusals that start work.
require "lib"
local QUOTAS = {desk = 40, pallets = 10}
local c = cluster{workers = 3, changes = {
  teams = array{{name = "desk", tasks_per_second = QUOTAS.desk}, {name = "pallets", tasks_per_second = QUOTAS.pallets}}}}
local began = host.now_ms()

-- Submits jobs of one task for `seconds`: eight rounds in nine through `hot`, the others in turn through
-- all entries. Every fourth job is of the second team.
local function demand(hot, seconds)
  local ends = host.now_ms() + seconds * 1000
  local round = 0
  while host.now_ms() < ends do
    round = round + 1
    local entry = round % 9 == 0 and c.entries[round % #c.entries + 1] or hot
    c:submit{entry = entry, team = round % 4 == 0 and "pallets" or "desk", run_ms = 5}
    host.sleep_ms(5)
  end
end

demand(c.entries[1], 10)
local killed = c.entries[2]
kill(killed.name)
c:forget_entry(killed)
demand(c.entries[2], 8)
local joined = c:join_entry(4)
await(joined.name .. " is ready", function() return c:knows_workers(joined, #c.workers) end)
demand(joined, 12)
c:await_answers()
local seconds = (host.now_ms() - began) / 1000
c:check()

local by_ticket = c:starts_by_ticket()
local starts, refused, complete = {desk = 0, pallets = 0}, {desk = 0, pallets = 0}, {desk = 0, pallets = 0}
for _, job in ipairs(c.jobs) do
  local team, answer = job.body.team, answer_of(job)
  starts[team] = starts[team] + (by_ticket[job.ticket] or 0)
  if answer and answer.status == "refused" then
    local found = record(job.attempts[1])
    expect(answer.error == "quota" and found.status == 429, "the refusal says quota with 429: %s %s", found.status, found.text)
    expect(answer.not_run == true and not by_ticket[job.ticket], "a refused task did not run: %s", found.text)
    refused[team] = refused[team] + 1
  elseif answer then
    expect_complete(job)
    complete[team] = complete[team] + 1
  end
end
for team, quota in pairs(QUOTAS) do
  -- The burst of design.md, section 6: the buckets of the first entries hold a second's quota, those of a
  -- joining entry its own share at most; each of the four incarnations may round up to one task.
  local bound = quota * seconds + 2 * quota + 4
  log("%s: %d starts in %.1f s, at most %.0f; %d complete, %d refused", team, starts[team], seconds, bound, complete[team],
      refused[team])
  expect(starts[team] <= bound, "the starts of %s stay within %.0f, not %d", team, bound, starts[team])
  expect(refused[team] > 0 and complete[team] > 0, "%s gets work done and is refused the rest", team)
end
