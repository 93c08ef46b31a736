"""Tests of scripts/lint_key: a stale cache entry must not hide a finding."""
import json
import os
import subprocess
import tempfile
import unittest

KEY = os.path.abspath("scripts/lint_key")


class LintKeyTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        os.mkdir(self.path("include"))
        self.write("include/value.h", "int value();\n")
        self.write("unit.cc", "#include <value.h>\nint twice() { return 2 * value(); }\n")
        self.write("rules", "Checks: '*'\n")
        command = f"g++ -I{self.path('include')} -MD -MF unit.d -o unit.o -c {self.path('unit.cc')}"
        self.write("commands.json", json.dumps(
            [{"directory": self.folder, "command": command, "file": self.path("unit.cc")}]))

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name), "w", encoding="utf-8") as file:
            file.write(text)

    def run_key(self):
        return subprocess.run([KEY, self.path("commands.json"), self.path("rules"), "unit.cc"],
                              capture_output=True, text=True)

    def key(self):
        run = self.run_key()
        self.assertEqual(run.returncode, 0, run.stderr)
        return run.stdout

    def test_key_is_stable(self):
        self.assertEqual(self.key(), self.key())

    def test_changed_header_behind_an_include_folder_changes_the_key(self):
        before = self.key()
        self.write("include/value.h", "long value();\n")
        self.assertNotEqual(before, self.key())

    def test_changed_rules_change_the_key(self):
        before = self.key()
        self.write("rules", "Checks: '-*'\n")
        self.assertNotEqual(before, self.key())

    def test_failing_preprocessor_is_an_error(self):
        os.remove(self.path("include/value.h"))
        run = self.run_key()
        self.assertNotEqual(run.returncode, 0)
        self.assertIn("cannot be preprocessed", run.stderr)


if __name__ == "__main__":
    unittest.main()
