-- Large accelerator and memory tasks share workers with small ones. Guards against workers whose tasks
-- declare more together than the worker has, and against large tasks that starve behind small ones.
require "lib"
local LIMITS = {cores = 8, memory_mb = 8000, accelerators = 2}
local c = cluster{entries = 2, workers = 2, changes = {worker_limits = LIMITS}}
local patient = 120000
local jobs = {}
local function submit(position, options)
  options.entry = c.entries[position % 2 + 1]
  options.deadline_ms = patient
  jobs[#jobs + 1] = c:submit(options)
end
for round = 1, 12 do
  submit(round, {tasks = 6, run_ms = {20, 60}, cores = 1, memory_mb = 300})
  -- Needs every accelerator of a worker.
  submit(round + 1, {tasks = 2, run_ms = 120, cores = 1, memory_mb = 2000, accelerators = 2})
  submit(round, {tasks = 2, run_ms = 80, cores = 0.5, accelerators = 1,
                 uses = {cores = 4, memory_mb = 9000, accelerators = 2}})
  -- Needs the whole worker, and waits until nothing else runs there.
  submit(round + 1, {tasks = 1, run_ms = 50, cores = LIMITS.cores, memory_mb = LIMITS.memory_mb})
  submit(round, {tasks = 12, run_ms = {5, 30}, memory_mb = 100})
end
c:await_answers()
for _, job in ipairs(jobs) do expect_complete(job) end
c:check()
local shared = 0
for endpoint, peak in pairs(c:peaks()) do
  log("%s ran tasks declaring at most %d slots, %.1f cores, %d MB and %d accelerators", endpoint, peak.slots,
      peak.cores, peak.memory_mb, peak.accelerators)
  expect(peak.slots <= c.slots, "%s runs at most %d tasks, not %d", endpoint, c.slots, peak.slots)
  for what, limit in pairs(LIMITS) do
    expect(peak[what] <= limit, "tasks on %s declare at most %s %s, not %s", endpoint, limit, what, peak[what])
  end
  shared = math.max(shared, peak.slots)
end
expect(shared > 1, "a worker ran several tasks together")
