"""Client accounts of the soak's callers, and what must hold for them."""

import itertools
import time

from fleet import account

LIMIT_PER_SECOND = 8  # of the first account, far below what its callers send
LIMIT_BURST = 8
LIMIT_WINDOW_SECONDS = 5
FAULT_SHARE, FAULT_SLACK = 0.1, 20  # of the limit, that processes may use besides while there are faults
WITHDRAWAL_SECONDS = 2.5  # for a withdrawn key to be refused everywhere
CHECK_SECONDS = 3


class Accounts:
    """Accounts with two keys each. Each request uses the key of another account than the one before."""

    def __init__(self, count):
        self.names = [f"account-{number}" for number in range(count)]
        self.keys = {name: [f"key-{name}-1", f"key-{name}-2"] for name in self.names}
        self.turns = itertools.count()
        self.expected = {}  # attempt id -> account
        self.sent = {}  # attempt id -> time and key
        self.withdrawn = {}  # key -> time since which it must be refused

    def rows(self):
        limits = {self.names[0]: (LIMIT_PER_SECOND, LIMIT_BURST)}
        return [account(name, self.keys[name], *limits.get(name, (0, 0))) for name in self.names]

    def headers(self, attempt):
        """Returns the key of a request, and an account that it pretends to belong to."""
        turn = next(self.turns)
        name = self.names[turn % len(self.names)]
        key = f"key-{name}-{turn // len(self.names) % 2 + 1}"
        self.expected[attempt] = name
        self.sent[attempt] = (time.monotonic(), key)
        return {"Authorization": f"Token {key}", "Tenant": "another"}

    def unlimited_headers(self):
        return {"Authorization": f"Token {self.keys[self.names[-1]][0]}"}

    def check_withdrawal(self, soak):
        """Withdraws a key of the last account while nothing else happens."""
        name = self.names[-1]
        key = self.keys[name].pop()
        soak.configure(soak.service)
        self.withdrawn[key] = time.monotonic() + WITHDRAWAL_SECONDS
        soak.record("withdrawn", key, "version", soak.version)
        time.sleep(WITHDRAWAL_SECONDS + CHECK_SECONDS)

    def check(self, soak, targets):
        runs = sorted(run for target in targets for run in target.account_runs if run[1] in self.expected)
        for at, attempt, named, has_key in runs:
            if has_key:
                soak.add_violation(f"{attempt}: a target received the key")
            if named != self.expected[attempt]:
                soak.add_violation(f"{attempt} of {self.expected[attempt]} ran as {named}")
            sent_at, key = self.sent[attempt]
            if sent_at > self.withdrawn.get(key, sent_at):
                soak.add_violation(f"{attempt} ran {sent_at - self.withdrawn[key]:.3f} s after its key had to be refused")
        self.check_limit(soak, [at for at, attempt, _, _ in runs if self.expected[attempt] == self.names[0]])

    def check_limit(self, soak, times):
        most = max((sum(begin <= at < begin + LIMIT_WINDOW_SECONDS for at in times) for begin in times), default=0)
        limit = LIMIT_PER_SECOND * LIMIT_WINDOW_SECONDS + LIMIT_BURST
        soak.record("limit of", self.names[0], limit, "most in a window", most, "of", len(times))
        if most > limit * (1 + FAULT_SHARE) + FAULT_SLACK:
            soak.add_violation(f"{self.names[0]} ran {most} requests in {LIMIT_WINDOW_SECONDS} s, {limit} are allowed")
