"""Stand-ins for the platform's store, the backends and the operator, and the gateways as separate processes on loopback.

The store, the backends and the clients run in threads of this process. The gateways run with the command of
deploy/system.toml, and with settings made from its template deploy/gateway.env.
"""

import base64
import collections
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PROGRAM = [str(ROOT / "target" / "mulberryplank"), "gateway"]
LOOPBACK = "127.0.0.1"
HOST = "shop.example"
APPEND_SECONDS = 0.004  # that the store takes for an append
FIRST_PORT, LAST_PORT = 15_000, 30_000
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


taken = set()  # ports that were handed out


class NotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text, at=None):
        with self.lock:
            print(f"{self.now() if at is None else at:8.3f} s  {text}", file=self.file, flush=True)


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Peers that close their connections are part of the case."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 65536
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def respond(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


def serve(handler, port=0):
    server = Server((LOOPBACK, port), handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's store, as far as gateways, backends and the operator use it: keyed topics of one partition."""

    def __init__(self, record):
        self.record = record
        self.topics = collections.defaultdict(list)
        self.changed = threading.Condition()
        self.server = serve(self.handler())
        self.address = f"{LOOPBACK}:{self.server.server_port}"

    def put(self, topic, key, value):
        """Appends a record as the operator or a backend. Returns when it is acknowledged."""
        time.sleep(APPEND_SECONDS)
        with self.changed:
            self.topics[topic].append((key.encode(), value.encode()))
            self.changed.notify_all()

    def read(self, topic, start, wait):
        with self.changed:
            self.changed.wait_for(lambda: len(self.topics[topic]) > start, wait)
            records = self.topics[topic][start:start + 1024]
            body = struct.pack(">QQ", len(self.topics[topic]), 0)
        for key, value in records:
            content = bytes([len(key)]) + key + value
            body += struct.pack(">I", len(content)) + content
        return body

    def newest(self, topic):
        with self.changed:
            newest = {key: (offset, value) for offset, (key, value) in enumerate(self.topics[topic])}
            end = len(self.topics[topic])
        items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (offset, value) in sorted(newest.items()) if value]
        return json.dumps({"items": items, "has-more": False, "end-offset": end}).encode()

    def append(self, topic, body, at):
        time.sleep(APPEND_SECONDS)
        with self.changed:
            end = len(self.topics[topic])
            if at is not None and at != end:
                return 412, {"end-offset": end}
            while body:
                (length,) = struct.unpack(">I", body[:4])
                content, body = body[4:4 + length], body[4 + length:]
                self.topics[topic].append((content[1:1 + content[0]], content[1 + content[0]:]))
            self.changed.notify_all()
            return 200, {"offset": end, "end-offset": len(self.topics[topic])}

    def handler(store):
        class StoreHandler(Handler):
            def call(self):
                path, _, text = self.path.partition("?")
                query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
                body = self.body()
                topic = query.get("topic", "")
                if path.endswith("/log-read"):
                    wait = min(int(query.get("wait-ms", 0)), 30_000) / 1000
                    return self.respond(200, store.read(topic, int(query["from"]), wait))
                if path.endswith("/log-newest"):
                    return self.respond(200, store.newest(topic))
                if path.endswith("/log-append"):
                    if topic in ("keyed.op", "keyed.servers"):
                        return self.respond(403)
                    status, result = store.append(topic, body, int(query["at"]) if "at" in query else None)
                    return self.respond(status, json.dumps(result).encode())
                return self.respond(404)

            do_GET = do_POST = call

        return StoreHandler


class Backend:
    """A sound backend. Subclasses change run()."""

    def __init__(self, store, record, service, name, zone, work_seconds=0.02, slots=8, beat_seconds=1.5, port=0):
        self.store, self.record = store, record
        self.service, self.name, self.zone = service, name, zone
        self.work_seconds, self.slots, self.beat_seconds = work_seconds, slots, beat_seconds
        self.state, self.sequence, self.is_up = "ready", 0, True
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.running = 0
        self.server = serve(self.handler(), port)
        self.announce()
        threading.Thread(target=self.beat, daemon=True).start()

    def announce(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.name, json.dumps({
            "service": self.service, "address": f"{LOOPBACK}:{self.server.server_port}", "zone": self.zone,
            "config-version": "0000000a", "slots": self.slots, "state": self.state, "warmup-left-ms": 0,
            "sequence": self.sequence, "born": self.born}))

    def beat(self):
        while self.is_up:
            time.sleep(self.beat_seconds)
            if self.is_up:
                self.announce()

    def load(self):
        return [("Backend-Load", f"{self.running},0,{self.slots}")]

    def run(self, handler, attempt, body):
        """Runs a request and answers it."""
        time.sleep(self.work_seconds)
        text = f"{attempt} {handler.path} {self.service}".encode()
        handler.respond(200, text, [("Attempt-Id", attempt), ("Response-Signature", f"s.{len(text)}"), *self.load()])

    def handler(backend):
        class BackendHandler(Handler):
            def call(self):
                if self.path == "/healthz":
                    return self.respond(200, headers=[("Instance-Id", backend.name), *backend.load()])
                body = self.body()
                attempt = self.headers["Attempt-Id"] or ""
                named = self.headers["Target-Instance"]
                if named is not None and named != backend.name:
                    return self.respond(421, headers=[("Attempt-Id", attempt), ("Not-Executed", "1")])
                backend.record(f"run {attempt} {self.command} {self.path} at {backend.name} of {backend.service}")
                with backend.lock:
                    backend.running += 1
                try:
                    return backend.run(self, attempt, body)
                finally:
                    with backend.lock:
                        backend.running -= 1

            do_GET = do_POST = do_PUT = call

        return BackendHandler


def path(prefix, kind, service, timeout_ms=3000, latency_ms=1000, attempts=2):
    return {"name": prefix.strip("/"), "path-prefix": prefix, "route-type": kind, "timeout-ms": timeout_ms,
            "target-latency-ms": latency_ms, "priority": 1, "service": service, "max-attempts": attempts}


def configuration(version, services, paths, tenants=None):
    config = {"config-version": f"{version:08x}",
              "services": [{"name": name, "health-path": "/healthz", "max-connections": 330} for name in services],
              "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 5000,
                         "idle-timeout-ms": 15000},
              "virtual-hosts": [{"hostname": HOST, "paths": paths}]}
    if tenants is not None:
        config["tenants"] = tenants
    return json.dumps(config)


def is_free(port):
    """Returns whether the port can be bound for TCP and UDP."""
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((LOOPBACK, port))
            udp.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def free_ports(count):
    """Returns free ports below those that the system gives to outgoing connections, so that they stay free."""
    ports = []
    while len(ports) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port not in ports and port not in taken and is_free(port):
            ports.append(port)
    taken.update(ports)
    return ports


class Gateway:
    """One gateway process on a machine of its own name."""

    def __init__(self, name, zone, store_address, folder, first_start=True, grace_seconds=6, window_seconds=None,
                 cpu_share=0.2):
        self.name, self.zone, self.folder = name, zone, folder
        self.front, self.ready, self.directory, self.peer = free_ports(4)
        template = (ROOT / "deploy" / "gateway.env").read_text(encoding="utf-8")
        values = {"node-name": name, "zone": zone, "listen.front": f"{LOOPBACK}:{self.front}",
                  "listen.ready": f"{LOOPBACK}:{self.ready}", "listen.directory": f"{LOOPBACK}:{self.directory}",
                  "ip": LOOPBACK, "internal-ports.0": str(self.peer), "platform.address": store_address,
                  "heartbeat-ms": "1500", "bounds.grace-s": str(grace_seconds), "limits.cpu-share": str(cpu_share),
                  "bounds.retry-budget-ratio": "0.2", "bounds.budget-window-s": "10", "bounds.budget-slack": "56",
                  "bootstrap": "true" if first_start else "false"}
        section = r"\{\{#bounds\.quota-window-s\}\}(.*?)\{\{/bounds\.quota-window-s\}\}"
        template = re.sub(section, (lambda match: match.group(1)) if window_seconds else "", template)
        if window_seconds:
            values["bounds.quota-window-s"] = str(window_seconds)
        self.settings = pathlib.Path(folder) / f"{name}.env"
        self.settings.write_text(re.sub(r"\{\{([^}]+)\}\}", lambda match: values[match.group(1)], template),
                                 encoding="utf-8")
        self.process = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MULBERRYPLANK_CONFIG"] = str(self.settings)
        with open(pathlib.Path(self.folder) / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=log)

    def restart_later_starts(self):
        """`bootstrap` is true only when the whole system starts for the first time."""
        text = self.settings.read_text(encoding="utf-8")
        self.settings.write_text(text.replace("FIRST_START=true", "FIRST_START=false"), encoding="utf-8")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def fetch(self, port, target, seconds=1):
        connection = http.client.HTTPConnection(LOOPBACK, port, timeout=seconds)
        try:
            connection.request("GET", target)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def is_ready(self):
        return self.fetch(self.ready, "/mulberryplank/readyz")[0] == 200

    def metric(self, name):
        """Returns the value of a metric of the gateway, or None."""
        for line in self.fetch(self.ready, "/metrics")[1].splitlines():
            parts = line.split()
            if len(parts) == 2 and parts[0].split("{")[0].endswith(name):
                return float(parts[1])
        return None


class DarkMachine:
    """Stands for a machine without power: what is sent to its gateway's port for others gets no answer, and no reset."""

    def __init__(self, gateway):
        self.stream, self.datagrams = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.stream.bind((LOOPBACK, gateway.peer))
        self.stream.listen(512)
        self.datagrams.bind((LOOPBACK, gateway.peer))


def wait_for(what, check, seconds=20):
    end = time.monotonic() + seconds
    while not check():
        if time.monotonic() > end:
            raise NotRun(f"{what}: not within {seconds} s")
        time.sleep(0.05)


def request(port, method, target, attempt, deadline_ms, body=None, headers=None, connection=None):
    """Sends one request. Returns its status, header fields and body; status 0 if the connection ended without one."""
    used = connection or http.client.HTTPConnection(LOOPBACK, port, timeout=deadline_ms / 1000 + 3)
    try:
        used.request(method, target, body, {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms),
                                            **(headers or {})})
        response = used.getresponse()
        return response.status, response.headers, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, str(error).encode()
    finally:
        if connection is None:
            used.close()


def main(case, folder):
    """Runs case(record, folder of temporary files, whether the disruption is played), and exits as the issue says."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(PROGRAM[0]):
        print(f"{PROGRAM[0]} is missing: run the build of the deploy file")
        sys.exit(EXIT_NOT_RUN)
    gateways = []
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(EXIT_NOT_RUN))  # ends the processes as well
    with tempfile.TemporaryDirectory(prefix="mulberryplank-review-") as temporary:
        try:
            broken = case(record, temporary, trouble, gateways)
            code = EXIT_BROKEN if broken else EXIT_HELD
        except NotRun as problem:
            record(f"not run: {problem}")
            broken, code = str(problem), EXIT_NOT_RUN
        finally:
            for gateway in gateways:
                gateway.stop()
            if os.environ.get("KEEP_LOGS"):
                subprocess.run(["cp", "-r", temporary, os.environ["KEEP_LOGS"]], check=False)
    verdict = {EXIT_HELD: "held", EXIT_BROKEN: "broken", EXIT_NOT_RUN: "not run"}[code]
    record(f"{verdict}: {broken}" if broken else verdict)
    print(f"{verdict}: {broken}" if broken else verdict)
    sys.stdout.flush()
    os._exit(code)
