"""Ways in which a target ends a request, other than with a proper response."""

import enum
import os
import random
import socket
import time

from link import LINGER_RESET

FOREIGN_ID = "0" * 32
MUTE_SECONDS = 1.0
LATE_SECONDS = 0.002
EXTRA_BYTES = b"\x15\x03\x01 no response \x00\xff"


class Ending(enum.Enum):
    """What a gateway gets, in this order. All but the last come after the target has begun to run the request."""

    STRAY_REFUSAL = "a refusal without an id, then the response"
    STRAY_MISDIRECTED = "a 421 without an id, then the response"
    FOREIGN_REFUSAL = "a refusal with another request's id, then the response"
    OWN_408 = "the target's own 408"
    OWN_429 = "the target's own 429"
    OWN_503 = "the target's own 503"
    INTERIM_REFUSAL = "an interim response that says not run, then the response"
    SECOND_RESPONSE = "the response, then a refusal without an id"
    LATE_RESPONSE = "the response, then the same one again a moment later"
    HEAD_CUT_RESET = "a part of a refusal's header, then a reset"
    HEAD_CUT_END = "a part of a refusal's header, then an orderly end"
    RESET = "a reset"
    END = "an orderly end"
    MUTE = "nothing for a while, then an orderly end"
    EXTRA_BYTES = "bytes that are no response, then the response"
    UNFRAMED = "a response without a length"
    EARLY_REFUSAL = "a refusal with the id before the request's body was read; the request doesn't run"


def refuse_again(handler, refusal_bytes):
    """Repeats a refusal a moment after it was sent, when the connection may already carry the next request."""
    time.sleep(LATE_SECONDS)
    handler.wfile.write(refusal_bytes)


class Responses:
    """Draws an ending other than the proper one for `percent` of the requests. Thread-safe."""

    def __init__(self, seed, percent):
        self.random = random.Random(seed)
        self.percent = percent

    def draw(self):
        """Returns an ending, or None for a proper response."""
        if self.random.uniform(0, 100) >= self.percent:
            return None
        return self.random.choice(list(Ending))


def refusal(status, attempt="", promise=True):
    """Returns the bytes of a refusal with the attempt id, if one is given."""
    fields = f"Attempt-Id: {attempt}\r\n" if attempt else ""
    fields += "Not-Executed: 1\r\n" if promise else ""
    return f"HTTP/1.1 {status} Refused\r\n{fields}Content-Length: 0\r\n\r\n".encode()


def reset(connection):
    """Ends a connection with a reset, even if files made of it are still open."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    os.close(connection.detach())


def respond_oddly(handler, ending, attempt, head, body):
    """Ends a request as `ending` says. `head` is the header of the proper response without its last line and without the
    length of its body."""
    write = handler.wfile.write
    whole = head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    before = {Ending.STRAY_REFUSAL: refusal(503), Ending.STRAY_MISDIRECTED: refusal(421, promise=False),
              Ending.FOREIGN_REFUSAL: refusal(429, FOREIGN_ID), Ending.EXTRA_BYTES: EXTRA_BYTES,
              Ending.INTERIM_REFUSAL: f"HTTP/1.1 103 Early\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n\r\n".encode()}
    after = {Ending.SECOND_RESPONSE: refusal(503), Ending.LATE_RESPONSE: whole}
    own = {Ending.OWN_408: 408, Ending.OWN_429: 429, Ending.OWN_503: 503}
    if ending in before:
        return write(before[ending] + whole)
    if ending in after:
        write(whole)
        time.sleep(LATE_SECONDS if ending is Ending.LATE_RESPONSE else 0)
        return write(after[ending])
    if ending in own:
        return write(refusal(own[ending], attempt, promise=False))
    if ending is Ending.EARLY_REFUSAL:
        return write(refusal(503, attempt))
    handler.close_connection = True
    if ending in (Ending.HEAD_CUT_RESET, Ending.HEAD_CUT_END):
        write(refusal(503, attempt)[:-20])
    if ending is Ending.UNFRAMED:
        write(head + b"Connection: close\r\n\r\n" + body)
    if ending is Ending.MUTE:
        time.sleep(MUTE_SECONDS)
    if ending in (Ending.RESET, Ending.HEAD_CUT_RESET):
        reset(handler.connection)
    return None
