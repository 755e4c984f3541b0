"""The cost of each role of a node at the design size, as rows for the page with their arithmetic."""
from math import ceil, log10

from capacityplan import (ACCOUNTS_PER_SERVICE, DAY, EDITS_PER_SECOND, NOT_MEASURED, PEER_PAIRS, PEERS, PLAN,
                          PROXIES_PER_SERVICE, REPLACEMENTS_PER_SECOND, REQUESTS_PER_NODE, SERVICES_PER_NODE, SETTINGS,
                          benchmark_us, bytes_text, core_text, figures, fits, number, slope)


class Role:
    """One row of the table, and its contribution to the sums."""

    def __init__(self, name, state, memory=None, messages=None, rate=None, core=None, verdict=None):
        self.name, self.state = name, state
        self.memory, self.messages, self.rate, self.core = memory, messages, rate, core
        self.verdict = verdict

    def row(self):
        def cell_text(part):
            if part is None:
                return "-"
            value, text = part
            return text if value is None else text
        value = [part[0] if part and part[0] is not None else 0.0 for part in (self.memory, self.rate, self.core)]
        return [self.name, self.state, cell_text(self.memory), cell_text(self.messages), cell_text(self.rate),
                cell_text(self.core), self.verdict or fits(*value)]


def cell(value, text, working=""):
    return value, f"{text}{': ' + working if working else ''}"


def roles(measured):
    control = figures(measured, "capacity")
    reports = figures(measured, "carrier-reports")
    table = figures(measured, "config-table")["sizes"][-1]
    largest = figures(measured, "virtual-members")["members"][-1]
    decisions = figures(measured, "request-decisions")
    health = figures(measured, "health-cost")
    shares = figures(measured, "fairness")
    config = figures(measured, "config")
    assignment, lists = control["carried"], control["member_list"][-1]
    evidence = reports["evidence"][0]
    return [
        caller_side(decisions, health, shares, config),
        target_side(),
        table_role(assignment, table),
        log_reader(config),
        snapshot_publisher(table),
        membership(control, largest, evidence),
        control_tick(lists, assignment),
        placement(assignment),
        locate(lists),
        evidence_exchange(evidence, health),
        limit_shares(reports, shares),
        edits_to_peers(config),
        vm_list(config),
        probes(config),
    ]


def caller_side(decisions, health, shares, config):
    parts = {name: benchmark_us(decisions, name) for name in ("checkHeader", "proveIdentity", "planOneAttempt",
                                                              "learnLatency")}
    parts |= {name: benchmark_us(health, name) for name in ("observe", "chooseTarget")}
    parts["fair queue"] = shares["cost"]["fair_ns_per_request"] / 1e3
    total = sum(parts.values())
    core = REQUESTS_PER_NODE * total / 1e6
    connection = (config or {}).get("caller_connections")
    memory = None
    if connection:
        memory = cell(None, f"{bytes_text(connection['bytes_per_connection'])} for an idle connection; how many "
                            "callers keep open isn't in the plan")
    return Role("caller side (decisions alone)", "requests under way, callers' connections", memory,
                cell(REQUESTS_PER_NODE, f"{number(REQUESTS_PER_NODE)} requests: {PLAN.requests:,} / "
                                        f"{PLAN.nodes:,}"), None,
                cell(None, f"{core_text(core)}: {number(REQUESTS_PER_NODE)} x {total:.1f} us; not control"),
                "yes; the whole path's time: see below")


def target_side():
    in_flight = PLAN.targets * 4 / PLAN.nodes
    max_connections = PLAN.targets * SETTINGS.connections_per_target / PLAN.nodes
    return Role("target side", f"at most {number(in_flight)} requests in flight ({PLAN.targets:,} x 4 slots / "
                f"{PLAN.nodes:,}); at most {number(max_connections)} connections ({PLAN.targets:,} x "
                f"{SETTINGS.connections_per_target} / {PLAN.nodes:,})",
                cell(None, NOT_MEASURED), None, None, cell(None, NOT_MEASURED + " apart from the whole path"),
                "not known")


def table_role(assignment, table):
    views = assignment["views_and_carried_state_bytes"]
    memory = assignment["table_bytes"] + views
    edit = assignment["edit_us"] / 1e6
    return Role("table", f"{PLAN.accounts:,} accounts with one row each, {PLAN.targets:,} targets, {PLAN.services:,} "
                "services with five routes, and a view of every service, carried or not",
                cell(memory, bytes_text(memory), f"{bytes_text(assignment['table_bytes'])} table + {bytes_text(views)} "
                     "views and state of the carried"), None, None,
                cell(EDITS_PER_SECOND * edit, core_text(EDITS_PER_SECOND * edit),
                     f"{EDITS_PER_SECOND:.3f} edits/s x {edit * 1e3:.1f} ms, over all services at each edit"))


def log_reader(config):
    chosen = SETTINGS.log_readers_per_domain * PLAN.domains
    # Gossip goes to one random peer per second, so the intervals at which it reaches a proxy are random.
    unreached = 2.718281828 ** (-SETTINGS.peer_timeout / SETTINGS.gossip_interval) * PLAN.nodes
    readers = chosen + unreached
    reads = readers / SETTINGS.poll_wait + EDITS_PER_SECOND * readers
    observed = ""
    if config and config["sizes"]:
        entry = config["sizes"][-1]
        observed = (f"; seen with {entry['proxies']} real proxies: {entry['log_readers']['mean']:.1f} at a time, "
                    f"{SETTINGS.log_readers_per_domain * 3} of them chosen")
    return Role("log reader",
                f"{number(readers)} readers in the fleet: {chosen} chosen ({SETTINGS.log_readers_per_domain} "
                f"x {PLAN.domains} domains) + {number(unreached)} that gossip missed for "
                f"{SETTINGS.peer_timeout} s (e^-{SETTINGS.peer_timeout} x {PLAN.nodes:,}){observed}", None,
                cell(None, f"{number(reads)} reads at the log for the fleet: {number(readers)} / {SETTINGS.poll_wait} "
                           f"s + {EDITS_PER_SECOND:.2f} x {number(readers)}"),
                cell(None, NOT_MEASURED), cell(None, "within the tick"),
                "yes for a node; see the log's own load below")


def snapshot_publisher(table):
    size = table["snapshot_bytes"]
    rate = size / SETTINGS.snapshot_interval
    seconds = (table["snapshot_ms"]) / 1e3
    core = seconds / SETTINGS.snapshot_interval
    return Role("snapshot publisher (one node at a time)", "two copies of the snapshot while it is split and appended",
                cell(2 * size, bytes_text(2 * size), f"2 x {bytes_text(size)}"),
                cell(None, f"{number(ceil(size / 524_288) / SETTINGS.snapshot_interval)} appends: "
                           f"{ceil(size / 524_288)} of half a MiB every {SETTINGS.snapshot_interval} s"),
                cell(rate, bytes_text(rate), f"{bytes_text(size)} / {SETTINGS.snapshot_interval} s, to the log, always "
                                             "by the same node"),
                cell(core, core_text(core), f"{seconds:.2f} s, in one piece, on the control thread, every "
                     f"{SETTINGS.snapshot_interval} s"))


def membership(control, largest, evidence):
    per_member = control["membership_memory"]["bytes_per_member"]
    memory = per_member * PLAN.nodes
    sealing = largest["messages_sent_per_member_per_second"] * (evidence["encode_and_seal_us"] + evidence["unseal_us"])
    core = largest["core_share_per_member_with_encoding_without_hmac"] + sealing / 1e6
    list_bytes = largest["exchange_request_bytes"] / largest["members"] * PLAN.nodes
    rate = largest["bytes_sent_per_member_per_second"] + 2 * list_bytes / 600
    return Role("membership", "every member's state, the list as handed out, one published copy",
                cell(memory, bytes_text(memory), f"{per_member:.0f} B x {PLAN.nodes:,}"),
                cell(None, f"{largest['messages_sent_per_member_per_second']:.0f}"),
                cell(rate, bytes_text(rate), f"{largest['bytes_sent_per_member_per_second']:.0f} B/s whatever the size "
                                             f"+ lists of {bytes_text(list_bytes)} asked and answered every 600 s"),
                cell(core, core_text(core),
                     f"protocol {largest['core_share_per_member_with_encoding_without_hmac']:.2e} + sealing "
                     f"{sealing:.0f} us/s"))


def control_tick(lists, assignment):
    copies = 3 * lists["copy_us"]
    tick = copies + lists["poller_rank_us"] + assignment["tick_without_change_us"]
    core = tick / 1e6 / SETTINGS.tick_seconds
    return Role("control tick (nothing changes)", "none of its own", None, None, None,
                cell(core, core_text(core), f"10/s x (3 copies of the members {copies / 1e3:.2f} ms + choice of log "
                     f"readers {lists['poller_rank_us'] / 1e3:.2f} ms + fingerprint and look "
                     f"{assignment['tick_without_change_us'] / 1e3:.2f} ms)"))


def placement(assignment):
    seconds = assignment["member_change_us"] / 1e6
    changes = REPLACEMENTS_PER_SECOND * SETTINGS.changes_per_replacement
    core = changes * seconds
    return Role("placement on a change of members",
                f"{number(SERVICES_PER_NODE)} services carried ({PLAN.services:,} x {PROXIES_PER_SERVICE} / "
                f"{PLAN.nodes:,}), the carriers of all {PLAN.services:,}", None, None, None,
                cell(core, core_text(core), f"{SETTINGS.changes_per_replacement} changes x "
                                            f"{REPLACEMENTS_PER_SECOND:.4f} replacements/s x {seconds:.2f} s, in one "
                                            "piece"))


def locate(lists):
    each = (lists["carriers_of_one_service_us"] + lists["copy_us"]) / 1e6
    rate = PLAN.accounts / SETTINGS.locate_lifetime / PLAN.nodes
    return Role("locate", f"none; assumed: one caller for each account asks once in {SETTINGS.locate_lifetime} s", None,
                cell(rate, f"{number(rate)} answers"), None,
                cell(rate * each, core_text(rate * each), f"{number(rate)} x {each * 1e3:.2f} ms (all members scored "
                                                          "and copied for each answer)"))


def evidence_exchange(evidence, health):
    messages = PEER_PAIRS / SETTINGS.evidence_interval
    size = evidence["bytes_with_traffic"] + SETTINGS.header_bytes
    rate = messages * size
    judging = SERVICES_PER_NODE * 10 * benchmark_us(health, "tick") / 1e6
    core = messages * (evidence["encode_and_seal_us"] + evidence["unseal_us"]) / 1e6 + judging
    return Role("evidence exchange",
                f"{number(PEER_PAIRS)} carriers heard ({number(SERVICES_PER_NODE)} services x {PEERS} "
                "others)",
                cell(None, "in the table's line"),
                cell(messages, f"{number(messages)} sent, as many received"),
                cell(rate, bytes_text(rate), f"{number(messages)} x {size} B"),
                cell(core, core_text(core), f"{number(messages)} x {evidence['encode_and_seal_us']:.1f} + "
                     f"{evidence['unseal_us']:.1f} us, judging {number(SERVICES_PER_NODE)} x 10/s x "
                     f"{benchmark_us(health, 'tick'):.1f} us"))


def limit_shares(reports, shares):
    entries = [entry for entry in reports["demand"] if entry["peers"] == PEERS]
    smallest, largest_entry = entries[0], entries[-1]
    account = ((largest_entry["largest_report_bytes"] - smallest["largest_report_bytes"])
               / (largest_entry["accounts"] - smallest["accounts"]))
    empty = smallest["largest_report_bytes"] - account + SETTINGS.header_bytes
    typical = [entry for entry in shares["shares"] if entry["accounts"] == 60]
    small, large = typical[0], typical[-1]
    messages = PEER_PAIRS * large["reports_per_s"]
    rate = messages * empty + PEER_PAIRS * large["accounts_named_per_s"] * account
    power = log10(large["core_us_per_s"] / small["core_us_per_s"]) / log10(large["members"] / small["members"])
    each = large["core_us_per_s"] * (PROXIES_PER_SERVICE / large["members"]) ** power
    core = SERVICES_PER_NODE * each / 1e6
    return Role("limit shares",
                f"claims of {number(ACCOUNTS_PER_SERVICE)} accounts by {PROXIES_PER_SERVICE} carriers, for "
                f"{number(SERVICES_PER_NODE)} services", cell(None, "in the table's line"),
                cell(messages, f"{number(messages)} sent, as many received: {number(PEER_PAIRS)} carriers x "
                     f"{large['reports_per_s']:.2f}/s"),
                cell(rate, bytes_text(rate), f"{number(messages)} x {empty:.0f} B + {number(PEER_PAIRS)} carriers x "
                     f"{large['accounts_named_per_s']:.0f} accounts/s x {account:.0f} B, as often as with "
                     f"{large['members']} carriers and demand that varies by a fifth"),
                cell(core, core_text(core), f"{number(SERVICES_PER_NODE)} x {each:.0f} us/s, from "
                                            f"{small['core_us_per_s']:.0f} us/s with {small['members']} carriers and "
                                            f"{large['core_us_per_s']:.0f} with {large['members']}, 60 accounts, "
                                            f"carried on to {PROXIES_PER_SERVICE}"))


def edits_to_peers(config):
    if not config or not config["sizes"]:
        return Role("edits pushed to peers", "the last records, 1 MiB", cell(1_048_576, "1.05 MB"), None,
                    cell(None, NOT_MEASURED), cell(None, NOT_MEASURED), "not known")
    entry = config["sizes"][-1]
    idle, busy = entry["costs"]["idle"], entry["costs"]["editing"]
    each = (busy["sent_bytes_per_second"] - idle["sent_bytes_per_second"]) / busy["edits_per_second"]
    core = (busy["processor_share"] - idle["processor_share"]) / busy["edits_per_second"]
    return Role("edits pushed to peers", "the last records, 1 MiB", cell(1_048_576, "1.05 MB"),
                cell(None, f"{EDITS_PER_SECOND * SETTINGS.push_fanout:.2g}: {EDITS_PER_SECOND:.2f} x "
                           f"{SETTINGS.push_fanout}; and one gossip"),
                cell(EDITS_PER_SECOND * each, bytes_text(EDITS_PER_SECOND * each),
                     f"{EDITS_PER_SECOND:.3f} x {each:.0f} B an edit"),
                cell(EDITS_PER_SECOND * core, core_text(EDITS_PER_SECOND * core),
                     f"{EDITS_PER_SECOND:.3f} x {core * 1e3:.2f} ms an edit, with {entry['proxies']} proxies"))


def vm_list(config):
    entry = config["sizes"][-1]["vm_list_bytes_per_entry"] if config and config["sizes"] else 90.0
    interval = PLAN.nodes / SETTINGS.vm_list_readers
    own = entry * PLAN.nodes / interval
    rate = entry * (PLAN.nodes + PLAN.targets) / interval
    return Role("VM list", "a hint for each VM", None,
                cell(1 / interval, f"{1 / interval:.2g}: one read in {interval:.0f} s"),
                cell(rate, f"{bytes_text(rate)} received",
                     f"{entry:.0f} B x ({PLAN.nodes:,} + {PLAN.targets:,} VMs, if each target has one) / "
                     f"{interval:.0f} s; {bytes_text(own)} if it lists the nodes alone"),
                cell(None, NOT_MEASURED))


def probes(config):
    rate = PLAN.targets / SETTINGS.probe_interval / PLAN.nodes
    each = slope(config, "targets", "idle", "processor_share") if config else None
    text = NOT_MEASURED
    core = None
    if each is not None:
        size = next(entry["proxies"] for entry in config["slopes"] if entry["varies"] == "targets")
        core = each * size * PLAN.targets / PLAN.nodes
        text = (f"{core_text(core)}: {each * size * 1e6:.0f} us/s for each target of which it is the prober x "
                f"{PLAN.targets / PLAN.nodes:.1f}")
    return Role("probes", f"{PLAN.targets / PLAN.nodes:.1f} targets probed by a node", None,
                cell(rate, f"{number(rate)}: {PLAN.targets:,} / {SETTINGS.probe_interval:.3f} s / {PLAN.nodes:,}, each "
                           "on a connection of its own"),
                cell(None, NOT_MEASURED + f"; {number(rate)} connections a second of 300 B or more are at least "
                           f"{bytes_text(rate * 300)}"),
                cell(core, text), None if core else "bytes: no")


def role_rows(measured):
    all_roles = roles(measured)
    rows = [role.row() for role in all_roles]

    def total(part):
        return sum(getattr(role, part)[0] or 0.0 for role in all_roles if getattr(role, part))
    config = figures(measured, "config")
    base = config["sizes"][0]["costs"]["idle"]["resident_bytes"] if config and config["sizes"] else 0.0
    memory = total("memory") + base
    rate, core = total("rate"), total("core")
    rows.append(["**sum of what is known**, of the node that publishes snapshots",
                 "", f"**{bytes_text(memory)}**, with {bytes_text(base)} of a process of today",
                 "", f"**{bytes_text(rate)}**", f"**{core_text(core)}**", fits(memory, rate, core)])
    rows.append(["budget", "", bytes_text(PLAN.memory), "", bytes_text(PLAN.bytes_per_second),
                 core_text(PLAN.core_share), ""])
    return rows


def event_rows(measured):
    control = figures(measured, "capacity")["carried"]
    table = figures(measured, "config-table")["sizes"][-1]
    change = control["member_change_us"] / 1e6
    rack = 40
    domain = PLAN.nodes // PLAN.domains
    region = PLAN.nodes // 2
    snapshot = table["snapshot_bytes"]
    transmissions = SETTINGS.transmit_factor * ceil(log10(PLAN.nodes + 1))
    update_bytes_per_second = SETTINGS.update_budget * 12  # four messages and eight of gossip
    update = 21  # bytes, without a member description

    def dissemination_seconds(count):
        return count * transmissions * update / update_bytes_per_second
    placements = PLAN.services * PROXIES_PER_SERVICE
    pairs = PLAN.services * PLAN.nodes
    max_pairs = SETTINGS.probe_timeout / change * pairs
    return [
        ["any change of the list of members",
         f"{number(REPLACEMENTS_PER_SECOND * SETTINGS.changes_per_replacement * DAY)} a day",
         f"the control thread of every node stands still for {change:.1f} s; a probe waits {SETTINGS.probe_timeout} s "
         f"for its answer, so that nodes suspect each other from {max_pairs / 1e6:.2g} million pairs of service "
         "and member on",
         f"{SETTINGS.probe_timeout} s / {change:.2f} s x {PLAN.services:,} x {PLAN.nodes:,}: with {PLAN.services:,} "
         f"services {number(max_pairs / PLAN.services)} members"],
        ["an edit", f"{PLAN.edits_a_day:,} a day",
         f"1 append, {SETTINGS.push_fanout} datagrams and {control['edit_us'] / 1e3:.1f} ms on every node",
         f"{PLAN.nodes:,} x {SETTINGS.push_fanout} datagrams; log4({PLAN.nodes:,}) = "
         f"{log10(PLAN.nodes) / log10(4):.1f} hops at least"],
        ["a VM fails", f"{PLAN.failures_a_day} a day",
         f"{number(SERVICES_PER_NODE)} services lose one of {PROXIES_PER_SERVICE} carriers; every node places anew "
         f"{SETTINGS.changes_per_replacement} times, {change:.1f} s each",
         f"{SETTINGS.changes_per_replacement} x {change:.2f} s = {SETTINGS.changes_per_replacement * change:.0f} s of "
         "a core on every node"],
        ["a VM is replaced", f"{PLAN.replacements_a_day:,} a day, one in {DAY / PLAN.replacements_a_day:.0f} s",
         f"as a failure, and the new one loads {bytes_text(snapshot)} in {table['load_ms'] / 1e3:.1f} s; goal 2 s",
         f"{PLAN.replacements_a_day:,} x {bytes_text(snapshot)} / {DAY:,} s = "
         f"{bytes_text(PLAN.replacements_a_day * snapshot / DAY)}/s from log and peers"],
        [f"a rack ({rack} VMs assumed)", "most days",
         f"up to {rack * 2} lists of members one after the other; {bytes_text(rack * snapshot)} of snapshots when it "
         "comes back",
         f"{rack} x 2 x {change:.1f} s = {rack * 2 * change:.0f} s of a core on every node, less what falls "
         "into one tick"],
        [f"a failure domain ({domain:,})", "a few times a year",
         f"one in {PLAN.domains} places moves; news of the dead needs {number(dissemination_seconds(domain))} s for "
         "its way at the least",
         f"{domain:,} x {transmissions} times x {update} B / ({SETTINGS.update_budget} B x 12/s); "
         f"{placements / PLAN.domains:,.0f} of {placements:,.0f} places"],
        [f"a region is cut off ({region:,})", "several times a year, minutes",
         f"each side carries all services: {number(2 * SERVICES_PER_NODE)} a node, and takes the other for dead in "
         f"{number(dissemination_seconds(region))} s at the "
         "least", f"{region:,} x {transmissions} x {update} B / ({SETTINGS.update_budget} B x "
         "12/s); the side without the log keeps its table and accepts no edits"],
    ]
