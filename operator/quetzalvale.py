"""Service documents of quetzalvale, written in Python.

A script builds a Service and calls print_document(); running the script prints the JSON document for
`quetzalvale-ctl apply`. Members always come in the same order, so two documents can be compared as text.
Everything is checked on construction; a SettingsError names the place, what is wrong and the remedy. The ranges are
those of the schema in src/settings/service_document.cc.
"""

import dataclasses
import json
import re
import sys

OBJECTIVES = ("response_time", "messages")
PLACEMENTS = ("default", "random", "round_robin", "least_outstanding", "power_of_two")

# A service's name is part of tickets, table keys and URLs, which reserve "~" and "/".
_NAME = re.compile(r"[A-Za-z0-9._-]{1,100}")
_PATTERN = re.compile(r"[A-Za-z0-9._*-]{1,100}")


class SettingsError(ValueError):
    """A value that quetzalvale would refuse."""


def _check(condition, place, problem, remedy):
    if not condition:
        raise SettingsError(f"{place}: {problem}; {remedy}")


def _check_name(place, value):
    _check(
        isinstance(value, str) and _NAME.fullmatch(value),
        place,
        f"{value!r} is not a name",
        "use 1 to 100 letters, digits, dots, hyphens or underscores",
    )


def _check_integer(place, value, lowest, highest):
    _check(
        isinstance(value, int) and not isinstance(value, bool) and lowest <= value <= highest,
        place,
        f"{value!r} is out of range",
        f"use a whole number from {lowest} to {highest}",
    )


def _check_number(place, value, lowest, highest):
    _check(
        isinstance(value, (int, float)) and not isinstance(value, bool) and lowest <= value <= highest,
        place,
        f"{value!r} is out of range",
        f"use a number from {lowest} to {highest}",
    )


def _check_choice(place, value, choices):
    _check(value in choices, place, f"{value!r} is unknown", "use one of " + ", ".join(choices))


def _check_unique(place, names):
    for name in names:
        _check(names.count(name) == 1, place, f"{name!r} is listed more than once", "give each its own name")


def _check_type(place, value, expected):
    _check(
        isinstance(value, expected),
        place,
        f"{value!r} has the wrong type",
        f"use quetzalvale.{expected.__name__}(...)",
    )


def _check_list(place, values, expected):
    _check(isinstance(values, (list, tuple)), place, f"{values!r} is not a list", "put the values in [ ]")
    for position, value in enumerate(values):
        _check_type(f"{place}[{position}]", value, expected)


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of task. Lower urgency numbers are served first; expected_ms is used until runs have been seen."""

    name: str
    urgency: int = 0
    deadline_ms: int = 10000
    expected_ms: int = 100

    def __post_init__(self):
        _check_name("kinds.name", self.name)
        place = f"kinds.{self.name}"
        _check_integer(f"{place}.urgency", self.urgency, 0, 1000)
        _check_integer(f"{place}.deadline_ms", self.deadline_ms, 1, 86400000)
        _check_integer(f"{place}.expected_ms", self.expected_ms, 1, 86400000)
        _check(
            self.expected_ms <= self.deadline_ms,
            f"{place}.expected_ms",
            f"{self.expected_ms} is longer than deadline_ms {self.deadline_ms}, so no job could finish in time",
            "raise deadline_ms or lower expected_ms",
        )


@dataclasses.dataclass(frozen=True)
class Team:
    """A team of callers. tasks_per_second is its quota over all entries together; 0 means none."""

    name: str
    tasks_per_second: float = 0

    def __post_init__(self):
        _check_name("teams.name", self.name)
        _check_number(f"teams.{self.name}.tasks_per_second", self.tasks_per_second, 0, 10000000)


@dataclasses.dataclass(frozen=True)
class WorkerLimits:
    """The largest task that any worker can hold."""

    cores: float = 16
    memory_mb: int = 32768
    accelerators: int = 0

    def __post_init__(self):
        _check_number("worker_limits.cores", self.cores, 0, 100000)
        _check_integer("worker_limits.memory_mb", self.memory_mb, 0, 1000000000)
        _check_integer("worker_limits.accelerators", self.accelerators, 0, 10000)


@dataclasses.dataclass(frozen=True)
class Limits:
    """The largest job, and how many tasks may wait at one entry."""

    tasks_per_job: int = 440
    body_bytes: int = 1048576
    queued_tasks: int = 20000

    def __post_init__(self):
        _check_integer("limits.tasks_per_job", self.tasks_per_job, 1, 100000)
        _check_integer("limits.body_bytes", self.body_bytes, 100, 33554432)
        _check_integer("limits.queued_tasks", self.queued_tasks, 1, 10000000)


@dataclasses.dataclass(frozen=True)
class Batching:
    """How long starts and outcomes may wait for others to share their message."""

    start_delay_us: int = 0
    outcome_delay_ms: int = 0
    batch_tasks: int = 64

    def __post_init__(self):
        _check_integer("batching.start_delay_us", self.start_delay_us, 0, 1000000)
        _check_integer("batching.outcome_delay_ms", self.outcome_delay_ms, 0, 10000)
        _check_integer("batching.batch_tasks", self.batch_tasks, 1, 10000)


@dataclasses.dataclass(frozen=True)
class Tickets:
    """Size of a block of tickets, their lifetime, and how long answers are retained for resubmissions."""

    block: int = 64
    valid_s: int = 600
    answers_kept: int = 10000
    answer_kept_s: int = 600

    def __post_init__(self):
        _check_integer("tickets.block", self.block, 1, 100000)
        _check_integer("tickets.valid_s", self.valid_s, 1, 604800)
        _check_integer("tickets.answers_kept", self.answers_kept, 0, 10000000)
        _check_integer("tickets.answer_kept_s", self.answer_kept_s, 0, 604800)


@dataclasses.dataclass(frozen=True)
class Health:
    """Detection of lost agents and of endpoints that fail everything."""

    heartbeat_ms: int = 1000
    idle_heartbeat_ms: int = 20000
    distant_heartbeat_ms: int = 300000
    agent_lost_ms: int = 3000
    agent_dead_ms: int = 10000
    eject_after: int = 5
    probe_after_ms: int = 2000

    def __post_init__(self):
        _check_integer("health.heartbeat_ms", self.heartbeat_ms, 10, 3600000)
        _check_integer("health.idle_heartbeat_ms", self.idle_heartbeat_ms, 10, 3600000)
        _check_integer("health.distant_heartbeat_ms", self.distant_heartbeat_ms, 10, 3600000)
        _check_integer("health.agent_lost_ms", self.agent_lost_ms, 10, 3600000)
        _check_integer("health.agent_dead_ms", self.agent_dead_ms, 10, 86400000)
        _check_integer("health.eject_after", self.eject_after, 1, 100000)
        _check_integer("health.probe_after_ms", self.probe_after_ms, 1, 3600000)
        _check(
            self.heartbeat_ms < self.agent_lost_ms < self.agent_dead_ms,
            "health",
            f"heartbeat_ms {self.heartbeat_ms}, agent_lost_ms {self.agent_lost_ms} and agent_dead_ms "
            f"{self.agent_dead_ms} do not increase, so live agents would be taken for lost",
            "make heartbeat_ms less than agent_lost_ms and agent_lost_ms less than agent_dead_ms",
        )
        _check(
            self.heartbeat_ms <= self.idle_heartbeat_ms <= self.distant_heartbeat_ms,
            "health",
            f"heartbeat_ms {self.heartbeat_ms}, idle_heartbeat_ms {self.idle_heartbeat_ms} and "
            f"distant_heartbeat_ms {self.distant_heartbeat_ms} decrease",
            "make idle_heartbeat_ms at least heartbeat_ms and distant_heartbeat_ms at least idle_heartbeat_ms",
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service: its kinds of task, its teams, and the endpoints bound to it. The order of the members is that of
    the document."""

    service: str
    objective: str = "response_time"
    endpoints: list = dataclasses.field(default_factory=lambda: ["*"])
    kinds: list
    teams: list
    worker_limits: WorkerLimits = WorkerLimits()
    limits: Limits = Limits()
    placement: str = "default"
    batching: Batching = Batching()
    tickets: Tickets = Tickets()
    health: Health = Health()
    lease_ms: int = 3000
    agent_queue: int = 2
    retry_share: float = 0.2
    subset_size: int = 64
    remote_data_factor: float = 1.0

    def __post_init__(self):
        _check_name("service", self.service)
        _check_choice("objective", self.objective, OBJECTIVES)
        _check_list("endpoints", self.endpoints, str)
        _check(self.endpoints, "endpoints", "the list is empty", 'name the endpoints, or use ["*"] for all')
        for position, pattern in enumerate(self.endpoints):
            _check(
                _PATTERN.fullmatch(pattern),
                f"endpoints[{position}]",
                f"{pattern!r} is not a name pattern",
                "use letters, digits, dots, underscores, hyphens, and * for any run of characters",
            )
        _check_list("kinds", self.kinds, Kind)
        _check(self.kinds, "kinds", "the list is empty", "add at least one quetzalvale.Kind")
        _check_unique("kinds", [kind.name for kind in self.kinds])
        _check_list("teams", self.teams, Team)
        _check(self.teams, "teams", "the list is empty", "add at least one quetzalvale.Team")
        _check_unique("teams", [team.name for team in self.teams])
        _check_type("worker_limits", self.worker_limits, WorkerLimits)
        _check_type("limits", self.limits, Limits)
        _check_choice("placement", self.placement, PLACEMENTS)
        _check_type("batching", self.batching, Batching)
        _check_type("tickets", self.tickets, Tickets)
        _check_type("health", self.health, Health)
        _check_integer("lease_ms", self.lease_ms, 30, 3600000)
        _check(
            self.lease_ms >= 3 * self.health.heartbeat_ms,
            "lease_ms",
            f"{self.lease_ms} is shorter than three heartbeats of {self.health.heartbeat_ms}",
            "raise it or lower health.heartbeat_ms",
        )
        _check_integer("agent_queue", self.agent_queue, 0, 10000)
        _check_number("retry_share", self.retry_share, 0, 10)
        _check_integer("subset_size", self.subset_size, 1, 100000)
        _check_number("remote_data_factor", self.remote_data_factor, 1, 1000)

    def document(self):
        """Returns the JSON text, ending in a newline."""
        return json.dumps(dataclasses.asdict(self), indent=2) + "\n"

    def print_document(self):
        """Prints the JSON text to standard output."""
        sys.stdout.write(self.document())
