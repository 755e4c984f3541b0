"""Callers that make a gateway hold much: responses without end that are read slowly, and requests whose end doesn't come."""

import os
import random
import signal
import socket
import time
import uuid

from link import LOOPBACK

LIMIT_MB = 260  # of a process; the platform kills one beyond it
CALLERS_PER_GATEWAY = 200  # that the flood hits
WATCH_SECONDS = 0.02  # between two looks at the processes
PATH = "/any/endless"
BODY_BYTES = 900_000  # of a request whose end doesn't come
PIECE = b"e" * 1_048_576  # of a response without end
READ_BYTES = 4_096
READ_SECONDS = 0.2  # between two reads of a slow caller
HOLD_SECONDS = 4  # for which a caller keeps its connection
RECEIVE_BUFFER = 8_192
HUGE_LENGTH = 1 << 40


def framing(rng):
    """Returns the field that frames a response without end, and a function that makes a piece of its body."""
    return rng.choice(((f"Content-Length: {HUGE_LENGTH}\r\n", lambda piece: piece),
                       ("Transfer-Encoding: chunked\r\n", lambda piece: b"%x\r\n%b\r\n" % (len(piece), piece)),
                       ("Connection: close\r\n", lambda piece: piece)))


def respond_without_end(handler, attempt, rng, is_over):
    """Sends a response without end until the gateway closes the connection, or `is_over`."""
    handler.close_connection = True
    fields, frame = framing(rng)
    handler.wfile.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n{fields}\r\n".encode())
    while not is_over():
        handler.wfile.write(frame(PIECE))


def connect(address):
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    connection.settimeout(HOLD_SECONDS)
    connection.connect(address)
    return connection


def flood(connection, host, rng, is_over):
    """Reads a response without end slowly, or sends a request but for its last byte."""
    attempt = uuid.UUID(int=rng.getrandbits(128)).hex
    common = f"Host: {host}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\n"
    if rng.random() < 0.5:
        connection.sendall(f"GET {PATH} HTTP/1.1\r\n{common}\r\n".encode())
    else:
        connection.sendall(f"POST /once/endless HTTP/1.1\r\n{common}Content-Length: {BODY_BYTES}\r\n\r\n".encode())
        connection.sendall(b"b" * (BODY_BYTES - 1))
    until = time.monotonic() + HOLD_SECONDS
    while time.monotonic() < until and not is_over() and connection.recv(READ_BYTES):
        time.sleep(READ_SECONDS)


def run_caller(soak, seed, number):
    """Floods one gateway again and again until the soak has ended or its faults are over."""
    rng = random.Random(seed)

    def is_over():
        return soak.ended or soak.flood_over

    while not is_over():
        gateway = soak.gateways[number // CALLERS_PER_GATEWAY % len(soak.gateways)]
        try:
            with connect((LOOPBACK, gateway.listen_port)) as connection:
                flood(connection, soak.host, rng, is_over)
        except OSError:
            pass  # the gateway has refused the request or has been stopped
        time.sleep(rng.uniform(0, 0.2))


def resident_mb(pid):
    """Returns the resident memory of a process, 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as pages:
            return int(pages.read().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6
    except (OSError, IndexError):
        return 0


def watch_memory(soak):
    """Kills gateways that hold more than a VM has, as the platform does, and records the most that each has held."""
    while not soak.ended:
        for gateway in soak.gateways:
            used = resident_mb(gateway.process.pid) if gateway.process else 0
            soak.peak_mb = max(soak.peak_mb, used)
            if used > LIMIT_MB and gateway.process.poll() is None:
                soak.add_violation(f"{gateway.name} held {used:.0f} MB of the {LIMIT_MB} MB that it has")
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
        time.sleep(WATCH_SECONDS)
