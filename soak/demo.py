"""Demonstrates gateways on one machine: soak/demo.py PROGRAM PORT. Started by scripts/demo.

Each step prints its result with the measured figure. The first failed check ends the demo with status 1.
"""

import http.client
import signal
import sys
import tempfile
import threading
import time
import uuid

from fleet import (HOST, LOOPBACK, Gateway, Store, Target, account, configure, path, send_heartbeats,
                   unsafe_and_safe_paths)

GATEWAYS = 3
TARGETS = 4  # per service; there are two services
SERVICE_SECONDS = 0.02  # seconds that a target needs for a request
CALLERS = 6
READ_INTERVAL = 0.02  # seconds between two requests of a caller
WAIT_TIMEOUT = 15  # seconds, after which a wait fails
APPLY_TIMEOUT = 3.0  # seconds within which an edit must be in force
HANG_SECONDS = 6.0
MAX_LOST_SHARE = 0.05  # of the reads while a target hangs; without ejection it would get a fourth of them
STORE_OUTAGE_SECONDS = 4.0
KEY = "key-of-press"  # of most requests
FARM_KEYS = ["key-of-farm-1", "key-of-farm-2"]
FARM_RATE, FARM_BURST = 5, 5  # requests per second, and at once
LIMIT_SECONDS = 5
READY_TIMEOUT = 3.0  # seconds within which a restarted gateway must serve


class CheckFailed(Exception):
    """Raised when a check of a step fails."""


def report(text):
    print(f"  {text}", flush=True)


def check(what, condition, detail):
    if not condition:
        raise CheckFailed(f"{what}: {detail}")


def wait_for(what, condition, seconds=WAIT_TIMEOUT):
    """Waits until condition() is true. Returns the elapsed seconds."""
    started_at = time.monotonic()
    while not condition():
        check(what, time.monotonic() - started_at < seconds, f"not within {seconds} s")
        time.sleep(0.01)
    return time.monotonic() - started_at


def send(gateway, method, target, body=b"", deadline_ms=3000, key=KEY):
    """Returns the status, 0 when there was no response, and the attempt's id."""
    attempt = uuid.uuid4().hex
    connection = http.client.HTTPConnection(LOOPBACK, gateway.listen_port, timeout=6)
    try:
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms),
                   "Authorization": f"Token {key}"}
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        response.read()
        return response.status, attempt
    except (OSError, http.client.HTTPException):
        return 0, attempt
    finally:
        connection.close()


class Reads:
    """Callers that send reads through the gateways round-robin until the end of the context."""

    def __init__(self, gateways):
        self.statuses = []
        self.gateways = gateways
        self.ended = False
        self.threads = [threading.Thread(target=self.call, args=(number,)) for number in range(CALLERS)]

    def call(self, number):
        while not self.ended:
            gateway = self.gateways[number % len(self.gateways)]
            self.statuses.append(send(gateway, "GET", "/any/x")[0])
            number += 1
            time.sleep(READ_INTERVAL)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ended = True
        for thread in self.threads:
            thread.join()

    def lost(self):
        return sum(1 for status in self.statuses if status != 200)


class Demo:
    def __init__(self, program, port, folder):
        self.store = Store()
        self.ended = False
        self.version = 0
        self.farm_keys = list(FARM_KEYS)
        self.targets = [Target(self.store, service, number, SERVICE_SECONDS) for service in ("a", "b")
                        for number in range(TARGETS)]
        self.gateways = [Gateway(program, self.store, port, number, folder) for number in range(GATEWAYS)]

    def targets_of(self, service):
        return [target for target in self.targets if target.service == service]

    def configure(self, service, extra=()):
        self.version += 1
        accounts = [account("press", [KEY]), account("farm", self.farm_keys, FARM_RATE, FARM_BURST)]
        configure(self.store, self.version, ("a", "b"), unsafe_and_safe_paths(service) + list(extra), accounts)

    def start(self):
        """All processes start at the same time and discover each other through the store."""
        for gateway in self.gateways:
            gateway.start()
        threading.Thread(target=send_heartbeats, args=(self,), daemon=True).start()
        self.configure("a")
        for gateway in self.gateways:
            wait_for("a gateway is ready", gateway.is_ready)
        wait_for("requests are served", lambda: all(send(each, "GET", "/any/x")[0] == 200 for each in self.gateways))
        report(f"{GATEWAYS} gateways are ready and serve requests, with {len(self.targets)} targets")

    def edit(self):
        """An operator adds a route, which takes effect on every gateway."""
        self.configure("a", [path("/new/", "safe", "b", 3000, 500)])
        seconds = wait_for("an edit is in force everywhere", lambda: all(
            send(each, "GET", "/new/x")[0] == 200 for each in self.gateways), APPLY_TIMEOUT)
        report(f"a new route is in force on all gateways after {seconds * 1000:.0f} ms")

    def hang(self):
        """A target accepts requests but sends no response; the other targets serve them instead."""
        faulty = self.targets_of("a")[0]
        before = sum(faulty.runs.values())
        faulty.fault = "hang"
        with Reads(self.gateways) as reads:
            time.sleep(HANG_SECONDS)
        faulty.fault = None
        total, lost, sent = len(reads.statuses), reads.lost(), sum(faulty.runs.values()) - before
        check("reads survive a target that hangs", lost <= MAX_LOST_SHARE * total, f"{lost} of {total} lost")
        report(f"one of {TARGETS} targets hangs: {total - lost} of {total} reads served, {sent} of them tried on it")

    def at_most_once(self):
        """A target runs bookings and loses the responses; none runs twice, and none is rejected as not run."""
        faulty = self.targets_of("a")[1]
        faulty.fault = "lose"
        sent = [send(self.gateways[number % GATEWAYS], "POST", "/once/x", b"booking") for number in range(60)]
        faulty.fault = None
        runs = {attempt: sum(target.runs[attempt] for target in self.targets) for _, attempt in sent}
        check("a booking runs at most once", max(runs.values()) <= 1, f"{max(runs.values())} times")
        false_rejections = [attempt for status, attempt in sent if status in (408, 421, 429, 503) and runs[attempt] > 0]
        check("a rejected booking did not run", not false_rejections,
              f"{len(false_rejections)} bookings ran that were rejected as not run")
        served = sum(1 for status, _ in sent if status == 200)
        report(f"a target loses the responses to bookings: {served} of {len(sent)} succeeded, none ran twice")

    def limit(self):
        """An account sends four times its limit to all gateways; the fleet as a whole serves its limit."""
        statuses, until, number = [], time.monotonic() + LIMIT_SECONDS, 0
        while time.monotonic() < until:
            statuses.append(send(self.gateways[number % GATEWAYS], "GET", "/any/x", key=FARM_KEYS[0])[0])
            number += 1
            time.sleep(1 / FARM_RATE / 4)
        served, refused = statuses.count(200), statuses.count(429)
        allowed = FARM_RATE * LIMIT_SECONDS + FARM_BURST
        check("an account gets no more than its limit", served <= allowed, f"{served} of {allowed} allowed")
        check("an account gets its limit", served >= allowed / 2, f"{served} of {allowed} allowed")
        check("the rest is refused as not run", served + refused == len(statuses), f"{statuses}")
        report(f"{served} of {len(statuses)} requests served in {LIMIT_SECONDS} s, {allowed} are allowed; "
               f"{refused} got 429")

    def withdraw(self):
        """An operator withdraws a key, which no gateway accepts from then on."""
        withdrawn = self.farm_keys.pop()
        self.configure("a")
        seconds = wait_for("a withdrawn key is refused everywhere", lambda: all(
            send(each, "GET", "/any/x", key=withdrawn)[0] == 401 for each in self.gateways), APPLY_TIMEOUT)
        report(f"a withdrawn key gets 401 on all gateways after {seconds * 1000:.0f} ms")

    def store_outage(self):
        """The platform's store rejects all requests; callers are not affected."""
        self.store.fault = "refuse"
        with Reads(self.gateways) as reads:
            time.sleep(STORE_OUTAGE_SECONDS)
        self.store.fault = None
        total, lost = len(reads.statuses), reads.lost()
        check("reads survive an outage of the store", lost <= MAX_LOST_SHARE * total, f"{lost} of {total} lost")
        report(f"the store is unavailable for {STORE_OUTAGE_SECONDS:.0f} s: {total - lost} of {total} reads served")

    def kill(self):
        """A gateway is killed; the other gateways serve, and it serves again soon after its restart."""
        killed, others = self.gateways[0], self.gateways[1:]
        killed.signal(signal.SIGKILL)
        killed.process.wait()
        with Reads(others) as reads:
            time.sleep(1)
        check("the other gateways continue to serve", reads.lost() <= MAX_LOST_SHARE * len(reads.statuses),
              f"{reads.lost()} lost")
        killed.restart()
        seconds = wait_for("it serves again", lambda: send(killed, "GET", "/any/x")[0] == 200, READY_TIMEOUT)
        report(f"a gateway is killed: the others serve {len(reads.statuses) - reads.lost()} of {len(reads.statuses)} "
               f"reads; it serves {seconds * 1000:.0f} ms after its restart")

    def run(self):
        try:
            for step in (self.start, self.edit, self.hang, self.at_most_once, self.limit, self.withdraw,
                         self.store_outage, self.kill):
                print(step.__doc__, flush=True)
                step()
        finally:
            self.ended = True
            for gateway in self.gateways:
                if gateway.process:
                    gateway.stop()


def main():
    with tempfile.TemporaryDirectory() as folder:
        try:
            Demo(sys.argv[1], int(sys.argv[2]), folder).run()
        except CheckFailed as failure:
            print(f"FAILED: {failure}")
            return 1
    print("all steps passed")
    return 0


sys.exit(main())
