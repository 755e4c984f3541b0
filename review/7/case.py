"""The large machines are removed in turn, two at a time, and the operator writes a configuration. The others must use it in time."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from stage import Backend, Gateway, NotRun, Store, configuration, main, path, request, wait_for  # noqa: E402

ZONES = ("katutura-hall", "klein-hall", "lafrenz-hall")
LARGE_PER_ZONE, SMALL_PER_ZONE = 2, 3
LARGE_CPU_SHARE, SMALL_CPU_SHARE = 0.5, 0.1  # of a core
AT_A_TIME, GAP_SECONDS = 2, 1.3  # x and gap_s of the removal
AFTER_LAST_SECONDS = 1.3  # between the last SIGTERM and the configuration
SETTLE_SECONDS = 6
CONFIG_APPLY_SECONDS = 2.5  # config-apply-ms
CHECK_SECONDS = 12
INTERVAL_SECONDS = 0.2


def config(version):
    """Version by version /orders/ moves between two services."""
    service = "press-old" if version % 2 else "press-new"
    return configuration(version, ["press-old", "press-new"], [path("/orders/", "unsafe", service)]), service


class Checks:
    """Sends requests straight to each gateway and judges who ran them."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.count = 0
        self.stale = []

    def send(self, gateway, expected, acknowledged_at, is_judged):
        with self.lock:
            self.count += 1
            attempt = f"a{self.count:05d}"
        sent_at = self.record.now()
        self.record(f"sent {attempt} POST /orders/{attempt} to {gateway.name}")
        status, _, body = request(gateway.front, "POST", f"/orders/{attempt}", attempt, 3000, b"one print run")
        ran_by = body.decode(errors="replace").split()[-1] if status == 200 else "none"
        self.record(f"answered {attempt} by {gateway.name}: {status}, run by {ran_by}")
        late = sent_at - acknowledged_at
        if is_judged and late > CONFIG_APPLY_SECONDS and (status == 404 or ran_by not in (expected, "none")):
            with self.lock:
                self.stale.append((late, gateway.name, attempt, status, ran_by))


def case(record, folder, trouble, gateways):
    store = Store(record)
    first, _ = config(1)
    store.put("keyed.op", "config", first)
    for service in ("press-old", "press-new"):
        for number, zone in enumerate(ZONES):
            Backend(store, record, service, f"i-{service}-{number}", zone)
    for number in range(LARGE_PER_ZONE + SMALL_PER_ZONE):
        for zone in ZONES:
            share = LARGE_CPU_SHARE if number < LARGE_PER_ZONE else SMALL_CPU_SHARE
            gateways.append(Gateway(f"edge-{zone}-{number + 1}", zone, store.address, folder, cpu_share=share))
    for gateway in gateways:
        gateway.start()
    wait_for("all gateways are ready", lambda: all(one.is_ready() for one in gateways), 30)
    wait_for("all gateways know each other", lambda: all(one.metric("members") == len(gateways) for one in gateways), 30)
    checks = Checks(record)
    for gateway in gateways:
        checks.send(gateway, "press-old", record.now(), False)
    time.sleep(SETTLE_SECONDS)

    store.put("keyed.op", "config", config(2)[0])
    record("the store has acknowledged version 2")
    large = gateways[:LARGE_PER_ZONE * len(ZONES)]
    removed = large if trouble else []
    for first in range(0, len(large), AT_A_TIME):
        for gateway in removed[first:first + AT_A_TIME]:
            gateway.signal(signal.SIGTERM)
            record(f"{gateway.name} gets SIGTERM and is removed")
        time.sleep(GAP_SECONDS)
    time.sleep(AFTER_LAST_SECONDS - GAP_SECONDS)
    text, service = config(3)
    store.put("keyed.op", "config", text)
    acknowledged_at = record.now()
    record(f"the store has acknowledged version 3: /orders/ goes to {service}")
    survivors = [gateway for gateway in gateways if gateway not in large]
    end = time.monotonic() + CHECK_SECONDS
    threads = []
    while time.monotonic() < end:
        for gateway in survivors:
            thread = threading.Thread(target=checks.send, args=(gateway, service, acknowledged_at, True), daemon=True)
            thread.start()
            threads.append(thread)
        time.sleep(INTERVAL_SECONDS)
    for thread in threads:
        thread.join(7)
    for gateway in survivors:
        if gateway.process.poll() is not None:
            raise NotRun(f"{gateway.name} ended by itself")
    if not checks.stale:
        return ""
    latest = max(checks.stale)
    return (f"{len(checks.stale)} requests were handled as only version 2 allows, later than {CONFIG_APPLY_SECONDS} s "
            f"after the confirmation of version 3, by {len({one[1] for one in checks.stale})} machines; the last was sent "
            f"{latest[0]:.1f} s after it to {latest[1]} and run by {latest[4]}")


main(case, FOLDER)
