"""A target of an installation: it works as long as its kind of request takes, and disturbances spoil what it does."""

import collections
import dataclasses
import random
import threading
import time

from fleet import Handler, Target
from responses import EXTRA_BYTES, FOREIGN_ID, refusal, reset

HEALTH_PATH = "/healthz"
STARTS_AT_HEADER = 0.2  # share of the requests that run before their body has arrived
MUTE_SECONDS = 1.0
MAX_LATE_SECONDS = 0.3  # before an additional response


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """What a target does wrong with a share of its requests."""

    kind: str
    how: frozenset = frozenset()
    share: float = 1.0
    factor: float = 1.0  # by which it takes longer


class Runs:
    """Counts what targets did with each attempt. Thread-safe."""

    def __init__(self):
        self.lock = threading.Lock()
        self.by_attempt = collections.defaultdict(list)  # names of the targets that ran it
        self.notes = collections.defaultdict(list)  # what targets did instead of a proper response

    def add(self, attempt, target):
        with self.lock:
            self.by_attempt[attempt].append(target)

    def note(self, attempt, target, text):
        with self.lock:
            self.notes[attempt].append(f"{time.monotonic():.3f} {target} {text}")


class SiteTarget(Target):
    def __init__(self, store, service, kinds, number, zone, runs, seed, port=0):
        self.kinds, self.all_runs, self.zone = kinds, runs, zone
        self.rng = random.Random(seed)
        self.queue = service.queue
        self.disturbances = set()
        self.is_silent = False  # sends no heartbeats
        super().__init__(store, service.name, number, 0, slots=service.slots, port=port)

    def draw(self, kind):
        """Returns a disturbance of this kind that hits the present request, or None."""
        with self.lock:
            for disturbance in tuple(self.disturbances):
                if disturbance.kind == kind and self.rng.random() < disturbance.share:
                    return disturbance
        return None

    def work_seconds(self, kind):
        slow = max((one.factor for one in tuple(self.disturbances)), default=1)
        with self.lock:
            seconds = self.rng.lognormvariate(0, kind.work_spread) * kind.work_seconds
        return min(seconds, kind.most_work_seconds) * slow

    def late_seconds(self, garbled):
        """Returns how long after a response an additional one comes."""
        return self.rng.uniform(0, MAX_LATE_SECONDS) if "late" in garbled.how else 0

    def beat(self):
        if not self.is_silent and not self.crashed.is_set():
            self.announce()

    def handler(target):
        class SiteHandler(Handler):
            def call(self):
                if self.path == HEALTH_PATH:
                    return self.respond_health()
                self.attempt = self.headers["Attempt-Id"]
                self.deadline = time.monotonic() + int(self.headers["Deadline-Ms"]) / 1000
                garbled = target.draw("garble")
                if garbled and "early" in garbled.how and int(self.headers.get("Content-Length") or 0):
                    target.all_runs.note(self.attempt, target.id, "early refusal")
                    self.wfile.write(refusal(503, self.attempt))
                    return self.body()
                if self.headers["Target-Instance"] != target.id:
                    self.body()
                    return self.refuse(421, garbled)
                grey = target.draw("grey")
                if grey and grey.how & {"shed", "busy"}:
                    self.body()
                    return self.refuse(503 if "shed" in grey.how else 429, garbled)
                starts_at_header = target.rng.random() < STARTS_AT_HEADER
                if starts_at_header:
                    target.all_runs.add(self.attempt, target.id)
                self.body()
                if not self.take_slot():
                    if starts_at_header:
                        return self.end(None, "full, though it has run", own=503)
                    return self.refuse(503, garbled)
                try:
                    if not starts_at_header:
                        target.all_runs.add(self.attempt, target.id)
                    self.run(grey, garbled)
                finally:
                    target.leave_slot()

            def respond_health(self):
                ill = target.draw("ill") or target.draining_since
                return self.respond(503 if ill else 200, headers=[("Instance-Id", target.id), *target.load()])

            def take_slot(self):
                return target.take_slot(max(0, self.deadline - time.monotonic()))

            def refuse(self, status, garbled):
                self.respond(status, headers=[("Not-Executed", "1"), ("Attempt-Id", self.attempt), *target.load()])
                if garbled and "extra" in garbled.how:
                    time.sleep(target.late_seconds(garbled))
                    self.wfile.write(refusal(status, self.attempt))

            def run(self, grey, garbled):
                kind = target.kinds[self.path.split("/")[1]]
                seconds = target.work_seconds(kind)
                if target.draw("lies") or (grey and "errors" in grey.how):
                    return self.end(None, "own error", own=500)
                if grey and "hang" in grey.how:
                    time.sleep(max(0, self.deadline - time.monotonic()) + MUTE_SECONDS)
                if grey and grey.how & {"hang", "reset", "mute"}:
                    return self.end(grey, "grey")
                if time.monotonic() + seconds > self.deadline:
                    time.sleep(max(0, self.deadline - time.monotonic()))
                    return self.end(None, "own 504", own=504)
                time.sleep(seconds)
                lost = target.draw("answer_lost")
                if lost:
                    return self.end(lost, "response lost")
                if target.rng.random() < kind.error_share:
                    return self.end(None, "own error", own=500)
                self.respond_whole(kind, garbled)

            def end(self, disturbance, text, own=0):
                """Ends a request that has run without a proper response: with an own status, a reset or an orderly end."""
                target.all_runs.note(self.attempt, target.id, text)
                if own:
                    return self.respond(own, headers=[("Attempt-Id", self.attempt), *target.load()])
                self.close_connection = True
                if "reset" in disturbance.how:
                    return reset(self.connection)
                time.sleep(MUTE_SECONDS if "mute" in disturbance.how else 0)
                return None

            def respond_whole(self, kind, garbled):
                size = max(64, kind.response_bytes)
                body = (f"{self.attempt} {self.path} ".encode() * (size // 40 + 1))[:size]
                head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {self.attempt}\r\nResponse-Signature: s\r\n"
                head += "".join(f"{name}: {value}\r\n" for name, value in target.load())
                whole = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
                if not garbled or "early" in garbled.how:
                    return self.wfile.write(whole)
                target.all_runs.note(self.attempt, target.id, f"garbled {sorted(garbled.how)}")
                if "unframed" in garbled.how:
                    self.close_connection = True
                    return self.wfile.write(f"{head}Connection: close\r\n\r\n".encode() + body)
                if "extra" in garbled.how:
                    self.wfile.write(whole)
                    time.sleep(target.late_seconds(garbled))
                    extra = target.rng.choice((whole, refusal(503, self.attempt), refusal(429, FOREIGN_ID), refusal(503)))
                    return self.wfile.write(extra)
                if target.rng.random() < 0.5:
                    return self.wfile.write(EXTRA_BYTES + whole)
                self.wfile.write(whole[:target.rng.randrange(len(whole))])
                self.close_connection = True
                return None

            do_GET = do_POST = call

        return SiteHandler
