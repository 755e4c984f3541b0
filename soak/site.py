"""Plays an installation of the platform with real gateways: soak/site.py PROGRAM SITE_FILE SEED SECONDS [FOLDER]

The site file says how many gateways there are, which services with how many targets and slots, which kinds of requests
callers send, how often and for how long, and which troubles hit the installation. The seed draws a series of overlapping
troubles of that file; with an odd seed each gateway has a fifth of a processor. Checks what callers and targets observe: a
non-idempotent request runs at most once (TWICE), one that was rejected as not run didn't run (REFUSED), a response belongs
to its request and is whole (MIXED), and a connection doesn't end without a response to a request that ran, unless its
gateway was killed (LOST). Prints the number of cases of each, exits with 1 if there are any, and keeps the logs then.
"""

import collections
import http.client
import json
import os
import random
import shutil
import sys
import tempfile
import threading
import time
import uuid

from fleet import HOST, LOOPBACK, Gateway, Store, configure, path, record
from run import NOT_RUN_STATUSES, reserve_ports
from sitefile import read_site
from sitetarget import Disturbance, Runs, SiteTarget
from sitetroubles import Troubles, throttle

CALLERS_PER_GATEWAY = 5
ZONES = ("hall-1", "hall-2", "hall-3")
CPU_SHARE = 0.2  # of each gateway, with an odd seed
BEAT_SECONDS = 1.5
MAX_ATTEMPTS = 2
CALLER_TRIES = 3  # of one request, each with an id of its own
MAX_LIFETIME_SECONDS = 5  # of the addresses that callers were told
LEAVE_SECONDS = 1.0  # within which callers give up
RECOVERY_SECONDS = 5
TROUBLE_SECONDS = 1.0  # between two troubles, on average
NOISE_PARTS = 4  # of a period of noise; a target that it hits fails in one of them
RULES = ("TWICE", "REFUSED", "MIXED", "LOST")


class SiteGateway(Gateway):
    def __init__(self, program, store, first_port, number, folder, site):
        super().__init__(program, store, first_port, number, folder)
        self.locate_port = self.listen_port + 2
        self.arguments[self.arguments.index("--failure-domain") + 1] = ZONES[number % len(ZONES)]
        self.arguments[self.arguments.index("--grace-s") + 1] = str(site.grace_seconds)
        self.arguments += ["--retry-ratio", str(site.retry_ratio), "--retry-window-s", str(site.retry_window_seconds),
                           "--retry-slack", str(site.retry_slack)]


class System:
    def __init__(self, program, site, seed, seconds, folder):
        self.site, self.seconds, self.folder = site, seconds, folder
        self.rng = random.Random(seed)  # of the series of troubles
        self.target_rng = random.Random(f"targets {seed}")
        self.noise_rng = random.Random(f"noise {seed}")
        self.version_rng = random.Random(f"versions {seed}")
        self.lock = threading.Lock()
        self.store = Store()
        self.runs = Runs()
        self.services = {service.name: service for service in site.services}
        self.kinds = {kind.name: kind for kind in site.kinds}
        self.target_count = 0
        self.targets = []
        for service in site.services:
            for _ in range(service.targets):
                self.add_target(service.name)
        self.version = 0
        self.routes_moved = self.idle_routes = 0
        self.configure()
        first, self.reservations = reserve_ports(seed * site.gateways, site.gateways)
        self.gateways = [SiteGateway(program, self.store, first, number, folder, site) for number in range(site.gateways)]
        self.is_throttled = seed % 2 == 1
        self.rate_factor = 1.0
        self.abuse = (0, 0)  # share of the callers that repeat at once, and how often
        self.give_up_share = 0
        self.next_arrival = 0.0
        self.callers_ended = self.ended = False
        self.unsafe = {}  # attempt, and its gateway
        self.rejected = {}  # attempt, and the status
        self.unanswered = []  # attempt, gateway, start, end, error
        self.mixed = []
        self.statuses = collections.Counter()

    def record(self, *fields):
        with self.lock:
            record(self.folder, *fields)

    def add_target(self, service, port=0):
        self.target_count += 1
        self.targets.append(SiteTarget(self.store, self.services[service], self.kinds, self.target_count,
                                       ZONES[self.target_count % len(ZONES)], self.runs, self.target_rng.getrandbits(32),
                                       port))

    def crash(self, target):
        target.crash()
        with self.lock:
            if target in self.targets:
                self.targets.remove(target)

    def configure(self, how=frozenset(), idle_routes=0):
        """Writes the next version of the configuration."""
        with self.lock:
            self.version += self.version_rng.randint(1, 4)
            self.idle_routes += idle_routes + ("idle" in how)
            self.routes_moved += "route" in how
            limit = 0.8 if "timeout" in how else 1
            services = list(self.services)
            paths = []
            for kind in self.site.kinds:
                service = kind.service
                if kind.route_type == "download" and self.routes_moved % 2:
                    service = services[self.routes_moved % len(services)]
                row = path(f"/{kind.name}/", kind.route_type, service, int(kind.timeout_ms * limit), kind.latency_ms)
                paths.append(row | {"max-attempts": MAX_ATTEMPTS, "priority": kind.priority})
            paths += [path(f"/idle-{number}/", "safe", services[0], 2000, 1000) for number in range(self.idle_routes)]
            configure(self.store, self.version, services, paths)

    def start(self):
        for gateway in self.gateways:
            gateway.start()
        waiting = list(self.gateways)
        until = time.monotonic() + 30
        while waiting and time.monotonic() < until:
            waiting = [gateway for gateway in waiting if not gateway.is_ready()]
            time.sleep(0.1)
        if waiting:
            sys.exit(f"site: {len(waiting)} of {len(self.gateways)} gateways were not ready within 30 s")

    def send_heartbeats(self):
        while not self.ended:
            for target in tuple(self.targets):
                target.beat()
            time.sleep(BEAT_SECONDS)

    def restart_gateways(self):
        while not self.ended:
            for gateway in self.gateways:
                gateway.restart()
            time.sleep(0.3)

    def await_arrival(self, rng):
        """Waits until the next request is due. Returns its kind, or None at the end."""
        with self.lock:
            rate = sum(kind.per_second for kind in self.site.kinds) * self.rate_factor
            self.next_arrival = max(self.next_arrival, time.monotonic() - 1) + rng.expovariate(rate)
            due = self.next_arrival
        time.sleep(max(0, due - time.monotonic()))
        if self.callers_ended:
            return None
        return rng.choices(self.site.kinds, [kind.per_second for kind in self.site.kinds])[0]

    def locate(self, rng, zone):
        """Asks up to three gateways which ones to connect to. Returns these and how long that counts in seconds."""
        for gateway in rng.sample(self.gateways, 3):
            connection = http.client.HTTPConnection(LOOPBACK, gateway.locate_port, timeout=1)
            try:
                connection.request("GET", f"/mulberryplank/resolve?name={HOST}&region=r&zone={zone}")
                answer = json.loads(connection.getresponse().read())
                ports = {int(address.rpartition(":")[2]) for address in answer["addresses"]}
                named = [other for other in self.gateways if other.listen_port in ports]
                if named:
                    return named, min(answer["ttl-s"], MAX_LIFETIME_SECONDS)
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                pass  # the next one may be up
            finally:
                connection.close()
        return None, 0

    def choose_gateway(self, rng, located, zone):
        """Returns the gateway for a new connection. `located` keeps what locate() returned, and until when it counts."""
        if time.monotonic() >= located[1]:
            named, lifetime = self.locate(rng, zone)
            located[:] = [named or located[0] or self.gateways, time.monotonic() + lifetime]
        return rng.choice(located[0])

    def run_caller(self, seed):
        rng = random.Random(seed)
        zone = rng.choice(ZONES)
        located = [None, 0]
        kept = None
        while kind := self.await_arrival(rng):
            until = time.monotonic() + kind.limit_ms / 1000
            share, repeats = self.abuse
            abuses = rng.random() < share
            for attempt in range(CALLER_TRIES + (repeats if abuses else 0)):
                if attempt > 0 or kept is None:
                    self.close(kept)
                    gateway = self.choose_gateway(rng, located, zone)
                    kept = http.client.HTTPConnection(LOOPBACK, gateway.listen_port, timeout=1), gateway
                kept, status, wait = self.send(rng, kept, kind, until)
                if not kind.keeps_connections:
                    kept = self.close(kept)
                may_repeat = status in NOT_RUN_STATUSES or (status != 200 and kind.route_type != "unsafe")
                left = until - time.monotonic()
                if status is None or not may_repeat or left < 0.1:
                    break
                time.sleep(0 if abuses else min(wait, left / 3))
        self.close(kept)

    @staticmethod
    def close(kept):
        if kept:
            kept[0].close()
        return None

    def send(self, rng, kept, kind, until):
        """Sends one attempt. Returns the kept connection with its gateway, the status (None if the caller left, 0 without a
        response) and the Retry-After in seconds."""
        attempt = uuid.UUID(int=rng.getrandbits(128)).hex
        target = f"/{kind.name}/{attempt[:6]}"
        body = b"b" * min(24_000, int(rng.expovariate(1 / kind.request_bytes))) if kind.request_bytes else None
        connection, gateway = kept
        unsafe = kind.route_type == "unsafe"
        left = max(0.05, until - time.monotonic())
        started = time.monotonic()
        try:
            if connection.sock is None:
                connection.connect()
            connection.sock.settimeout(left + 1.5)
            if unsafe:
                self.unsafe[attempt] = gateway.name
            connection.request(kind.method, target, body, {
                "Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(int(left * 1000))})
            if rng.random() < self.give_up_share:
                time.sleep(rng.uniform(0, LEAVE_SECONDS))
                connection.close()
                return None, None, 0
            response = connection.getresponse()
            text = response.read()
        except (OSError, http.client.HTTPException) as error:
            if unsafe and not isinstance(error, TimeoutError):
                self.unanswered.append((attempt, gateway, started, time.monotonic(), type(error).__name__))
            self.statuses[type(error).__name__] += 1
            connection.close()
            return None, 0, 0.1
        self.statuses[response.status] += 1
        if response.status in NOT_RUN_STATUSES:
            self.rejected[attempt] = response.status
        if response.status == 200 and not (text.startswith(f"{attempt} {target} ".encode())
                                           and len(text) == max(64, kind.response_bytes)):
            self.mixed.append(attempt)
        if response.will_close:
            connection.close()
            kept = None
        return kept, response.status, float(response.headers.get("Retry-After", 0.1))

    def run(self):
        self.start()
        threads = [threading.Thread(target=self.run_caller, args=(self.rng.getrandbits(32),), daemon=True)
                   for _ in range(CALLERS_PER_GATEWAY * len(self.gateways))]
        helpers = [self.send_heartbeats, self.restart_gateways, self.run_noise]
        if self.is_throttled:
            helpers.append(lambda: throttle(self.gateways, CPU_SHARE, lambda _: self.ended))
        for thread in threads + [threading.Thread(target=helper, daemon=True) for helper in helpers]:
            thread.start()
        troubles = Troubles(self, self.site, self.rng)
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            trouble = self.rng.choice(self.site.troubles)
            if troubles.start(trouble):
                time.sleep(self.rng.expovariate(1 / TROUBLE_SECONDS))
        for thread in troubles.threads:
            thread.join(15)
        time.sleep(RECOVERY_SECONDS)
        self.callers_ended = True
        for thread in threads:
            thread.join(10)
        return self.check()

    def run_noise(self):
        """Lets some targets of each service fail a part of their requests, others after a while."""
        rng = self.noise_rng
        while not self.ended:
            noisy = []
            for service in self.site.services:
                targets = [target for target in tuple(self.targets) if target.service == service.name]
                noise = Disturbance("grey", frozenset({"reset"}), service.noise_failures)
                noisy += [(target, noise) for target in targets if rng.random() < service.noise_share / NOISE_PARTS]
            for target, noise in noisy:
                target.disturbances.add(noise)
            time.sleep(self.site.services[0].noise_seconds / NOISE_PARTS)
            for target, noise in noisy:
                target.disturbances.discard(noise)

    def check(self):
        """Returns the cases of each rule, with what is known of them."""
        cases = {rule: [] for rule in RULES}
        for attempt, name in self.unsafe.items():
            ran = self.runs.by_attempt.get(attempt, [])
            told = f"{attempt} at {name}, ran at {ran}, {self.runs.notes.get(attempt, [])}"
            if len(ran) > 1:
                cases["TWICE"].append(told)
            if ran and attempt in self.rejected:
                cases["REFUSED"].append(f"{told}, status {self.rejected[attempt]}")
        cases["MIXED"] = list(self.mixed)
        for attempt, gateway, began, ended, error in self.unanswered:
            if self.runs.by_attempt.get(attempt) and not gateway.was_killed(began, ended):
                cases["LOST"].append(f"{attempt} at {gateway.name}: {error}")
        for rule in RULES:
            for told in cases[rule]:
                self.record(rule, told)
        return cases

    def stop(self):
        self.ended = True
        for gateway in self.gateways:
            if gateway.process:
                gateway.stop()


def main():
    program, site_file, seed, seconds = sys.argv[1], sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
    folder = sys.argv[5] if len(sys.argv) > 5 else tempfile.mkdtemp(prefix="mulberryplank-site-")
    os.makedirs(folder, exist_ok=True)
    system = System(program, read_site(site_file), seed, seconds, folder)
    try:
        cases = system.run()
    finally:
        system.stop()
    counts = {rule: len(cases[rule]) for rule in RULES}
    print(json.dumps({"site": os.path.basename(site_file).removesuffix(".toml"), "seed": seed, **counts,
                      "unsafe": len(system.unsafe), "gateways": len(set(system.unsafe.values())),
                      "statuses": dict(system.statuses), "folder": folder}))
    if not any(counts.values()):
        shutil.rmtree(folder)
    return 1 if any(counts.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
