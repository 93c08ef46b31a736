-- The links between two halves of the data centres are cut both ways under load; callers resubmit across
-- the split; then the links heal. Guards against double starts by two sides and false "not run".
require "lib"
local c = cluster{entries = 4, workers = 8, relays = true, changes = {
  health = {heartbeat_ms = 200, agent_lost_ms = 1000, agent_dead_ms = 4000}}}
-- Positions give data centres in turn: the first two against the others.
local sides = {{entries = {}, processes = {}}, {entries = {}, processes = {}}}
local centres = {}
for _, process in ipairs(c:processes()) do
  local centre = process.settings.data_centre
  if not centres[centre] then
    centres[#centres + 1] = centre
    centres[centre] = #centres
  end
  local side = sides[centres[centre] <= 2 and 1 or 2]
  table.insert(side.processes, process.name)
  if process.settings.role == "entry" then table.insert(side.entries, process) end
end
local function across(change)
  for _, near in ipairs(sides[1].processes) do
    for _, far in ipairs(sides[2].processes) do change(near, far) end
  end
end

local before = c:load(48, {tasks = 4, run_ms = {50, 1500}, deadline_ms = 40000})
c:await_started(before[1])
across(cut_both)
-- Callers of jobs in progress ask the other side, which cannot reach the owner.
for position = 1, 16 do
  local job = before[position]
  local other = job.entry == sides[1].entries[1] or job.entry == sides[1].entries[2]
  c:resubmit(job, sides[other and 2 or 1].entries[position % 2 + 1])
end
-- Jobs sent before the cut is noticed may wait for agents beyond it.
c:load(32, {tasks = 3, run_ms = {20, 100}, deadline_ms = 40000})
for _, side in ipairs(sides) do
  for _, entry in ipairs(side.entries) do
    -- An idle agent is found to be lost only when a job makes the entry ask it.
    await(entry.name .. " sees its own side only", function()
      await_answer(c:load(1, {entries = {entry}, run_ms = 5, deadline_ms = 40000})[1])
      return c:usable_workers(entry) == #c.workers / 2
    end)
  end
end
-- During the split both sides serve new jobs with fresh tickets.
for _, side in ipairs(sides) do
  local during = c:load(16, {entries = side.entries, tasks = 3, run_ms = {20, 100}, deadline_ms = 40000})
  for _, job in ipairs(during) do
    await_answer(job)
    expect_complete(job)
  end
end
-- Every answer is complete, or says that the outcome is unknown or nothing ran.
c:await_answers()
for _, job in ipairs(c.jobs) do
  local answer = answer_of(job)
  expect(answer and (answer.status == "complete" or answer.reason == "outcome_unknown" or answer.not_run),
         "the answer of %s is truthful: %s", job.ticket, host.json_text(answer))
end
c:check()
across(restore_both)
c:await_ready()
-- Asking again, at both sides, changes no answer into a second run.
for position, job in ipairs(before) do c:resubmit(job, c.entries[position % #c.entries + 1]) end
local healed = c:load(32, {tasks = 4, run_ms = {20, 100}, deadline_ms = 40000})
c:await_answers()
for _, job in ipairs(healed) do expect_complete(job) end
c:check()
