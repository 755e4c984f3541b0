"""What the arithmetic of docs/CAPACITY.md starts from: the plan's sizes, the code's settings, and how figures are shown."""
from math import ceil

NOT_MEASURED = "not measured"


class PLAN:
    """The size to design for, and the budget of a node."""
    nodes = 6_600
    targets = 58_000
    services = 3_500
    requests = 1_800_000  # a second
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


class CODE:
    """Settings of the code that the arithmetic goes by."""
    tick_seconds = 0.1  # src/app/proxyprocess.cpp
    per_domain = 2  # carriers, PlacementSettings
    targets_per_carrier = 1
    locate_lifetime = 10  # seconds
    readers_per_domain = 2  # ConfigSync::Settings
    peer_silence = 5
    gossip_interval = 1
    poll_wait = 2
    push_fanout = 4
    vm_list_readers = 32  # a second, over the fleet
    snapshot_interval = 600
    evidence_interval = 1  # QuietInterval, src/policy/targethealth.cpp
    urgent_interval = 0.2
    demand_interval = 1  # FleetSharesSettings
    probe_answer_limit = 0.6  # of a member, MembershipSettings
    probe_interval = 0.025 / (0.02 * 4) * 1.1  # ProbePlan
    connections_per_target = 330
    transmit_factor = 4  # MembershipSettings
    update_budget = 600
    samples = 4
    messages_in = 4  # probes and answers that a member receives a second
    max_datagram = 1_400
    headers = 28  # UDP and IP
    changes_per_replacement = 5  # leaving, dead, joined, ready, forgotten: each is another list of members


DAY = 86_400
EDITS = PLAN.edits_a_day / DAY
TARGETS_PER_SERVICE = PLAN.targets / PLAN.services
CARRIERS = max(CODE.per_domain * PLAN.domains, ceil(TARGETS_PER_SERVICE / CODE.targets_per_carrier))
CARRIED = PLAN.services * CARRIERS / PLAN.nodes
PEERS = CARRIERS - 1
PAIRS = CARRIED * PEERS
REQUESTS = PLAN.requests / PLAN.nodes
REPLACED = (PLAN.replacements_a_day + PLAN.failures_a_day) / DAY
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
    """Returns the processor time of one step, in microseconds, as Google Benchmark writes it in nanoseconds."""
    return next(entry["cpu_time"] for entry in report["benchmarks"] if entry["name"] == name) / 1e3


def slope(config, what, phase, field, per_proxy=1.0):
    """Returns by how much a figure grows with one more of `what`, between the two sizes measured."""
    entries = sorted((entry for entry in config["slopes"] if entry["varies"] == what), key=lambda entry: entry[what])
    if len(entries) < 2:
        return None
    small, large = entries[0], entries[-1]
    return (large[phase][field] - small[phase][field]) / (large[what] - small[what]) * per_proxy


def fits(memory=0.0, rate=0.0, core=0.0):
    """Says which parts of the budget one role alone passes."""
    over = []
    for name, value, budget in (("memory", memory, PLAN.memory), ("bytes", rate, PLAN.bytes_per_second),
                                ("processor", core, PLAN.core_share)):
        if value > budget:
            over.append(f"**no: {name} {value / budget:.3g} times the whole budget**")
    return "; ".join(over) or "yes"
