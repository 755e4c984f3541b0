"""Severs gateways from all targets while callers, the store and the other gateways still reach them.

All gateways use the same addresses of the targets, so the links of the targets look up in /proc which process has opened a
connection.
"""

import os

# What happens to the open connections of a severed gateway. New ones are reset in each case.
MODES = ("reset", "hang", "live")
RESET_DELAYS = (0, 0.4)  # seconds after which new connections are reset


def inode_of(local_port, remote_port):
    """Returns the inode of the loopback socket with these ports, or None. A local port can be in use several times."""
    suffixes = f":{local_port:04X}", f":{remote_port:04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[1].endswith(suffixes[0]) and fields[2].endswith(suffixes[1]):
                return fields[9]
    return None


def is_open_in(pid, inode):
    """Returns whether a process has a socket with this inode."""
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return False  # the process has ended
    for name in names:
        try:
            if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                return True
        except OSError:
            pass  # it was closed meanwhile
    return False


class PathCut:
    """Severs `gateways` from the targets behind `links` until end()."""

    def __init__(self, gateways, links, mode, reset_delay):
        self.gateways, self.links, self.mode = gateways, links, mode
        for link in links:
            link.reset_delay = reset_delay
            link.severed = self.applies_to
        for link in links:
            for connection in list(link.connections):
                if self.applies_to(connection.caller_port, link.port):
                    self.sever(connection)

    def sever(self, connection):
        if self.mode == "reset":
            connection.reset()
        elif self.mode == "hang":
            connection.unresponsive = True

    def applies_to(self, caller_port, link_port):
        """Returns whether a severed gateway has opened the connection between these ports."""
        inode = inode_of(caller_port, link_port)
        return inode is not None and any(is_open_in(gateway.process.pid, inode) for gateway in self.gateways)

    def end(self):
        for link in self.links:
            link.severed = None
