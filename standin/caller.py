"""Callers as docs/CALLERS.md wants them: they ask the fleet where to go, keep the answer for as long as it says, and go
to the next address where no connection can be made. What was sent is never sent again."""
import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field

from loopback import HOST

TIMEOUT_SECONDS = 20
MOST_REPEATS = 2


class Lost(Exception):
    """A request that was sent and got no whole answer."""


@dataclass
class Answer:
    status: int
    headers: object
    body: bytes

    def json(self):
        return json.loads(self.body)


@dataclass
class Location:
    addresses: list
    token: str
    until: float


class Caller:
    """One client account's caller. Used by one thread."""

    def __init__(self, account, secret, ports, seed=1):
        self.authorization = {"Authorization": f"Bearer {account}.{secret}"}
        self.account = account
        self.ports = list(ports)  # of proxies to begin with
        self.random = random.Random(seed)
        self.locations = {}
        self.connections = {}
        self.refusals = []  # of the request under way

    def location(self, service):
        """Returns where the service is, from the last answer if it may still be used."""
        known = self.locations.get(service)
        if known and time.monotonic() < known.until:
            return known
        for port in self.known_ports():
            asked = time.monotonic()
            answer = self.on_any([port], "GET", f"/-/locate/{service}", optional=True)
            if answer and answer.status == 200:
                break
        else:
            raise Lost(f"locate {service}: no proxy answered; the last one: {answer}")
        found = answer.json()
        self.locations[service] = Location(found["addresses"], answer.headers["X-Once-Token"],
                                           asked + found["lifetime_ms"] / 1000)
        self.drop_unlisted()
        return self.locations[service]

    def request(self, method, service, path, body=None, headers=None):
        """Sends a request to one of the service's addresses, chosen by weight, and returns its answer."""
        entries = self.location(service).addresses
        if not entries:
            raise Lost(f"locate {service}: no addresses")
        keyed = sorted(entries, key=lambda entry: self.random.random() ** (1 / entry["weight"]), reverse=True)
        return self.on_any([entry["port"] for entry in keyed], method, f"/{service}{path}", body, headers)

    def repeating(self, method, service, path, body=None, headers=None):
        """Sends a request, and again after each answer that allows it by a Retry-After, a few times."""
        self.refusals = []
        while True:
            answer = self.request(method, service, path, body, headers)
            if answer.status == 200 or "Retry-After" not in answer.headers or len(self.refusals) == MOST_REPEATS:
                return answer
            self.refusals.append(f"{answer.status} {answer.json()['error']}")
            time.sleep(float(answer.headers["Retry-After"]))

    def on_any(self, ports, method, path, body=None, headers=None, optional=False):
        """Sends a request to the first of the ports that takes a connection. With `optional`, returns None if there is
        none."""
        for port in ports:
            connection = self.connection(port)
            if connection is not None:
                return self.exchange(port, connection, method, path, body, headers)
        if optional:
            return None
        raise Lost(f"{method} {path}: no proxy takes a connection")

    def exchange(self, port, connection, method, path, body, headers):
        try:
            connection.request(method, path, body, {**self.authorization, **(headers or {})})
            answer = connection.getresponse()
            whole = Answer(answer.status, answer.headers, answer.read())
        except (OSError, http.client.HTTPException) as problem:
            self.connections.pop(port).close()
            raise Lost(f"{method} {path} on port {port}: {problem!r}") from problem
        if answer.will_close:
            self.connections.pop(port).close()
        return whole

    def connection(self, port):
        """Returns an open connection, or None if none can be made."""
        if port not in self.connections:
            connection = http.client.HTTPConnection(HOST, port, timeout=TIMEOUT_SECONDS)
            try:
                connection.connect()
            except OSError:
                return None
            self.connections[port] = connection
        return self.connections[port]

    def known_ports(self):
        """Returns the proxies' ports, those named last first."""
        named = [entry["port"] for location in self.locations.values() for entry in location.addresses]
        self.random.shuffle(named)
        return list(dict.fromkeys(named + self.ports))

    def drop_unlisted(self):
        """Closes connections to proxies that no location names any longer."""
        named = {entry["port"] for location in self.locations.values() for entry in location.addresses}
        for port in [port for port in self.connections if port not in named]:
            self.connections.pop(port).close()

    def close(self):
        for connection in self.connections.values():
            connection.close()
        self.connections.clear()


@dataclass
class Record:
    """One request of a Traffic and what came of it."""
    sent_at: float
    seconds: float
    name: str
    problem: str  # empty if the whole answer was right
    refusals: list  # what it was answered before, when it was repeated as the answer allowed


@dataclass
class Traffic:
    """Requests at a fixed rate from several callers, until stop(). `request(caller, name)` sends the one of that name
    and returns what is wrong with the answer, or an empty text."""
    callers: list
    per_second: float
    request: object
    records: list = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)
    threads: list = field(default_factory=list)

    def start(self):
        begin = time.monotonic()
        for index, caller in enumerate(self.callers):
            thread = threading.Thread(target=self.drive, args=(caller, index, begin), daemon=True)
            self.threads.append(thread)
            thread.start()
        return self

    def drive(self, caller, index, begin):
        number = index
        while True:
            pause = begin + number / self.per_second - time.monotonic()
            if self.stopping.wait(max(0, pause)):
                break
            self.send(caller, f"{caller.account}-{number}")
            number += len(self.callers)
        caller.close()

    def send(self, caller, name):
        sent_at = time.monotonic()
        caller.refusals = []
        try:
            problem = self.request(caller, name)
        except Lost as lost:
            problem = str(lost)
        self.records.append(Record(sent_at, time.monotonic() - sent_at, name, problem, caller.refusals))

    def stop(self):
        """Lets requests under way end, and returns all records."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.records

    def refused(self):
        """Returns the records of requests that had to be repeated."""
        return [record for record in self.records if record.refusals]

    def problems(self):
        return [record.problem for record in self.records if record.problem]
