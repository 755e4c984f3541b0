"""A randomized soak of real gateway processes: soak/run.py PROGRAM SEED SECONDS [FOLDER]

Faults come in series and overlap, chosen by the seed. Checked from what callers and targets see: a request that runs
once runs at most once; one that was refused as not run did not run; an answer belongs to its request and is whole; a
target that leaves gets no work three seconds later; a change of routes is in force and stays; gateways serve again after
the faults. Ends with 1 and what was seen when one of these is broken, and keeps the gateways' logs.
"""

import collections
import datetime
import http.client
import os
import random
import signal
import sys
import tempfile
import threading
import time
import uuid

from fleet import HOST, LOOPBACK, Gateway, Store, Target, beat, configure, once_and_any
from link import FAULTS

GATEWAYS = 4
CALLERS = 8
PROMISES = (503, 429, 408, 421)  # answers that say that the request did not run
SERVED_AT_LEAST = 0.5  # of the requests after the faults


class Soak:
    def __init__(self, program, seed, seconds, folder):
        self.random = random.Random(seed)
        # Below the system's own ports, and apart from soaks with other seeds that run beside this one.
        first_port = 12_000 + seed % 500 * 40
        self.seconds, self.folder = seconds, folder
        self.store = Store()
        self.lock = threading.Lock()
        self.refused = set()  # ids of requests that were answered "not run"
        self.once = set()  # ids of requests that may run once
        self.broken = []
        self.statuses = collections.Counter()
        self.after = collections.Counter()  # statuses after the faults
        self.faults_over = False
        self.ended = False
        self.version = 0
        self.targets = [Target(self.store, service, number, 0.02) for service in ("a", "b") for number in range(4)]
        self.gone = []
        self.gateways = [Gateway(program, self.store, first_port, number, folder) for number in range(GATEWAYS)]
        self.configure("a")

    def configure(self, service):
        """Writes a configuration that sends the host's requests to a service."""
        self.version += self.random.randint(1, 4)
        configure(self.store, self.version, ("a", "b"), once_and_any(service))

    def note(self, text):
        with self.lock:
            self.broken.append(text)

    def request(self, connection, chooser):
        once = chooser.random() < 0.6
        attempt = uuid.UUID(int=chooser.getrandbits(128)).hex
        target = "/once/x" if once else "/any/x"
        body = b"b" * chooser.randint(0, 3000) if once else b""
        if once:
            with self.lock:
                self.once.add(attempt)
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "3000"}
        connection.request("POST" if once else "GET", target, body, headers)
        answer = connection.getresponse()
        text = answer.read()
        with self.lock:
            (self.after if self.faults_over else self.statuses)[answer.status] += 1
            if answer.status in PROMISES:
                self.refused.add(attempt)
        if answer.status == 200 and text != f"{attempt} {target} ".encode() + body:
            self.note(f"answer to {attempt} is another's or not whole: {text[:80]!r}")
        if answer.status == 404:
            self.note(f"{attempt} was answered 404")

    def call(self, seed):
        """One caller: keeps its connection until it fails."""
        chooser = random.Random(seed)
        connection = None
        while not self.ended:
            try:
                if connection is None:
                    gateway = chooser.choice(self.gateways)
                    connection = http.client.HTTPConnection(LOOPBACK, gateway.front, timeout=6)
                self.request(connection, chooser)
            except (OSError, http.client.HTTPException):
                with self.lock:
                    self.statuses["no answer"] += 1
                connection.close()
                connection = None
            time.sleep(chooser.uniform(0, 0.03))

    def record(self, *words):
        """Writes what is done to the system beside the gateways' logs, by the same clock."""
        now = datetime.datetime.now(datetime.timezone.utc)
        with open(os.path.join(self.folder, "soak.log"), "a", encoding="utf-8") as log:
            print(now.isoformat(timespec="milliseconds"), *words, file=log)

    def fault(self):
        """Brings one fault about, and returns its name and what ends it."""
        gateway = self.random.choice(self.gateways)
        target = self.random.choice(self.targets)
        kind = self.random.choice(("kill", "term", "pause", "hup", "store", "store-link", "target", "target",
                                   "target-link", "target-link", "replace", "configure"))
        if kind in ("kill", "term"):
            gateway.signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            return f"{kind} {gateway.name}", lambda: None
        if kind == "pause":
            gateway.signal(signal.SIGSTOP)
            return f"pause {gateway.name}", lambda: gateway.signal(signal.SIGCONT)
        if kind == "hup":
            gateway.signal(signal.SIGHUP)
            return f"hup {gateway.name}", lambda: None
        if kind == "store":
            self.store.fault = self.random.choice(("refuse", "late", "lose"))
            return f"store {self.store.fault}", lambda: setattr(self.store, "fault", None)
        if kind in ("store-link", "target-link"):
            link, name = (gateway.store_link, gateway.name) if kind == "store-link" else (target.link, target.id)
            fault = self.random.choice(FAULTS)
            link.begin(fault)
            return f"{kind} {name} {fault}", link.end
        if kind == "configure":
            self.configure(self.random.choice(("a", "b")))
            return f"configure {self.version}", lambda: None
        if kind == "replace":
            return f"replace {target.id}", self.replace(target)
        target.fault = self.random.choice(("reset", "lose", "shed"))
        return f"target {target.id} {target.fault}", lambda: setattr(target, "fault", None)

    def replace(self, target):
        if target.drained_at or self.store.fault:
            return lambda: None
        self.targets.append(Target(self.store, target.service, len(self.gone) + 10, 0.02))
        target.drain()
        self.targets.remove(target)
        self.gone.append(target)
        return lambda: None

    def disturb(self):
        ends = []
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            for gateway in self.gateways:
                gateway.restart()
            lasts = self.random.uniform(0.2, 2)
            name, end = self.fault()
            self.record("begin", name)
            ends.append((time.monotonic() + lasts, name, end))
            due = [entry for entry in ends if entry[0] <= time.monotonic()]
            for entry in due:
                self.end(entry)
                ends.remove(entry)
            time.sleep(self.random.uniform(0.05, 0.6))
        for entry in ends:
            self.end(entry)

    def end(self, entry):
        _, name, end = entry
        end()
        self.record("end", name)

    def settle(self):
        """Waits until all gateways run, then lets callers call without faults."""
        until = time.monotonic() + 6
        while time.monotonic() < until:
            for gateway in self.gateways:
                gateway.restart()
            time.sleep(0.1)
        self.faults_over = True
        time.sleep(3)

    def check(self):
        runs = collections.Counter()
        for target in self.targets + self.gone:
            runs.update(target.runs)
            if target.late:
                self.note(f"{target.id} got {len(target.late)} requests after its leaving, the first: {target.late[0]}")
        for attempt in self.once:
            if runs[attempt] > 1:
                self.note(f"{attempt} may run once and ran {runs[attempt]} times")
            if attempt in self.refused and runs[attempt] > 0:
                self.note(f"{attempt} was refused as not run and ran")
        total = sum(self.after.values())
        if total == 0 or self.after[200] < SERVED_AT_LEAST * total:
            self.note(f"after the faults: {dict(self.after)}")

    def run(self):
        for gateway in self.gateways:
            gateway.start()
        threads = [threading.Thread(target=self.call, args=(self.random.getrandbits(32),), daemon=True)
                   for _ in range(CALLERS)]
        threads.append(threading.Thread(target=beat, args=(self,), daemon=True))
        time.sleep(1.5)
        for thread in threads:
            thread.start()
        try:
            self.disturb()
            self.settle()
            self.ended = True
            for thread in threads:
                thread.join(8)
            self.check()
        finally:
            self.ended = True
            for gateway in self.gateways:
                gateway.stop()
        return self.broken


def main():
    program, seed, seconds = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    folder = sys.argv[4] if len(sys.argv) > 4 else tempfile.mkdtemp(prefix="mulberryplank-soak-")
    os.makedirs(folder, exist_ok=True)
    soak = Soak(program, seed, seconds, folder)
    broken = soak.run()
    print(f"soak: seed {seed}: {dict(soak.statuses)}, after the faults {dict(soak.after)}, broken {len(broken)}")
    for line in broken[:10]:
        print("  " + line)
    if broken:
        print(f"  logs: {folder}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
