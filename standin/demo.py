"""Shows the whole path with the example of Windhoek: stand-ins for the platform and for 30 targets, three proxies in
three failure domains, operators and callers. Every step checks what it shows; the first surprise ends the run with 1.
Started by scripts/demo-proxies."""
import os
import pathlib
import signal
import sys
import tempfile
import time
import traceback

import demofaults
from caller import Caller
from demorun import DOMAINS, FIRST_TARGET_PORT, SAMPLE, TARGETS, Demo, Surprise, alive, read_answer, runs
from loopback import STANDIN, address, busy_ports, call, listens, standin, wait_for

DEFAULT_PORT_BASE = 31000
SERVICE_MS = 5
DOWNLOAD_BYTES = 5_000_000
READ_PAUSE_SECONDS = 0.02  # 50 reads a second; the table allows 200 and 150
LOG_CHARACTERS = 1500  # of each process's log, shown after a surprise


def start_platform(demo):
    """Starts log, VM list and targets."""
    target_ports = range(FIRST_TARGET_PORT, FIRST_TARGET_PORT + TARGETS)
    proxy_ports = [port for proxy in demo.proxies for port in (proxy.caller, proxy.admin, proxy.peer)]
    busy = busy_ports([demo.log, demo.vm_list, *proxy_ports, *target_ports])
    demo.check("ports are free", not busy, f"in use: {busy}; DEMO_PORT_BASE moves those of the proxies")
    processes = demo.processes
    processes.start("log", [STANDIN, "log", "--listen", address(demo.log)])
    processes.start("vms", [STANDIN, "vms", "--listen", address(demo.vm_list)])
    processes.start("targets", [STANDIN, "target", "--listen", address(FIRST_TARGET_PORT), "--count", TARGETS,
                                "--service-ms", SERVICE_MS, "--threads", 2])
    for name, last in (("log", demo.log), ("vms", demo.vm_list), ("targets", target_ports[-1])):
        wait_for(f"{name} answers", lambda port=last: listens(port))
    vms = [{"vm": proxy.vm, "address": "127.0.0.1", "failure_domain": proxy.failure_domain, "state": "live"}
           for proxy in demo.proxies]
    standin(demo.vm_list, "/-/vms", {"vms": vms})
    demo.say(f"log, VM list and {TARGETS} targets run")


def start_proxies(demo):
    """Starts the three proxies, which find each other."""
    demo.key_file.write_text("key-of-the-demo-only-" + "0" * 32 + "\n", encoding="utf-8")
    for proxy in demo.proxies:
        demo.start_proxy(proxy)
    for proxy in demo.proxies:
        wait_for(f"{proxy.vm} is ready", proxy.ready)
    names = {proxy.vm for proxy in demo.proxies}
    for proxy in demo.proxies:
        wait_for(f"{proxy.vm} knows all three proxies", lambda proxy=proxy: alive(proxy) == names)
    output = demo.operate("members")
    demo.check("members shows three proxies alive", output.count(" alive ") == 3, output)
    demo.say("three proxies are ready and know each other:")
    print("\n".join(f"           {line}" for line in output.splitlines()))


def load_sample(demo):
    """Gives the fleet its configuration, as operators do."""
    everywhere = f"in force in {len(DOMAINS)} of {len(DOMAINS)} proxies"
    services = ("services", "import", SAMPLE / "services.csv", "--routes", SAMPLE / "routes.csv")
    for words in (("accounts", "import", SAMPLE / "accounts.csv"), services,
                  ("targets", "import", SAMPLE / "targets.csv"), ("table", "import", SAMPLE / "table.csv")):
        output = demo.operate(*words)
        demo.check(f"{words[0]} are in force everywhere", everywhere in output, output)
        demo.say(f"{words[0]} import: {demo.last_line(output)}")
    stale = demo.folder / "stale.csv"
    stale.write_text((SAMPLE / "table.csv").read_text(encoding="utf-8").replace(",4,", ",7,", 1), encoding="utf-8")
    output = demo.operate("table", "import", stale, expect=1)
    demo.check("an edit of an old version is refused as a conflict", "conflict" in output, output)
    exported = demo.folder / "exported.csv"
    demo.operate("table", "export", "--output", exported)
    output = demo.operate("table", "import", exported)
    demo.check("a table as exported changes nothing", "nothing differs" in output, output)
    bad = demo.folder / "bad.csv"
    bad.write_text(exported.read_text(encoding="utf-8").replace(",4,", ",many,", 1), encoding="utf-8")
    output = demo.operate("table", "import", bad, expect=2)
    demo.check("a wrong weight is refused with row and column", "weight" in output and "many" in output, output)
    demo.say(f"a wrong weight is refused: {demo.last_line(output)}")


def book(demo, account):
    """Books, and books again under the same key through each proxy: it runs once."""
    caller = demo.caller(account)
    name = f"print-run-of-{account}"
    body = f'{{"operation_id":"{name}"}}'
    headers = {"Idempotency-Key": f"{caller.location('pressdesk').token}/{name}", "Content-Type": "application/json"}
    first = caller.request("POST", "pressdesk", "/bookings", body, headers)
    demo.check(f"a booking of {account} is answered", first.status == 200, f"{first.status} {first.body!r}")
    for proxy in demo.proxies:
        repeat = caller.on_any([proxy.caller], "POST", "/pressdesk/bookings", body, headers)
        demo.check(f"its repeat through {proxy.vm} is answered the same", repeat.body == first.body,
                   f"{repeat.status} {repeat.body!r} instead of {first.body!r}")
        demo.check("the repeat is marked as one", repeat.headers["X-Replayed"] == "1", str(repeat.headers))
    other = caller.on_any([demo.proxies[0].caller], "POST", "/pressdesk/bookings", '{"other":1}', headers)
    demo.check("another booking under the same key is refused", other.status == 422, f"{other.status} {other.body!r}")
    count = runs(demo, "pressdesk", name)
    demo.check("the booking ran once", count == 1, f"{count} times")
    demo.say(f"{account}: a booking and its repeats through all proxies ran once, by the targets' own count")
    caller.close()


def download(demo, account):
    """Fetches a proof through the fleet and from a target, and compares them."""
    caller = demo.caller(account)
    path = f"/download/{DOWNLOAD_BYTES}"
    proof = caller.request("GET", "proofroom", path)
    port = next(iter(demo.targets["proofroom"].values()))
    original = call(port, "GET", path)[2]
    demo.check("the proof is whole", len(original) == DOWNLOAD_BYTES and proof.body == original,
               f"{proof.status}, {len(proof.body)} bytes")
    demo.say(f"{account}: a proof of {DOWNLOAD_BYTES} bytes equals the original byte for byte")
    caller.close()


def make_calls(demo):
    """Calls as two accounts, and with a wrong secret."""
    for account in ("town-shops", "coast-clinics"):
        caller = demo.caller(account)
        found = caller.location("addressbook").addresses
        domains = {entry["failure_domain"] for entry in found}
        demo.check("locate names a proxy in each failure domain", domains == set(DOMAINS), found)
        for number in range(30):
            time.sleep(READ_PAUSE_SECONDS)
            problem = read_answer(caller, str(number), "addressbook")
            demo.check("a read is answered", not problem, problem)
            demo.check("a read far below the table's limits is not refused", not caller.refusals, caller.refusals)
        caller.close()
        demo.say(f"{account}: 30 reads answered, each with its own answer")
        book(demo, account)
    download(demo, "town-shops")
    wrong = Caller("town-shops", demo.secrets["coast-clinics"], [demo.proxies[0].caller])
    refused = wrong.on_any(wrong.ports, "GET", "/addressbook/items")
    demo.check("a wrong secret is refused", refused.status == 401, f"{refused.status} {refused.body!r}")
    wrong.close()
    demo.say(f"a wrong secret is refused: {refused.status} {refused.json()['error']}")


def edit_weight(demo):
    """Changes a weight; once the command ends, it is in force on all proxies."""
    output = demo.operate("table", "set", "town-shops", "addressbook", "weight=5", "--wait", 5000)
    for proxy in demo.proxies:
        found = demo.weights(proxy, "town-shops", "addressbook")
        demo.check(f"{proxy.vm} has weight 5 in table and queue", found == [5, 5], found)
    demo.say(f"weight of town-shops at addressbook 4 -> 5: {demo.last_line(output)}; all three show it")


def stop_all(demo):
    """Ends all processes; proxies end with 0 only if they cut nothing off."""
    failed = demo.processes.stop([proxy.vm for proxy in demo.proxies]) + demo.processes.stop()
    demo.check("all processes end with 0", not failed, "; ".join(failed))
    demo.say("all processes ended with 0")


STEPS = (start_platform, start_proxies, load_sample, make_calls, edit_weight, demofaults.make_gray,
         demofaults.take_log_down, demofaults.bring_log_back, stop_all)


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
        if not isinstance(problem, (Surprise, TimeoutError)):
            traceback.print_exception(problem)
        print(f"demo: FAILED after {demo.checks} checks, in {step.__name__}: {problem}", file=sys.stderr)
        return 1
    demo.say(f"demo: all {demo.checks} checks held")
    return 0


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("terminated"))
    kept = os.environ.get("DEMO_FOLDER")
    if kept:
        pathlib.Path(kept).mkdir(parents=True, exist_ok=True)
        return run(pathlib.Path(kept))
    with tempfile.TemporaryDirectory(prefix="mulberryplank-demo-") as name:
        return run(pathlib.Path(name))


if __name__ == "__main__":
    sys.exit(main())
