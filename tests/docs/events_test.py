"""Guards against log events that operators cannot look up in docs/events.md."""
import collections
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# An event's number and name stand side by side in the call that logs it.
LOGGED = re.compile(r'\b([1-9]\d{3}),\s*"([a-z_]+)"(?!:)')
CATALOGUED = re.compile(r"^\| (\d{4}) \| `?([a-z_]+)`? \|", re.MULTILINE)


def logged_events():
    events = set()
    for path in sorted([*(ROOT / "src").rglob("*.cc"), *(ROOT / "platform").rglob("*.cc")]):
        events.update(LOGGED.findall(path.read_text(encoding="utf-8")))
    return events


class EventsTest(unittest.TestCase):

    def test_every_logged_event_is_in_the_catalogue(self):
        catalogue = CATALOGUED.findall((ROOT / "docs" / "events.md").read_text(encoding="utf-8"))
        logged = logged_events()
        self.assertGreater(len(logged), 40, "the pattern no longer finds the calls")
        self.assertEqual(sorted(logged - set(catalogue)), [])

    def test_a_number_has_one_name(self):
        names = collections.defaultdict(set)
        for number, name in logged_events():
            names[number].add(name)
        self.assertEqual({number: found for number, found in names.items() if len(found) > 1}, {})


if __name__ == "__main__":
    unittest.main()
