"""A loopback proxy between two parties, whose connections can be delayed, reset, cut one way or silenced."""

import random
import socket
import struct
import threading
import time

LOOPBACK = "127.0.0.1"
PIECE = 65_536  # bytes read at once
LONGEST_DELAY = 0.3  # seconds that a piece is held up for
RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: closing sends a reset
LOOK_AGAIN = 0.02  # seconds between looks whether a cut has ended

# What can happen to a link. "cut-up" swallows what goes to the server, "cut-down" what comes from it; both end in a
# reset when the cut is over. "silence" stops the connections there are for good, while new ones work.
FAULTS = ("delay", "reset", "cut-up", "cut-down", "silence")


class Connection:
    """Two sockets and the threads that carry bytes between them."""

    def __init__(self, link, caller, server):
        self.link, self.caller, self.server = link, caller, server
        self.silent = False
        for source, sink, direction in ((caller, server, "up"), (server, caller, "down")):
            threading.Thread(target=self.carry, args=(source, sink, direction), daemon=True).start()

    def carry(self, source, sink, direction):
        try:
            while piece := source.recv(PIECE):
                if self.is_lost(direction):
                    continue
                sink.sendall(piece)
            if not self.silent:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.reset()

    def is_lost(self, direction):
        """Waits as long as the link's fault has it, and says whether the bytes are lost."""
        if self.link.fault == "delay":
            time.sleep(random.uniform(0, LONGEST_DELAY))
        if self.link.fault == f"cut-{direction}":
            while self.link.fault == f"cut-{direction}":
                time.sleep(LOOK_AGAIN)
            self.reset()
            return True
        return self.silent

    def reset(self):
        for end in (self.caller, self.server):
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # it has ended already
            end.close()
        self.link.connections.discard(self)


class Link:
    """Listens on a port of its own and passes connections on to a server's."""

    def __init__(self, server_port):
        self.server_port = server_port
        self.fault = None
        self.connections = set()
        self.listener = socket.create_server((LOOPBACK, 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            caller, _ = self.listener.accept()
            try:
                server = socket.create_connection((LOOPBACK, self.server_port), timeout=5)
            except OSError:
                caller.close()
                continue
            for end in (caller, server):
                end.settimeout(None)
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(Connection(self, caller, server))

    def begin(self, fault):
        if fault == "reset":
            for connection in list(self.connections):
                connection.reset()
        elif fault == "silence":
            for connection in list(self.connections):
                connection.silent = True
        else:
            self.fault = fault

    def end(self):
        self.fault = None
