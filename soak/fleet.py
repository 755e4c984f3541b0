"""A fleet on one machine: the platform's store, targets and gateway processes.

All parts use loopback. The store and the targets run in threads of this process; the gateways are real processes.
"""

import base64
import collections
import datetime
import http.client
import http.server
import json
import os
import random
import signal
import struct
import subprocess
import threading
import time

import flood
from link import LOOPBACK, Link
from responses import Ending, refusal, refuse_again, respond_oddly

HOST = "soak.example"
DELAY_SECONDS = 0.5  # seconds by which the store delays its responses
CRASH_SECONDS = 0.03  # seconds for which a request runs before it crashes its target
EXPIRY_SECONDS = 3  # seconds after which the store drops the record of a crashed target
# A refusal that repeats no attempt id, so that it belongs to no request.
STRAY_REFUSAL = refusal(503)
SHED_QUEUE = 4  # requests that may wait for a slot
KILL_GRACE_SECONDS = 1  # between a kill and the reset that a caller sees
HANG_SECONDS = 2.5  # seconds before a hanging target closes the connection without a response


def record(folder, *fields):
    """Logs an action on the system next to the gateways' logs, with timestamps of the same clock."""
    now = datetime.datetime.now(datetime.timezone.utc)
    with open(os.path.join(folder, "soak.log"), "a", encoding="utf-8") as log:
        print(now.isoformat(timespec="milliseconds"), *fields, file=log)


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        """Ignores errors, since broken connections are part of the soak."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def respond(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def drop_connection(self):
        self.close_connection = True
        self.connection.shutdown(2)


class Store:
    """A stand-in for the platform's store, with keyed topics of one partition each."""

    def __init__(self):
        self.topics = collections.defaultdict(list)
        self.times = collections.defaultdict(list)  # when each record was written
        self.first = collections.Counter()  # offset of the first record that can be read, by topic
        self.era = 1  # rises when it comes back from an older copy
        self.changed = threading.Condition()
        self.fault = None  # "refuse", "late", "lose" (takes effect, no response)
        self.is_away = False
        self.server = Server((LOOPBACK, 0), self.handler())
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        with self.changed:
            self.write(topic, key.encode(), value.encode())
            self.changed.notify_all()

    def write(self, topic, key, value):
        self.topics[topic].append((key, value))
        self.times[topic].append(time.monotonic())

    def return_from_copy(self, age):
        """Comes back from a copy that is `age` seconds old. Returns the lost records by topic."""
        with self.changed:
            lost = {}
            for topic, times in self.times.items():
                kept = sum(at <= time.monotonic() - age for at in times)
                lost[topic] = self.topics[topic][kept:]
                del self.topics[topic][kept:], times[kept:]
            self.era += 1
            self.changed.notify_all()
            return lost

    def compact(self):
        """Forgets the history of all topics, but not the newest record of each key."""
        with self.changed:
            for topic, records in self.topics.items():
                self.first[topic] = len(records)
            self.changed.notify_all()

    def read(self, topic, start, wait):
        with self.changed:
            era = self.era
            self.changed.wait_for(lambda: len(self.topics[topic]) > start or self.era != era, wait)
            records = self.topics[topic][start:]
            end = len(self.topics[topic])
            first = self.first[topic]
        if start > end or start < first:
            return None
        body = struct.pack(">QQ", end, first)
        for key, value in records:
            content = bytes([len(key)]) + key + value
            body += struct.pack(">I", len(content)) + content
        return body

    def write_again(self, lost):
        """Writes what operators and the store itself wrote, unless newer versions have been written since. Targets write
        again with their next heartbeats, and gateways what they need."""
        with self.changed:
            version = json.loads(dict(self.topics["keyed.op"]).get(b"config", b'{"config-version":"0"}'))["config-version"]
            for key, value in lost.get("keyed.op", []):
                if int(json.loads(value)["config-version"], 16) > int(version, 16):
                    self.write("keyed.op", key, value)
            for key, value in lost.get("keyed.servers", []):
                if not value:
                    self.write("keyed.servers", key, value)
            self.changed.notify_all()

    def newest(self, topic):
        with self.changed:
            values = dict(self.topics[topic])
            end = len(self.topics[topic])
        items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": 0}
                 for key, value in values.items() if value]
        return json.dumps({"items": items, "has-more": False, "end-offset": end}).encode()

    def append(self, topic, body, at):
        with self.changed:
            end = len(self.topics[topic])
            if at is not None and at != end:
                return 412, {"end-offset": end}
            while body:
                (length,) = struct.unpack(">I", body[:4])
                content, body = body[4:4 + length], body[4 + length:]
                self.write(topic, content[1:1 + content[0]], content[1 + content[0]:])
            self.changed.notify_all()
            return 200, {"offset": end, "end-offset": len(self.topics[topic])}

    def handler(store):
        class StoreHandler(Handler):
            def respond(self, status, body=b""):
                super().respond(status, body, [("Store-Era", str(store.era))])

            def call(self):
                path, _, text = self.path.partition("?")
                query = dict(pair.split("=", 1) for pair in text.split("&"))
                body = self.body()
                fault = store.fault
                if fault == "refuse" or store.is_away:
                    return self.respond(503)
                if fault == "late":
                    time.sleep(DELAY_SECONDS)
                topic = query["topic"]
                if path.endswith("/log-read"):
                    wait = int(query.get("wait-ms", 0)) / 1000
                    page = store.read(topic, int(query["from"]), wait)
                    if page is None:
                        return self.respond(410, json.dumps({"first-offset": store.first[topic]}).encode())
                    return self.respond(200, page)
                if path.endswith("/log-newest"):
                    return self.respond(200, store.newest(topic))
                at = int(query["at"]) if "at" in query else None
                status, result = store.append(topic, body, at)
                if fault == "lose":
                    return self.drop_connection()
                return self.respond(status, json.dumps(result).encode())

            do_GET = do_POST = call

        return StoreHandler


class Target:
    """A target that counts the runs of each attempt and simulates the fault that is set."""

    zone = "hall"
    queue = SHED_QUEUE

    def __init__(self, store, service, number, service_seconds, stray_every=0, responses=None, slots=None, port=0):
        self.id = f"i-{service}-{number}-{time.monotonic_ns()}"
        self.store, self.service, self.service_seconds = store, service, service_seconds
        self.stray_every = stray_every  # number of runs after which a STRAY_REFUSAL precedes a response; 0: none does
        self.responses = responses  # draws how a request ends; None: each gets its response
        self.endings = {}  # by attempt id, where it wasn't the proper response
        self.slots = threading.Semaphore(slots) if slots else None  # for requests that run at the same time
        self.slot_count = slots
        self.running = self.waiting = 0  # requests that have a slot, and that wait for one
        self.runs = collections.Counter()  # by attempt id
        self.account_runs = []  # time, attempt id, account as named by the gateway, and whether a key came along
        self.repeats_refusals = False  # of requests for the target that had its address before
        self.fault = None  # "reset", "lose" (run, no response), "shed", "hang", "error" or "cut" (half a response)
        self.draining_since = None
        self.crashed = threading.Event()
        self.rate_limit = None  # the requests a second that it asks for in its responses
        self.arrivals = []  # times of all requests while it asks for a limit
        self.rest_seconds = None  # the rest that it asks for when it sheds
        self.arrivals_while_resting = []  # times of all requests while it asks for rest
        self.deadly_arrivals = []  # path, time and attempt id of each request that crashes the target
        self.late_requests = []  # requests received more than 3 s after it announced draining
        self.sequence = 0
        self.random = random.Random(f"{service} {number}")
        self.lock = threading.Lock()
        self.server = Server((LOOPBACK, 0), self.handler())
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.link = Link(self.server.server_port, port)
        self.announce()

    def announce(self):
        self.sequence += 1
        state = "draining" if self.draining_since else "ready"
        self.store.put("keyed.servers", self.id, json.dumps({
            "service": self.service, "address": f"{LOOPBACK}:{self.link.port}", "zone": self.zone,
            "config-version": "v1", "slots": 4, "state": state, "warmup-left-ms": 0, "sequence": self.sequence}))

    def drain(self):
        self.draining_since = time.monotonic()
        self.announce()

    def crash(self):
        """Ends the target. Its record stays in the store until it expires."""
        if self.crashed.is_set():
            return
        self.crashed.set()
        self.link.crash()
        expiry = threading.Timer(EXPIRY_SECONDS, self.store.put, ("keyed.servers", self.id, ""))
        expiry.daemon = True
        expiry.start()

    def take_slot(self, seconds):
        """Waits for a slot. Returns whether there is one before the time is up, and room to wait for it."""
        if self.slots is None:
            return True
        with self.lock:
            if self.waiting >= self.queue:
                return False
            self.waiting += 1
        taken = self.slots.acquire(timeout=seconds)
        with self.lock:
            self.waiting -= 1
            self.running += taken
        return taken

    def leave_slot(self):
        if self.slots:
            with self.lock:
                self.running -= 1
            self.slots.release()

    def load(self):
        """Returns the header field that tells the load, if the target has slots."""
        return [("Backend-Load", f"{self.running},{self.waiting},{self.slot_count}")] if self.slots else []

    def handler(target):
        class TargetHandler(Handler):
            def call(self):
                ending = target.responses.draw() if target.responses else None
                if ending is Ending.EARLY_REFUSAL:
                    respond_oddly(self, ending, self.headers["Attempt-Id"], b"", b"")
                    return self.body()
                body = self.body()
                if not target.take_slot(int(self.headers["Deadline-Ms"]) / 1000):
                    return self.respond(503, headers=[("Not-Executed", "1"), ("Attempt-Id", self.headers["Attempt-Id"]),
                                                      *target.load()])
                try:
                    return self.run(body, ending)
                finally:
                    target.leave_slot()

            def run(self, body, ending):
                attempt = self.headers["Attempt-Id"]
                if self.headers["Target-Instance"] != target.id:
                    self.respond(421, headers=[("Attempt-Id", attempt)])
                    return refuse_again(self, refusal(421, attempt)) if target.repeats_refusals else None
                if self.path == flood.PATH:
                    return flood.respond_without_end(self, attempt, target.random, target.crashed.is_set)
                if "deadly" in self.path:
                    target.deadly_arrivals.append((self.path, time.monotonic(), attempt))
                    time.sleep(CRASH_SECONDS)
                    return target.crash()
                limit = target.rate_limit
                limited = [] if limit is None else [("Server-Limit", f"{limit:g}")]
                if limited:
                    target.arrivals.append(time.monotonic())
                notices = limited + ([("Server-Leaving", "1")] if target.draining_since else []) + target.load()
                fault = target.fault
                if fault == "shed":
                    if target.rest_seconds:
                        target.arrivals_while_resting.append(time.monotonic())
                        notices.append(("Retry-After", f"{target.rest_seconds:g}"))
                    return self.respond(503, headers=[("Not-Executed", "1"), ("Attempt-Id", attempt), *notices])
                if fault == "reset":
                    return self.drop_connection()
                with target.lock:
                    target.runs[attempt] += 1
                    is_stray_due = target.stray_every and len(target.runs) % target.stray_every == 0
                    target.account_runs.append((time.monotonic(), attempt, self.headers["Tenant"],
                                                self.headers["Authorization"] is not None))
                    if target.draining_since and time.monotonic() - target.draining_since > 3:
                        delay = time.monotonic() - target.draining_since
                        target.late_requests.append(f"{attempt} {delay:.3f} s later")
                if is_stray_due:
                    self.wfile.write(STRAY_REFUSAL)
                time.sleep(target.service_seconds)
                if fault == "lose":
                    return self.drop_connection()
                if fault == "hang":
                    time.sleep(HANG_SECONDS)
                    return self.drop_connection()
                if fault == "error":
                    return self.respond(500, headers=[("Attempt-Id", attempt), *notices])
                if fault == "cut":
                    self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")
                    return self.drop_connection()
                text = f"{attempt} {self.path} ".encode() + body
                if ending:
                    target.endings[attempt] = ending
                    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n".encode()
                    return respond_oddly(self, ending, attempt, head, text)
                return self.respond(200, text, [("Attempt-Id", attempt), ("Response-Signature", "s"), *notices])

            do_GET = do_POST = call

        return TargetHandler


def path(prefix, kind, service, timeout_ms, latency_ms):
    """Returns a path of the host for a configuration."""
    return {"name": prefix, "path-prefix": prefix, "route-type": kind, "timeout-ms": timeout_ms,
            "target-latency-ms": latency_ms, "priority": 1, "service": service, "max-attempts": 2}


def account(name, keys, per_second=0, burst=0):
    """Returns a client account; a rate of 0 is no limit."""
    return {"name": name, "api-keys": keys, "priority": 1, "rate-per-s": per_second, "burst": burst}


def configure(store, version, services, paths, accounts=None):
    """Writes a configuration of one host. Without accounts callers need no key."""
    tenants = {} if accounts is None else {"tenants": accounts}
    store.put("keyed.op", "config", json.dumps(tenants | {
        "config-version": f"{version:08x}",
        "services": [{"name": name, "health-path": "/healthz", "max-connections": 300} for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "virtual-hosts": [{"hostname": HOST, "paths": paths}]}))


def unsafe_and_safe_paths(service):
    """Returns a path of non-idempotent requests and one of safe requests, both to the service."""
    return [path(prefix, kind, service, 3000, 500) for prefix, kind in (("/once/", "unsafe"), ("/any/", "safe"))]


def send_heartbeats(system):
    """Sends heartbeats of `system.targets` until `system.ended`."""
    while not system.ended:
        for target in list(system.targets):
            if not target.crashed.is_set():
                target.announce()
        time.sleep(1)


class Gateway:
    """One gateway process."""

    def __init__(self, program, store, first_port, number, folder):
        base = first_port + 10 * number
        self.name = f"vm-{number}"
        self.store_link = Link(store.server.server_port)
        self.listen_port, self.ready_port = base, base + 1
        self.log = os.path.join(folder, f"gateway-{number}.log")
        self.program = program  # takes effect at the next start
        self.arguments = ["gateway", "--vm", self.name, "--failure-domain", "hall",
                          "--listen", f"{LOOPBACK}:{base}", "--ready", f"{LOOPBACK}:{base + 1}",
                          "--locate", f"{LOOPBACK}:{base + 2}", "--peer", f"{LOOPBACK}:{base + 3}",
                          "--store", f"{LOOPBACK}:{self.store_link.port}", "--grace-s", "4",
                          "--locate-lifetime-s", "1"]
        self.process = None
        self.kill_times = []

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([self.program, *self.arguments], stdout=log, stderr=log)

    def signal(self, number):
        if self.process.poll() is None:
            if number == signal.SIGKILL:
                self.kill_times.append(time.monotonic())
            self.process.send_signal(number)

    def was_killed(self, began, ended):
        """Returns whether a kill explains the end of a connection on which a request waited between these times."""
        return any(began <= at + KILL_GRACE_SECONDS and at <= ended for at in self.kill_times)

    def is_ready(self):
        connection = http.client.HTTPConnection(LOOPBACK, self.ready_port, timeout=1)
        try:
            connection.request("GET", "/mulberryplank/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def restart(self):
        if self.process.poll() is None:
            return False
        self.start()
        return True

    def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()
