"""Grey backends run a part of their non-idempotent requests and then answer them with a status that isn't a promise of
theirs: 429 without Not-Executed. The client must not get a status that promises that the request has not run."""

import pathlib
import random
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
import stage as st

GATEWAYS = 3
BACKENDS = 11  # of pressdesk, as in sites/kpc-gateway.toml
GREY_BACKENDS = 1  # share 0.14 at most
GREY_SHARE = 0.5  # of the requests that a grey backend fails (x)
GREY_SECONDS = 6.5
CLIENTS = 12
TIMEOUT_MS = 3000


class Run:
    def __init__(self, stage):
        self.stage, self.violations, self.ended = stage, [], False
        self.ran = {}  # by attempt, the id of the backend
        self.grey = set()
        self.random = random.Random(1)

    def answer(self, backend, connection, request):
        attempt = request.fields["attempt-id"]
        self.ran[attempt] = backend.id
        self.stage.record(f"run {attempt} at {backend.id}")
        time.sleep(0.1)
        if backend.id in self.grey and self.random.random() < GREY_SHARE:
            connection.sendall(st.response(request, 429, b"", signature=False))
        else:
            connection.sendall(st.response(request, 200, b"booked " + attempt.encode()))
        return True

    def client(self, gateway):
        connection = st.connect(gateway)
        reader = connection.makefile("rb")
        while not self.ended:
            attempt = st.new_attempt()
            connection.sendall(st.request_bytes("POST", "/book/1", attempt, TIMEOUT_MS, b"x" * 4000))
            got = st.read_response(reader)
            if got is None:
                connection = st.connect(gateway)
                reader = connection.makefile("rb")
                continue
            text = f"sent {attempt}: answered {got.status}"
            if got.status in (408, 421, 429, 503) and attempt in self.ran:
                text += f", but {self.ran[attempt]} ran it: REFUSED"
                self.violations.append(text)
            self.stage.record(text)
            time.sleep(0.02)


def body(stage):
    st.write_config(stage.store, 1, ["pressdesk"], [st.route("/book/", "unsafe", "pressdesk", TIMEOUT_MS)])
    run = Run(stage)
    stage.backends = [st.Backend(stage, "pressdesk", st.ZONES[n % 3], run.answer) for n in range(BACKENDS)]
    stage.start_gateways(GATEWAYS)
    stage.await_ready()
    time.sleep(3)
    for number in range(CLIENTS):
        threading.Thread(target=run.client, args=(stage.gateways[number % GATEWAYS],), daemon=True).start()
    time.sleep(4)
    if stage.trouble:
        run.grey = {backend.id for backend in stage.backends[:GREY_BACKENDS]}
        stage.record(f"grey: {run.grey}")
    time.sleep(GREY_SECONDS)
    run.grey = set()
    time.sleep(2)
    run.ended = True
    time.sleep(0.5)
    return run.violations


st.run_case(CASE, body)
