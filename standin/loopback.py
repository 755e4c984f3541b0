"""Starts stand-ins and proxies on loopback and talks to them, for the scripts that show or measure the fleet."""
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
READY_SECONDS = 20
STOP_SECONDS = 20
COMMAND_SECONDS = 60


def address(port):
    return f"{HOST}:{port}"


class Processes:
    """The processes that a run started. Each writes into a file of its own in `folder`."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.running = {}

    def start(self, name, command):
        """Starts a process and returns it."""
        with open(self.folder / f"{name}.log", "a", encoding="utf-8") as log:
            self.running[name] = subprocess.Popen([str(word) for word in command], stdout=log, stderr=log)
        return self.running[name]

    def wait(self, name):
        """Waits for the end of a process that was told to end, and returns its status; kills it if it stays."""
        process = self.running.pop(name)
        try:
            return process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return "killed"

    def stop(self, names=None):
        """Ends all processes, or those named. Returns a line for each that didn't end with 0."""
        names = [name for name in self.running if names is None or name in names]
        for name in names:
            self.running[name].terminate()
        statuses = {name: self.wait(name) for name in names}
        return [f"{name} ended with {status}" for name, status in statuses.items() if status != 0]

    def logs(self, most):
        """Returns the last `most` characters of what each process wrote, by name."""
        return {log.stem: log.read_text(encoding="utf-8", errors="replace")[-most:]
                for log in sorted(self.folder.glob("*.log"))}


def wait_for(what, check, seconds=READY_SECONDS):
    """Asks again and again until check() is true, and returns its value. Raises TimeoutError."""
    end = time.monotonic() + seconds
    while True:
        found = check()
        if found:
            return found
        if time.monotonic() > end:
            raise TimeoutError(f"{what}: not so within {seconds} s")
        time.sleep(POLL_SECONDS)


def listens(port):
    """Returns true if something accepts connections on the port."""
    try:
        socket.create_connection((HOST, port), 1).close()
        return True
    except OSError:
        return False


def busy_ports(ports):
    """Returns those of the ports that can't be bound, for TCP or for UDP."""
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
    """Returns the first of `count` consecutive ports that nothing listens on."""
    for first in range(start, end, count):
        if not busy_ports(range(first, first + count)):
            return first
    raise RuntimeError("no free ports")


def call(port, method, path, body=None, headers=None, seconds=10):
    """Sends one request on a connection of its own. Returns status, headers and body."""
    connection = http.client.HTTPConnection(HOST, port, timeout=seconds)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()


def standin(port, path, change=None):
    """Asks a stand-in, or switches it if there is a `change`. Returns its JSON."""
    body = None if change is None else json.dumps(change)
    status, _, text = call(port, "GET" if change is None else "POST", path, body)
    if status != 200:
        raise RuntimeError(f"{path} on port {port}: {status} {text!r}")
    return json.loads(text)


class Proxy:
    """One proxy process and what operators ask of it."""

    def __init__(self, vm, failure_domain, ports, key_file):
        self.vm = vm
        self.failure_domain = failure_domain
        self.caller, self.admin, self.peer = ports
        self.key_file = key_file

    def command(self, log, vm_list, seeds, **settings):
        """Returns the command that runs it. Keyword arguments are further settings."""
        flags = {"vm": self.vm, "failure-domain": self.failure_domain, "listen": address(self.caller),
                 "admin": address(self.admin), "peer": address(self.peer), "log": address(log),
                 "vm-list": address(vm_list), "seeds": ",".join(address(port) for port in seeds),
                 "fleet-key-file": self.key_file, "operator-key-file": self.key_file}
        flags.update({name.replace("_", "-"): value for name, value in settings.items()})
        return [PROXY, "proxy"] + [word for name, value in flags.items() for word in (f"--{name}", value)]

    def ask(self, path):
        """Returns the status and body of a page for operators."""
        key = pathlib.Path(self.key_file).read_text(encoding="utf-8").split()[0]
        status, _, body = call(self.admin, "GET", path, headers={"Authorization": f"Bearer {key}"})
        return status, body

    def status(self):
        """Returns what `mulberryplank status --json` shows."""
        status, body = self.ask("/-/status")
        if status != 200:
            raise RuntimeError(f"{self.vm}: /-/status answered {status}")
        return json.loads(body)

    def ready(self):
        """Returns true once the proxy says that it is ready."""
        try:
            return call(self.admin, "GET", "/-/ready", seconds=2)[0] == 200
        except OSError:
            return False


def begin_operate(proxies, *words):
    """Starts a command of the command line client against the first of the proxies that answers."""
    admins = ",".join(address(proxy.admin) for proxy in proxies)
    command = (PROXY, *words, "--admin", admins, "--operator-key-file", proxies[0].key_file)
    return subprocess.Popen([str(word) for word in command], stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                            text=True)


def end_operate(process):
    """Waits for the end of a command. Returns its exit status and output."""
    try:
        output, _ = process.communicate(timeout=COMMAND_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        output, _ = process.communicate()
    return process.returncode, output.strip()


def operate(proxies, *words):
    """Runs a command to its end. Returns exit status and output."""
    return end_operate(begin_operate(proxies, *words))
