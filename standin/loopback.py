"""Starts stand-ins and proxies on loopback and sends them requests, for scripts that show or measure the fleet."""
import http.client
import json
import pathlib
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
STANDIN = ROOT / "build" / "mulberryplank-standin"
PROXY = ROOT / "build" / "mulberryplank"
HOST = "127.0.0.1"
POLL_SECONDS = 0.05
READY_TIMEOUT_SECONDS = 20
STOP_TIMEOUT_SECONDS = 20
COMMAND_TIMEOUT_SECONDS = 60


def address(port):
    return f"{HOST}:{port}"


class Processes:
    """The processes started by a run. Each writes its output to its own file in `folder`."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.running = {}

    def start(self, name, command):
        """Starts a process and returns it."""
        with open(self.folder / f"{name}.log", "a", encoding="utf-8") as log:
            self.running[name] = subprocess.Popen([str(argument) for argument in command], stdout=log, stderr=log)
        return self.running[name]

    def wait(self, name):
        """Waits until a terminated process exits and returns its status. Kills it after STOP_TIMEOUT_SECONDS."""
        process = self.running.pop(name)
        try:
            return process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return "killed"

    def stop(self, names=None):
        """Terminates all processes, or those in `names`. Returns a line for each exit status other than 0."""
        names = [name for name in self.running if names is None or name in names]
        for name in names:
            self.running[name].terminate()
        statuses = {name: self.wait(name) for name in names}
        return [f"{name} exited with {status}" for name, status in statuses.items() if status != 0]

    def logs(self, max_characters):
        """Returns up to `max_characters` characters from the end of the output of each process, by name."""
        return {log.stem: log.read_text(encoding="utf-8", errors="replace")[-max_characters:]
                for log in sorted(self.folder.glob("*.log"))}


def wait_for(what, check, seconds=READY_TIMEOUT_SECONDS):
    """Polls check() until it returns a true value, and returns that value. Raises TimeoutError."""
    end = time.monotonic() + seconds
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() > end:
            raise TimeoutError(f"{what}: not within {seconds} s")
        time.sleep(POLL_SECONDS)


def listens(port):
    """Returns true if a process accepts connections on the port."""
    try:
        socket.create_connection((HOST, port), 1).close()
        return True
    except OSError:
        return False


def busy_ports(ports):
    """Returns the ports that can't be bound for TCP or for UDP."""
    busy = []
    for port in ports:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                busy.append(port)
    return busy


def free_port_range(count, start=24_000, end=32_000):
    """Returns the first of `count` consecutive free ports."""
    for first in range(start, end, count):
        if not busy_ports(range(first, first + count)):
            return first
    raise RuntimeError("no free ports")


def call(port, method, path, body=None, headers=None, seconds=10):
    """Sends one request on a new connection. Returns status, headers and body."""
    connection = http.client.HTTPConnection(HOST, port, timeout=seconds)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


def control_standin(port, path, update=None):
    """Queries a stand-in, or updates it if there is an `update`. Returns the JSON of its response."""
    body = None if update is None else json.dumps(update)
    status, _, text = call(port, "GET" if update is None else "POST", path, body)
    if status != 200:
        raise RuntimeError(f"{path} on port {port}: {status} {text!r}")
    return json.loads(text)


class Proxy:
    """One proxy process, with the queries that operators send to it."""

    def __init__(self, vm, failure_domain, ports, key_file):
        self.vm = vm
        self.failure_domain = failure_domain
        self.caller, self.admin, self.peer = ports
        self.key_file = key_file

    def command(self, log, vm_list, seeds, **settings):
        """Returns the command that runs the proxy. Keyword arguments are further settings."""
        flags = {"vm": self.vm, "failure-domain": self.failure_domain, "listen": address(self.caller),
                 "admin": address(self.admin), "peer": address(self.peer), "log": address(log),
                 "vm-list": address(vm_list), "seeds": ",".join(address(port) for port in seeds),
                 "fleet-key-file": self.key_file, "operator-key-file": self.key_file}
        flags.update({name.replace("_", "-"): value for name, value in settings.items()})
        return [PROXY, "proxy"] + [argument for name, value in flags.items() for argument in (f"--{name}", value)]

    def query(self, path):
        """Returns the status and body of an operators' page."""
        key = pathlib.Path(self.key_file).read_text(encoding="utf-8").split()[0]
        status, _, body = call(self.admin, "GET", path, headers={"Authorization": f"Bearer {key}"})
        return status, body

    def status(self):
        """Returns the output of `mulberryplank status --json`."""
        status, body = self.query("/-/status")
        if status != 200:
            raise RuntimeError(f"{self.vm}: /-/status responded with {status}")
        return json.loads(body)

    def ready(self):
        """Returns true if the proxy reports that it is ready."""
        try:
            return call(self.admin, "GET", "/-/ready", seconds=2)[0] == 200
        except OSError:
            return False


def start_command(proxies, *arguments):
    """Starts a command of the command line client, which uses the first of the proxies that responds."""
    admins = ",".join(address(proxy.admin) for proxy in proxies)
    command = (PROXY, *arguments, "--admin", admins, "--operator-key-file", proxies[0].key_file)
    return subprocess.Popen([str(argument) for argument in command], stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                            text=True)


def finish_command(process):
    """Waits until a command exits. Returns its exit status and output."""
    try:
        output, _ = process.communicate(timeout=COMMAND_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        output, _ = process.communicate()
    return process.returncode, output.strip()


def operate(proxies, *arguments):
    """Runs a command to completion. Returns its exit status and output."""
    return finish_command(start_command(proxies, *arguments))
