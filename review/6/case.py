"""All machines lose power at once and a third of them don't return: the others must keep a tenant's limit together."""

import json
import pathlib
import random
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from stage import HOST, Backend, DarkMachine, Gateway, NotRun, Store, configuration, main, path, request, wait_for  # noqa: E402

ZONES = ("katutura-hall", "klein-hall", "lafrenz-hall")
GATEWAYS_PER_ZONE = 6
NAMING_SECONDS = 6  # until the gateways have written to the store through whom others join
LOST_PER_ZONE = 2
DOWN_SECONDS = 1.2
RETURN_SECONDS = 20  # after the return, before requests are counted
WATCH_SECONDS = 15
KEY = "k-4711"
RATE, BURST = 20.0, 20.0  # rate-per-s, burst
WINDOW_SECONDS, OVERAGE, SLACK = 5.0, 0.1, 20  # quota-window-s, quota-overage, quota-slack
LIMIT = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERAGE) + SLACK
CLIENTS_PER_ZONE = 6
CLIENT_PAUSE_SECONDS = 0.05
MAX_WAIT_SECONDS = 2 / 3  # a third of the client's time limit


class CountingBackend(Backend):
    """Notes when each request of the tenant began to run."""

    runs = []

    def run(self, handler, attempt, body):
        self.runs.append((self.record.now(), attempt))
        super().run(handler, attempt, body)


class Client(threading.Thread):
    """A client of the tenant: asks machines of its zone where to connect, and waits as it is told after a refusal."""

    def __init__(self, record, gateways, zone, number, sent, ended):
        super().__init__(daemon=True)
        self.record, self.gateways, self.zone, self.number, self.sent, self.ended = (
            record, gateways, zone, number, sent, ended)
        self.random = random.Random(number)
        self.addresses, self.until = [], 0

    def resolve(self):
        nearest = [one for one in self.gateways if one.zone == self.zone]
        for gateway in self.random.sample(nearest, len(nearest)):
            target = f"/mulberryplank/resolve?name={HOST}&region=windhoek&zone={self.zone}"
            status, text = gateway.fetch(gateway.directory, target)
            addresses = json.loads(text).get("addresses") if status == 200 else None
            if addresses:
                self.addresses, self.until = addresses, self.record.now() + json.loads(text)["ttl-s"]
                return

    def run(self):
        count = 0
        while not self.ended.is_set():
            if not self.addresses or self.record.now() > self.until:
                self.resolve()
            if not self.addresses:
                time.sleep(CLIENT_PAUSE_SECONDS)
                continue
            count += 1
            attempt = f"c{self.number:02d}-{count:04d}"
            address = self.random.choice(self.addresses)
            at = self.record.now()
            status, fields, _ = request(int(address.split(":")[1]), "GET", f"/lists/{attempt}", attempt, 2000,
                                        headers={"Authorization": f"Token {KEY}"})
            if status:
                self.sent[attempt] = at
                self.record(f"sent {attempt} to {address}", at)
                self.record(f"answered {attempt}: {status}")
            else:
                self.addresses = []
            wait = float(fields.get("Retry-After") or 0) if status in (429, 503) else 0
            time.sleep(max(CLIENT_PAUSE_SECONDS, min(wait, MAX_WAIT_SECONDS)))


def most_in_window(times):
    """Returns the most requests that lie in one window, and when it begins."""
    times = sorted(times)
    best, at, first = 0, 0, 0
    for last, now in enumerate(times):
        while now - times[first] > WINDOW_SECONDS:
            first += 1
        if last - first + 1 > best:
            best, at = last - first + 1, times[first]
    return best, at


def named_in_store(store):
    """Returns the machines through which others join, as the gateways wrote them to the store."""
    with store.changed:
        newest = {key.decode(): value for key, value in store.topics["keyed.fleet"]}
    return {key[len("vm/"):] for key, value in newest.items() if key.startswith("vm/") and value}


def to_lose(gateways, store):
    """Returns two machines of each zone that the store names for others to join through."""
    named = [one for one in gateways if one.name in named_in_store(store)]
    return [one for zone in ZONES for one in [one for one in named if one.zone == zone][:LOST_PER_ZONE]]


def case(record, folder, trouble, gateways):
    store = Store(record)
    tenants = [{"name": "farm-shop", "api-keys": [KEY], "priority": 1, "rate-per-s": RATE, "burst": BURST}]
    store.put("keyed.op", "config", configuration(1, ["lists"], [path("/lists/", "safe", "lists", 2000, 1000)], tenants))
    for number in range(6):
        CountingBackend(store, record, "lists", f"i-lists-{number}", ZONES[number % len(ZONES)])
    for number in range(GATEWAYS_PER_ZONE):
        for zone in ZONES:
            gateways.append(Gateway(f"edge-{zone}-{number + 1}", zone, store.address, folder, window_seconds=5))
    for gateway in gateways:
        gateway.start()
    wait_for("all gateways are ready", lambda: all(one.is_ready() for one in gateways), 30)
    wait_for("all gateways know each other", lambda: all(one.metric("members") == len(gateways) for one in gateways), 30)
    time.sleep(NAMING_SECONDS)
    for gateway in gateways:
        gateway.restart_later_starts()

    record(f"named in the store for others to join through: {sorted(named_in_store(store))}")
    lost = to_lose(gateways, store)
    remaining = [one for one in gateways if one not in lost]
    if trouble:
        for gateway in gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in gateways:
            gateway.process.wait()
        record(f"all machines lose power; lost for good: {[one.name for one in lost]}")
        dark = [DarkMachine(one) for one in lost]
        time.sleep(DOWN_SECONDS)
        for gateway in remaining:
            gateway.start()
        record(f"have power again: {[one.name for one in remaining]}; {len(dark)} stay dark")
    time.sleep(RETURN_SECONDS)
    sent, ended = {}, threading.Event()
    clients = [Client(record, remaining, zone, index * CLIENTS_PER_ZONE + number, sent, ended)
               for index, zone in enumerate(ZONES) for number in range(CLIENTS_PER_ZONE)]
    for client in clients:
        client.start()
    time.sleep(WATCH_SECONDS)
    members = [one.metric("members") for one in remaining]
    record(f"gateways that each one of the {len(remaining)} knows: {members}")
    ended.set()
    for client in clients:
        client.join(6)
    for gateway in remaining:
        if gateway.process.poll() is not None:
            raise NotRun(f"{gateway.name} ended by itself")
    counted = [max(at, sent[attempt]) for at, attempt in CountingBackend.runs if attempt in sent]
    most, began = most_in_window(counted)
    record(f"{len(counted)} requests of the tenant ran; at most {most} in {WINDOW_SECONDS} s, from {began:.3f} s; "
           f"allowed {LIMIT:.0f}")
    if most <= LIMIT:
        return ""
    return f"{most} requests of a tenant were sent and run in {WINDOW_SECONDS} s; allowed {LIMIT:.0f}"


main(case, FOLDER)
