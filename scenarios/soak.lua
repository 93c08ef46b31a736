-- Randomized soak: load while faults of all kinds come in series and overlap, drawn from the seed. The
-- promises are checked while it runs and at its end, from what callers and endpoints saw.
-- Run one seed: quetzalvale-scenario --seed=N --seconds=S scenarios/soak.lua; many: scripts/soak.
require "lib"
local options = host.run_options()
math.randomseed(options.seed)

local function draw(low, high) return math.random(low, high) end
local function pick(list) return list[math.random(#list)] end

local c = cluster{entries = draw(2, 4), workers = draw(3, 6), speeds = {1, 0.6, 1.4}, relays = true, changes = {
  health = {heartbeat_ms = 200, idle_heartbeat_ms = 1000, distant_heartbeat_ms = 2000,
            agent_lost_ms = 1000, agent_dead_ms = 4000}}}

-- Faults that are to be undone: {at, undo}.
local pending = {}
local function later(low_ms, high_ms, undo)
  table.insert(pending, {at = host.now_ms() + draw(low_ms, high_ms), undo = undo})
end
local function undo_due(all)
  for position = #pending, 1, -1 do
    local fault = pending[position]
    if all or host.now_ms() >= fault.at then
      table.remove(pending, position)
      fault.undo()
    end
  end
end

-- Processes with a fault that concerns their life; one at a time, so that each is known to run again.
local busy = {}
local function start_again(process)
  busy[process.name] = nil
  if process.settings.role == "entry" then c:start_entry(process) else c:start_agent(process) end
end
local function take_process()
  local free = {}
  for _, process in ipairs(c:processes()) do
    if not busy[process.name] then free[#free + 1] = process end
  end
  -- One entry stays, so that the load goes on.
  local process = #free > 1 and pick(free) or nil
  local entries_left = 0
  for _, entry in ipairs(c.entries) do entries_left = entries_left + (busy[entry.name] and 0 or 1) end
  if not process or (process.settings.role == "entry" and entries_left < 2) then return nil end
  busy[process.name] = true
  return process
end

local faults = {
  {"kill", function()
    local process = take_process()
    if not process then return end
    kill(process.name)
    later(10, 2500, function() start_again(process) end)
    return process.name
  end},
  {"freeze", function()
    local process = take_process()
    if not process then return end
    freeze(process.name)
    later(100, 6000, function() thaw(process.name) busy[process.name] = nil end)
    return process.name
  end},
  {"planned stop", function()
    local process = take_process()
    if not process then return end
    terminate(process.name)
    -- A stop that waits for peers which do not answer is cut short, as the platform would.
    later(3000, 6000, function()
      if running(process.name) then kill(process.name) end
      start_again(process)
    end)
    return process.name
  end},
  {"cut", function()
    local processes = c:processes()
    local from, to = pick(processes).name, pick(processes).name
    local both = draw(1, 2) == 1
    cut(from, to)
    if both then cut(to, from) end
    later(100, 5000, function() restore(from, to) restore(to, from) end)
    return from .. (both and " <> " or " > ") .. to
  end},
  {"reset", function()
    local from, to = pick(c:processes()).name, pick(c:processes()).name
    host.reset(from, to)
    return from .. " > " .. to
  end},
  {"delay", function()
    local from, to = pick(c:processes()).name, pick(c:processes()).name
    hold(from, to)
    later(50, 3000, function() release(from, to) end)
    return from .. " > " .. to
  end},
  {"store", function()
    local change = pick{{outage = true}, {read_latency_ms = 800, write_latency_ms = 800}, {lose_answers = 2}}
    control(c.platform_address, change)
    later(200, 4000, function()
      control(c.platform_address, {outage = false, read_latency_ms = 0, write_latency_ms = 0, lose_answers = 0})
    end)
    return host.json_text(change)
  end},
  {"endpoint", function()
    local worker = pick(c.workers)
    local change = pick{{speed = 0.1}, {fail_everything = true}, {drop_after_start = true}, {added_latency_ms = 150}}
    control(worker.endpoint_address, change)
    later(200, 4000, function()
      control(worker.endpoint_address,
              {speed = worker.speed, fail_everything = false, drop_after_start = false, added_latency_ms = 0})
    end)
    return worker.endpoint .. " " .. host.json_text(change)
  end},
}

-- Callers whose connection broke, or that were told to come back, submit again elsewhere.
local function resubmit_broken()
  for _, job in ipairs(c.jobs) do
    local found = record(job.attempts[#job.attempts])
    if found and not (found.body and found.body.status) and #job.attempts < 20 then
      c:resubmit(job, pick(c.entries))
    end
  end
end

-- A ticket comes from an entry that runs; callers try others.
local function submit()
  local entry = pick(c.entries)
  if busy[entry.name] then return end
  local reply = host.call{address = entry.address, method = "POST", body = {count = 1}, timeout_ms = 500,
                          path = "/v1/services/" .. c.service .. "/tickets"}
  if reply.status ~= 200 then return end
  c:submit{entry = pick(c.entries), ticket = reply.body.tickets[1], tasks = draw(1, 6),
           run_ms = {draw(5, 60), draw(20, 900)}, deadline_ms = draw(3000, 20000)}
end

local ends_at = host.now_ms() + options.seconds * 1000
local next_fault, next_check = host.now_ms() + 300, host.now_ms() + 2000
while host.now_ms() < ends_at do
  submit()
  undo_due(false)
  if host.now_ms() >= next_fault then
    local fault = pick(faults)
    local where = fault[2]()
    log("fault %s: %s", fault[1], where or "not now")
    next_fault = host.now_ms() + draw(50, 900)
  end
  if host.now_ms() >= next_check then
    resubmit_broken()
    c:check()
    next_check = host.now_ms() + 2000
  end
  host.sleep_ms(draw(5, 60))
end
undo_due(true)
c:await_ready()
c:await_answers_with_resubmission(c.entries)
c:check()
-- Asking again changes no answer into a second run, and what comes after the faults is served.
for position, job in ipairs(c.jobs) do c:resubmit(job, c.entries[position % #c.entries + 1]) end
local healed = c:load(16, {tasks = 4, run_ms = {10, 100}, deadline_ms = 30000})
c:await_answers()
for _, job in ipairs(healed) do expect_complete(job) end
c:check()
