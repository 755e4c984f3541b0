"""A fleet of real proxies on loopback for scripts/measure-config and scripts/measure-members. Starts the fleet, edits
its configuration, reads its state, and ends every process by its id.

Each proxy has its own address in 127.77.0.0/16 and is in one of three failure domains. The services get no requests, so
the proxies use all their resources for the control plane.
"""
import concurrent.futures
import datetime
import hashlib
import http.client
import json
import os
import pathlib
import platform
import re
import secrets
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROXY = ROOT / "build" / "mulberryplank"
STANDIN = ROOT / "build" / "mulberryplank-standin"
OUTPUT = ROOT / "build" / "measure"

NETWORK = "127.77"
PLATFORM_HOST = f"{NETWORK}.0.1"
LOG_PORT = 7000
VMS_PORT = 7001
UNUSED_PORT = 7999  # nothing listens here: the log address of proxies that are cut from the log
CALLER_PORT, ADMIN_PORT, PEER_PORT = 8080, 8081, 8082
HOSTS_PER_NETWORK = 200  # hosts used of each /24
SEEDS = 3
DOMAINS = ("hall-a", "hall-b", "hall-c")
READY_SECONDS = 40
POLL_THREADS = 8  # threads that read the proxies' state
CHANGES_PER_EDIT = 500
TARGET_HOST = f"{NETWORK}.0.2"
FIRST_TARGET_PORT = 20_000
MAX_TARGETS = 5_000  # each takes a port
TARGETS_PER_BLOCK = 1_000  # maximum per --listen of the stand-in
HEADER_BYTES = 28  # UDP and IP headers, which the proxies' counters exclude

APPLIED = re.compile(rb'"applied":(\d+)')
READS_LOG = re.compile(rb'"reads_log":true')
EVENT = re.compile(r"^(\S+Z) \S+ (\d{3}) (\S+)(.*)$")


def address_of(index):
    return f"{NETWORK}.{1 + index // HOSTS_PER_NETWORK}.{1 + index % HOSTS_PER_NETWORK}"


def quantile(values, share):
    """Returns the value below which a fraction `share` of the values lies, or None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summary(values):
    return {"count": len(values), "p50": quantile(values, 0.5), "p99": quantile(values, 0.99),
            "max": max(values, default=None)}


def mean(values):
    return sum(values) / len(values) if values else None


def machine():
    """Returns the properties of the machine that affect the results."""
    with open("/proc/meminfo", encoding="ascii") as file:
        memory = int(re.search(r"MemTotal:\s+(\d+)", file.read()).group(1))
    return {"cores": os.cpu_count(), "memory_mb": memory // 1024, "load_average": os.getloadavg(),
            "system": platform.system(), "time": datetime.datetime.now(datetime.timezone.utc).isoformat("T", "seconds")}


def command_line():
    return "scripts/" + " ".join([pathlib.Path(sys.argv[0]).name, *sys.argv[1:]])


def write(name, result):
    OUTPUT.mkdir(parents=True, exist_ok=True)
    path = OUTPUT / name
    path.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    print(f"written to {path.relative_to(ROOT)}")


class Usage:
    """Processor time, memory and control bytes of one proxy at one point in time."""

    def __init__(self, proxy):
        self.time = time.monotonic()
        self.processor_seconds = proxy.processor_seconds()
        dump = json.loads(proxy.get("/-/dump"))
        self.sent = dump["control_bytes_sent"]
        self.received = dump["control_bytes_received"]
        self.carried = dump["carried"]
        self.members = sum(member["status"] == "alive" for member in dump["members"])
        self.resident = proxy.resident_bytes()

    def since(self, before):
        seconds = self.time - before.time
        return {"processor_share": (self.processor_seconds - before.processor_seconds) / seconds,
                "sent_bytes_per_second": (self.sent - before.sent) / seconds,
                "received_bytes_per_second": (self.received - before.received) / seconds,
                "resident_bytes": self.resident, "carried": self.carried, "members_alive": self.members}


class Proxy:
    """One proxy process."""

    def __init__(self, index, folder, key_files, operator_key, log_port, tag=""):
        self.index = index
        self.vm = f"vm-{index:04d}"
        self.host = address_of(index)
        self.log_file = folder / f"{self.vm}{tag}.log"
        self.operator_key = operator_key
        self.connection = None
        seeds = ",".join(f"{address_of(seed)}:{PEER_PORT}" for seed in range(SEEDS) if seed != index)
        command = [PROXY, "proxy", "--vm", self.vm, "--failure-domain", DOMAINS[index % len(DOMAINS)],
                   "--listen", f"{self.host}:{CALLER_PORT}", "--admin", f"{self.host}:{ADMIN_PORT}",
                   "--peer", f"{self.host}:{PEER_PORT}", "--seeds", seeds, "--log", f"{PLATFORM_HOST}:{log_port}",
                   "--vm-list", f"{PLATFORM_HOST}:{VMS_PORT}", "--threads", "1",
                   "--fleet-key-file", key_files[0], "--operator-key-file", key_files[1],
                   "--log-file", self.log_file]
        self.started = time.time()
        self.process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)

    def request(self, method, path, body=None, timeout=70):
        headers = {"Authorization": f"Bearer {self.operator_key}"}
        for attempt in range(2):  # the proxy may have closed an idle connection
            try:
                if self.connection is None:
                    self.connection = http.client.HTTPConnection(self.host, ADMIN_PORT)
                    self.connection.connect()
                self.connection.sock.settimeout(timeout)
                self.connection.request(method, path, body, headers)
                response = self.connection.getresponse()
                return response.status, response.read()
            except (OSError, http.client.HTTPException):
                self.connection = None
                if attempt == 1:
                    raise
        raise AssertionError("unreachable")

    def get(self, path):
        status, body = self.request("GET", path)
        if status != 200:
            raise RuntimeError(f"{self.vm} answered {status} to {path}: {body[:200]!r}")
        return body

    def is_ready(self):
        try:
            return self.request("GET", "/-/ready", timeout=5)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def applied(self):
        """Returns the log offset up to which the proxy has applied the configuration."""
        return int(APPLIED.search(self.get("/-/status")).group(1))

    def reads_log(self):
        """Returns whether the proxy reads the log, for its failure domain or only for itself."""
        return READS_LOG.search(self.get("/-/status")) is not None

    def members_alive(self):
        return sum(member["status"] == "alive" for member in json.loads(self.get("/-/members")))

    def processor_seconds(self):
        """Returns the processor time of all threads, with nanosecond resolution if the system provides it."""
        folder = pathlib.Path(f"/proc/{self.process.pid}/task")
        total = 0
        for task in folder.iterdir():
            total += int((task / "schedstat").read_text(encoding="ascii").split()[0])
        return total / 1e9

    def resident_bytes(self):
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) * 1024

    def events(self):
        """Yields (time, number, rest of the line) for each logged event."""
        if not self.log_file.exists():
            return
        for line in self.log_file.read_text(encoding="utf-8", errors="replace").splitlines():
            match = EVENT.match(line)
            if match:
                moment = datetime.datetime.strptime(match[1], "%Y-%m-%dT%H:%M:%S.%fZ")
                yield moment.replace(tzinfo=datetime.timezone.utc).timestamp(), int(match[2]), match[4]

    def kill(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class Fleet:
    """The log, the VM list and the proxies. A context manager that always ends all processes."""

    def __init__(self, size, folder, cut_from_log=lambda index: False):
        self.folder = pathlib.Path(folder)
        self.size = size
        self.cut_from_log = cut_from_log
        self.operator_key = secrets.token_hex(24)
        self.proxies = []
        self.platform = {}
        self.versions = {}
        self.vm_list_bytes_per_entry = None
        self.pool = concurrent.futures.ThreadPoolExecutor(POLL_THREADS)
        self.key_files = (self.folder / "fleet.key", self.folder / "operator.key")
        self.key_files[0].write_text(secrets.token_hex(24) + "\n", encoding="ascii")
        self.key_files[1].write_text(self.operator_key + "\n", encoding="ascii")
        for file in self.key_files:
            file.chmod(0o600)

    def __enter__(self):
        try:
            self.start_platform()
            for index in range(self.size):
                self.proxies.append(self.start_proxy(index))
            self.wait_until_joined()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *unused):
        self.stop()

    def stop(self):
        for proxy in self.proxies:
            proxy.kill()
        for process in self.platform.values():
            process.kill()
            process.wait()
        self.pool.shutdown()

    def start_platform(self):
        for name, port in (("log", LOG_PORT), ("vms", VMS_PORT)):
            self.platform[name] = subprocess.Popen([STANDIN, name, "--listen", f"{PLATFORM_HOST}:{port}"],
                                                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        for port in (LOG_PORT, VMS_PORT):
            wait_for(f"stand-in at port {port}", lambda port=port: listens(PLATFORM_HOST, port))
        vms = [{"vm": f"vm-{index:04d}", "address": address_of(index),
                "failure_domain": DOMAINS[index % len(DOMAINS)], "state": "live"} for index in range(self.size + 8)]
        connection = http.client.HTTPConnection(PLATFORM_HOST, VMS_PORT, timeout=5)
        connection.request("POST", "/-/vms", json.dumps({"vms": vms}))
        response = connection.getresponse()
        response.read()
        if response.status != 200:
            raise RuntimeError("the VM list was refused")
        connection.request("GET", "/vms")
        self.vm_list_bytes_per_entry = len(connection.getresponse().read()) / len(vms)
        connection.close()

    def start_targets(self, count):
        if count > MAX_TARGETS:
            raise RuntimeError(f"at most {MAX_TARGETS} targets")
        blocks = -(-count // TARGETS_PER_BLOCK)
        per_block = -(-count // blocks)
        command = [STANDIN, "target", "--count", str(per_block), "--threads", "1"]
        for block in range(blocks):
            command += ["--listen", f"{TARGET_HOST}:{FIRST_TARGET_PORT + block * per_block}"]
        self.platform["targets"] = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        wait_for("targets", lambda: listens(TARGET_HOST, FIRST_TARGET_PORT + count - 1))

    def stop_platform(self, name):
        """Ends the process "log", "vms" or "targets", so that nothing listens on its ports."""
        self.platform[name].kill()
        self.platform[name].wait()

    def start_proxy(self, index, tag=""):
        log_port = UNUSED_PORT if self.cut_from_log(index) else LOG_PORT
        return Proxy(index, self.folder, self.key_files, self.operator_key, log_port, tag)

    def map_proxies(self, action, proxies=None):
        """Returns the results of `action` for all proxies, or the given ones. Runs POLL_THREADS at a time."""
        return list(self.pool.map(action, self.proxies if proxies is None else proxies))

    def wait_until_joined(self):
        """Waits until every proxy is ready and sees all members alive."""
        wait_for("proxies ready", lambda: all(self.map_proxies(Proxy.is_ready)))
        wait_for("proxies know each other",
                 lambda: all(count == self.size for count in self.map_proxies(Proxy.members_alive)))

    # Configuration.

    def submit(self, changes, proxy_index, wait_ms):
        """Submits one edit and returns the response."""
        body = json.dumps({"v": 1, "id": secrets.token_hex(12), "changes": changes})
        status, response = self.proxies[proxy_index].request("POST", f"/-/edit?wait_ms={wait_ms}", body)
        if status != 200:
            raise RuntimeError(f"edit refused with {status}: {response[:300]!r}")
        return json.loads(response)

    def edit(self, changes, proxy_index=0, wait_ms=0):
        """Submits one edit with the current versions of the items, and returns the response of the proxy."""
        for change in changes:
            change["version"] = self.versions.get(key_of(change), 0)
        response = self.submit(changes, proxy_index, wait_ms)
        for change in changes:
            self.versions[key_of(change)] = response["offset"] + 1
        return response

    def fill(self, services, targets, rows):
        """Starts the targets and adds services, targets and rows. Targets and rows spread evenly over the services."""
        self.start_targets(targets)
        changes = [service_change(number) for number in range(services)]
        changes += [target_change(number, number % services) for number in range(targets)]
        changes += [account_change(number) for number in range(rows)]
        changes += [row_change(number, number % services, 1) for number in range(rows)]
        offset = None
        for begin in range(0, len(changes), CHANGES_PER_EDIT):
            offset = self.edit(changes[begin:begin + CHANGES_PER_EDIT])["offset"]
        wait_for("table in force", lambda: all(applied > offset for applied in self.map_proxies(Proxy.applied)))

    def edit_weight(self, number, services, weight, proxy_index=0, wait_ms=0):
        return self.edit([row_change(number, number % services, weight)], proxy_index, wait_ms)

    # Resource usage.

    def usage_over(self, seconds, during=lambda end: None):
        """Returns the usage of each proxy in the next `seconds`, while `during(end)` runs until the time `end`."""
        before = self.map_proxies(Usage)
        end = time.monotonic() + seconds
        during(end)
        time.sleep(max(0.0, end - time.monotonic()))
        after = self.map_proxies(Usage)
        return [later.since(earlier) for earlier, later in zip(before, after)]


def key_of(change):
    if change["kind"] == "row":
        return "row", change["account"], change["service"]
    return change["kind"], change["name"]


def service_change(number):
    return {"kind": "service", "name": f"service-{number:05d}", "detection": "balanced", "floor_share": 0.5,
            "floor_count": 1, "slots_per_target": 4, "connections_per_target": 330, "routes": [
                {"name": f"route-{route}", "method": "GET", "path_prefix": f"/part-{route}/", "idempotent": True,
                 "timeout_ms": 2000, "progress_timeout_ms": 1000} for route in range(5)]}


def target_change(number, service):
    return {"kind": "target", "name": f"target-{number:06d}", "service": f"service-{service:05d}",
            "host": TARGET_HOST, "port": FIRST_TARGET_PORT + number,
            "failure_domain": DOMAINS[number % len(DOMAINS)]}


def account_change(number):
    digest = hashlib.sha256(f"secret-{number}".encode()).hexdigest()
    return {"kind": "account", "name": f"account-{number:06d}", "secret_sha256": digest}


def row_change(number, service, weight):
    return {"kind": "row", "account": f"account-{number:06d}", "service": f"service-{service:05d}", "weight": weight,
            "requests_per_second": 100, "in_flight": 8, "queue": 32}


def wait_for(what, check, seconds=READY_SECONDS):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return
        time.sleep(0.05)
    raise RuntimeError(f"{what}: not within {seconds} s")


def listens(host, port):
    try:
        socket.create_connection((host, port), 1).close()
        return True
    except OSError:
        return False


def averaged(usages):
    """Returns the means over the proxies, and the maxima of memory, bytes sent and processor share."""
    result = {key: mean([usage[key] for usage in usages]) for key in usages[0]}
    result["largest_resident_bytes"] = max(usage["resident_bytes"] for usage in usages)
    result["largest_sent_bytes_per_second"] = max(usage["sent_bytes_per_second"] for usage in usages)
    result["largest_processor_share"] = max(usage["processor_share"] for usage in usages)
    return result
