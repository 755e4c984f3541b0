"""Checks that logs name the true cause of failures: soak/explain.py PROGRAM [FOLDER]

Three real gateways forward to targets of which each fails in its own way; `mulberryplank explain` has to tell, from the
gateways' logs alone, what each target did to each failed request. Ends with 1 where it doesn't.
"""

import http.client
import json
import os
import subprocess
import sys
import tempfile
import time
import uuid

from fleet import LOOPBACK, Gateway, Store, Target

FIRST_PORT = 32_100
# What a target does, and what explain has to say of it for a request that may run once.
CAUSES = {
    "reset": "broke the connection after the request was sent; it may run only once",
    "lose": "broke the connection after the request was sent; it may run only once",
    "shed": "refused it for load, and did not run it (status 503)",
    "hang": "gave no answer in time",
    "error": "answered with an error of its own (status 500)",
    "cut": "ended its answer too early (status 200)",
}
NO_TARGET = "no target of the service took work"


def configure(store):
    """One path and service for each fault, and one service without targets."""
    names = list(CAUSES) + ["empty"]
    paths = [{"name": name, "path-prefix": f"/{name}/", "route-type": "unsafe", "timeout-ms": 1000,
              "target-latency-ms": 300, "priority": 1, "service": name, "max-attempts": 2} for name in names]
    store.put("keyed.op", "config", json.dumps({
        "config-version": "00000001",
        "services": [{"name": name, "health-path": "/healthz", "max-connections": 300} for name in names],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "virtual-hosts": [{"hostname": "soak.example", "paths": paths}]}))


def call(gateway, path):
    """Sends one request and returns its id."""
    attempt = uuid.uuid4().hex
    connection = http.client.HTTPConnection(LOOPBACK, gateway.front, timeout=5)
    connection.request("POST", path, b"body", {"Host": "soak.example", "Attempt-Id": attempt, "Deadline-Ms": "2000"})
    connection.getresponse().read()
    connection.close()
    return attempt


def wait_until_ready(gateways, seconds=20):
    until = time.monotonic() + seconds
    for gateway in gateways:
        while not gateway.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f"{gateway.log}: not ready after {seconds} s")
            time.sleep(0.05)


def main():
    program = sys.argv[1]
    folder = sys.argv[2] if len(sys.argv) > 2 else tempfile.mkdtemp(prefix="mulberryplank-explain-")
    os.makedirs(folder, exist_ok=True)
    store = Store()
    for name in CAUSES:
        Target(store, name, 0, 0.02).fault = name
    configure(store)
    gateways = [Gateway(program, store, FIRST_PORT, number, folder) for number in range(3)]
    wrong = 0
    try:
        for gateway in gateways:
            gateway.start()
        wait_until_ready(gateways)
        failed = [(call(gateway, f"/{name}/x"), cause) for gateway in gateways
                  for name, cause in [*CAUSES.items(), ("empty", NO_TARGET)]]
    finally:
        for gateway in gateways:
            gateway.stop()
    logs = [gateway.log for gateway in gateways]
    for attempt, cause in failed:
        told = subprocess.run([program, "explain", attempt, *logs], capture_output=True, text=True, check=False).stdout
        if "cause: " not in told or cause not in told:
            wrong += 1
            print(f"explain: expected '{cause}', told:\n{told}")
    print(f"explain: {len(failed)} failed requests over {len(gateways)} gateways, {wrong} not explained")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
