"""Runs a small deployment on loopback for the review's scripts.

The gateways are real processes, started with the command and the settings template of deploy/system.toml. The
platform's store, the backends and the clients are small stand-ins that run in threads of the script.
"""

import base64
import collections
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOST = "hulo84.example"
HEARTBEAT_SECONDS = 1.5
MAX_SCRIPT_SECONDS = 110
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER
ZONES = ("katutura-hall", "klein-hall", "lafrenz-hall")
# Of sites/kpc-gateway.toml, as SYSTEM.md lists them.
BOUNDS = {"seed-lag-s": 3, "reuse-delay-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
          "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000,
          "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 56, "recovery-s": 15, "ttl_max_s": 5,
          "probes-per-s": 3, "floor-share": 0.7}


def free_port():
    """Returns a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((LOOPBACK, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((LOOPBACK, port))
                return port
            except OSError:
                continue


def serve(handler, port=0):
    """Accepts connections on a thread; each is given to handler(socket) on its own thread. Returns the listener."""
    listener = socket.create_server((LOOPBACK, port), backlog=256)

    def run(connection):
        try:
            handler(connection)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            connection.close()

    def accept():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=run, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


def reset(connection):
    """Closes a connection with a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def sockets_of(pid):
    """Returns the names of the sockets of a process that the script started."""
    folder = f"/proc/{pid}/fd"
    names = set()
    try:
        for name in os.listdir(folder):
            try:
                names.add(os.readlink(f"{folder}/{name}"))
            except OSError:
                pass  # closed meanwhile
    except OSError:
        pass  # the process has ended
    return names


def sockets_by_ports():
    """Returns the sockets of loopback connections by their own port and the other end's, both in hexadecimal."""
    sockets = {}
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            row = line.split()
            if row[9] != "0":
                sockets[(row[1][-4:], row[2][-4:])] = f"socket:[{row[9]}]"
    return sockets


def ports_of_opener(connection):
    """Returns the ports of an accepted connection as its opener has them, or None if it is closed."""
    try:
        return f"{connection.getpeername()[1]:04X}", f"{connection.getsockname()[1]:04X}"
    except OSError:
        return None


def opened_by(connections, pid):
    """Returns those of the accepted connections that the process has opened."""
    sockets, own = sockets_by_ports(), sockets_of(pid)
    return [connection for connection in connections if sockets.get(ports_of_opener(connection)) in own]


class Message:
    """A request or a response: the words of its first line, its header fields by lower-case name, and its body."""

    def __init__(self, first, fields):
        self.first, self.fields, self.body = first, fields, b""
        self.complete = False

    @property
    def status(self):
        return int(self.first[1])


def read_head(reader):
    """Reads a header block. Returns None at the end of the connection before its first byte."""
    line = reader.readline()
    if not line:
        return None
    first, fields = line.decode("latin1").rstrip("\r\n").split(" ", 2), {}
    while (line := reader.readline()) not in (b"\r\n", b"\n"):
        if not line:
            raise EOFError("the header ended early")
        name, _, value = line.decode("latin1").partition(":")
        fields[name.strip().lower()] = value.strip()
    return Message(first, fields)


def read_exactly(reader, size):
    data = reader.read(size)
    if len(data) < size:
        raise EOFError("the body ended early")
    return data


def read_body(reader, message, ends_with_connection=False):
    """Reads the body. It is complete only if its framing says so."""
    if message.fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int(reader.readline().split(b";")[0] or b"x", 16):
            message.body += read_exactly(reader, size)
            reader.readline()
        while reader.readline() not in (b"\r\n", b"\n"):
            pass
    elif "content-length" in message.fields:
        message.body = reader.read(int(message.fields["content-length"]))
        if len(message.body) < int(message.fields["content-length"]):
            raise EOFError("the body ended early")
    elif ends_with_connection:
        message.body = reader.read()
    message.complete = True
    return message


class Store:
    """The platform's store: keyed topics of one partition, as PROTOCOL.md describes them."""

    def __init__(self):
        self.topics = collections.defaultdict(list)
        self.changed = threading.Condition()
        self.listener = serve(self.handle)
        self.address = f"{LOOPBACK}:{self.listener.getsockname()[1]}"

    def put(self, topic, key, value):
        with self.changed:
            self.topics[topic].append((key.encode(), value.encode()))
            self.changed.notify_all()

    def handle(self, connection):
        reader = connection.makefile("rb")
        while request := read_head(reader):
            read_body(reader, request)
            path, _, text = request.first[1].partition("?")
            query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
            status, body = self.call(path.rsplit("/", 1)[1], query, request.body)
            connection.sendall(f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    def call(self, name, query, body):
        topic = query.get("topic", "")
        if name == "log-append":
            return self.append(topic, body, query.get("at"))
        if name == "log-read":
            return self.read(topic, int(query["from"]), min(int(query.get("wait-ms", 0)), 30000) / 1000)
        if name == "log-newest":
            return self.newest(topic)
        return 404, b"{}"

    def append(self, topic, body, at):
        with self.changed:
            records = self.topics[topic]
            if at is not None and int(at) != len(records):
                return 412, json.dumps({"end-offset": len(records)}).encode()
            offset = len(records)
            while body:
                (length,) = struct.unpack(">I", body[:4])
                content, body = body[4:4 + length], body[4 + length:]
                records.append((content[1:1 + content[0]], content[1 + content[0]:]))
            self.changed.notify_all()
            return 200, json.dumps({"offset": offset, "end-offset": len(records)}).encode()

    def read(self, topic, start, wait):
        with self.changed:
            self.changed.wait_for(lambda: len(self.topics[topic]) > start, wait)
            records, end = self.topics[topic][start:start + 1024], len(self.topics[topic])
        body = struct.pack(">QQ", end, 0)
        for key, value in records:
            content = bytes([len(key)]) + key + value
            body += struct.pack(">I", len(content)) + content
        return 200, body

    def newest(self, topic):
        with self.changed:
            values, end = dict(self.topics[topic]), len(self.topics[topic])
        items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": 0}
                 for key, value in values.items() if value]
        return 200, json.dumps({"items": items, "has-more": False, "end-offset": end}).encode()


def route(prefix, kind, service, timeout_ms, max_attempts=2):
    return {"name": prefix.strip("/"), "path-prefix": prefix, "route-type": kind, "timeout-ms": timeout_ms,
            "target-latency-ms": 1200, "priority": 1, "service": service, "max-attempts": max_attempts}


def write_config(store, version, services, routes):
    store.put("keyed.op", "config", json.dumps({
        "config-version": f"{version:08x}",
        "services": [{"name": name, "health-path": "/healthz", "max-connections": 330} for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "virtual-hosts": [{"hostname": HOST, "paths": routes}]}))


class Backend:
    """A backend of a service. answer(backend, connection, request) sends the response of a request that is to run, and
    returns whether the connection stays open. A request for another backend gets 421 and doesn't run."""

    def __init__(self, stage, service, zone, answer):
        self.stage, self.service, self.zone, self.answer = stage, service, zone, answer
        self.id = f"i-{os.urandom(4).hex()}"
        self.sequence = 0
        self.slots = threading.Semaphore(4)
        self.accepts = lambda connection: True  # a path fault refuses connections
        self.open = set()  # connections of gateways
        self.listener = serve(self.handle)
        self.address = f"{LOOPBACK}:{self.listener.getsockname()[1]}"
        self.announce()
        threading.Thread(target=self.beat, daemon=True).start()

    def announce(self):
        self.sequence += 1
        self.stage.store.put("keyed.servers", self.id, json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone, "config-version": "v1", "slots": 4,
            "state": "ready", "warmup-left-ms": 0, "sequence": self.sequence}))

    def beat(self):
        while True:
            time.sleep(HEARTBEAT_SECONDS)
            self.announce()

    def handle(self, connection):
        if not self.accepts(connection):
            return reset(connection)
        self.open.add(connection)
        try:
            self.serve_requests(connection)
        finally:
            self.open.discard(connection)

    def serve_requests(self, connection):
        reader = connection.makefile("rb")
        while request := read_head(reader):
            read_body(reader, request)
            if request.first[1] == "/healthz":
                connection.sendall(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            attempt = request.fields.get("attempt-id", "")
            if request.fields.get("target-instance", self.id) != self.id:
                connection.sendall(f"HTTP/1.1 421 X\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
                                   "Content-Length: 0\r\n\r\n".encode())
                continue
            with self.slots:
                if not self.answer(self, connection, request):
                    return


def response(request, status, body, fields=(), signature=True):
    """Returns the bytes of a response with the length of its body."""
    lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {request.fields['attempt-id']}", f"Content-Length: {len(body)}"]
    lines += ["Response-Signature: 3e1b.07.5a2"] if signature else []
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Gateway:
    """One machine with the gateway process of the deploy file."""

    def __init__(self, stage, number):
        self.stage, self.number = stage, number
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"edge-{self.zone}-{number}"
        self.front, self.ready, self.directory, self.peer = (free_port() for _ in range(4))
        self.settings = stage.folder / f"{self.name}.env"
        self.log = stage.folder / f"{self.name}.log"
        self.process = None

    def render(self, bootstrap):
        """Fills in the template of the settings."""
        at = f"{LOOPBACK}:"
        values = {"node-name": self.name, "zone": self.zone, "ip": LOOPBACK, "internal-ports.0": self.peer,
                  "listen.front": at + str(self.front), "listen.ready": at + str(self.ready),
                  "listen.directory": at + str(self.directory), "platform.address": self.stage.store.address,
                  "heartbeat-ms": 1500, "limits.cpu-share": 0.2, "bootstrap": "true" if bootstrap else "false"}
        values.update({f"bounds.{name}": value for name, value in BOUNDS.items()})
        text = (ROOT / self.stage.role["template"]).read_text()
        text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m[2] if m[1] in values else "", text, flags=re.S)
        self.settings.write_text(re.sub(r"\{\{([^}]+)\}\}", lambda m: str(values.get(m[1], "")), text))

    def start(self, bootstrap=False):
        self.render(bootstrap)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MULBERRYPLANK_CONFIG"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.stage.role["run"].split(" "), cwd=ROOT, env=environment,
                                            stdout=log, stderr=log)

    def is_ready(self):
        try:
            with socket.create_connection((LOOPBACK, self.ready), 1) as connection:
                connection.sendall(b"GET /mulberryplank/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = read_head(connection.makefile("rb"))
                return head is not None and head.status == 200
        except (OSError, EOFError):
            return False


class Stage:
    """A deployment, and the record of what was sent, answered and run."""

    def __init__(self, case):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = open(pathlib.Path(case) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.role = tomllib.load(file)["roles"]["gateway"]
        self.store = Store()
        self.gateways, self.backends = [], []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def record(self, text):
        with self.lock:
            self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.record_file.flush()

    def start_gateways(self, count):
        self.gateways = [Gateway(self, number) for number in range(count)]
        for gateway in self.gateways:
            gateway.start(bootstrap=True)

    def await_ready(self, gateways=None, seconds=20):
        end = time.monotonic() + seconds
        while not all(gateway.is_ready() for gateway in gateways or self.gateways):
            if time.monotonic() > end:
                raise TimeoutError("a gateway did not become ready")
            time.sleep(0.1)

    def close(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
        for gateway in self.gateways:
            if gateway.process:
                gateway.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def connect(gateway, timeout=10):
    connection = socket.create_connection((LOOPBACK, gateway.front), timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def request_bytes(method, path, attempt, deadline_ms, body=None, fields=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}", f"Deadline-Ms: {deadline_ms}"]
    lines += [] if body is None else [f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def read_response(reader):
    """Returns a whole response, or None at the end of the connection. Raises EOFError for one that ended early."""
    head = read_head(reader)
    return head and read_body(reader, head, ends_with_connection=True)


def new_attempt():
    return os.urandom(8).hex()


def run_case(case, body):
    """Runs body(stage), which returns the violations of the rule, and exits as the issue asks."""
    stage = None
    code = 2
    try:
        stage = Stage(case)
        limit = threading.Timer(MAX_SCRIPT_SECONDS, lambda: (stage.close(), os._exit(2)))
        limit.daemon = True
        limit.start()
        violations = body(stage)
        code = 1 if violations else 0
        stage.record(f"violations: {len(violations)}; trouble: {stage.trouble}; exit {code}")
        print(f"{len(violations)} violations, exit {code}")
    except Exception as error:  # the case could not run
        print(f"could not run: {error!r}", file=sys.stderr)
        if stage:
            stage.record(f"could not run: {error!r}; exit 2")
    finally:
        if stage:
            stage.close()
    sys.stdout.flush()
    os._exit(code)
