"""A client reads an answer slowly and sends a further safe request before the answer has arrived. Its gateway is stopped
for a planned restart and ends while the rest of the answer is still on its way."""

import pathlib
import signal
import socket
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
import stage as st

GATEWAYS = 3
BACKENDS = 6
CLIENTS = 12
TIME_LIMIT_MS = 8000  # of meter-history in demands/tvd-kapu-grown.toml
ROUTE_TIMEOUT_MS = 4000  # of its route
ANSWER_BYTES = 9000  # its largest answer
READ_SECONDS = 0.1  # between two reads
SLOW_BYTES = 100  # at once, until the further request is sent
READ_BYTES = 2000  # after that: a whole answer takes 3.8 seconds
RECEIVE_BUFFER = 2048  # of a small client
NEXT_REQUEST_SECONDS = 3.4  # after the first one


def answer(backend, connection, request):
    attempt = request.fields["attempt-id"]
    backend.stage.record(f"run {attempt} at {backend.id}")
    time.sleep(0.02)
    connection.sendall(st.response(request, 200, (attempt.encode() * ANSWER_BYTES)[:ANSWER_BYTES]))
    return True


class Run:
    def __init__(self, stage):
        self.stage, self.violations = stage, []

    def client(self, gateway):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        connection.settimeout(10)
        connection.connect((st.LOOPBACK, gateway.front))
        attempt, further = st.new_attempt(), st.new_attempt()
        began = time.monotonic()
        connection.sendall(st.request_bytes("GET", "/history/1", attempt, TIME_LIMIT_MS))
        self.stage.record(f"sent {attempt} to {gateway.name}")
        got, sent_further, end = b"", False, ""
        try:
            while not self.is_whole(got):
                if time.monotonic() - began > TIME_LIMIT_MS / 1000:
                    self.stage.record(f"{attempt}: the time limit has passed")
                    return
                if not sent_further and time.monotonic() - began > NEXT_REQUEST_SECONDS:
                    sent_further = True
                    connection.sendall(st.request_bytes("GET", "/history/2", further, TIME_LIMIT_MS))
                    self.stage.record(f"sent {further} to {gateway.name} behind {attempt}")
                time.sleep(READ_SECONDS)
                data = connection.recv(READ_BYTES if sent_further else SLOW_BYTES)
                if not data:
                    raise EOFError("the channel was closed")
                got += data
        except (OSError, EOFError) as error:
            end = repr(error)
        seconds = time.monotonic() - began
        if end and seconds >= ROUTE_TIMEOUT_MS / 1000:
            self.stage.record(f"{attempt}: {end} after the route's timeout: doesn't count")
        elif end:
            self.stage.record(f"{attempt}: {len(got)} bytes of the answer, then {end} after {seconds:.1f} s: LOST")
            self.violations.append(attempt)
        else:
            self.stage.record(f"{attempt}: whole answer after {seconds:.1f} s")
        connection.close()

    @staticmethod
    def is_whole(got):
        head, end, body = got.partition(b"\r\n\r\n")
        return bool(end) and len(body) >= ANSWER_BYTES


def body(stage):
    st.write_config(stage.store, 1, ["meroallas"], [st.route("/history/", "safe", "meroallas", ROUTE_TIMEOUT_MS)])
    stage.backends = [st.Backend(stage, "meroallas", st.ZONES[n % 3], answer) for n in range(BACKENDS)]
    stage.start_gateways(GATEWAYS)
    stage.await_ready()
    time.sleep(4)
    run = Run(stage)
    gateway = stage.gateways[0]
    clients = [threading.Thread(target=run.client, args=(gateway,), daemon=True) for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(0.15)
    if stage.trouble:
        stage.record(f"SIGTERM to {gateway.name}")
        gateway.process.send_signal(signal.SIGTERM)
        gateway.process.wait(st.BOUNDS["grace-s"])
        stage.record(f"{gateway.name} has ended")
        gateway.start()
    for client in clients:
        client.join()
    return run.violations


st.run_case(CASE, body)
