"""The measurements as rows for docs/CAPACITY.md, each with its command and the load of the machine."""
from capacityplan import (PEERS, PLAN, SETTINGS, benchmark_us, bytes_text, core_text, figures, slope)


def measured_rows(measured):
    control = figures(measured, "capacity")
    lists = control["member_list"]
    reports = figures(measured, "carrier-reports")
    typical, large = reports["evidence"][0], reports["evidence"][-1]
    table = figures(measured, "config-table")["sizes"][-1]
    largest = figures(measured, "virtual-members")["members"]
    decisions, health = figures(measured, "request-decisions"), figures(measured, "health-cost")
    shares = figures(measured, "fairness")["shares"]
    rows = [
        ("caller side", "request-decisions", ", ".join(
            f"{name} {benchmark_us(decisions, name):.2f} us" for name in ("checkHeader", "proveIdentity", "planOneAttempt",
                                                                          "learnLatency", "runOnce"))),
        ("caller side", "fairness",
         f"fair queue {figures(measured, 'fairness')['cost']['fair_ns_per_request']:.0f} ns a request and "
         f"{figures(measured, 'fairness')['cost']['bytes_per_account']:.0f} B an account, with 10,000 accounts"),
        ("evidence exchange", "health-cost", ", ".join(
            f"{name} {benchmark_us(health, name):.2f} us" for name in ("observe", "tick", "report", "chooseTarget"))),
        ("table", "config-table", f"{table['bytes_per_account']:.0f} B an account, {table['bytes_per_row']:.0f} a row, "
                                  f"{table['bytes_per_target']:.0f} a target, {table['bytes_per_service']:.0f} a "
                                  f"service; a view {table['view_bytes_per_row']:.0f} B a row; snapshot "
                                  f"{bytes_text(table['snapshot_bytes'])}, written in {table['snapshot_ms'] / 1e3:.2f} "
                                  f"s, loaded in {table['load_ms'] / 1e3:.2f} s"),
        ("table, placement", "capacity", f"first placement of {PLAN.services:,} services "
                                         f"{control['carried']['first_placement_us'] / 1e6:.2f} s, one change of a "
                                         f"member {control['carried']['member_change_us'] / 1e6:.2f} s, one edit "
                                         f"{control['carried']['edit_us'] / 1e3:.2f} ms, tick "
                                         f"{control['carried']['tick_without_change_us'] / 1e3:.2f} ms"),
        ("placement", "placement", placement_text(figures(measured, "placement"))),
        ("control tick, locate", "capacity", "with " + ", ".join(
            f"{entry['members']:,} members: copy {entry['copy_us']:.0f} us, fingerprint {entry['fingerprint_us']:.0f}, log "
            f"readers {entry['poller_rank_us']:.0f}, one service {entry['carriers_of_one_service_us']:.0f}"
            for entry in lists)),
        ("membership", "virtual-members", "; ".join(
            f"{entry['members']:,}: {entry['bytes_sent_per_member_per_second']:.0f} B/s, suspected by all in "
            f"{entry['dead']['seconds_until_suspected']['max']:.1f} s, dead for all in "
            f"{entry['dead']['seconds_until_dead']['max']:.1f} s" for entry in largest)),
        ("evidence exchange", "carrier-reports",
         f"report of {typical['targets']} targets to {typical['peers']} carriers: {typical['bytes_with_traffic']} B, "
         f"of {large['targets']} to {large['peers']}: {large['bytes_with_traffic']} B (a datagram takes "
         f"{SETTINGS.max_datagram})"),
        *[("limit shares", "carrier-reports", demand_text(reports["demand"], peers)) for peers in (5, PEERS)],
        ("limit shares", "fairness", "; ".join(
            f"{entry['members']} carriers, {entry['accounts']} accounts: {entry['core_us_per_s']:.0f} us/s"
            for entry in shares)),
    ]
    rows += config_measures(measured) + member_measures(measured)
    return [source_row(measured, role, name, text) for role, name, text in rows if text]


def placement_text(placement):
    one = placement["movement"][0]
    balance = placement["balance_and_cost"]
    return (f"1 of {one['members']} leaves: {one['moved_on_leave_rendezvous']:.1%} of places move; {PLAN.services:,} "
            f"services over {PLAN.nodes:,} members by 12: {balance['services_per_member_mean']:.1f} a member, "
            f"{balance['services_per_member_max']} at most; all placed in {balance['seconds_for_all_services']:.2f} s")


def demand_text(demand, peers):
    entries = [entry for entry in demand if entry["peers"] == peers]
    return f"{peers} other carriers, largest report sent: " + ", ".join(
        f"{entry['accounts']} accounts {entry['largest_report_bytes']} B" for entry in entries)


def config_measures(measured):
    config = figures(measured, "config")
    if not config:
        return []
    rows = []
    for entry in config["sizes"]:
        one, cut_off = entry["log_up"], entry["one_in_four_cut_from_log"]
        idle, editing = entry["costs"]["idle"], entry["costs"]["editing"]
        max_missing = max(response["missing"] for response in entry["answer_names_missing"]["answers"])
        rows.append((f"{entry['proxies']} real proxies", "config",
                     f"edit in force everywhere p50 {seconds(one['everywhere_seconds']['p50'])}, max "
                     f"{seconds(one['everywhere_seconds']['max'])}; one in four cut from the log: p50 "
                     f"{seconds(cut_off['everywhere_seconds']['p50'])}, max "
                     f"{seconds(cut_off['everywhere_seconds']['max'])}; missing {one['missing'] + cut_off['missing']}, "
                     f"reverts {entry['reverts']}; the answer names up to {max_missing} as missing; ready with log "
                     f"{seconds(entry['start_with_log']['max'])}, from peers "
                     f"{seconds(entry['start_from_peers']['max'])}; idle {core_text(idle['processor_share'])}, "
                     f"{bytes_text(idle['resident_bytes'])}, {bytes_text(idle['sent_bytes_per_second'])}/s sent; at "
                     f"{editing['edits_per_second']:.0f} edits/s {core_text(editing['processor_share'])}, "
                     f"{bytes_text(editing['sent_bytes_per_second'])}/s"))
    for what in ("rows", "services", "targets"):
        memory, core, rate = (slope(config, what, "idle", field) for field in (
            "resident_bytes", "processor_share", "sent_bytes_per_second"))
        if memory is not None:
            entries = sorted(entry[what] for entry in config["slopes"] if entry["varies"] == what)
            proxies = next(entry["proxies"] for entry in config["slopes"] if entry["varies"] == what)
            rows.append((f"slope of {what}", "config", f"{proxies} real proxies, {entries[0]:,} to {entries[-1]:,}: "
                         f"{memory:.0f} B of memory, {core * 1e6:.2f} us/s, {rate:.2f} B/s sent for each, per process"))
    if config.get("caller_connections"):
        rows.append(("caller side", "config",
                     f"{config['caller_connections']['bytes_per_connection']:.0f} B for an idle connection"))
    return rows


def member_measures(measured):
    members = figures(measured, "members")
    rows = []
    for entry in members["sizes"] if members else []:
        parts = []
        for kind in ("killed", "paused"):
            first, dead = entry[kind]["suspected_seconds"], entry[kind]["dead_seconds"]
            parts.append(f"{kind}: suspected p50 {seconds(first['p50'])}, max {seconds(first['max'])}; dead max "
                         f"{seconds(dead['max'])}, noticed by {dead['count']} of {dead['observers']}")
        rows.append((f"{entry['proxies']} real proxies", "members", "; ".join(parts) +
                     f"; {entry['false_suspicions']} false suspicions in {entry['idle_seconds']:.0f} s idle, "
                     f"{entry['suspicions_of_others_during_faults']} during the faults; member again after a pause in "
                     + ", ".join(seconds(value) for value in entry["paused_until_member_again_seconds"])))
    return rows


def seconds(value):
    return "-" if value is None else f"{value:.2f} s"


def source_row(measured, role, name, text):
    record = measured[name]
    load = record.get("machine_before")
    machine_load = f"{load['load_average'][0]:.0f} on {load['cores']} cores" if load else "not noted"
    return [role, text, f"`{record['command']}`", machine_load]
