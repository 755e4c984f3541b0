"""Utilities for the steps of the demo: processes, proxies, the Windhoek sample, checks and callers."""
import csv
import time

from caller import Caller
from loopback import ROOT, Processes, Proxy, control_standin, operate

SAMPLE = ROOT / "samples" / "windhoek"
DOMAINS = ("katutura-hall", "klein-hall", "lafrenz-hall")
FIRST_TARGET_PORT = 21001  # the same as in the sample
TARGETS = 30
LOCATE_LIFETIME_MS = 2000  # a draining proxy waits for this time


class CheckFailed(Exception):
    """Raised when a check fails."""


class Demo:
    """The state that the steps share."""

    def __init__(self, folder, base):
        self.folder = folder
        self.started_at = time.monotonic()
        self.checks = 0
        self.processes = Processes(folder)
        self.key_file = folder / "key"
        self.log, self.vm_list = base, base + 1
        self.proxies = [Proxy(f"vm-{index + 1}", domain, range(base + 2 + 3 * index, base + 5 + 3 * index),
                              self.key_file) for index, domain in enumerate(DOMAINS)]
        self.secrets = {row["account"]: row["secret"] for row in read_sample("accounts")}
        self.targets = {}  # port by service and target
        for row in read_sample("targets"):
            self.targets.setdefault(row["service"], {})[row["target"]] = int(row["port"])

    def report(self, text):
        print(f"{time.monotonic() - self.started_at:5.1f} s  {text}", flush=True)

    def check(self, what, condition, detail=""):
        """Counts a passed check. Raises CheckFailed, which ends the run, if the condition is false."""
        if not condition:
            raise CheckFailed(f"{what}: {detail}" if detail != "" else what)
        self.checks += 1

    def caller(self, account, seed=1):
        return Caller(account, self.secrets[account], [proxy.caller for proxy in self.proxies], seed)

    def run_command(self, *arguments, expect=0):
        """Runs an operator's command, checks its exit status, and returns its output."""
        status, output = operate(self.proxies, *arguments)
        self.check(f"mulberryplank {' '.join(str(argument) for argument in arguments)} exits with {expect}",
                   status == expect, f"{status}, {output}")
        return output

    def last_line(self, output):
        return output.splitlines()[-1] if output else ""

    def weights(self, proxy, account, service):
        """Returns an account's weights in the table and in the queue of a proxy."""
        table = proxy.query("/-/table")[1].decode()
        rows = csv.DictReader(table.splitlines())
        in_table = [row["weight"] for row in rows if row["account"] == account and row["service"] == service]
        assigned = [entry for entry in proxy.status()["services"] if entry["service"] == service]
        in_queue = [entry["weight"] for each in assigned for entry in each["accounts"] if entry["account"] == account]
        return [float(weight) for weight in in_table + in_queue]

    def start_proxy(self, proxy):
        seeds = [other.peer for other in self.proxies]
        self.processes.start(proxy.vm, proxy.command(self.log, self.vm_list, seeds,
                                                     locate_lifetime_ms=LOCATE_LIFETIME_MS))


def read_sample(name):
    with open(SAMPLE / f"{name}.csv", newline="", encoding="utf-8") as file:
        return list(csv.DictReader(file))


def check_read(caller, name, service):
    """Sends a read and returns what is wrong with the response, or an empty string."""
    response = caller.request_with_retries("GET", service, f"/items?name={name}")
    if response.status != 200:
        return f"read {name}: {response.status} {response.body!r}"
    body = response.json()
    wrong = body["path"] != f"/items?name={name}" or body["account"] != caller.account
    return f"read {name}: response of another request {body}" if wrong else ""


def count_runs(demo, service, operation):
    """Returns how often the service's targets started an operation."""
    return sum(control_standin(port, "/-/runs").get(operation, 0) for port in demo.targets[service].values())


def alive_vms(proxy):
    return {member["vm"] for member in proxy.status()["members"] if member["status"] == "alive" and member["ready"]}
