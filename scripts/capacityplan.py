"""Inputs of the arithmetic of docs/CAPACITY.md: the planned sizes, the code's settings, and formatting of figures."""
from math import ceil

NOT_MEASURED = "not measured"


class PLAN:
    """The design size of the fleet, and the budget of a node."""
    nodes = 6_600
    targets = 58_000
    services = 3_500
    requests = 1_800_000  # per second
    routes = 19_000
    accounts = 220_000
    domains = 6
    edits_a_day = 29_000
    failures_a_day = 78
    replacements_a_day = 3_600
    core_share = 0.011
    memory = 64e6
    bytes_per_second = 7_000
    added_ms = 1
    in_force_seconds = 5


class SETTINGS:
    """Settings of the code that the arithmetic uses."""
    tick_seconds = 0.1  # src/app/proxyprocess.cpp
    proxies_per_domain = 2  # proxies assigned to a service, PlacementSettings
    targets_per_proxy = 1
    locate_lifetime = 10  # seconds
    log_readers_per_domain = 2  # ConfigSync::Settings
    peer_timeout = 5
    gossip_interval = 1
    poll_wait = 2
    push_fanout = 4
    vm_list_readers = 32  # per second, over the fleet
    snapshot_interval = 600
    evidence_interval = 1  # QuietInterval, src/policy/targethealthprivate.h
    urgent_interval = 0.2
    demand_interval = 1  # FleetSharesSettings
    probe_timeout = 0.6  # for a response of a member, MembershipSettings
    probe_interval = 0.025 / (0.02 * 4) * 1.1  # ProbePlan
    connections_per_target = 330
    transmit_factor = 4  # MembershipSettings
    update_budget = 600
    samples = 4
    messages_received = 4  # probes and responses that a member receives per second
    max_datagram = 1_400
    header_bytes = 28  # UDP and IP
    changes_per_replacement = 5  # leaving, dead, joined, ready, forgotten: each changes the member list


DAY = 86_400
EDITS_PER_SECOND = PLAN.edits_a_day / DAY
TARGETS_PER_SERVICE = PLAN.targets / PLAN.services
PROXIES_PER_SERVICE = max(SETTINGS.proxies_per_domain * PLAN.domains,
                          ceil(TARGETS_PER_SERVICE / SETTINGS.targets_per_proxy))
SERVICES_PER_NODE = PLAN.services * PROXIES_PER_SERVICE / PLAN.nodes
PEERS = PROXIES_PER_SERVICE - 1
PEER_PAIRS = SERVICES_PER_NODE * PEERS
REQUESTS_PER_NODE = PLAN.requests / PLAN.nodes
REPLACEMENTS_PER_SECOND = (PLAN.replacements_a_day + PLAN.failures_a_day) / DAY
ACCOUNTS_PER_SERVICE = PLAN.accounts / PLAN.services


def bytes_text(value):
    for unit, size in (("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if value >= size:
            return f"{value / size:.3g} {unit}"
    return f"{value:.3g} B"


def core_text(share):
    return f"{share:.2g} of a core" if share >= 1 else f"{share * 100:.2g}% of a core"


def number(value):
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"


def figures(measured, name):
    return measured[name]["figures"] if measured[name] else None


def benchmark_us(report, name):
    """Returns the processor time of one iteration in microseconds. Google Benchmark reports it in nanoseconds."""
    return next(entry["cpu_time"] for entry in report["benchmarks"] if entry["name"] == name) / 1e3


def slope(config, what, phase, field, per_proxy=1.0):
    """Returns the growth of a figure per additional `what`, between the smallest and the largest size measured."""
    entries = sorted((entry for entry in config["slopes"] if entry["varies"] == what), key=lambda entry: entry[what])
    if len(entries) < 2:
        return None
    small, large = entries[0], entries[-1]
    return (large[phase][field] - small[phase][field]) / (large[what] - small[what]) * per_proxy


def fits(memory=0.0, rate=0.0, core=0.0):
    """Returns which parts of the budget one role alone exceeds, as text."""
    over = []
    for name, value, budget in (("memory", memory, PLAN.memory), ("bytes", rate, PLAN.bytes_per_second),
                                ("processor", core, PLAN.core_share)):
        if value > budget:
            over.append(f"**no: {name} {value / budget:.3g} times the whole budget**")
    return "; ".join(over) or "yes"
