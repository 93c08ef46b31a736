-- Demonstration of both deployments: a few hundred jobs, a resubmission through another entry, and a
-- planned stop of one entry and one agent. Prints one line of measures per deployment.
require "lib"

local JOBS = 300
local SECONDS = 15
-- Speeds of the 11 endpoints; their mean is 1.
local SPEEDS = {1, 0.6, 1.4, 1, 0.8, 1.2, 1, 0.5, 1.5, 1, 1}

-- Most tasks take 50 ms to 1 s.
local function draw_run_ms()
  local draw = math.random()
  if draw < 0.8 then return math.random(50, 200) end
  return math.random(200, 1000)
end

local function plan_jobs()
  local jobs, at_ms = {}, 0
  for position = 1, JOBS do
    at_ms = at_ms - math.log(1 - math.random()) * SECONDS * 1000 / JOBS
    local run_ms = {}
    for index = 1, math.random(1, 20) do run_ms[index] = draw_run_ms() end
    jobs[position] = {at_ms = at_ms, run_ms = run_ms}
  end
  return jobs
end

local function read_metrics(address)
  local values = {}
  local reply = host.call{address = address, path = "/metrics", timeout_ms = 5000}
  for name, value in (reply.text or ""):gmatch("([%w_]+) ([%d.eE+-]+)\n") do values[name] = tonumber(value) end
  return values
end

-- Messages of a process that carried no first start, outcome or answer.
local function wasted(process)
  local metrics = read_metrics(process.settings.caller_address)
  return (metrics.quetzalvale_messages_sent_total or 0) - (metrics.quetzalvale_messages_useful_total or 0)
end

local function percentile(values, share)
  table.sort(values)
  return values[math.max(1, math.ceil(share * #values))]
end

local function demonstrate(deployment)
  math.randomseed(7, 11)
  log("%s: starting 3 entries, 11 agents, 11 endpoints and the platform", deployment)
  local c = cluster{deployment = deployment, entries = 3, workers = #SPEEDS, speeds = SPEEDS}
  local plan = plan_jobs()
  local entries, tickets = {c.entries[1], c.entries[2], c.entries[3]}, {}
  for _, entry in ipairs(entries) do tickets[entry] = c:tickets(entry, JOBS) end
  local begin, wasted_by_stopped = host.now_ms() + 100, 0
  for position, planned in ipairs(plan) do
    host.sleep_ms(math.max(0, begin + planned.at_ms - host.now_ms()))
    local entry = entries[position % #entries + 1]
    local job = c:submit{entry = entry, ticket = table.remove(tickets[entry]), tasks = #planned.run_ms,
                         run_ms = planned.run_ms, kind = c.document.kinds[position % 3 + 1].name,
                         team = c.document.teams[position % #c.document.teams + 1].name}
    job.planned = planned
    if position % 60 == 0 then log("%s: %d of %d jobs sent", deployment, position, JOBS) end
    if position == JOBS // 2 then
      log("%s: resubmitting the last job through another entry", deployment)
      c:resubmit(job, entries[(position + 1) % #entries + 1])
    elseif position == JOBS * 3 // 5 then
      log("%s: planned stop of %s", deployment, c.workers[3].name)
      wasted_by_stopped = wasted_by_stopped + wasted(c.workers[3])
      terminate(c.workers[3].name)
    elseif position == JOBS * 4 // 5 then
      log("%s: planned stop of %s", deployment, c.entries[1].name)
      wasted_by_stopped = wasted_by_stopped + wasted(c.entries[1])
      table.remove(entries, 1)
      terminate(c.entries[1].name)
    end
  end
  c:await_answers()
  await_exit(c.workers[3].name)
  await_exit(c.entries[1].name)

  -- The ideal keeps all endpoints to the end, so the planned stop counts against the ratio.
  local ideal_jobs, endpoints, ratios = array{}, array{}, {}
  for position, planned in ipairs(plan) do
    ideal_jobs[position] = {at_ms = planned.at_ms, run_ms = array(planned.run_ms)}
  end
  for position, worker in ipairs(c.workers) do
    endpoints[position] = {slots = c.slots, speed = worker.speed}
  end
  local ideal = host.clairvoyant{jobs = ideal_jobs, endpoints = endpoints, latency_ms = 0}
  local complete, failed = 0, 0
  for position, job in ipairs(c.jobs) do
    local found = record(job.attempts[1])
    if found.body and found.body.status == "complete" then
      complete = complete + 1
      ratios[#ratios + 1] = (found.answered_ms - begin - job.planned.at_ms) / ideal[position]
    else
      failed = failed + 1
    end
  end
  local tasks, double_starts = 0, 0
  for _, count in pairs(c:starts_by_task()) do
    tasks = tasks + 1
    double_starts = double_starts + (count > 1 and 1 or 0)
  end
  local ends = c:ends()
  local cut_off = 0
  for how, count in pairs(ends) do
    if how ~= "ok" and how ~= "failed" then cut_off = cut_off + count end
  end
  local messages = wasted_by_stopped
  for _, process in ipairs(c:processes()) do
    if running(process.name) then messages = messages + wasted(process) end
  end
  host.print(string.format(
    "demo: service=%s tasks=%d jobs_complete=%d jobs_failed=%d double_starts=%d cut_off=%d " ..
    "p50_ratio=%.2f p99_ratio=%.2f wasted_per_task=%.3f", c.service, tasks, complete, failed, double_starts,
    cut_off, percentile(ratios, 0.5), percentile(ratios, 0.99), messages / tasks))
  c:check()
  expect(complete == JOBS and cut_off == 0, "all jobs are complete and no task is cut off")
  c:stop()
end

demonstrate("zarqa")
demonstrate("rabaryog")
