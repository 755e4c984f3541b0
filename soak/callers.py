"""Manners in which a caller sends a request, or leaves it."""

import enum
import socket
import time

from responses import reset

CHUNKS = 5
CHUNK_SECONDS = 0.02  # between two chunks of a slow body
LEAVE_SECONDS = 0.05  # after which a caller leaves, at most
SHORT_DEADLINES_MS = (30, 600)  # the least and the most


class Manner(enum.Enum):
    HALF_CLOSE = "sends no more, and waits for the response"
    LEAVE = "closes the connection before the response"
    LEAVE_WITH_RESET = "resets the connection before the response"
    CHUNKS = "sends the body slowly, in chunks"
    SHORT_DEADLINE = "has little time"


def draw(rng, percent):
    """Returns a manner for `percent` of the requests, and None for the others."""
    if percent == 0 or rng.uniform(0, 100) >= percent:
        return None
    return rng.choice(list(Manner))


def pieces(body):
    """Yields the body in pieces, with a pause before each."""
    size = len(body) // CHUNKS + 1
    for begin in range(0, len(body), size):
        time.sleep(CHUNK_SECONDS)
        yield body[begin:begin + size]


def send(connection, rng, manner, method, target, body, headers):
    """Sends a request. Returns whether its caller waits for the response."""
    if manner is Manner.SHORT_DEADLINE:
        headers = headers | {"Deadline-Ms": str(rng.randint(*SHORT_DEADLINES_MS))}
    if manner is Manner.CHUNKS and body:
        connection.request(method, target, pieces(body), headers)
    else:
        connection.request(method, target, body, headers)
    if manner is Manner.HALF_CLOSE:
        connection.sock.shutdown(socket.SHUT_WR)
    if manner in (Manner.LEAVE, Manner.LEAVE_WITH_RESET):
        time.sleep(rng.uniform(0, LEAVE_SECONDS))
        if manner is Manner.LEAVE_WITH_RESET:
            reset(connection.sock)
        connection.close()
        return False
    return True
