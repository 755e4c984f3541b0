"""A loopback TCP proxy whose connections can be delayed, reset, cut in one direction or made unresponsive."""

import random
import socket
import struct
import threading
import time

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 65_536  # maximum number of bytes per read
MAX_DELAY = 0.3  # seconds by which a chunk is delayed
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER value with which closing sends a reset
POLL_INTERVAL = 0.02  # seconds between checks whether a cut has ended

# The faults of a link. "cut-up" drops data sent to the server, "cut-down" data sent by it; both end in a reset when the
# cut is over. "silence" makes existing connections permanently unresponsive, while new ones work.
FAULTS = ("delay", "reset", "cut-up", "cut-down", "silence")
DARK = "dark"  # drops all data, as "cut-up" and "cut-down" together


class Connection:
    """Two sockets and the threads that forward data between them."""

    def __init__(self, link, caller, server):
        self.link, self.caller, self.server = link, caller, server
        self.caller_port = caller.getpeername()[1]
        self.unresponsive = False
        for source, sink, direction in ((caller, server, "up"), (server, caller, "down")):
            threading.Thread(target=self.forward, args=(source, sink, direction), daemon=True).start()

    def forward(self, source, sink, direction):
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if self.apply_fault(direction):
                    continue
                sink.sendall(chunk)
            if not self.unresponsive:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.reset()

    def apply_fault(self, direction):
        """Waits while the link's fault delays data. Returns whether the data is lost."""
        if self.link.fault == "delay":
            time.sleep(random.uniform(0, MAX_DELAY))
        cuts = (DARK, f"cut-{direction}")
        if self.link.fault in cuts:
            while self.link.fault in cuts:
                time.sleep(POLL_INTERVAL)
            self.reset()
            return True
        return self.unresponsive

    def reset(self):
        for end in (self.caller, self.server):
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # it is closed already
            end.close()
        self.link.connections.discard(self)


class Link:
    """Listens on its own port, the given one or any, and forwards connections to a server's port."""

    def __init__(self, server_port, port=0):
        self.server_port = server_port
        self.fault = None
        self.severed = None  # a function that returns whether a connection from a caller's port to this one is reset
        self.reset_delay = 0  # seconds for which such a connection stays open
        self.connections = set()
        self.listener = socket.create_server((LOOPBACK, port), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                caller, address = self.listener.accept()
            except OSError:
                return  # the server has crashed
            severed = self.severed
            if severed and severed(address[1], self.port):
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                threading.Timer(self.reset_delay, caller.close).start()
                continue
            try:
                server = socket.create_connection((LOOPBACK, self.server_port), timeout=5)
            except OSError:
                caller.close()
                continue
            for end in (caller, server):
                end.settimeout(None)
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                self.connections.add(Connection(self, caller, server))
            except OSError:
                server.close()  # the caller is gone already

    def crash(self):
        """Refuses new connections and resets all that are open, as when the server's process has ended."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            connection.reset()

    def begin(self, fault):
        if fault == "reset":
            for connection in list(self.connections):
                connection.reset()
        elif fault == "silence":
            for connection in list(self.connections):
                connection.unresponsive = True
        else:
            self.fault = fault

    def end(self):
        self.fault = None
