-- Every entry and every worker is replaced one after another (the new one starts, the old one stops)
-- under steady load. Guards against requests cut off, jobs failed, and tickets whose owner's successor
-- has left as well.
require "lib"
local c = cluster{workers = 3}
-- The entries that the callers' load balancer sends new jobs to.
local balanced = {table.unpack(c.entries)}
-- Sends a job every few milliseconds until the condition holds.
local function under_load(what, condition)
  await(what, function()
    c:load(1, {entries = {balanced[#c.jobs % #balanced + 1]}, tasks = 2, run_ms = {20, 200}})
    return condition()
  end)
end

local first = c:load(30, {tasks = 3, run_ms = {20, 200}})
local unused = {}
for _, entry in ipairs(c.entries) do unused[#unused + 1] = c:tickets(entry)[1] end
for position = 1, 3 do
  local old = c.entries[1]
  local new = c:join_entry(3 + position)
  under_load(new.name .. " is ready", function() return c:knows_workers(new, #c.workers) end)
  balanced = {c.entries[2], c.entries[3], c.entries[4]}
  c:forget_entry(old)
  terminate(old.name)
  under_load(old.name .. " has ended", function() return not running(old.name) end)
  await_exit(old.name)
end
for position = 1, 3 do
  local old = c.workers[1]
  local new = c:join_worker(3 + position)
  under_load("all entries know " .. new.name, function()
    for _, entry in ipairs(c.entries) do
      if not c:knows_workers(entry, #c.workers) then return false end
    end
    return true
  end)
  terminate(old.name)
  under_load(old.name .. " has ended", function() return not running(old.name) end)
  await_exit(old.name)
  c:journal()
  stop(old.endpoint)
  c:retire_worker(old)
end
c:await_answers()
for _, job in ipairs(c.jobs) do expect_complete(job) end
-- The owners of these tickets have left, and so have some of their successors.
for position, job in ipairs(first) do c:resubmit(job, c.entries[position % #c.entries + 1]) end
c:await_answers()
for _, job in ipairs(first) do expect_complete(job) end
for position, ticket in ipairs(unused) do
  local job = c:submit{entry = c.entries[position], ticket = ticket}
  local found = await_answer(job)
  expect(found.body.status == "refused" and found.body.not_run == true and #found.body.tickets > 0,
         "an unused ticket of an entry that left is refused as not run: %s", found.text)
end
local totals = c:check()
expect(totals.broken == 0 and totals.failed == 0, "no request is cut off and no job fails")
