"""Checks that the logs contain the true cause of failures: soak/explain.py PROGRAM [FOLDER]

Three real gateways forward requests to targets that each fail in a different way. `mulberryplank explain` must report,
from the gateways' logs alone, how the target failed each request. Exits with 1 if it doesn't.
"""

import http.client
import os
import subprocess
import sys
import tempfile
import time
import uuid

from fleet import HOST, LOOPBACK, Gateway, Store, Target, account, configure, path

FIRST_PORT = 32_100
# The fault of a target, and the cause that explain must print for a non-idempotent request.
CAUSES = {
    "reset": "broke the connection after the request was sent; it may run only once",
    "lose": "broke the connection after the request was sent; it may run only once",
    "shed": "refused it for load, and did not run it (status 503)",
    "hang": "gave no answer in time",
    "error": "answered with an error of its own (status 500)",
    "cut": "ended its answer too early (status 200)",
}
NO_TARGET = "no target of the service took work"
# What is refused because of the caller's account, by the key that it presents.
KEY = "key-of-press"
REFUSED_KEYS = {
    "key-of-nobody": "no key, or a key of no account",
    "key-of-farm": "account farm has used up its limit",
}


def call(gateway, target, key=KEY):
    """Sends one request and returns its attempt id."""
    attempt = uuid.uuid4().hex
    connection = http.client.HTTPConnection(LOOPBACK, gateway.listen_port, timeout=5)
    connection.request("POST", target, b"body", {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "2000",
                                                 "Authorization": f"Token {key}"})
    connection.getresponse().read()
    connection.close()
    return attempt


def wait_until_ready(gateways, seconds=20):
    deadline = time.monotonic() + seconds
    for gateway in gateways:
        while not gateway.is_ready():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{gateway.log}: not ready after {seconds} s")
            time.sleep(0.05)


def main():
    program = sys.argv[1]
    folder = sys.argv[2] if len(sys.argv) > 2 else tempfile.mkdtemp(prefix="mulberryplank-explain-")
    os.makedirs(folder, exist_ok=True)
    store = Store()
    for name in CAUSES:
        Target(store, name, 0, 0.02).fault = name
    # One path and service per fault, and one service without targets.
    names = [*CAUSES, "empty"]
    accounts = [account("press", [KEY]), account("farm", ["key-of-farm"], per_second=0.001, burst=1)]
    configure(store, 1, names, [path(f"/{name}/", "unsafe", name, 1000, 300) for name in names], accounts)
    gateways = [Gateway(program, store, FIRST_PORT, number, folder) for number in range(3)]
    unexplained = 0
    try:
        for gateway in gateways:
            gateway.start()
        wait_until_ready(gateways)
        failed = [(call(gateway, f"/{name}/x"), cause) for gateway in gateways
                  for name, cause in [*CAUSES.items(), ("empty", NO_TARGET)]]
        call(gateways[0], "/error/x", "key-of-farm")  # may use up the limit
        failed += [(call(gateway, "/error/x", key), cause) for gateway in gateways
                   for key, cause in REFUSED_KEYS.items()]
    finally:
        for gateway in gateways:
            gateway.stop()
    logs = [gateway.log for gateway in gateways]
    for attempt, cause in failed:
        explanation = subprocess.run([program, "explain", attempt, *logs], capture_output=True, text=True,
                                     check=False).stdout
        if "cause: " not in explanation or cause not in explanation:
            unexplained += 1
            print(f"explain: expected '{cause}', got:\n{explanation}")
    print(f"explain: {len(failed)} failed requests on {len(gateways)} gateways, {unexplained} not explained")
    return 1 if unexplained else 0


if __name__ == "__main__":
    sys.exit(main())
