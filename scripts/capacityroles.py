"""What each role of a node costs at the size to design for: rows for the page, with their arithmetic."""
from math import ceil, log10

from capacityplan import (ACCOUNTS_PER_SERVICE, CARRIED, CARRIERS, CODE, DAY, EDITS, NOT_MEASURED, PAIRS, PEERS, PLAN, REPLACED,
                          REQUESTS, benchmark_us, bytes_text, core_text, figures, fits, number, slope)


class Role:
    """One line of the table, and what it adds to the sums."""

    def __init__(self, name, state, memory=None, messages=None, rate=None, core=None, verdict=None):
        self.name, self.state = name, state
        self.memory, self.messages, self.rate, self.core = memory, messages, rate, core
        self.verdict = verdict

    def row(self):
        def cell(part):
            if part is None:
                return "-"
            value, text = part
            return text if value is None else text
        value = [part[0] if part and part[0] is not None else 0.0 for part in (self.memory, self.rate, self.core)]
        return [self.name, self.state, cell(self.memory), cell(self.messages), cell(self.rate), cell(self.core),
                self.verdict or fits(*value)]


def shown(value, text, working=""):
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
    carried, lists = control["carried"], control["member_list"][-1]
    evidence = reports["evidence"][0]
    return [
        caller_side(decisions, health, shares, config),
        target_side(),
        table_role(carried, table),
        log_reader(config),
        snapshot_publisher(table),
        membership(control, largest, evidence),
        control_tick(lists, carried),
        placement(carried),
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
    core = REQUESTS * total / 1e6
    connection = (config or {}).get("caller_connections")
    memory = None
    if connection:
        memory = shown(None, f"{bytes_text(connection['bytes_per_connection'])} for an idle connection; how many callers "
                             "keep open isn't in the plan")
    return Role("caller side (decisions alone)", "requests under way, callers' connections", memory,
                shown(REQUESTS, f"{number(REQUESTS)} requests: {PLAN.requests:,} / {PLAN.nodes:,}"), None,
                shown(None, f"{core_text(core)}: {number(REQUESTS)} x {total:.1f} us; not control"),
                "yes; the whole path's time: see below")


def target_side():
    in_flight = PLAN.targets * 4 / PLAN.nodes
    most = PLAN.targets * CODE.connections_per_target / PLAN.nodes
    return Role("target side", f"at most {number(in_flight)} requests in flight ({PLAN.targets:,} x 4 slots / "
                f"{PLAN.nodes:,}); at most {number(most)} connections ({PLAN.targets:,} x "
                f"{CODE.connections_per_target} / {PLAN.nodes:,})",
                shown(None, NOT_MEASURED), None, None, shown(None, NOT_MEASURED + " apart from the whole path"),
                "not known")


def table_role(carried, table):
    views = carried["views_and_carried_state_bytes"]
    memory = carried["table_bytes"] + views
    edit = carried["edit_us"] / 1e6
    return Role("table", f"{PLAN.accounts:,} accounts with one row each, {PLAN.targets:,} targets, {PLAN.services:,} "
                "services with five routes, and a view of every service, carried or not",
                shown(memory, bytes_text(memory), f"{bytes_text(carried['table_bytes'])} table + {bytes_text(views)} "
                      "views and state of the carried"), None, None,
                shown(EDITS * edit, core_text(EDITS * edit), f"{EDITS:.3f} edits/s x {edit * 1e3:.1f} ms, over all "
                      "services at each edit"))


def log_reader(config):
    chosen = CODE.readers_per_domain * PLAN.domains
    # Gossip goes to one random peer a second, so that it reaches a proxy as often as chance has it.
    silent = 2.718281828 ** (-CODE.peer_silence / CODE.gossip_interval) * PLAN.nodes
    readers = chosen + silent
    reads = readers / CODE.poll_wait + EDITS * readers
    observed = ""
    if config and config["sizes"]:
        entry = config["sizes"][-1]
        observed = (f"; seen with {entry['proxies']} real proxies: {entry['log_readers']['mean']:.1f} at a time, "
                    f"{CODE.readers_per_domain * 3} of them chosen")
    return Role("log reader", f"{number(readers)} readers in the fleet: {chosen} chosen ({CODE.readers_per_domain} x "
                f"{PLAN.domains} domains) + {number(silent)} that gossip missed for {CODE.peer_silence} s "
                f"(e^-{CODE.peer_silence} x {PLAN.nodes:,}){observed}", None,
                shown(None, f"{number(reads)} reads at the log for the fleet: {number(readers)} / {CODE.poll_wait} s + "
                            f"{EDITS:.2f} x {number(readers)}"),
                shown(None, NOT_MEASURED), shown(None, "within the tick"),
                "yes for a node; see the log's own load below")


def snapshot_publisher(table):
    size = table["snapshot_bytes"]
    rate = size / CODE.snapshot_interval
    seconds = (table["snapshot_ms"]) / 1e3
    core = seconds / CODE.snapshot_interval
    return Role("snapshot publisher (one node at a time)", "two copies of the snapshot while it is split and appended",
                shown(2 * size, bytes_text(2 * size), f"2 x {bytes_text(size)}"),
                shown(None, f"{number(ceil(size / 524_288) / CODE.snapshot_interval)} appends: {ceil(size / 524_288)} of "
                            f"half a MiB every {CODE.snapshot_interval} s"),
                shown(rate, bytes_text(rate), f"{bytes_text(size)} / {CODE.snapshot_interval} s, to the log, always by the "
                      "same node"),
                shown(core, core_text(core), f"{seconds:.2f} s, in one piece, on the control thread, every "
                      f"{CODE.snapshot_interval} s"))


def membership(control, largest, evidence):
    per_member = control["membership_memory"]["bytes_per_member"]
    memory = per_member * PLAN.nodes
    sealing = largest["messages_sent_per_member_per_second"] * (evidence["encode_and_seal_us"] + evidence["unseal_us"])
    core = largest["core_share_per_member_with_encoding_without_hmac"] + sealing / 1e6
    list_bytes = largest["exchange_request_bytes"] / largest["members"] * PLAN.nodes
    rate = largest["bytes_sent_per_member_per_second"] + 2 * list_bytes / 600
    return Role("membership", "every member's state, the list as handed out, one published copy",
                shown(memory, bytes_text(memory), f"{per_member:.0f} B x {PLAN.nodes:,}"),
                shown(None, f"{largest['messages_sent_per_member_per_second']:.0f}"),
                shown(rate, bytes_text(rate), f"{largest['bytes_sent_per_member_per_second']:.0f} B/s whatever the size + "
                      f"lists of {bytes_text(list_bytes)} asked and answered every 600 s"),
                shown(core, core_text(core), f"protocol {largest['core_share_per_member_with_encoding_without_hmac']:.2e} "
                      f"+ sealing {sealing:.0f} us/s"))


def control_tick(lists, carried):
    copies = 3 * lists["copy_us"]
    tick = copies + lists["poller_rank_us"] + carried["tick_without_change_us"]
    core = tick / 1e6 / CODE.tick_seconds
    return Role("control tick (nothing changes)", "none of its own", None, None, None,
                shown(core, core_text(core), f"10/s x (3 copies of the members {copies / 1e3:.2f} ms + choice of log "
                      f"readers {lists['poller_rank_us'] / 1e3:.2f} ms + fingerprint and look "
                      f"{carried['tick_without_change_us'] / 1e3:.2f} ms)"))


def placement(carried):
    seconds = carried["member_change_us"] / 1e6
    changes = REPLACED * CODE.changes_per_replacement
    core = changes * seconds
    return Role("placement on a change of members", f"{number(CARRIED)} services carried ({PLAN.services:,} x {CARRIERS} / "
                f"{PLAN.nodes:,}), the carriers of all {PLAN.services:,}", None, None, None,
                shown(core, core_text(core), f"{CODE.changes_per_replacement} changes x {REPLACED:.4f} replacements/s x "
                      f"{seconds:.2f} s, in one piece"))


def locate(lists):
    each = (lists["carriers_of_one_service_us"] + lists["copy_us"]) / 1e6
    rate = PLAN.accounts / CODE.locate_lifetime / PLAN.nodes
    return Role("locate", f"none; assumed: one caller for each account asks once in {CODE.locate_lifetime} s", None,
                shown(rate, f"{number(rate)} answers"), None,
                shown(rate * each, core_text(rate * each), f"{number(rate)} x {each * 1e3:.2f} ms (all members scored and "
                      "copied for each answer)"))


def evidence_exchange(evidence, health):
    messages = PAIRS / CODE.evidence_interval
    size = evidence["bytes_with_traffic"] + CODE.headers
    rate = messages * size
    judging = CARRIED * 10 * benchmark_us(health, "tick") / 1e6
    core = messages * (evidence["encode_and_seal_us"] + evidence["unseal_us"]) / 1e6 + judging
    return Role("evidence exchange", f"{number(PAIRS)} carriers heard ({number(CARRIED)} services x {PEERS} others)",
                shown(None, "in the table's line"),
                shown(messages, f"{number(messages)} sent, as many received"),
                shown(rate, bytes_text(rate), f"{number(messages)} x {size} B"),
                shown(core, core_text(core), f"{number(messages)} x {evidence['encode_and_seal_us']:.1f} + "
                      f"{evidence['unseal_us']:.1f} us, judging {number(CARRIED)} x 10/s x "
                      f"{benchmark_us(health, 'tick'):.1f} us"))


def limit_shares(reports, shares):
    entries = [entry for entry in reports["demand"] if entry["peers"] == PEERS]
    few, many = entries[0], entries[-1]
    account = (many["largest_report_bytes"] - few["largest_report_bytes"]) / (many["accounts"] - few["accounts"])
    empty = few["largest_report_bytes"] - account + CODE.headers
    typical = [entry for entry in shares["shares"] if entry["accounts"] == 60]
    small, large = typical[0], typical[-1]
    messages = PAIRS * large["reports_per_s"]
    rate = messages * empty + PAIRS * large["accounts_named_per_s"] * account
    power = log10(large["core_us_per_s"] / small["core_us_per_s"]) / log10(large["members"] / small["members"])
    each = large["core_us_per_s"] * (CARRIERS / large["members"]) ** power
    core = CARRIED * each / 1e6
    return Role("limit shares", f"claims of {number(ACCOUNTS_PER_SERVICE)} accounts by {CARRIERS} carriers, for "
                f"{number(CARRIED)} services", shown(None, "in the table's line"),
                shown(messages, f"{number(messages)} sent, as many received: {number(PAIRS)} carriers x "
                      f"{large['reports_per_s']:.2f}/s"),
                shown(rate, bytes_text(rate), f"{number(messages)} x {empty:.0f} B + {number(PAIRS)} carriers x "
                      f"{large['accounts_named_per_s']:.0f} accounts/s x {account:.0f} B, as often as with "
                      f"{large['members']} carriers and demand that varies by a fifth"),
                shown(core, core_text(core), f"{number(CARRIED)} x {each:.0f} us/s, from {small['core_us_per_s']:.0f} us/s "
                      f"with {small['members']} carriers and {large['core_us_per_s']:.0f} with {large['members']}, 60 "
                      f"accounts, carried on to {CARRIERS}"))


def edits_to_peers(config):
    if not config or not config["sizes"]:
        return Role("edits pushed to peers", "the last records, 1 MiB", shown(1_048_576, "1.05 MB"), None,
                    shown(None, NOT_MEASURED), shown(None, NOT_MEASURED), "not known")
    entry = config["sizes"][-1]
    idle, busy = entry["costs"]["idle"], entry["costs"]["editing"]
    each = (busy["sent_bytes_per_second"] - idle["sent_bytes_per_second"]) / busy["edits_per_second"]
    core = (busy["processor_share"] - idle["processor_share"]) / busy["edits_per_second"]
    return Role("edits pushed to peers", "the last records, 1 MiB", shown(1_048_576, "1.05 MB"),
                shown(None, f"{EDITS * CODE.push_fanout:.2g}: {EDITS:.2f} x {CODE.push_fanout}; and one gossip"),
                shown(EDITS * each, bytes_text(EDITS * each), f"{EDITS:.3f} x {each:.0f} B an edit"),
                shown(EDITS * core, core_text(EDITS * core), f"{EDITS:.3f} x {core * 1e3:.2f} ms an edit, with "
                      f"{entry['proxies']} proxies"))


def vm_list(config):
    entry = config["sizes"][-1]["vm_list_bytes_per_entry"] if config and config["sizes"] else 90.0
    interval = PLAN.nodes / CODE.vm_list_readers
    own = entry * PLAN.nodes / interval
    rate = entry * (PLAN.nodes + PLAN.targets) / interval
    return Role("VM list", "a hint for each VM", None,
                shown(1 / interval, f"{1 / interval:.2g}: one read in {interval:.0f} s"),
                shown(rate, f"{bytes_text(rate)} received",
                      f"{entry:.0f} B x ({PLAN.nodes:,} + {PLAN.targets:,} VMs, if each target has one) / {interval:.0f} s; "
                      f"{bytes_text(own)} if it lists the nodes alone"),
                shown(None, NOT_MEASURED))


def probes(config):
    rate = PLAN.targets / CODE.probe_interval / PLAN.nodes
    each = slope(config, "targets", "idle", "processor_share") if config else None
    text = NOT_MEASURED
    core = None
    if each is not None:
        size = next(entry["proxies"] for entry in config["slopes"] if entry["varies"] == "targets")
        core = each * size * PLAN.targets / PLAN.nodes
        text = (f"{core_text(core)}: {each * size * 1e6:.0f} us/s for each target of which it is the prober x "
                f"{PLAN.targets / PLAN.nodes:.1f}")
    return Role("probes", f"{PLAN.targets / PLAN.nodes:.1f} targets probed by a node", None,
                shown(rate, f"{number(rate)}: {PLAN.targets:,} / {CODE.probe_interval:.3f} s / {PLAN.nodes:,}, each on a "
                            "connection of its own"),
                shown(None, NOT_MEASURED + f"; {number(rate)} connections a second of 300 B or more are at least "
                            f"{bytes_text(rate * 300)}"),
                shown(core, text), None if core else "bytes: no")


def role_rows(measured):
    all_roles = roles(measured)
    rows = [role.row() for role in all_roles]

    def total(part):
        return sum(getattr(role, part)[0] or 0.0 for role in all_roles if getattr(role, part))
    config = figures(measured, "config")
    base = config["sizes"][0]["costs"]["idle"]["resident_bytes"] if config and config["sizes"] else 0.0
    memory = total("memory") + base
    rate, core = total("rate"), total("core")
    rows.append(["**sum of what is known**, of the node that publishes snapshots", "", f"**{bytes_text(memory)}**, with {bytes_text(base)} of a process of today",
                 "", f"**{bytes_text(rate)}**", f"**{core_text(core)}**", fits(memory, rate, core)])
    rows.append(["budget", "", bytes_text(PLAN.memory), "", bytes_text(PLAN.bytes_per_second), core_text(PLAN.core_share),
                 ""])
    return rows


def event_rows(measured):
    control = figures(measured, "capacity")["carried"]
    table = figures(measured, "config-table")["sizes"][-1]
    change = control["member_change_us"] / 1e6
    rack = 40
    domain = PLAN.nodes // PLAN.domains
    region = PLAN.nodes // 2
    snapshot = table["snapshot_bytes"]
    transmissions = CODE.transmit_factor * ceil(log10(PLAN.nodes + 1))
    room = CODE.update_budget * 12  # bytes a second: four messages and eight of gossip
    update = 21  # bytes, without a description

    def spread(count):
        return count * transmissions * update / room
    moved = PLAN.services * CARRIERS
    pairs = PLAN.services * PLAN.nodes
    most = CODE.probe_answer_limit / change * pairs
    return [
        ["any change of the list of members", f"{number(REPLACED * CODE.changes_per_replacement * DAY)} a day",
         f"the control thread of every node stands still for {change:.1f} s; a probe waits {CODE.probe_answer_limit} s for "
         f"its answer, so that nodes suspect each other from {most / 1e6:.2g} million pairs of service and member on",
         f"{CODE.probe_answer_limit} s / {change:.2f} s x {PLAN.services:,} x {PLAN.nodes:,}: with {PLAN.services:,} "
         f"services {number(most / PLAN.services)} members"],
        ["an edit", f"{PLAN.edits_a_day:,} a day",
         f"1 append, {CODE.push_fanout} datagrams and {control['edit_us'] / 1e3:.1f} ms on every node",
         f"{PLAN.nodes:,} x {CODE.push_fanout} datagrams; log4({PLAN.nodes:,}) = {log10(PLAN.nodes) / log10(4):.1f} hops "
         "at least"],
        ["a VM fails", f"{PLAN.failures_a_day} a day",
         f"{number(CARRIED)} services lose one of {CARRIERS} carriers; every node places anew "
         f"{CODE.changes_per_replacement} times, {change:.1f} s each",
         f"{CODE.changes_per_replacement} x {change:.2f} s = {CODE.changes_per_replacement * change:.0f} s of a core on "
         "every node"],
        ["a VM is replaced", f"{PLAN.replacements_a_day:,} a day, one in {DAY / PLAN.replacements_a_day:.0f} s",
         f"as a failure, and the new one loads {bytes_text(snapshot)} in {table['load_ms'] / 1e3:.1f} s; goal 2 s",
         f"{PLAN.replacements_a_day:,} x {bytes_text(snapshot)} / {DAY:,} s = "
         f"{bytes_text(PLAN.replacements_a_day * snapshot / DAY)}/s from log and peers"],
        [f"a rack ({rack} VMs assumed)", "most days",
         f"up to {rack * 2} lists of members one after the other; {bytes_text(rack * snapshot)} of snapshots when it comes "
         "back", f"{rack} x 2 x {change:.1f} s = {rack * 2 * change:.0f} s of a core on every node, less what falls into one "
         "tick"],
        [f"a failure domain ({domain:,})", "a few times a year",
         f"one in {PLAN.domains} places moves; news of the dead needs {number(spread(domain))} s for its way at the least",
         f"{domain:,} x {transmissions} times x {update} B / ({CODE.update_budget} B x 12/s); "
         f"{moved / PLAN.domains:,.0f} of {moved:,.0f} places"],
        [f"a region is cut off ({region:,})", "several times a year, minutes",
         f"each side carries all services: {number(2 * CARRIED)} a node, and takes the other for dead in "
         f"{number(spread(region))} s at the least", f"{region:,} x {transmissions} x {update} B / ({CODE.update_budget} B x "
         "12/s); the side without the log keeps its table and accepts no edits"],
    ]
