-- Guarantee 8: an accepted configuration is in force everywhere within seconds and never reverts.
-- Guards against entries that stay on, or fall back to, an older version.
require "lib"
local c = cluster{workers = 3}
local version = c.version
for round = 1, 5 do
  version = c:apply(version, {agent_queue = round}, c.entries[round % 3 + 1])
  c:await_version(version)
end
-- In force means used: a kind that the new version drops is refused at every entry.
local kinds = c.document.kinds
version = c:apply(version, {kinds = {kinds[1]}}, c.entries[2])
c:await_version(version)
for _, entry in ipairs(c.entries) do
  local found = await_answer(c:submit{entry = entry, kind = kinds[2].name})
  expect(found.body.error == "unknown_kind", "%s refuses the dropped kind", entry.name)
end
-- A process that starts while the platform is away takes the version from its peers.
control(c.platform_address, {outage = true})
kill(c.entries[3].name)
c:start_entry(c.entries[3])
c:await_ready()
for _, entry in ipairs(c.entries) do
  expect(c:version_at(entry) == version, "%s has version %d", entry.name, version)
end
-- Changes are refused, not applied, while the platform is away.
local change = c:await_change(c:start_change(c.entries[1], version, "during-outage", {agent_queue = 9}))
expect(change.status == 503, "a change during the outage is answered 503, not %s", change.status or change.error)
control(c.platform_address, {outage = false})
await("the platform serves entry-1 again", function()
  return host.call{address = c.platform_address, path = "/v1/tables/configuration/rows/" .. c.service}.status == 200
end)
expect(c:configuration(c.entries[1]).version == version, "the refused change was not applied")
c:check()
