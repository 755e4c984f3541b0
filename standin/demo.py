"""Demonstrates the complete request path with the Windhoek sample: stand-ins for the platform and for 30 targets, three
proxies in three failure domains, operators and callers. Each step checks its results. The first failed check ends the
run with status 1. Started by scripts/demo-proxies."""
import os
import pathlib
import signal
import sys
import tempfile
import time
import traceback

import demofaults
from caller import Caller
from demorun import DOMAINS, FIRST_TARGET_PORT, SAMPLE, TARGETS, CheckFailed, Demo, alive_vms, check_read, count_runs
from loopback import STANDIN, address, busy_ports, call, control_standin, listens, wait_for

DEFAULT_PORT_BASE = 31000
SERVICE_MS = 5
DOWNLOAD_BYTES = 5_000_000
READ_INTERVAL_SECONDS = 0.02  # 50 reads per second; the table allows 200 and 150
LOG_CHARACTERS = 1500  # of each process's log, printed after a failed check


def start_platform(demo):
    """Starts the log, the VM list and the targets."""
    target_ports = range(FIRST_TARGET_PORT, FIRST_TARGET_PORT + TARGETS)
    proxy_ports = [port for proxy in demo.proxies for port in (proxy.caller, proxy.admin, proxy.peer)]
    busy = busy_ports([demo.log, demo.vm_list, *proxy_ports, *target_ports])
    demo.check("ports are free", not busy, f"in use: {busy}; DEMO_PORT_BASE changes the ports of the proxies")
    processes = demo.processes
    processes.start("log", [STANDIN, "log", "--listen", address(demo.log)])
    processes.start("vms", [STANDIN, "vms", "--listen", address(demo.vm_list)])
    processes.start("targets", [STANDIN, "target", "--listen", address(FIRST_TARGET_PORT), "--count", TARGETS,
                                "--service-ms", SERVICE_MS, "--threads", 2])
    for name, last in (("log", demo.log), ("vms", demo.vm_list), ("targets", target_ports[-1])):
        wait_for(f"{name} accepts connections", lambda port=last: listens(port))
    vms = [{"vm": proxy.vm, "address": "127.0.0.1", "failure_domain": proxy.failure_domain, "state": "live"}
           for proxy in demo.proxies]
    control_standin(demo.vm_list, "/-/vms", {"vms": vms})
    demo.report(f"log, VM list and {TARGETS} targets are running")


def start_proxies(demo):
    """Starts the three proxies, which discover each other."""
    demo.key_file.write_text("key-of-the-demo-only-" + "0" * 32 + "\n", encoding="utf-8")
    for proxy in demo.proxies:
        demo.start_proxy(proxy)
    for proxy in demo.proxies:
        wait_for(f"{proxy.vm} is ready", proxy.ready)
    names = {proxy.vm for proxy in demo.proxies}
    for proxy in demo.proxies:
        wait_for(f"{proxy.vm} has all three proxies as members", lambda proxy=proxy: alive_vms(proxy) == names)
    output = demo.run_command("members")
    demo.check("members shows three proxies alive", output.count(" alive ") == 3, output)
    demo.report("three proxies are ready and have discovered each other:")
    print("\n".join(f"           {line}" for line in output.splitlines()))


def load_sample(demo):
    """Imports the configuration of the fleet, as operators do."""
    everywhere = f"in force in {len(DOMAINS)} of {len(DOMAINS)} proxies"
    services = ("services", "import", SAMPLE / "services.csv", "--routes", SAMPLE / "routes.csv")
    for arguments in (("accounts", "import", SAMPLE / "accounts.csv"), services,
                  ("targets", "import", SAMPLE / "targets.csv"), ("table", "import", SAMPLE / "table.csv")):
        output = demo.run_command(*arguments)
        demo.check(f"{arguments[0]} are in force everywhere", everywhere in output, output)
        demo.report(f"{arguments[0]} import: {demo.last_line(output)}")
    stale = demo.folder / "stale.csv"
    stale.write_text((SAMPLE / "table.csv").read_text(encoding="utf-8").replace(",4,", ",7,", 1), encoding="utf-8")
    output = demo.run_command("table", "import", stale, expect=1)
    demo.check("an edit of an old version is rejected as a conflict", "conflict" in output, output)
    exported = demo.folder / "exported.csv"
    demo.run_command("table", "export", "--output", exported)
    output = demo.run_command("table", "import", exported)
    demo.check("an import of the exported table changes nothing", "nothing differs" in output, output)
    bad = demo.folder / "bad.csv"
    bad.write_text(exported.read_text(encoding="utf-8").replace(",4,", ",many,", 1), encoding="utf-8")
    output = demo.run_command("table", "import", bad, expect=2)
    demo.check("an invalid weight is rejected with row and column", "weight" in output and "many" in output, output)
    demo.report(f"an invalid weight is rejected: {demo.last_line(output)}")


def book(demo, account):
    """Sends a booking and repeats it with the same key through each proxy. It runs only once."""
    caller = demo.caller(account)
    name = f"print-run-of-{account}"
    body = f'{{"operation_id":"{name}"}}'
    headers = {"Idempotency-Key": f"{caller.location('pressdesk').token}/{name}", "Content-Type": "application/json"}
    first = caller.request("POST", "pressdesk", "/bookings", body, headers)
    demo.check(f"a booking of {account} succeeds", first.status == 200, f"{first.status} {first.body!r}")
    for proxy in demo.proxies:
        repeat = caller.send_to_any([proxy.caller], "POST", "/pressdesk/bookings", body, headers)
        demo.check(f"its repeat through {proxy.vm} gets the same response", repeat.body == first.body,
                   f"{repeat.status} {repeat.body!r} instead of {first.body!r}")
        demo.check("the repeat is marked as replayed", repeat.headers["X-Replayed"] == "1", str(repeat.headers))
    other = caller.send_to_any([demo.proxies[0].caller], "POST", "/pressdesk/bookings", '{"other":1}', headers)
    demo.check("another booking with the same key is rejected", other.status == 422, f"{other.status} {other.body!r}")
    count = count_runs(demo, "pressdesk", name)
    demo.check("the booking ran once", count == 1, f"{count} times")
    demo.report(f"{account}: a booking and its repeats through all proxies ran once, according to the targets' counts")
    caller.close()


def download(demo, account):
    """Downloads a proof through the fleet and directly from a target, and compares them."""
    caller = demo.caller(account)
    path = f"/download/{DOWNLOAD_BYTES}"
    proof = caller.request("GET", "proofroom", path)
    port = next(iter(demo.targets["proofroom"].values()))
    original = call(port, "GET", path)[2]
    demo.check("the proof is complete", len(original) == DOWNLOAD_BYTES and proof.body == original,
               f"{proof.status}, {len(proof.body)} bytes")
    demo.report(f"{account}: a proof of {DOWNLOAD_BYTES} bytes is identical to the original")
    caller.close()


def make_calls(demo):
    """Sends requests as two accounts, and one with a wrong secret."""
    for account in ("town-shops", "coast-clinics"):
        caller = demo.caller(account)
        found = caller.location("addressbook").addresses
        domains = {entry["failure_domain"] for entry in found}
        demo.check("locate returns a proxy in each failure domain", domains == set(DOMAINS), found)
        for number in range(30):
            time.sleep(READ_INTERVAL_SECONDS)
            problem = check_read(caller, str(number), "addressbook")
            demo.check("a read succeeds", not problem, problem)
            demo.check("a read far below the table's limits is not rejected", not caller.rejections, caller.rejections)
        caller.close()
        demo.report(f"{account}: 30 reads succeeded, each with its own response")
        book(demo, account)
    download(demo, "town-shops")
    wrong = Caller("town-shops", demo.secrets["coast-clinics"], [demo.proxies[0].caller])
    rejected = wrong.send_to_any(wrong.ports, "GET", "/addressbook/items")
    demo.check("a wrong secret is rejected", rejected.status == 401, f"{rejected.status} {rejected.body!r}")
    wrong.close()
    demo.report(f"a wrong secret is rejected: {rejected.status} {rejected.json()['error']}")


def edit_weight(demo):
    """Changes a weight. When the command exits, the weight is in force on all proxies."""
    output = demo.run_command("table", "set", "town-shops", "addressbook", "weight=5", "--wait", 5000)
    for proxy in demo.proxies:
        found = demo.weights(proxy, "town-shops", "addressbook")
        demo.check(f"{proxy.vm} has weight 5 in table and queue", found == [5, 5], found)
    demo.report(f"weight of town-shops at addressbook 4 -> 5: {demo.last_line(output)}; in force on all three proxies")


def stop_all(demo):
    """Stops all processes. A proxy exits with 0 only if it aborted no request."""
    failed = demo.processes.stop([proxy.vm for proxy in demo.proxies]) + demo.processes.stop()
    demo.check("all processes exit with 0", not failed, "; ".join(failed))
    demo.report("all processes exited with 0")


STEPS = (start_platform, start_proxies, load_sample, make_calls, edit_weight, demofaults.inject_gray_failures,
         demofaults.start_log_outage, demofaults.end_log_outage, stop_all)


def run(folder):
    base = int(os.environ.get("DEMO_PORT_BASE", DEFAULT_PORT_BASE))
    demo = Demo(folder, base)
    try:
        for step in STEPS:
            step(demo)
    except (Exception, KeyboardInterrupt, SystemExit) as problem:
        demo.processes.stop([proxy.vm for proxy in demo.proxies])
        for name, text in demo.processes.logs(LOG_CHARACTERS).items():
            print(f"-- end of the log of {name}:\n{text}", file=sys.stderr)
        demo.processes.stop()
        if not isinstance(problem, (CheckFailed, TimeoutError)):
            traceback.print_exception(problem)
        print(f"demo: FAILED after {demo.checks} checks, in {step.__name__}: {problem}", file=sys.stderr)
        return 1
    demo.report(f"demo: all {demo.checks} checks passed")
    return 0


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("terminated"))
    log_folder = os.environ.get("DEMO_FOLDER")
    if log_folder:
        pathlib.Path(log_folder).mkdir(parents=True, exist_ok=True)
        return run(pathlib.Path(log_folder))
    with tempfile.TemporaryDirectory(prefix="mulberryplank-demo-") as name:
        return run(pathlib.Path(name))


if __name__ == "__main__":
    sys.exit(main())
