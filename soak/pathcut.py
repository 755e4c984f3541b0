"""Severs gateways from all targets while callers, the store and the other gateways still reach them.

All gateways use the same addresses of the targets, so the links of the targets ask the kernel for the socket that has opened
a connection, and look up in /proc whose it is.
"""

import os
import socket
import struct

from link import LOOPBACK

SOCK_DIAG = 4  # NETLINK_SOCK_DIAG
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
NLMSG_ERROR = 2
NO_COOKIE = 0xFFFFFFFF
ALL_STATES = 0xFFFFFFFF
INODE_OFFSET = 16 + 68  # of struct inet_diag_msg behind its netlink header

# What happens to the open connections of a severed gateway. New ones are reset in each case.
MODES = ("reset", "hang", "live")
RESET_DELAYS = (0, 0.4)  # seconds after which new connections are reset


def inode_of(local_port, remote_port):
    """Returns the inode of the loopback socket with these ports, or None. Asks for this one socket: a table of all sockets of
    the machine takes too long to read for each connection once it has thousands."""
    address = socket.inet_aton(LOOPBACK).ljust(16, b"\0")
    query = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES)
    query += struct.pack(">HH", local_port, remote_port) + address + address + struct.pack("=3I", 0, NO_COOKIE, NO_COOKIE)
    header = struct.pack("=IHHII", 16 + len(query), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, SOCK_DIAG) as kernel:
        kernel.send(header + query)
        reply = kernel.recv(8192)
    if struct.unpack_from("=H", reply, 4)[0] == NLMSG_ERROR:
        return None
    return str(struct.unpack_from("=I", reply, INODE_OFFSET)[0])


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
