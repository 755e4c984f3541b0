"""A gateway that has lost its path to the backends gets answers through another gateway, which is stopped for a restart
while it passes on an answer without a length. The client must not get the part as a whole answer."""

import pathlib
import signal
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
import stage as st

GATEWAYS = 9  # the cut takes the path of one of them: x = 0.11
BACKENDS = 7  # of tracker, as in sites/kpc-gateway.toml
CLIENTS = 12
CUT_SECONDS = 5.5
ROLL_GAP_SECONDS = 2
ROLLED = 4  # of the other eight
PIECES = 45
PIECE_SECONDS = 0.1  # a slow backend takes 4.5 seconds to send its answer
TIME_LIMIT_MS = 8000
ROUTE_TIMEOUT_MS = 6000


def answer(backend, connection, request):
    """Sends an answer without a length, which ends with its connection."""
    attempt = request.fields["attempt-id"]
    backend.stage.record(f"run {attempt} at {backend.id}")
    connection.sendall(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: 3e1b.07.5a2\r\n"
                       "Connection: close\r\n\r\n".encode())
    for number in range(PIECES):
        connection.sendall(piece(attempt, number))
        time.sleep(PIECE_SECONDS)
    return False


def answer_lookup(backend, connection, request):
    """Sends an answer with a length."""
    backend.stage.record(f"run {request.fields['attempt-id']} at {backend.id}")
    time.sleep(0.2)
    connection.sendall(st.response(request, 200, b"list " + request.fields["attempt-id"].encode()))
    return True


def piece(attempt, number):
    return f"{attempt} status row {number:02}\n".encode()


class Run:
    def __init__(self, stage):
        self.stage, self.violations, self.ended = stage, [], False

    def client(self, gateway):
        """Sends requests to one gateway, each on a new connection (habit = "fresh")."""
        while not self.ended:
            attempt = st.new_attempt()
            whole = b"".join(piece(attempt, number) for number in range(PIECES))
            try:
                with st.connect(gateway) as connection:
                    connection.sendall(st.request_bytes("GET", "/status/1", attempt, TIME_LIMIT_MS))
                    got = st.read_response(connection.makefile("rb"))
            except (OSError, EOFError) as error:
                self.stage.record(f"sent {attempt} to {gateway.name}: no whole answer ({error!r})")
                time.sleep(0.2)
                continue
            text = "no answer" if got is None else f"{got.status}, {len(got.body)} of {len(whole)} bytes"
            if got and got.status == 200 and got.body != whole:
                text += f", taken for whole by its framing {got.fields.get('content-length')}: MIXED"
                self.violations.append(text)
            self.stage.record(f"sent {attempt} to {gateway.name}: answered {text}")
            time.sleep(0.05)

    def lookup_client(self, gateway):
        """Sends short requests to a gateway that keeps its path."""
        while not self.ended:
            attempt = st.new_attempt()
            try:
                with st.connect(gateway) as connection:
                    connection.sendall(st.request_bytes("GET", "/list/1", attempt, 2000))
                    got = st.read_response(connection.makefile("rb"))
                    text = f"answered {got and got.status}"
                    if got and got.status == 200 and got.body != b"list " + attempt.encode():
                        text += ": MIXED"
                        self.violations.append(text)
            except (OSError, EOFError) as error:
                text = f"no whole answer ({error!r})"
            self.stage.record(f"sent {attempt} to {gateway.name}: {text}")
            time.sleep(0.1)

    def cut(self, gateway):
        """Resets all connections between the gateway and the backends, and those that it opens."""
        self.stage.record(f"cut: {gateway.name} loses its path to the backends")
        pid = gateway.process.pid
        trackers = [backend for backend in self.stage.backends if backend.service == "tracker"]
        for backend in trackers:
            backend.accepts = lambda connection: not st.opened_by([connection], pid)
        for connection in st.opened_by([each for backend in trackers for each in list(backend.open)], pid):
            st.reset(connection)

    def end_cut(self):
        for backend in self.stage.backends:
            backend.accepts = lambda connection: True
        self.stage.record("the cut has ended")

    def busiest(self, gateways):
        """Returns the gateway with the most open connections to the cut service's backends (how = "busy")."""
        connections = [connection for backend in self.stage.backends if backend.service == "tracker"
                       for connection in list(backend.open)]
        return max(gateways, key=lambda gateway: len(st.opened_by(connections, gateway.process.pid)))

    def roll(self, gateways, count):
        """Stops machines in turn, as the platform does, and starts each again."""
        waiting = list(gateways)
        for _ in range(count):
            gateway = self.busiest(waiting)
            waiting.remove(gateway)
            self.stage.record(f"SIGTERM to {gateway.name}")
            gateway.process.send_signal(signal.SIGTERM)
            threading.Thread(target=self.restart, args=(gateway,), daemon=True).start()
            time.sleep(ROLL_GAP_SECONDS)

    def restart(self, gateway):
        try:
            gateway.process.wait(st.BOUNDS["grace-s"])
        except Exception:
            gateway.process.kill()
        self.stage.record(f"{gateway.name} has ended")
        if not self.ended:
            gateway.start()


def body(stage):
    st.write_config(stage.store, 1, ["tracker", "addressbook"], [
        st.route("/status/", "safe", "tracker", ROUTE_TIMEOUT_MS), st.route("/list/", "safe", "addressbook", 2000)])
    stage.backends = [st.Backend(stage, "tracker", st.ZONES[n % 3], answer) for n in range(BACKENDS)]
    stage.backends += [st.Backend(stage, "addressbook", st.ZONES[n % 3], answer_lookup) for n in range(6)]
    stage.start_gateways(GATEWAYS)
    stage.await_ready()
    time.sleep(3)
    run = Run(stage)
    cut, others = stage.gateways[0], stage.gateways[1:]
    for _ in range(CLIENTS):
        threading.Thread(target=run.client, args=(cut,), daemon=True).start()
    for gateway in others:
        threading.Thread(target=run.lookup_client, args=(gateway,), daemon=True).start()
    time.sleep(4)
    if stage.trouble:
        threading.Timer(CUT_SECONDS, run.end_cut).start()
        run.cut(cut)
        time.sleep(1.5)
        run.roll(others, ROLLED)
    else:
        time.sleep(CUT_SECONDS)
    time.sleep(4)
    run.ended = True
    time.sleep(0.5)
    return run.violations


st.run_case(CASE, body)
