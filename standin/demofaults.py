"""The steps of the demo in which something fails or leaves: gray targets, a proxy that drains, a log that is away."""
import time

from caller import Traffic
from demorun import alive, read_answer, runs
from loopback import begin_operate, end_operate, standin, wait_for

ACCOUNTS = ("town-shops", "coast-clinics")
CALLERS_PER_ACCOUNT = 4
READS_PER_SECOND = 240  # a light load: a twentieth of what tracker's 28 slots can do at 5 ms a request
BOOKINGS_PER_SECOND = 30
GRAY_SERVICE = "tracker"
SLOW = "tracker-01"
HANGING = "tracker-02"
MORE_SICK = ("tracker-03", "tracker-04")
CALM_READS = 300  # before the first fault
EJECT_SECONDS = 20
AFTER_SECONDS = 2.0
MOST_SHARE_AFTER = 0.03  # of the requests, for a target that is out: only trials
FLOOR_SECONDS = 4.0
# Until a hanging target is out, more requests wait for it than the budget for second attempts covers; their callers get
# 504 with Retry-After, as docs/CALLERS.md says.
MOST_REPEATED_SHARE = 0.01
SAMPLE_SECONDS = 0.1
OUT_PHASES = ("ejected", "trial")
SOME_READS = 300
EDIT = ("table", "set", "town-shops", "addressbook", "weight=6")


def callers(demo, seed):
    return [demo.caller(account, seed + index) for index in range(CALLERS_PER_ACCOUNT) for account in ACCOUNTS]


def read_traffic(demo, service, seed):
    return Traffic(callers(demo, seed), READS_PER_SECOND,
                   lambda caller, name: read_answer(caller, name, service)).start()


def booking_traffic(demo, prefix, seed):
    """Bookings that each have a name and a key of their own."""
    def send(caller, name):
        operation = f"{prefix}-{name}"
        headers = {"Idempotency-Key": f"{caller.location('pressdesk').token}/{operation}"}
        answer = caller.request("POST", "pressdesk", "/bookings", f'{{"operation_id":"{operation}"}}', headers)
        return "" if answer.status == 200 else f"booking {operation}: {answer.status} {answer.body!r}"
    return Traffic(callers(demo, seed), BOOKINGS_PER_SECOND, send).start()


def more_records(traffic, count, seconds=EJECT_SECONDS):
    """Waits for so many more requests to end."""
    wanted = len(traffic.records) + count
    wait_for(f"{count} more requests end", lambda: len(traffic.records) >= wanted, seconds)


class HealthWatch:
    """Reads again and again what all proxies say of a service's targets, and checks the floor each time."""

    def __init__(self, demo, service):
        self.demo = demo
        self.service = service
        self.last = {}
        self.most_out = 0
        self.floor_bound = False

    def sample(self):
        """Returns the targets that are out of service at each proxy, by VM."""
        out = {}
        for proxy in self.demo.proxies:
            [found] = [each for each in proxy.status()["services"] if each["service"] == self.service]
            out[proxy.vm] = {target["target"] for target in found["targets"] if target["phase"] in OUT_PHASES}
            self.floor_bound = self.floor_bound or found["floor_binds"]
            floor, targets = found["floor"], len(found["targets"])
        # The proxies are read one after another. What was out at a proxy in the round before and still is was out
        # in between, so all of this was out at one time.
        together = set().union(*(out[vm] & self.last.get(vm, set()) for vm in out))
        self.most_out = max(self.most_out, len(together))
        self.demo.check("the floor holds", targets - len(together) >= floor,
                        f"{sorted(together)} out of {targets} are out at once, floor {floor}")
        self.floor = floor
        self.last = out
        return out

    def until(self, what, holds, seconds):
        wait_for(what, lambda: holds(self.sample()), seconds)

    def during(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.sample()
            time.sleep(SAMPLE_SECONDS)


def started(demo, service):
    """Returns how many requests each of the service's targets has begun."""
    return {name: standin(port, "/-/counters")["started"] for name, port in demo.targets[service].items()}


def switch(demo, service, target, **faults):
    standin(demo.targets[service][target], "/-/faults", faults)


def await_ejection(demo, watch, sick, before, since):
    """Waits until all proxies have taken the targets out, and says how long each took."""
    waiting = set(sick)
    while waiting:
        def newly_out(out):
            return {target for target in waiting if all(target in each for each in out.values())}
        done = []
        watch.until(f"{sorted(waiting)} out of service at all proxies", lambda out: done.extend(newly_out(out)) or done,
                    EJECT_SECONDS)
        now = started(demo, GRAY_SERVICE)
        for target in set(done):
            waiting.discard(target)
            demo.say(f"{target} {sick[target]}: out at all proxies after {time.monotonic() - since:.1f} s and "
                     f"{now[target] - before[target]} requests")


def make_gray(demo):
    """Makes one target slow and another one hang; they lose their traffic. With four of seven sick the floor holds."""
    traffic = read_traffic(demo, GRAY_SERVICE, 100)
    watch = HealthWatch(demo, GRAY_SERVICE)
    more_records(traffic, CALM_READS)
    demo.check("no target is out before the first fault", not any(watch.sample().values()), watch.last)
    demo.check("all reads before it are right", not traffic.problems(), traffic.problems()[:3])
    refused = [record.refusals for record in traffic.refused()]
    demo.check("no read far below the table's limits is refused", not refused, f"{len(refused)}, {refused[:3]}")
    before = started(demo, GRAY_SERVICE)
    since = time.monotonic()
    switch(demo, GRAY_SERVICE, SLOW, slow_factor=10)
    switch(demo, GRAY_SERVICE, HANGING, hang_share=1)
    await_ejection(demo, watch, {SLOW: "is 10 times slower", HANGING: "hangs"}, before, since)
    before = started(demo, GRAY_SERVICE)
    watch.during(AFTER_SECONDS)
    after = started(demo, GRAY_SERVICE)
    total = sum(after.values()) - sum(before.values())
    shares = {target: (after[target] - before[target]) / max(1, total) for target in (SLOW, HANGING)}
    demo.check("gray targets get no traffic but trials", max(shares.values()) <= MOST_SHARE_AFTER, shares)
    demo.say(f"share of traffic then: {', '.join(f'{name} {share:.1%}' for name, share in shares.items())} "
             f"of {total} requests")
    for target in MORE_SICK:
        switch(demo, GRAY_SERVICE, target, slow_factor=10)
    watch.during(FLOOR_SECONDS)
    demo.say(f"four of seven are sick: {watch.most_out} out at most, floor {watch.floor} held"
             + (", floor-binds was shown" if watch.floor_bound else ""))
    for target in (SLOW, HANGING, *MORE_SICK):
        switch(demo, GRAY_SERVICE, target, slow_factor=1, hang_share=0)
    records = traffic.stop()
    problems = traffic.problems()
    demo.check("all reads were answered", not problems, f"{len(problems)} of {len(records)}: {problems[:3]}")
    refused = traffic.refused()
    share = len(refused) / len(records)
    demo.check("few reads had to be repeated", share <= MOST_REPEATED_SHARE,
               f"{len(refused)} of {len(records)}: {[record.refusals for record in refused[:3]]}")
    demo.say(f"all {len(records)} reads of two accounts were answered rightly meanwhile, {len(refused)} ({share:.1%}) "
             f"only when repeated as the answer's Retry-After allowed")


def check_traffic(demo, what, traffic, bookings, prefix):
    """Ends both kinds of traffic and checks that all of it was answered, and each booking ran once."""
    records = traffic.stop()
    booked = bookings.stop()
    problems = traffic.problems() + bookings.problems()
    problems += [f"{record.name}: {record.refusals}" for record in traffic.refused()]
    total = len(records) + len(booked)
    demo.check(f"nothing is lost or refused {what}", not problems, f"{len(problems)} of {total}: {problems[:3]}")
    counts = {}
    for port in demo.targets["pressdesk"].values():
        for name, count in standin(port, "/-/runs").items():
            counts[name] = counts.get(name, 0) + count
    wrong = [record.name for record in booked if counts.get(f"{prefix}-{record.name}") != 1]
    demo.check(f"each booking ran once {what}", not wrong, wrong[:5])
    demo.say(f"{what}: {len(records)} reads and {len(booked)} bookings answered, each booking ran once")


def drain_proxy(demo):
    """Ends one proxy with SIGTERM under load; nothing is lost."""
    leaving = demo.proxies[1]
    traffic = read_traffic(demo, "addressbook", 200)
    bookings = booking_traffic(demo, "drain", 300)
    more_records(traffic, SOME_READS)
    demo.processes.running[leaving.vm].terminate()
    status = demo.processes.wait(leaving.vm)
    demo.check(f"{leaving.vm} ends with 0", status == 0, status)
    more_records(traffic, SOME_READS)
    rest = [proxy for proxy in demo.proxies if proxy is not leaving]
    for proxy in rest:
        wait_for(f"{proxy.vm} no longer names {leaving.vm}", lambda proxy=proxy: leaving.vm not in alive(proxy))
    check_traffic(demo, f"while {leaving.vm} drained", traffic, bookings, "drain")


def take_log_down(demo):
    """Takes the log down, and tries an edit, which is refused. Meanwhile the fleet goes on: callers are served, a proxy
    drains and another one, started anew, gets the configuration from the others."""
    first = demo.proxies[0]
    standin(demo.log, "/-/faults", {"outage": True})
    wait_for("all proxies that read the log notice that it is away",
             lambda: not any(proxy.status()["log_reachable"] for proxy in demo.proxies if proxy.status()["reads_log"]))
    refused = begin_operate([first], *EDIT)
    demo.say("the log is away, and an edit under way")
    drain_proxy(demo)
    traffic = read_traffic(demo, "addressbook", 400)
    bookings = booking_traffic(demo, "outage", 500)
    restarted = demo.proxies[1]
    demo.start_proxy(restarted)
    wait_for(f"{restarted.vm} is ready without the log", restarted.ready)
    names = {proxy.vm for proxy in demo.proxies}
    wait_for(f"{restarted.vm} is one of three again", lambda: alive(first) == names)
    demo.say(f"{restarted.vm}, started anew, got the configuration from the others")
    more_records(traffic, SOME_READS)
    status, output = end_operate(refused)
    demo.check("an edit is refused while the log is away", status == 3, f"{status}, {output}")
    demo.say(f"the edit is refused: {output.splitlines()[1]}")
    check_traffic(demo, "while the log was away", traffic, bookings, "outage")


def bring_log_back(demo):
    """Brings the log back; the edit that was refused is accepted."""
    back = time.monotonic()
    standin(demo.log, "/-/faults", {"outage": False})
    wait_for("all proxies see the log again", lambda: all(proxy.status()["log_reachable"] for proxy in demo.proxies))
    seen = time.monotonic() - back
    output = demo.operate(*EDIT)
    for proxy in demo.proxies:
        found = demo.weights(proxy, "town-shops", "addressbook")
        demo.check(f"{proxy.vm} has weight 6 in table and queue", found == [6, 6], found)
    demo.say(f"the log is back, seen by all within {seen:.1f} s; the edit: {demo.last_line(output)}")
