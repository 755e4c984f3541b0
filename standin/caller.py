"""Callers that follow docs/CALLERS.md. They locate a service through the fleet, cache the location for its lifetime and
try the next address when connecting fails. A request that was sent is resent only if its response has Retry-After."""
import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field

from loopback import HOST

TIMEOUT_SECONDS = 20
MAX_RETRIES = 2


class NoResponse(Exception):
    """Raised for a request without a complete response."""


@dataclass
class Response:
    status: int
    headers: object
    body: bytes

    def json(self):
        return json.loads(self.body)


@dataclass
class Location:
    addresses: list
    token: str
    expires_at: float


class Caller:
    """A caller of one client account. Must be used by one thread only."""

    def __init__(self, account, secret, ports, seed=1):
        self.authorization = {"Authorization": f"Bearer {account}.{secret}"}
        self.account = account
        self.ports = list(ports)  # of the initially known proxies
        self.random = random.Random(seed)
        self.locations = {}
        self.connections = {}
        self.rejections = []  # responses to the current request that permitted a retry

    def location(self, service):
        """Returns the location of the service, from the cache if it has not expired."""
        cached = self.locations.get(service)
        if cached and time.monotonic() < cached.expires_at:
            return cached
        for port in self.known_ports():
            requested_at = time.monotonic()
            response = self.send_to_any([port], "GET", f"/-/locate/{service}", optional=True)
            if response and response.status == 200:
                break
        else:
            raise NoResponse(f"locate {service}: no proxy responded with a location; last response: {response}")
        location = response.json()
        self.locations[service] = Location(location["addresses"], response.headers["X-Once-Token"],
                                           requested_at + location["lifetime_ms"] / 1000)
        self.close_unlisted()
        return self.locations[service]

    def request(self, method, service, path, body=None, headers=None):
        """Sends a request to one of the service's addresses, chosen at random by weight, and returns the response."""
        entries = self.location(service).addresses
        if not entries:
            raise NoResponse(f"locate {service}: no addresses")
        by_weight = sorted(entries, key=lambda entry: self.random.random() ** (1 / entry["weight"]), reverse=True)
        return self.send_to_any([entry["port"] for entry in by_weight], method, f"/{service}{path}", body, headers)

    def request_with_retries(self, method, service, path, body=None, headers=None):
        """Sends a request, and retries it up to MAX_RETRIES times after responses with a Retry-After header."""
        self.rejections = []
        while True:
            response = self.request(method, service, path, body, headers)
            if response.status == 200 or "Retry-After" not in response.headers or len(self.rejections) == MAX_RETRIES:
                return response
            self.rejections.append(f"{response.status} {response.json()['error']}")
            time.sleep(float(response.headers["Retry-After"]))

    def send_to_any(self, ports, method, path, body=None, headers=None, optional=False):
        """Sends a request to the first of the ports that accepts a connection. If none does, returns None with
        `optional`, and raises NoResponse without it."""
        for port in ports:
            connection = self.connection(port)
            if connection is not None:
                return self.exchange(port, connection, method, path, body, headers)
        if optional:
            return None
        raise NoResponse(f"{method} {path}: no proxy accepts a connection")

    def exchange(self, port, connection, method, path, body, headers):
        try:
            connection.request(method, path, body, {**self.authorization, **(headers or {})})
            response = connection.getresponse()
            complete = Response(response.status, response.headers, response.read())
        except (OSError, http.client.HTTPException) as problem:
            self.connections.pop(port).close()
            raise NoResponse(f"{method} {path} on port {port}: {problem!r}") from problem
        if response.will_close:
            self.connections.pop(port).close()
        return complete

    def connection(self, port):
        """Returns an open connection, or None if connecting fails."""
        if port not in self.connections:
            connection = http.client.HTTPConnection(HOST, port, timeout=TIMEOUT_SECONDS)
            try:
                connection.connect()
            except OSError:
                return None
            self.connections[port] = connection
        return self.connections[port]

    def known_ports(self):
        """Returns the ports of all known proxies, those in cached locations first."""
        listed = [entry["port"] for location in self.locations.values() for entry in location.addresses]
        self.random.shuffle(listed)
        return list(dict.fromkeys(listed + self.ports))

    def close_unlisted(self):
        """Closes connections to proxies that are in no cached location."""
        listed = {entry["port"] for location in self.locations.values() for entry in location.addresses}
        for port in [port for port in self.connections if port not in listed]:
            self.connections.pop(port).close()

    def close(self):
        for connection in self.connections.values():
            connection.close()
        self.connections.clear()


@dataclass
class Record:
    """One request of a Traffic and its result."""
    sent_at: float
    seconds: float
    name: str
    problem: str  # empty if the response was complete and correct
    rejections: list  # earlier responses that permitted a retry


@dataclass
class Traffic:
    """Sends requests at a fixed rate from several callers, until stop(). `request(caller, name)` sends the request with
    that name and returns what is wrong with the response, or an empty string."""
    callers: list
    per_second: float
    request: object
    records: list = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)
    threads: list = field(default_factory=list)

    def start(self):
        begin = time.monotonic()
        for index, caller in enumerate(self.callers):
            thread = threading.Thread(target=self.run_caller, args=(caller, index, begin), daemon=True)
            self.threads.append(thread)
            thread.start()
        return self

    def run_caller(self, caller, index, begin):
        number = index
        while True:
            delay = begin + number / self.per_second - time.monotonic()
            if self.stopping.wait(max(0, delay)):
                break
            self.send(caller, f"{caller.account}-{number}")
            number += len(self.callers)
        caller.close()

    def send(self, caller, name):
        sent_at = time.monotonic()
        caller.rejections = []
        try:
            problem = self.request(caller, name)
        except NoResponse as failure:
            problem = str(failure)
        self.records.append(Record(sent_at, time.monotonic() - sent_at, name, problem, caller.rejections))

    def stop(self):
        """Waits for the requests in flight and returns all records."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.records

    def retried(self):
        """Returns the records of requests that were retried."""
        return [record for record in self.records if record.rejections]

    def problems(self):
        return [record.problem for record in self.records if record.problem]
