"""Shows gateways at work on one machine: soak/demo.py PROGRAM PORT. Started by scripts/demo.

Each step prints what it shows, with the figure, and ends the demo with 1 if that doesn't hold.
"""

import http.client
import signal
import sys
import tempfile
import threading
import time
import uuid

from fleet import HOST, LOOPBACK, Gateway, Store, Target, beat, configure, once_and_any, path

GATEWAYS = 3
TARGETS = 4  # of each of two services
WORK = 0.02  # seconds that a target takes for a request
CALLERS = 6
PAUSE = 0.02  # seconds between two requests of a caller
WAIT = 15  # seconds, after which what is waited for counts as not happening
APPLY_SECONDS = 3.0  # until an edit has to be in force
HANG_SECONDS = 6.0
MOST_LOST_SHARE = 0.05  # of the reads while a target hangs; a fourth of them would go there
STORE_AWAY_SECONDS = 4.0
READY_SECONDS = 3.0  # until a killed gateway has to serve again


class Surprise(Exception):
    """What a step was to show doesn't hold."""


def say(text):
    print(f"  {text}", flush=True)


def check(what, holds, seen):
    if not holds:
        raise Surprise(f"{what}: {seen}")


def wait_for(what, holds, seconds=WAIT):
    """Returns the seconds that it took."""
    begun = time.monotonic()
    while not holds():
        check(what, time.monotonic() - begun < seconds, f"not within {seconds} s")
        time.sleep(0.01)
    return time.monotonic() - begun


def send(gateway, method, target, body=b"", deadline_ms=3000):
    """Returns the status and the attempt's id; 0 when there was no answer."""
    attempt = uuid.uuid4().hex
    connection = http.client.HTTPConnection(LOOPBACK, gateway.front, timeout=6)
    try:
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms)}
        connection.request(method, target, body, headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status, attempt
    except (OSError, http.client.HTTPException):
        return 0, attempt
    finally:
        connection.close()


class Reads:
    """Callers that read through all gateways in turn until they are stopped."""

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
            time.sleep(PAUSE)

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
        self.targets = [Target(self.store, service, number, WORK) for service in ("a", "b") for number in range(TARGETS)]
        self.gateways = [Gateway(program, self.store, port, number, folder) for number in range(GATEWAYS)]

    def of(self, service):
        return [target for target in self.targets if target.service == service]

    def configure(self, service, extra=()):
        self.version += 1
        configure(self.store, self.version, ("a", "b"), once_and_any(service) + list(extra))

    def start(self):
        """All processes start at the same time and find each other through the store."""
        for gateway in self.gateways:
            gateway.start()
        threading.Thread(target=beat, args=(self,), daemon=True).start()
        self.configure("a")
        for gateway in self.gateways:
            wait_for("a gateway is ready", gateway.is_ready)
        wait_for("requests are served", lambda: all(send(each, "GET", "/any/x")[0] == 200 for each in self.gateways))
        say(f"{GATEWAYS} gateways are ready and serve, before {len(self.targets)} targets")

    def edit(self):
        """An operator adds a route; it is in force on every gateway."""
        self.configure("a", [path("/new/", "safe", "b", 3000, 500)])
        seconds = wait_for("an edit is in force everywhere", lambda: all(
            send(each, "GET", "/new/x")[0] == 200 for each in self.gateways), APPLY_SECONDS)
        say(f"a new route is in force on all gateways after {seconds * 1000:.0f} ms")

    def hang(self):
        """A target takes requests and answers none; the others get them instead."""
        sick = self.of("a")[0]
        before = sum(sick.runs.values())
        sick.fault = "hang"
        with Reads(self.gateways) as reads:
            time.sleep(HANG_SECONDS)
        sick.fault = None
        total, lost, sent = len(reads.statuses), reads.lost(), sum(sick.runs.values()) - before
        check("reads survive a target that hangs", lost <= MOST_LOST_SHARE * total, f"{lost} of {total} lost")
        say(f"one of {TARGETS} targets hangs: {total - lost} of {total} reads served, {sent} of them tried there")

    def once(self):
        """A target runs bookings and loses the answers; no booking runs twice, and none is said not to have run."""
        sick = self.of("a")[1]
        sick.fault = "lose"
        sent = [send(self.gateways[number % GATEWAYS], "POST", "/once/x", b"booking") for number in range(60)]
        sick.fault = None
        runs = {attempt: sum(target.runs[attempt] for target in self.targets) for _, attempt in sent}
        check("a booking runs once at most", max(runs.values()) <= 1, f"{max(runs.values())} times")
        untrue = [attempt for status, attempt in sent if status in (408, 421, 429, 503) and runs[attempt] > 0]
        check("a refusal is true", not untrue, f"{len(untrue)} bookings ran that were refused as not run")
        served = sum(1 for status, _ in sent if status == 200)
        say(f"a target loses the answers to bookings: {served} of {len(sent)} answered, none ran twice")

    def store_away(self):
        """The platform's store refuses everything; callers notice nothing."""
        self.store.fault = "refuse"
        with Reads(self.gateways) as reads:
            time.sleep(STORE_AWAY_SECONDS)
        self.store.fault = None
        total, lost = len(reads.statuses), reads.lost()
        check("reads survive an outage of the store", lost <= MOST_LOST_SHARE * total, f"{lost} of {total} lost")
        say(f"the store is away for {STORE_AWAY_SECONDS:.0f} s: {total - lost} of {total} reads served")

    def kill(self):
        """A gateway is killed; the others serve, and it is back soon after its restart."""
        killed, others = self.gateways[0], self.gateways[1:]
        killed.signal(signal.SIGKILL)
        killed.process.wait()
        with Reads(others) as reads:
            time.sleep(1)
        check("the others serve on", reads.lost() <= MOST_LOST_SHARE * len(reads.statuses), f"{reads.lost()} lost")
        killed.restart()
        seconds = wait_for("it serves again", lambda: send(killed, "GET", "/any/x")[0] == 200, READY_SECONDS)
        say(f"a gateway is killed: the others serve {len(reads.statuses) - reads.lost()} of {len(reads.statuses)} reads; "
            f"it serves {seconds * 1000:.0f} ms after its restart")

    def run(self):
        try:
            for step in (self.start, self.edit, self.hang, self.once, self.store_away, self.kill):
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
        except Surprise as surprise:
            print(f"FAILED: {surprise}")
            return 1
    print("all steps held")
    return 0


sys.exit(main())
