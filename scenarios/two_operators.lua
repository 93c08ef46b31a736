-- Two operators change the same service at once. Guards against lost changes: of two changes on one
-- base exactly one is applied, and the audit rows name it.
require "lib"
local c = cluster{workers = 2}
local version = c.version
for round = 1, 8 do
  local first = c:start_change(c.entries[1], version, "first-" .. round, {agent_queue = 2 * round}, false)
  local second = c:start_change(c.entries[2], version, "second-" .. round, {agent_queue = 2 * round + 1}, true)
  local one, two = c:await_change(first), c:await_change(second)
  local statuses = {[one.status or 0] = 1, [two.status or 0] = 2}
  guarantee(8, statuses[200] and statuses[409], "one change is applied and one refused: %s and %s", one.text, two.text)
  local won = one.status == 200
  version = version + 1
  expect((won and one or two).body.version == version, "versions rise by one")
  local stored = c:configuration(c.entries[3])
  expect(stored.version == version and stored.document.agent_queue == 2 * round + (won and 0 or 1),
         "the applied change is the stored one")
  local found = false
  for _, row in ipairs(c:audit(c.entries[3])) do
    if row.version == version then
      found = true
      expect(row.change_id == (won and "first-" or "second-") .. round, "the audit row names the applied change")
      expect(row.holder == (won and "operator" or "second-operator"), "the audit row names the operator")
    end
  end
  expect(found, "version %d has an audit row", version)
end
c:await_version(version)
