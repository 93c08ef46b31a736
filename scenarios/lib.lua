-- Verbs and helpers that all scenarios share. Verdicts come from the endpoints' journals and the
-- callers' records only.

-- Limit of a wait in seconds. Generous, because a verdict must not depend on the machine's speed.
AWAIT_SECONDS = 60

function log(text, ...)
  host.print(string.format("%8.3f s  " .. text, host.now_ms() / 1000, ...))
end

-- Fails the scenario with the message unless the condition holds.
function expect(condition, text, ...)
  if not condition then
    error("expected: " .. string.format(text, ...), 2)
  end
  return condition
end

-- Fails the scenario as a violation of the numbered guarantee (docs/design.md, section 1) unless the
-- condition holds. A run without a guard must fail here and nowhere else.
function guarantee(number, condition, text, ...)
  if not condition then
    error(string.format("guarantee %d is violated: " .. text, number, ...), 2)
  end
  return condition
end

-- Waits until the condition returns a true value, and returns it.
function await(what, condition, seconds)
  local give_up = host.now_ms() + (seconds or AWAIT_SECONDS) * 1000
  while true do
    local value = condition()
    if value then
      return value
    end
    if host.now_ms() > give_up then
      error("timed out waiting until " .. what, 2)
    end
    host.sleep_ms(10)
  end
end

-- Processes ---------------------------------------------------------------------------------

-- Starts options.program under options.name. Returns the name, which is the process's handle.
function start(options)
  host.start(options)
  return options.name
end

function kill(name)
  host.signal(name, "KILL")
  expect(host.wait_exit(name, AWAIT_SECONDS * 1000), "%s ends after SIGKILL", name)
end

function freeze(name) host.signal(name, "STOP") end
function thaw(name) host.signal(name, "CONT") end
function terminate(name) host.signal(name, "TERM") end
function running(name) return host.wait_exit(name, 0) == nil end

-- Waits for a planned stop to end, without error.
function await_exit(name)
  local code = host.wait_exit(name, AWAIT_SECONDS * 1000)
  expect(code == 0, "%s exits with code 0 after SIGTERM, not %s", name, code)
end

function stop(name)
  terminate(name)
  await_exit(name)
end

-- Links; need relays in front of the processes.
function cut(from, to) host.cut(from, to) end
function restore(from, to) host.restore(from, to) end
-- Delays the next message from one process to another until it is released; others pass.
function hold(from, to) host.hold(from, to) end
function release(from, to) host.release(from, to) end
function await_held(from, to)
  await("a message from " .. from .. " to " .. to .. " is held", function() return host.is_holding(from, to) end)
end
function cut_both(a, b) cut(a, b) cut(b, a) end
function restore_both(a, b) restore(a, b) restore(b, a) end

-- Calls -------------------------------------------------------------------------------------

-- Calls and returns the decoded body; fails the scenario for any other status than 200.
function call_ok(address, method, path, body, headers)
  local reply = host.call{address = address, method = method, path = path, body = body, headers = headers,
                          timeout_ms = AWAIT_SECONDS * 1000}
  expect(reply.status == 200, "%s %s%s is answered 200, not %s %s", method, address, path,
         reply.status or reply.error, reply.text or "")
  return reply.body
end

function control(address, changes) return call_ok(address, "POST", "/control", changes) end

function is_ready(address)
  return host.call{address = address, path = "/ready", timeout_ms = 5000}.status == 200
end

-- Clusters ----------------------------------------------------------------------------------

local TOKEN = "operator-token"
local OTHER_TOKEN = "second-operator-token"
local SHARED_KEY = "scenario-shared-key"
local AUTHORIZED = {Authorization = "Bearer " .. TOKEN}
local OTHER_AUTHORIZED = {Authorization = "Bearer " .. OTHER_TOKEN}
local DATA_CENTRES = {
  zarqa = {"Sahab", "Marka", "Zarqa East", "Qastal"},
  rabaryog = {"Anand", "Vadodara", "Ahmedabad"},
}

local function address(port) return "127.0.0.1:" .. port end

local Cluster = {}
Cluster.__index = Cluster

-- The settings of one process; with options.relays, peers reach it through a relay.
local function process_settings(self, role, name, position)
  local centres = DATA_CENTRES[self.deployment]
  local inner = host.free_port()
  local settings = {
    role = role, name = name, data_centre = centres[(position - 1) % #centres + 1],
    inner_address = address(inner), platform = "http://" .. self.platform_address,
    shared_key = SHARED_KEY, entries = array{}, log_level = "info",
  }
  if self.relays then
    settings.advertised_address = address(host.relay(name, inner))
  end
  return settings
end

local function advertised(settings) return settings.advertised_address or settings.inner_address end

function Cluster:start_platform()
  start{name = "platform", program = "standin-platform",
        arguments = {"--address=" .. self.platform_address}}
  await("the platform answers", function()
    return host.call{address = self.platform_address, path = "/control"}.status == 200
  end)
end

function Cluster:start_endpoint(worker)
  start{name = worker.endpoint, program = "standin-endpoint",
        arguments = {"--address=" .. worker.endpoint_address, "--slots=" .. self.slots,
                     "--connections=" .. self.connections, "--speed=" .. worker.speed,
                     "--seed=" .. worker.position}}
  await(worker.endpoint .. " answers", function()
    return host.call{address = worker.endpoint_address, path = "/control"}.status == 200
  end)
end

function Cluster:start_agent(worker)
  start{name = worker.name, program = "quetzalvale-agent", settings = worker.settings}
end

function Cluster:start_entry(entry)
  start{name = entry.name, program = "quetzalvale-entry", settings = entry.settings}
  entry.address = entry.settings.caller_address
end

-- Creates the description of entry number `position`; its settings name all entries known so far.
local function add_entry(self, position)
  local name = "entry-" .. position
  local settings = process_settings(self, "entry", name, position)
  settings.services = array{self.service}
  settings.caller_address = address(host.free_port())
  settings.administrators = array{
    {name = "operator", token_sha256 = host.sha256(TOKEN)},
    {name = "second-operator", token_sha256 = host.sha256(OTHER_TOKEN)},
  }
  self.entries[position] = {name = name, settings = settings, address = settings.caller_address}
end

local function add_worker(self, position)
  local worker = {name = "agent-" .. position, endpoint = "endpoint-" .. position, position = position,
                  endpoint_address = address(host.free_port()), speed = self.speeds[(position - 1) % #self.speeds + 1]}
  worker.settings = process_settings(self, "agent", worker.name, position)
  worker.settings.service = self.service
  worker.settings.caller_address = address(host.free_port())
  worker.settings.endpoint = "http://" .. worker.endpoint_address
  worker.settings.worker = {slots = self.slots, connections = self.connections,
                            cores = self.document.worker_limits.cores,
                            memory_mb = self.document.worker_limits.memory_mb,
                            accelerators = self.document.worker_limits.accelerators}
  self.workers[position] = worker
end

-- Applies the document through the admin API and returns the new version.
function Cluster:apply(base, changes, entry, headers)
  local document = self.document
  for name, value in pairs(changes or {}) do document[name] = value end
  self.changes = self.changes + 1
  local body = {base_version = base, change_id = "change-" .. self.changes, document = document}
  local path = "/admin/v1/services/" .. self.service .. "/configuration"
  return call_ok((entry or self.entries[1]).address, "PUT", path, body, headers or AUTHORIZED).version
end

-- Starts a deployment and waits until every entry is ready and has all agents. Options: deployment
-- (zarqa or rabaryog), entries, workers, speeds, slots, connections, relays, changes (to the document).
function cluster(options)
  local self = setmetatable({}, Cluster)
  self.deployment = options.deployment or "zarqa"
  self.document = host.read_json("settings/" .. self.deployment .. ".json")
  for name, value in pairs(options.changes or {}) do self.document[name] = value end
  self.service = self.document.service
  self.team = self.document.teams[1].name
  self.kind = self.document.kinds[1].name
  self.slots, self.connections = options.slots or 8, options.connections or 64
  self.speeds, self.relays = options.speeds or {1}, options.relays
  self.platform_address = address(host.free_port())
  self.entries, self.workers, self.jobs, self.changes, self.next_echo = {}, {}, {}, 0, 0
  -- Workers that were replaced or lost; their journals still count.
  self.retired = {}
  for position = 1, options.entries or 3 do add_entry(self, position) end
  for position = 1, options.workers or 3 do add_worker(self, position) end
  for _, process in ipairs(self:processes()) do
    for _, entry in ipairs(self.entries) do
      if entry.settings ~= process.settings then
        table.insert(process.settings.entries, advertised(entry.settings))
      end
    end
  end
  self:start_platform()
  for _, worker in ipairs(self.workers) do self:start_endpoint(worker) end
  for _, entry in ipairs(self.entries) do self:start_entry(entry) end
  await("an entry serves administration", function() return self:status(self.entries[1]) end)
  self.version = self:apply(0)
  for _, worker in ipairs(self.workers) do self:start_agent(worker) end
  self:await_ready()
  -- An agent is known to the entries before it has found its endpoint up, and refuses starts until then.
  for _, worker in ipairs(self.workers) do
    await(worker.name .. " has its endpoint up", function() return is_ready(worker.settings.caller_address) end)
  end
  return self
end

-- Entries and agents.
function Cluster:processes()
  local all = {}
  for _, entry in ipairs(self.entries) do all[#all + 1] = entry end
  for _, worker in ipairs(self.workers) do all[#all + 1] = worker end
  return all
end

-- The answer of GET /admin/v1/status, or nil.
function Cluster:status(entry)
  local reply = host.call{address = entry.address, path = "/admin/v1/status", headers = AUTHORIZED,
                          timeout_ms = 5000}
  return reply.status == 200 and reply.body or nil
end

-- Number of agents that take work, as the entry sees them, or nil when it is not ready.
function Cluster:usable_workers(entry)
  local status = is_ready(entry.address) and self:status(entry)
  if not status then return nil end
  local usable = 0
  for _, agent in ipairs(status.services[1] and status.services[1].agents or {}) do
    if not agent.lost and not agent.leaving then usable = usable + 1 end
  end
  return usable
end

-- Whether the entry is ready and knows `workers` agents that take work.
function Cluster:knows_workers(entry, workers) return (self:usable_workers(entry) or -1) >= workers end

function Cluster:await_ready()
  for _, entry in ipairs(self.entries) do
    await(entry.name .. " is ready with all agents", function()
      return self:knows_workers(entry, #self.workers)
    end)
  end
end

-- Removes the element from the list.
local function remove(list, element)
  for position, other in ipairs(list) do
    if other == element then return table.remove(list, position) end
  end
end

-- Takes the entry off the list of entries, so that nothing waits for it. Does not end it.
function Cluster:forget_entry(entry) remove(self.entries, entry) end

-- Takes the worker off the list of workers but keeps its journal. Does not end it.
function Cluster:retire_worker(worker)
  remove(self.workers, worker)
  table.insert(self.retired, worker)
end

local function name_entries(self, settings)
  for _, entry in ipairs(self.entries) do
    if entry.settings ~= settings then table.insert(settings.entries, advertised(entry.settings)) end
  end
end

-- Starts a further entry under a number that no entry had; its settings name the current entries.
function Cluster:join_entry(position)
  local entries = self.entries
  self.entries = {}
  add_entry(self, position)
  local entry = self.entries[position]
  self.entries = entries
  name_entries(self, entry.settings)
  table.insert(entries, entry)
  self:start_entry(entry)
  return entry
end

-- Starts a further worker (endpoint and agent) under a number that no worker had.
function Cluster:join_worker(position)
  local workers = self.workers
  self.workers = {}
  add_worker(self, position)
  local worker = self.workers[position]
  self.workers = workers
  name_entries(self, worker.settings)
  table.insert(workers, worker)
  self:start_endpoint(worker)
  self:start_agent(worker)
  return worker
end

-- Kills entries and workers at once and takes them off the lists. The endpoints die last, after
-- their journals were read: nothing can start there any more when their agents are dead.
function Cluster:lose(entries, workers)
  for _, worker in ipairs(workers) do host.signal(worker.name, "KILL") end
  for _, entry in ipairs(entries) do host.signal(entry.name, "KILL") end
  for _, process in ipairs(workers) do host.wait_exit(process.name, AWAIT_SECONDS * 1000) end
  for _, process in ipairs(entries) do
    host.wait_exit(process.name, AWAIT_SECONDS * 1000)
    self:forget_entry(process)
  end
  for _, worker in ipairs(workers) do
    local before = -1
    await("requests already received by " .. worker.endpoint .. " are in its journal", function()
      host.sleep_ms(100)
      local count = self:starts_at(worker)
      local unchanged = count == before
      before = count
      return unchanged
    end)
  end
  self:journal()
  for _, worker in ipairs(workers) do
    kill(worker.endpoint)
    self:retire_worker(worker)
  end
end

-- Jobs --------------------------------------------------------------------------------------

-- Takes tickets at the entry.
function Cluster:tickets(entry, count)
  local path = "/v1/services/" .. self.service .. "/tickets"
  return call_ok(entry.address, "POST", path, {count = count or 1}).tickets
end

-- Sends a job without waiting and records its call. Options: entry, ticket, key (instead of a ticket),
-- tasks (their number), run_ms (a number or a list to take turns in), kind, team, deadline_ms, and what
-- each task declares: declared_ms, cores, memory_mb, accelerators; uses (what it uses instead). The echo of each task is unique, so an answer
-- that belongs to another job or task is seen.
function Cluster:submit(options)
  local job = {cluster = self, entry = options.entry or self.entries[1], ticket = options.ticket,
               echoes = {}, attempts = {}}
  if not options.key then job.ticket = job.ticket or self:tickets(job.entry)[1] end
  local tasks = array{}
  for index = 1, options.tasks or 1 do
    self.next_echo = self.next_echo + 1
    job.echoes[index] = "echo-" .. self.next_echo
    local run_ms = options.run_ms or 50
    if type(run_ms) == "table" then run_ms = run_ms[(index - 1) % #run_ms + 1] end
    tasks[index] = {payload = {run_ms = run_ms, echo = job.echoes[index], fail = options.fail,
                               uses = options.uses},
                    declared_ms = options.declared_ms, cores = options.cores,
                    memory_mb = options.memory_mb, accelerators = options.accelerators}
  end
  job.body = {ticket = job.ticket, key = options.key, team = options.team or self.team, kind = options.kind or self.kind,
              deadline_ms = options.deadline_ms or 30000, tasks = tasks}
  self.jobs[#self.jobs + 1] = job
  self:resubmit(job, job.entry)
  return job
end

-- Sends the same job again, through this entry.
function Cluster:resubmit(job, entry)
  local path = "/v1/services/" .. self.service .. "/jobs"
  job.attempts[#job.attempts + 1] = {
    entry = entry.name,
    number = host.start_call{address = entry.address, method = "POST", path = path, body = job.body},
  }
  return job.attempts[#job.attempts]
end

-- Cancels the job through this entry, without waiting. The result can be read with `record`.
function Cluster:cancel(job, entry)
  return {number = host.start_call{
    address = entry.address, method = "DELETE",
    path = "/v1/services/" .. self.service .. "/jobs/" .. job.ticket}}
end

-- The caller's record of an attempt: nil while it waits.
function record(attempt)
  attempt.record = attempt.record or host.call_result(attempt.number)
  return attempt.record
end

-- The job's ticket or key, for messages.
local function name_of(job) return job.ticket or job.body.key end

-- Waits for the record of the job's last attempt.
function await_answer(job)
  local attempt = job.attempts[#job.attempts]
  return await("the job " .. name_of(job) .. " is answered", function() return record(attempt) end)
end

-- Waits for every attempt of every job.
function Cluster:await_answers()
  for _, job in ipairs(self.jobs) do
    for _, attempt in ipairs(job.attempts) do
      await("the job " .. name_of(job) .. " is answered", function() return record(attempt) end)
    end
  end
end

-- Resubmits each job whose connection broke through entries in turn until it has an answer.
function Cluster:await_answers_with_resubmission(entries)
  for _, job in ipairs(self.jobs) do
    for round = 1, 100 do
      local answer = await_answer(job)
      if answer.body and answer.body.status and answer.body.error ~= "not_ready" then break end
      host.sleep_ms(20)
      self:resubmit(job, entries[round % #entries + 1])
    end
  end
end

function answer_of(job)
  local found = record(job.attempts[#job.attempts])
  return found and found.body
end

function expect_complete(job)
  local answer = answer_of(job)
  expect(answer and answer.status == "complete", "the job %s is complete, not %s", name_of(job),
         answer and host.json_text(answer) or (record(job.attempts[#job.attempts]) or {}).error)
end

-- Verdicts ----------------------------------------------------------------------------------

-- Starts in the journals of all endpoints, each with its endpoint's name. Journals of endpoints that
-- will be ended must be read before.
function Cluster:journal()
  local starts = {}
  local workers = {}
  for _, worker in ipairs(self.workers) do workers[#workers + 1] = worker end
  for _, worker in ipairs(self.retired) do workers[#workers + 1] = worker end
  for _, worker in ipairs(workers) do
    if running(worker.endpoint) then
      worker.journal = call_ok(worker.endpoint_address, "GET", "/journal").starts
    end
    for _, start in ipairs(worker.journal or {}) do
      start.endpoint = worker.endpoint
      starts[#starts + 1] = start
    end
  end
  return starts
end

-- What each endpoint's tasks declared together at most, by endpoint: {slots, cores, memory_mb,
-- accelerators}, summed by the stand-in from the requests that it got.
function Cluster:peaks()
  local peaks = {}
  for _, worker in ipairs(self.workers) do
    peaks[worker.endpoint] = call_ok(worker.endpoint_address, "GET", "/journal").peak_declared
  end
  return peaks
end

-- Number of starts by task.
function Cluster:starts_by_task()
  local counts = {}
  for _, start in ipairs(self:journal()) do
    counts[start.task] = (counts[start.task] or 0) + 1
  end
  return counts
end

-- Number of starts by ticket.
function Cluster:starts_by_ticket()
  local counts = {}
  for task, starts in pairs(self:starts_by_task()) do
    local ticket = task:match("^(.*)/%d+$")
    counts[ticket] = (counts[ticket] or 0) + starts
  end
  return counts
end

-- Number of starts of the job's tasks.
function Cluster:starts_of(job)
  local count = 0
  for task, starts in pairs(self:starts_by_task()) do
    if task:sub(1, #job.ticket + 1) == job.ticket .. "/" then count = count + starts end
  end
  return count
end

-- The guarantees that hold in every scenario: no task started twice; answers whole and the job's own;
-- "not run" is true.
function Cluster:check()
  -- What a job answered now has started is in the journals that are read afterwards.
  for _, job in ipairs(self.jobs) do
    for _, attempt in ipairs(job.attempts) do record(attempt) end
  end
  local starts = self:starts_by_task()
  local by_ticket = {}
  for task, count in pairs(starts) do
    guarantee(1, count == 1, "task %s starts once, not %d times", task, count)
    local ticket = task:match("^(.*)/%d+$")
    by_ticket[ticket] = (by_ticket[ticket] or 0) + 1
  end
  local totals = {complete = 0, failed = 0, refused = 0, broken = 0, tasks = 0}
  for _, job in ipairs(self.jobs) do
    for _, attempt in ipairs(job.attempts) do
      local found = attempt.record
      if found and found.body and found.body.status then
        -- A job with a key has the ticket that its answer names.
        job.ticket = job.ticket or found.body.ticket
        self:check_answer(job, found.body, job.ticket and by_ticket[job.ticket] or 0)
        totals[found.body.status] = totals[found.body.status] + 1
      elseif found then
        totals.broken = totals.broken + 1
      end
    end
  end
  for _, count in pairs(by_ticket) do totals.tasks = totals.tasks + count end
  log("%d answers complete, %d failed, %d refused, %d broken; %d tasks started", totals.complete,
      totals.failed, totals.refused, totals.broken, totals.tasks)
  return totals
end

function Cluster:check_answer(job, answer, starts)
  if answer.status == "complete" then
    guarantee(2, #answer.outcomes == #job.echoes, "the answer of %s has %d outcomes, not %d", name_of(job),
           #job.echoes, #answer.outcomes)
    for index, echo in ipairs(job.echoes) do
      local result = answer.outcomes[index].result
      guarantee(3, result == echo, "outcome %d of %s is %s, not %s", index, name_of(job), echo,
             host.json_text(result))
    end
    guarantee(2, starts == #job.echoes, "all %d tasks of the complete job %s ran, not %d", #job.echoes,
           name_of(job), starts)
  else
    guarantee(2, answer.outcomes == nil, "the %s answer of %s carries no outcomes", answer.status, name_of(job))
  end
  if answer.not_run then
    guarantee(4, starts == 0, "the job %s, answered \"not run\", started no task, not %d", name_of(job), starts)
  end
end

-- Ways in which the journals say that started tasks ended.
function Cluster:ends()
  local counts = {}
  for _, start in ipairs(self:journal()) do
    local how = start["end"] or "running"
    if how == null then how = "running" end
    counts[how] = (counts[how] or 0) + 1
  end
  return counts
end

-- Waits until `count` tasks of the job have started, according to the journals.
function Cluster:await_started(job, count)
  await("tasks of " .. job.ticket .. " start", function() return self:starts_of(job) >= (count or 1) end)
end

-- Submits `count` jobs through the entries in turn.
function Cluster:load(count, options)
  local entries = options.entries or self.entries
  local jobs = {}
  for position = 1, count do
    local job = {}
    for name, value in pairs(options) do job[name] = value end
    job.entries, job.entry = nil, entries[(position - 1) % #entries + 1]
    jobs[position] = self:submit(job)
  end
  return jobs
end

-- Number of starts at one endpoint.
function Cluster:starts_at(worker)
  return #call_ok(worker.endpoint_address, "GET", "/journal").starts
end

-- Submits one short job after another until `count` in a row left the worker's endpoint alone.
function Cluster:await_no_new_work(worker, count, entries)
  local quiet, before = 0, self:starts_at(worker)
  await(worker.endpoint .. " gets no new work", function()
    local job = self:load(1, {entries = entries, run_ms = 5})[1]
    await_answer(job)
    local now = self:starts_at(worker)
    quiet, before = now == before and quiet + 1 or 0, now
    return quiet >= count
  end)
end

-- Reads the version of the service that each entry has, or nil where an entry does not answer.
function Cluster:version_at(entry)
  local status = self:status(entry)
  return status and status.services[1] and status.services[1].configuration_version
end

function Cluster:await_version(version)
  for _, entry in ipairs(self.entries) do
    if running(entry.name) then
      await(entry.name .. " has version " .. version, function()
        return (self:version_at(entry) or 0) >= version
      end)
    end
  end
end

-- Sends a change without expecting success. Returns the reply's record.
function Cluster:start_change(entry, base, change_id, changes, second_operator)
  local document = {}
  for name, value in pairs(self.document) do document[name] = value end
  for name, value in pairs(changes) do document[name] = value end
  return {number = host.start_call{
    address = entry.address, method = "PUT", headers = second_operator and OTHER_AUTHORIZED or AUTHORIZED,
    path = "/admin/v1/services/" .. self.service .. "/configuration",
    body = {base_version = base, change_id = change_id, document = document}}}
end

function Cluster:await_change(change)
  return await("the change is answered", function() return record(change) end)
end

-- The service's stored configuration: {version, document}.
function Cluster:configuration(entry)
  return call_ok(entry.address, "GET", "/admin/v1/services/" .. self.service .. "/configuration", nil, AUTHORIZED)
end

function Cluster:audit(entry)
  return call_ok(entry.address, "GET", "/admin/v1/services/" .. self.service .. "/audit", nil, AUTHORIZED).changes
end

-- A value of GET /metrics, or 0.
function metric(address, name)
  local reply = host.call{address = address, path = "/metrics", timeout_ms = 5000}
  return tonumber(((reply.text or "") .. "\n"):match("\nquetzalvale_" .. name .. " ([%d.]+)")) or 0
end

function Cluster:drain_agent(entry, worker)
  local reply = host.call{address = entry.address, method = "POST", headers = AUTHORIZED,
                          path = "/admin/v1/agents/" .. worker.name .. "/drain"}
  expect(reply.status == 202, "draining %s is answered 202, not %s", worker.name, reply.status or reply.error)
end

-- Planned stop of everything that still runs: agents, entries, endpoints, platform.
function Cluster:stop()
  local names = {}
  for _, worker in ipairs(self.workers) do names[#names + 1] = worker.name end
  for _, entry in ipairs(self.entries) do names[#names + 1] = entry.name end
  for _, worker in ipairs(self.workers) do names[#names + 1] = worker.endpoint end
  names[#names + 1] = "platform"
  for _, name in ipairs(names) do
    if running(name) then stop(name) end
  end
end
