"""What the steps of the demo share: processes, proxies, the example of Windhoek, checks and callers."""
import csv
import time

from caller import Caller
from loopback import ROOT, Processes, Proxy, operate, standin

SAMPLE = ROOT / "samples" / "windhoek"
DOMAINS = ("katutura-hall", "klein-hall", "lafrenz-hall")
FIRST_TARGET_PORT = 21001  # as in the sample
TARGETS = 30
LOCATE_LIFETIME_MS = 2000  # a proxy that drains waits so long


class Surprise(Exception):
    """A check that failed."""


class Demo:
    """What the steps share."""

    def __init__(self, folder, base):
        self.folder = folder
        self.began = time.monotonic()
        self.checks = 0
        self.processes = Processes(folder)
        self.key_file = folder / "key"
        self.log, self.vm_list = base, base + 1
        self.proxies = [Proxy(f"vm-{index + 1}", domain, range(base + 2 + 3 * index, base + 5 + 3 * index),
                              self.key_file) for index, domain in enumerate(DOMAINS)]
        self.secrets = {row["account"]: row["secret"] for row in read_sample("accounts")}
        self.targets = {}  # ports by service and target
        for row in read_sample("targets"):
            self.targets.setdefault(row["service"], {})[row["target"]] = int(row["port"])

    def say(self, text):
        print(f"{time.monotonic() - self.began:5.1f} s  {text}", flush=True)

    def check(self, what, holds, detail=""):
        """Ends the run unless the check holds."""
        if not holds:
            raise Surprise(f"{what}: {detail}" if detail != "" else what)
        self.checks += 1

    def caller(self, account, seed=1):
        return Caller(account, self.secrets[account], [proxy.caller for proxy in self.proxies], seed)

    def operate(self, *words, expect=0):
        """Runs an operator's command, checks how it ends, and returns its output."""
        status, output = operate(self.proxies, *words)
        self.check(f"mulberryplank {' '.join(str(word) for word in words)} ends with {expect}", status == expect,
                   f"{status}, {output}")
        return output

    def last_line(self, output):
        return output.splitlines()[-1] if output else ""

    def weights(self, proxy, account, service):
        """Returns an account's weight as a proxy's table and its queue have it."""
        table = proxy.ask("/-/table")[1].decode()
        rows = csv.DictReader(table.splitlines())
        in_table = [row["weight"] for row in rows if row["account"] == account and row["service"] == service]
        carried = [entry for entry in proxy.status()["services"] if entry["service"] == service]
        in_queue = [entry["weight"] for each in carried for entry in each["accounts"] if entry["account"] == account]
        return [float(weight) for weight in in_table + in_queue]

    def start_proxy(self, proxy):
        seeds = [other.peer for other in self.proxies]
        self.processes.start(proxy.vm, proxy.command(self.log, self.vm_list, seeds,
                                                     locate_lifetime_ms=LOCATE_LIFETIME_MS))


def read_sample(name):
    with open(SAMPLE / f"{name}.csv", newline="", encoding="utf-8") as file:
        return list(csv.DictReader(file))


def read_answer(caller, name, service):
    """Sends a read and returns what is wrong with its answer, or an empty text."""
    answer = caller.repeating("GET", service, f"/items?name={name}")
    if answer.status != 200:
        return f"read {name}: {answer.status} {answer.body!r}"
    body = answer.json()
    wrong = body["path"] != f"/items?name={name}" or body["account"] != caller.account
    return f"read {name}: another request's answer {body}" if wrong else ""


def runs(demo, service, operation):
    """Returns how often the service's targets began to run an operation."""
    return sum(standin(port, "/-/runs").get(operation, 0) for port in demo.targets[service].values())


def alive(proxy):
    return {member["vm"] for member in proxy.status()["members"] if member["status"] == "alive" and member["ready"]}
