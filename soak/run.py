"""A randomized soak of real gateway processes: soak/run.py PROGRAM[,...] SEED[:DEADLY[:LIMITS[:CUTS[:ACCOUNTS[:DRILLS[:ODD[:MACHINES[:FLOOD]]]]]]]] SECONDS [FOLDER]

DEADLY is the number of requests that crash each target that runs them and return all the time; LIMITS is the number of
targets that name rate limits; CUTS is how often gateways lose all targets after the other faults; ACCOUNTS is the number
of client accounts that callers belong to, the first of which has a limit; DRILLS is how often the store comes back from
an older copy; ODD is the percentage of the requests that targets end otherwise than with a proper response, and that callers
send or leave in an unusual way; MACHINES is the number of gateways of a large fleet, whose targets take a third of a second
for a request; FLOOD is the number of callers that get responses without end and send requests without end. All are 0 by
default.

The seed selects a series of overlapping faults. The soak checks these invariants from what callers and targets observe:
a non-idempotent request runs at most once; a request rejected as not run did not run, though targets send refusals
that belong to no request; a connection isn't reset and doesn't end without a response to a request that ran, unless its
gateway was killed;
a response belongs to its request
and is complete; a draining target gets no requests more than three seconds later; a change of routes takes effect and
stays; gateways serve again after the faults; a request that has crashed three targets gets to no more than three others
once the gateways have had three seconds to learn of it; a target that names a rate limit after the faults gets no more than one and
a half times that, and five requests, in any four seconds; a target that asks for rest once the faults have ended gets no more than two
requests of each gateway meanwhile; from three seconds on, gateways that have lost all targets serve
at least two thirds as many requests as the others, or fail no more than ten and one in fifty; targets learn the account
of a caller's key and never the key; the limited account runs no more than its limit in any five seconds, and a tenth and 20
requests while there are faults; after the faults a withdrawn key is refused within 2.5 seconds; beside a flood no gateway holds
more memory than a VM has. Exits with 1 and prints the violations if there are any, and keeps the
gateways' logs.

Several programs, such as an old and a new build, run side by side in one fleet: gateway number i starts with program
i modulo their count, and each restart of a gateway takes the next program in the list. soak.log then records which
gateway starts with which program, numbered from 0.
"""

import collections
import http.client
import os
import random
import signal
import socket
import sys
import tempfile
import threading
import time
import uuid

import callers
import flood
from accounts import Accounts
from fleet import HOST, LOOPBACK, Gateway, Store, Target, configure, record, send_heartbeats, unsafe_and_safe_paths
from link import FAULTS
from pathcut import MODES, RESET_DELAYS, PathCut
from responses import Responses

GATEWAYS = 4
FIRST_PORT = 12_000  # the ranges end below the system's ephemeral ports
PORTS = 40  # of a range; a run has as many ranges as its gateways need
PORTS_PER_GATEWAY = 10
PORT_RANGES = 500
RESERVE_SECONDS = 300  # that a run waits for others
RESERVE_INTERVAL = 0.2
CALLERS = 8
CALLERS_PER_MACHINE = 3
MAX_PAUSE_SECONDS = 0.03  # of a caller between two requests
LARGE_FLEET_PAUSE_SECONDS = 1.5
LARGE_FLEET_TARGETS = 15  # of each service, at least
MACHINES_PER_TARGET = 2  # of the service that requests go to; its callers use about two thirds of its slots
LARGE_FLEET_SERVICE_SECONDS = 0.33
LARGE_FLEET_SLOTS = 4
RESTART_SHARE = 0.4  # of the reuses of addresses
STRAY_EVERY = 10  # runs of a target for each response too many that it sends
SIGNALS = {"kill": signal.SIGKILL, "term": signal.SIGTERM, "pause": signal.SIGSTOP, "hup": signal.SIGHUP}
NOT_RUN_STATUSES = (503, 429, 408, 421)  # statuses that state that the request did not run
DEADLY_CRASHES = 3  # crashes after which a request has to be refused
DEADLY_GRACE_SECONDS = 3  # for the gateways to learn of the last of these crashes
DEADLY_RETRIES = 3  # arrivals that are allowed after that
REST_SECONDS = 1.5  # that a target asks for once the faults have ended
REST_GRACE_SECONDS = 0.5  # for requests that are under way
REST_REQUESTS = 2  # of each gateway that are allowed meanwhile
LIMIT_GRACE_SECONDS = 3.5  # for the gateways to learn a rate limit
LIMIT_WINDOW_SECONDS = 4
MIN_SERVED_SHARE = 0.5  # of the requests after the faults
CUT_GRACE_SECONDS = 3  # for gateways that have lost all targets to serve again
CUT_SECONDS = 7
CUT_RECOVERY_SECONDS = 2  # between the end of a cut and the start of the next one
MIN_SERVED_WHILE_CUT = 2 / 3  # as a multiple of what the other gateways serve


def reserve_range(first_port, until):
    """Waits for a range of ports. Returns a socket that no other run with the same range can have at the same time."""
    last_port = first_port + PORTS - 1  # not used by any gateway
    while True:
        reservation = socket.socket()
        try:
            reservation.bind((LOOPBACK, last_port))
            reservation.listen()
            return reservation
        except OSError as error:
            reservation.close()
            if time.monotonic() >= until:
                sys.exit(f"soak: ports {first_port} to {last_port} were in use for {RESERVE_SECONDS} s ({error})")
            time.sleep(RESERVE_INTERVAL)


def reserve_ports(seed, gateways):
    """Waits until no other run uses the ports of this seed, which reach into those of the next seeds if there are many
    gateways. Returns the first port, and the sockets that hold the ports."""
    count = -(-gateways * PORTS_PER_GATEWAY // PORTS)
    first = min(seed % PORT_RANGES, PORT_RANGES - count)
    until = time.monotonic() + RESERVE_SECONDS
    ranges = [FIRST_PORT + number * PORTS for number in range(first, first + count)]
    return ranges[0], [reserve_range(begin, until) for begin in ranges]  # ascending, so that no two runs wait for each other


class Soak:
    def __init__(self, programs, seed, seconds, folder, deadly, limits, cuts, accounts, drills, odd, machines,
                 flooding):
        self.random = random.Random(seed)
        first_port, self.reservations = reserve_ports(seed, machines or GATEWAYS)
        self.seconds, self.folder = seconds, folder
        self.store = Store()
        self.lock = threading.Lock()
        self.rejected = set()  # ids of requests rejected as not run
        self.unsafe = {}  # ids of non-idempotent requests, and the names of their gateways
        self.violations = []
        self.statuses = collections.Counter()
        self.statuses_after_faults = collections.Counter()  # statuses after the faults
        self.faults_over = False
        self.ended = False
        self.version = 0
        self.odd = odd  # percentage of the requests that targets and callers treat unusually
        self.machines = machines  # gateways of a large fleet, or 0
        self.odd_random = random.Random(f"odd {seed}")
        self.reuse_random = random.Random(f"reuse {seed}")
        # Attempt, gateway, start, end, how the connection ended and the caller's manner of each request without a response.
        self.unanswered = []
        self.targets = [self.new_target(service, number)
                        for service in ("a", "b")
                        for number in range(max(LARGE_FLEET_TARGETS, machines // MACHINES_PER_TARGET) if machines else 4)]
        self.drained_targets = []
        self.crashed_targets = []
        self.deadly = deadly  # number of requests that crash their targets
        self.limits = limits  # number of targets that name rate limits
        self.limit_random = random.Random(f"limits {seed}")
        self.cuts = cuts  # how often gateways lose all targets
        self.cut_random = random.Random(f"cuts {seed}")
        self.delay_random = random.Random(f"reset delays {seed}")
        self.spread = False  # callers are distributed evenly over the gateways
        self.results = []  # start, gateway and success of each request while callers are distributed evenly
        self.programs = programs
        self.gateways = [Gateway(programs[0], self.store, first_port, number, folder)
                         for number in range(machines or GATEWAYS)]
        self.next_programs = {gateway: number % len(programs) for number, gateway in enumerate(self.gateways)}
        self.accounts = Accounts(accounts) if accounts else None
        self.drills = drills  # how often the store comes back from an older copy
        self.drill_random = random.Random(f"drills {seed}")
        self.flooding = flooding  # number of callers that make gateways hold much
        self.flood_over = False
        self.peak_mb = 0  # the most that a gateway has held
        self.host = HOST
        self.service = "a"  # that requests are routed to
        self.configure("a")

    def new_target(self, service, number, port=0):
        responses = Responses(self.odd_random.getrandbits(32), self.odd) if self.odd else None
        if self.machines:
            return Target(self.store, service, number, LARGE_FLEET_SERVICE_SECONDS, STRAY_EVERY, responses,
                          LARGE_FLEET_SLOTS, port)
        return Target(self.store, service, number, 0.02, STRAY_EVERY, responses, port=port)

    def configure(self, service):
        """Writes a configuration that routes the host's requests to a service."""
        self.service = service
        self.version += self.random.randint(1, 4)
        configure(self.store, self.version, ("a", "b"), unsafe_and_safe_paths(service),
                  self.accounts.rows() if self.accounts else None)

    def add_violation(self, text):
        with self.lock:
            self.violations.append(text)
            self.record("violation", text)

    def request(self, connection, gateway, rng):
        """Sends one request. Returns whether it was served."""
        unsafe = rng.random() < 0.6
        attempt = uuid.UUID(int=rng.getrandbits(128)).hex
        target = "/once/x" if unsafe else "/any/x"
        body = b"b" * rng.randint(0, 3000) if unsafe else b""
        if unsafe:
            with self.lock:
                self.unsafe[attempt] = self.label(gateway)
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "3000"}
        if self.accounts:
            headers |= self.accounts.headers(attempt)
        manner = callers.draw(rng, self.odd)
        if not callers.send(connection, rng, manner, "POST" if unsafe else "GET", target, body, headers):
            return False
        started = time.monotonic()
        try:
            response = connection.getresponse()
            text = response.read()
        except ConnectionResetError as error:
            if unsafe:
                end = "ended" if isinstance(error, http.client.RemoteDisconnected) else "was reset"
                self.unanswered.append(
                    (attempt, gateway, started, time.monotonic(), end, manner.name if manner else "waits"))
            raise
        if manner is callers.Manner.HALF_CLOSE:
            connection.close()
        with self.lock:
            (self.statuses_after_faults if self.faults_over else self.statuses)[response.status] += 1
            if response.status in NOT_RUN_STATUSES:
                self.rejected.add(attempt)
        if response.status == 200 and text != f"{attempt} {target} ".encode() + body:
            self.add_violation(f"response to {attempt} belongs to another request or is incomplete: {text[:80]!r}")
        if response.status == 404:
            self.add_violation(f"{attempt} got 404")
        return response.status == 200

    def run_caller(self, seed, number):
        """Runs one caller, which keeps its connection until it fails."""
        rng = random.Random(seed)
        connection = gateway = None
        while not self.ended:
            started, served = time.monotonic(), False
            own = self.gateways[number % len(self.gateways)] if self.spread else None
            if connection and own not in (None, gateway):
                connection.close()
                connection = None
            try:
                if connection is None:
                    gateway = own or rng.choice(self.gateways)
                    connection = http.client.HTTPConnection(LOOPBACK, gateway.listen_port, timeout=6)
                served = self.request(connection, gateway, rng)
            except (OSError, http.client.HTTPException):
                with self.lock:
                    self.statuses["no response"] += 1
                connection.close()
                connection = None
            if own:
                self.results.append((started, gateway, served))
            time.sleep(rng.uniform(0, LARGE_FLEET_PAUSE_SECONDS if self.machines else MAX_PAUSE_SECONDS))

    def run_deadly_caller(self, seed, number):
        """Sends one request that crashes its target to random gateways again and again."""
        rng = random.Random(seed)
        method, target = rng.choice((("GET", "/any/deadly"), ("POST", "/once/deadly")))
        time.sleep(rng.uniform(0, self.seconds / 2))
        while not self.ended:
            attempt = uuid.UUID(int=rng.getrandbits(128)).hex
            connection = http.client.HTTPConnection(LOOPBACK, rng.choice(self.gateways).listen_port, timeout=6)
            try:
                key = self.accounts.unlimited_headers() if self.accounts else {}
                connection.request(method, f"{target}-{number}", b"b" * number,
                                   {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "3000"} | key)
                connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                pass  # the gateway has been stopped
            connection.close()
            time.sleep(rng.uniform(0, 0.2))

    def replace_crashed_targets(self):
        """Starts a new target for each that has crashed, some time after the crash."""
        while not self.ended:
            time.sleep(0.3)
            for index, target in enumerate(self.targets):
                if target.crashed.is_set():
                    self.crashed_targets.append(target)
                    self.targets[index] = self.new_target(target.service, len(self.crashed_targets) + 100)

    def record(self, *fields):
        record(self.folder, *fields)

    def label(self, gateway):
        """Returns the gateway's name, and the number of its program where there are several."""
        several = len(self.programs) > 1
        return f"{gateway.name} program {self.programs.index(gateway.program)}" if several else gateway.name

    def start(self, gateway):
        """Starts a gateway with the next program in the list."""
        number = self.next_programs[gateway]
        self.next_programs[gateway] = (number + 1) % len(self.programs)
        gateway.program = self.programs[number]
        if len(self.programs) > 1:
            self.record("start", gateway.name, "program", number)
        gateway.start()

    def restart_stopped_gateways(self):
        for gateway in self.gateways:
            if gateway.process.poll() is not None:
                self.start(gateway)

    def fault(self):
        """Starts a random fault. Returns its name and a function that ends it."""
        gateway = self.random.choice(self.gateways)
        target = self.random.choice(self.targets)
        kinds = ("kill", "term", "pause", "hup", "store", "store-link", "target", "target", "target-link", "target-link",
                 "replace", "configure")
        kind = self.random.choice(kinds + ("reuse",) if self.odd else kinds)
        if kind in SIGNALS:
            group = self.odd_random.sample(self.gateways, self.odd_random.randint(1, self.machines // 4)) \
                if self.machines else [gateway]
            for member in group:
                member.signal(SIGNALS[kind])
            return f"{kind} {' '.join(member.name for member in group)}", lambda: self.end_signal(kind, group)
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
        if kind == "reuse":
            return f"reuse {target.id}", self.reuse_addresses(target)
        target.fault = self.random.choice(("reset", "lose", "shed"))
        return f"target {target.id} {target.fault}", lambda: setattr(target, "fault", None)

    @staticmethod
    def end_signal(kind, gateways):
        """Resumes paused gateways. Other signals have no end, and don't end the pause of another fault."""
        for gateway in gateways if kind == "pause" else ():
            gateway.signal(signal.SIGCONT)

    def run_drills(self):
        """Lets the store be away for a moment and come back from an older copy, while other faults go on."""
        for _ in range(self.drills):
            time.sleep(self.drill_random.uniform(0.5, 2))
            age = self.drill_random.uniform(0.5, 4)
            self.store.is_away = True
            time.sleep(self.drill_random.uniform(0.2, 1))
            lost = self.store.return_from_copy(age)
            self.record("drill", self.store.era, {topic: len(records) for topic, records in lost.items()})
            self.store.is_away = False
            time.sleep(self.drill_random.uniform(0, 1))
            self.store.write_again(lost)
            lost_targets = {key.decode() for key, _ in lost["keyed.servers"]}
            for target in self.drained_targets:
                if target.id in lost_targets and not target.crashed.is_set():
                    target.drain()  # confirmed only now for good; targets that run write with their next heartbeats

    def replace(self, target):
        if target.draining_since or target.crashed.is_set() or self.store.fault:
            return lambda: None
        self.targets.append(self.new_target(target.service, len(self.drained_targets) + 10))
        target.drain()
        self.targets.remove(target)
        self.drained_targets.append(target)  # only here, also if it crashes later
        return lambda: None

    def reuse_addresses(self, target):
        """Crashes a target and starts one of the other service at its address, or restarts all targets of its service at
        their addresses, while the crashed ones are still listed."""
        restarts = self.reuse_random.random() < RESTART_SHARE
        service = target.service if restarts else "b" if target.service == "a" else "a"
        for crashed in [other for other in self.targets if other.service == service] if restarts else [target]:
            if not crashed.draining_since and not crashed.crashed.is_set():
                crashed.crash()
                self.targets.remove(crashed)
                self.crashed_targets.append(crashed)
                self.targets.append(self.new_target(service, len(self.crashed_targets) + 200, crashed.link.port))
                self.targets[-1].repeats_refusals = True
        return lambda: None

    def name_limits(self):
        """Makes some targets name rate limits, and all others withdraw theirs."""
        limited = self.limit_random.sample(self.targets, min(self.limits, len(self.targets)))
        for target in self.targets:
            target.rate_limit = self.limit_random.choice((0, 0.1, 0.5, 1, 2.5, 6)) if target in limited else None
        return limited

    def check_limits(self):
        """Names limits and checks that no target gets more requests, while nothing else happens."""
        limited = self.name_limits()
        named_at = time.monotonic()
        time.sleep(LIMIT_GRACE_SECONDS + 2 * LIMIT_WINDOW_SECONDS)
        for target in limited:
            arrivals = [at for at in target.arrivals if at > named_at + LIMIT_GRACE_SECONDS]
            most = max((sum(begin <= at < begin + LIMIT_WINDOW_SECONDS for at in arrivals) for begin in arrivals), default=0)
            allowed = 1.5 * target.rate_limit * LIMIT_WINDOW_SECONDS + 5
            self.record("limit", target.id, target.rate_limit, "arrivals", len(arrivals), "most in a window", most)
            if most > allowed:
                self.add_violation(f"{target.id} named a limit of {target.rate_limit} a second and got {most} requests in "
                                   f"{LIMIT_WINDOW_SECONDS} s, {allowed:g} are allowed")

    def check_rest(self):
        """Lets all targets of the service turn requests away and ask for rest, and checks what they get meanwhile."""
        targets = [target for target in self.targets if target.service == self.service]
        for target in targets:
            target.rest_seconds, target.fault = REST_SECONDS, "shed"
        time.sleep(REST_GRACE_SECONDS + REST_SECONDS)
        for target in targets:
            target.rest_seconds, target.fault = None, None
            arrivals = target.arrivals_while_resting
            during = [at for at in arrivals if arrivals[0] + REST_GRACE_SECONDS <= at < arrivals[0] + REST_SECONDS]
            self.record("rest", target.id, "arrivals", len(arrivals), "while it rested", len(during))
            if len(during) > REST_REQUESTS * len(self.gateways):
                self.add_violation(f"{target.id} asked for {REST_SECONDS} s of rest and got {len(during)} requests "
                                   f"meanwhile, {REST_REQUESTS * len(self.gateways)} are allowed")
        time.sleep(REST_SECONDS)  # some have been asked for rest just now

    def check_cuts(self):
        """Severs gateways from all targets and compares what they serve with what the others do."""
        self.spread = True
        for _ in range(self.cuts):
            time.sleep(CUT_RECOVERY_SECONDS)
            severed = self.cut_random.sample(self.gateways, self.cut_random.randint(1, len(self.gateways) - 1))
            mode = self.cut_random.choice(MODES)
            delay = self.delay_random.choice(RESET_DELAYS)
            name = f"cut {mode} {delay} {' '.join(gateway.name for gateway in severed)}"
            self.record("begin", name)
            began = time.monotonic()
            cut = PathCut(severed, [target.link for target in self.targets], mode, delay)
            time.sleep(CUT_SECONDS)
            ended = time.monotonic()
            cut.end()
            self.record("end", name)
            time.sleep(CUT_RECOVERY_SECONDS)
            results = [result for result in self.results if began + CUT_GRACE_SECONDS <= result[0] < ended]
            self.check_cut(name, [served for _, gateway, served in results if gateway in severed],
                           [served for _, gateway, served in results if gateway not in severed])
        self.spread = False

    def check_cut(self, name, severed, others):
        self.record(name, "served", sum(severed), "of", len(severed), "and", sum(others), "of", len(others))
        if not severed or not others:
            return self.add_violation(f"{name}: no requests at some gateways")
        failed = len(severed) - sum(severed)
        share = sum(severed) / len(severed) * len(others) / max(sum(others), 1)
        if share < MIN_SERVED_WHILE_CUT and failed > 10 + (len(severed) + len(others)) / 50:
            self.add_violation(f"{name}: gateways that have lost all targets served {sum(severed)} of {len(severed)}, "
                               f"the others {sum(others)} of {len(others)}")

    def inject_faults(self):
        active_faults = []
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            self.restart_stopped_gateways()
            if self.limits and self.limit_random.random() < 0.3:
                self.name_limits()
            duration = self.random.uniform(0.2, 2)
            name, end = self.fault()
            self.record("begin", name)
            active_faults.append((time.monotonic() + duration, name, end))
            due = [entry for entry in active_faults if entry[0] <= time.monotonic()]
            for entry in due:
                self.end(entry)
                active_faults.remove(entry)
            time.sleep(self.random.uniform(0.05, 0.6))
        for entry in active_faults:
            self.end(entry)

    def end(self, entry):
        _, name, end = entry
        end()
        self.record("end", name)

    def settle(self):
        """Restarts stopped gateways until all run, then lets the callers send requests without faults."""
        self.flood_over = True
        until = time.monotonic() + 6
        while time.monotonic() < until:
            self.restart_stopped_gateways()
            time.sleep(0.1)
        if len(self.programs) == 1:  # an old program may not know of rest
            self.check_rest()
        self.faults_over = True
        time.sleep(3)
        if self.limits:
            self.check_limits()
        if self.cuts:
            self.check_cuts()
        if self.accounts:
            self.accounts.check_withdrawal(self)

    def check(self):
        runs = collections.Counter()
        for target in self.targets + self.drained_targets + self.crashed_targets:
            runs.update(target.runs)
            if target.late_requests:
                self.add_violation(f"{target.id} got {len(target.late_requests)} requests after it announced draining, "
                                   f"the first: {target.late_requests[0]}")
        endings = {}
        for target in self.targets + self.drained_targets + self.crashed_targets:
            endings |= target.endings
        for attempt, name in self.unsafe.items():
            ending = f" (at {name}, {endings[attempt].name if attempt in endings else 'no odd ending'})"
            if runs[attempt] > 1:
                self.add_violation(f"{attempt} is non-idempotent and ran {runs[attempt]} times{ending}")
            if attempt in self.rejected and runs[attempt] > 0:
                self.add_violation(f"{attempt} was rejected as not run and ran{ending}")
        for attempt, gateway, began, ended, end, manner in self.unanswered:
            if runs[attempt] > 0 and not gateway.was_killed(began, ended):
                self.add_violation(f"{attempt} ran and its connection {end} without a response ({manner})")
        self.check_deadly_requests()
        if self.accounts:
            self.accounts.check(self, self.targets + self.drained_targets + self.crashed_targets)
        total = sum(self.statuses_after_faults.values())
        if total == 0 or self.statuses_after_faults[200] < MIN_SERVED_SHARE * total:
            self.add_violation(f"after the faults: {dict(self.statuses_after_faults)}")

    def check_deadly_requests(self):
        arrivals = collections.defaultdict(list)
        for target in self.targets + self.drained_targets + self.crashed_targets:
            for path, at, attempt in target.deadly_arrivals:
                arrivals[path].append((at, target.id, attempt))
        for path, all_arrivals in sorted(arrivals.items()):
            all_arrivals.sort()
            end = all_arrivals[DEADLY_CRASHES - 1][0] + DEADLY_GRACE_SECONDS if len(all_arrivals) > DEADLY_CRASHES else 0
            late = [arrival for arrival in all_arrivals if end and arrival[0] > end]
            self.record("deadly", path, "arrivals", len(all_arrivals), "late", len(late))
            for at, target, attempt in late:
                self.record("late", path, attempt, "at", target, f"{at - end:.3f} s after the end of the grace time")
            if len(late) > DEADLY_RETRIES:
                self.add_violation(f"{path} reached targets {len(all_arrivals)} times, {len(late)} of them more than "
                                   f"{DEADLY_GRACE_SECONDS} s after the third")

    def run(self):
        for gateway in self.gateways:
            self.start(gateway)
        threads = [threading.Thread(target=self.run_caller, args=(self.random.getrandbits(32), number), daemon=True)
                   for number in range(CALLERS_PER_MACHINE * self.machines or CALLERS)]
        threads.append(threading.Thread(target=send_heartbeats, args=(self,), daemon=True))
        if self.drills:
            threads.append(threading.Thread(target=self.run_drills, daemon=True))
        deadly = random.Random(f"deadly {self.random.getrandbits(32)}") if self.deadly else None
        for number in range(self.deadly):
            threads.append(threading.Thread(
                target=self.run_deadly_caller, args=(deadly.getrandbits(32), number), daemon=True))
        if self.deadly:
            threads.append(threading.Thread(target=self.replace_crashed_targets, daemon=True))
        rng = random.Random(f"flood {self.random.getrandbits(32)}") if self.flooding else None
        for number in range(self.flooding):
            threads.append(threading.Thread(
                target=flood.run_caller, args=(self, rng.getrandbits(32), number), daemon=True))
        if self.flooding:
            threads.append(threading.Thread(target=flood.watch_memory, args=(self,), daemon=True))
        time.sleep(1.5)
        for thread in threads:
            thread.start()
        try:
            self.inject_faults()
            self.settle()
            self.ended = True
            for thread in threads:
                thread.join(8)
            self.check()
        finally:
            self.ended = True
            for gateway in self.gateways:
                gateway.stop()
        return self.violations


def main():
    programs, seconds = sys.argv[1].split(","), float(sys.argv[3])
    seed, deadly, limits, cuts, accounts, drills, odd, machines, flooding = (sys.argv[2].split(":") + ["0"] * 8)[:9]
    folder = sys.argv[4] if len(sys.argv) > 4 else tempfile.mkdtemp(prefix="mulberryplank-soak-")
    os.makedirs(folder, exist_ok=True)
    soak = Soak(programs, int(seed), seconds, folder, int(deadly), int(limits), int(cuts), int(accounts),
                int(drills), int(odd), int(machines), int(flooding))
    violations = soak.run()
    print(f"soak: seed {sys.argv[2]}: {dict(soak.statuses)}, after the faults {dict(soak.statuses_after_faults)}, "
          f"{f'peak {soak.peak_mb:.0f} MB, ' if soak.flooding else ''}violations {len(violations)}")
    for line in violations[:10]:
        print("  " + line)
    if violations:
        print(f"  logs: {folder}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
