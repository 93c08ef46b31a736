"""Tests of the operators' library. Run by ctest with the repository's root as working folder."""

import json
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "operator"))

import quetzalvale  # noqa: E402


def service(**changes):
    members = {"service": "s", "kinds": [quetzalvale.Kind("k")], "teams": [quetzalvale.Team("t")]}
    return quetzalvale.Service(**(members | changes))


class ScriptsTest(unittest.TestCase):
    """Guards against settings/*.json drifting from the scripts that operators edit."""

    def check(self, name):
        command = [sys.executable, "-B", str(ROOT / "operator" / f"{name}.py")]
        printed = subprocess.run(command, capture_output=True, text=True, check=True).stdout
        self.assertEqual(printed, (ROOT / "settings" / f"{name}.json").read_text())

    def test_zarqa(self):
        self.check("zarqa")

    def test_rabaryog(self):
        self.check("rabaryog")


class DocumentTest(unittest.TestCase):
    def test_member_order_does_not_depend_on_argument_order(self):
        """Guards against documents that differ as text although their settings are equal."""
        first = quetzalvale.Service(service="s", kinds=[quetzalvale.Kind("k")], teams=[quetzalvale.Team("t")])
        second = quetzalvale.Service(teams=[quetzalvale.Team("t")], kinds=[quetzalvale.Kind("k")], service="s")
        self.assertEqual(first.document(), second.document())
        self.assertEqual(list(json.loads(first.document()))[:4], ["service", "objective", "endpoints", "kinds"])


class ChecksTest(unittest.TestCase):
    """Guards against settings that the entry would refuse, or that stop every job."""

    def refused(self, place, remedy, make):
        with self.assertRaises(quetzalvale.SettingsError) as caught:
            make()
        message = str(caught.exception)
        self.assertTrue(message.startswith(place + ": "), message)
        self.assertIn(remedy, message)

    def test_names_that_break_tickets_or_urls(self):
        for name in ("", "a~b", "a/b", "a b", 5, "x" * 101, "a\n"):
            self.refused("service", "1 to 100 letters", lambda name=name: service(service=name))

    def test_unknown_choices(self):
        self.refused("objective", "response_time, messages", lambda: service(objective="speed"))
        self.refused("placement", "power_of_two", lambda: service(placement="best"))

    def test_duplicates(self):
        kinds = [quetzalvale.Kind("k"), quetzalvale.Kind("k")]
        self.refused("kinds", "its own name", lambda: service(kinds=kinds))

    def test_empty_lists(self):
        self.refused("kinds", "at least one", lambda: service(kinds=[]))
        self.refused("teams", "at least one", lambda: service(teams=[]))
        self.refused("endpoints", '["*"]', lambda: service(endpoints=[]))

    def test_wrong_types(self):
        self.refused("teams[0]", "quetzalvale.Team", lambda: service(teams=["desk"]))
        self.refused("endpoints", "[ ]", lambda: service(endpoints="zarqa-*"))
        self.refused("health", "quetzalvale.Health", lambda: service(health={"heartbeat_ms": 5}))
        self.refused("agent_queue", "whole number", lambda: service(agent_queue=1.5))
        self.refused("agent_queue", "whole number", lambda: service(agent_queue=True))

    def test_ranges(self):
        self.refused("retry_share", "from 0 to 10", lambda: service(retry_share=10.1))
        self.refused("retry_share", "from 0 to 10", lambda: service(retry_share=float("nan")))
        self.refused("kinds.k.expected_ms", "raise deadline_ms", lambda: quetzalvale.Kind("k", deadline_ms=5))

    def test_lease_outlives_heartbeats(self):
        self.refused("lease_ms", "health.heartbeat_ms", lambda: service(lease_ms=2999))

    def test_health_limits_increase(self):
        self.refused("health", "agent_lost_ms less than", lambda: quetzalvale.Health(agent_lost_ms=500))


if __name__ == "__main__":
    unittest.main()
