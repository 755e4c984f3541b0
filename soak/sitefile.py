"""Reads an installation of the platform from a site file of its bench, and translates it into the soak's words."""

import dataclasses
import tomllib


@dataclasses.dataclass(frozen=True)
class Service:
    name: str
    targets: int
    slots: int
    queue: int
    noise_share: float  # of the targets that at any time fail a part of their requests
    noise_failures: float  # the part that these fail
    noise_seconds: float  # for which the same targets do


@dataclasses.dataclass(frozen=True)
class RequestKind:
    name: str
    service: str
    method: str
    route_type: str  # "unsafe", "safe" or "download"
    keeps_connections: bool
    limit_ms: int
    timeout_ms: int
    latency_ms: int
    priority: int
    work_seconds: float
    work_spread: float
    most_work_seconds: float
    error_share: float
    request_bytes: int
    response_bytes: int
    per_second: float


@dataclasses.dataclass(frozen=True)
class Trouble:
    kind: str
    how: frozenset
    share: float
    count: int
    strength: float
    seconds: float
    gap_seconds: float

    def __str__(self):
        return " ".join([self.kind, *sorted(self.how)])


@dataclasses.dataclass(frozen=True)
class Site:
    gateways: int
    services: tuple
    kinds: tuple
    troubles: tuple
    drain_seconds: float
    grace_seconds: float
    retry_ratio: float = 0.2
    retry_window_seconds: float = 10
    retry_slack: float = 56


# Defaults that the bench states for fields that an entry leaves out.
DEFAULT_SHARES = {"srv_cut": 0.2, "release": 0.5, "scale_out": 0.3, "answer_lost": 0.5, "garble": 0.5, "roll_term": 1,
                  "herd_kill": 0.6, "node_kill": 0.1, "node_slow": 0.1, "reset_conns": 0.1, "node_cut": 0.1}
DEFAULT_STRENGTHS = {"srv_slow": 4, "srv_grey": 0.4, "srv_cut": 0.3, "release": 1, "answer_lost": 0.03, "garble": 0.02,
                     "node_slow": 5, "roll_term": 1, "reset_conns": 0.5, "platform_slow": 50, "platform_lost": 0.3,
                     "retry_abuse": 3, "burst": 1.7}
DEFAULT_SHARE = 0.15
DEFAULT_SECONDS = 5


def read_service(row):
    noise = row.get("noise", {})
    return Service(row["name"], sum(part["count"] for part in row["servers"]), row["slots"], row["queue"],
                   noise.get("share", 0), noise.get("fails", 0), noise.get("every_ms", 10_000) / 1000)


def read_kind(row, traffic):
    per_second = sum(part["per_s"] * part["mix"][row["name"]] / sum(part["mix"].values()) for part in traffic)
    return RequestKind(row["name"], row["service"], row["method"], row["kind"], row["habit"] == "pool",
                       row["deadline_ms"], int(row.get("timeout_ms", row["deadline_ms"])), int(row["aim_ms"]),
                       row["priority"], row["work_ms"]["mean"] / 1000, row["work_ms"]["spread"],
                       row["work_ms"]["max"] / 1000, row["error_share"], int(row["req_bytes"]["mean"]),
                       int(row["resp_bytes"]["mean"]), per_second)


def read_trouble(row):
    kind = row["kind"]
    return Trouble(kind, frozenset(row.get("how", "").split()), row.get("share", DEFAULT_SHARES.get(kind, DEFAULT_SHARE)),
                   int(row.get("count", 1)), row.get("x", DEFAULT_STRENGTHS.get(kind, 1)),
                   row.get("for_s", DEFAULT_SECONDS), row.get("gap_s", 1))


def read_site(path):
    """Returns the installation that a site file describes. Raises KeyError if the file lacks a field."""
    with open(path, "rb") as file:
        text = tomllib.load(file)
    bounds = text["bounds"]
    return Site(sum(row["count"] for row in text["machines"]), tuple(read_service(row) for row in text["services"]),
                tuple(read_kind(row, text["traffic"]) for row in text["classes"]),
                tuple(read_trouble(row) for row in text["troubles"]), bounds["drain_ms"] / 1000, bounds["grace_s"],
                retry_slack=bounds["budget_slack"])
