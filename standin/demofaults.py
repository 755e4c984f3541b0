"""The steps of the demo with failures: targets with gray failures, a draining proxy, and an outage of the log."""
import time

from caller import Traffic
from demorun import alive_vms, check_read, count_runs
from loopback import control_standin, finish_command, start_command, wait_for

ACCOUNTS = ("town-shops", "coast-clinics")
CALLERS_PER_ACCOUNT = 4
READS_PER_SECOND = 240  # light load: a twentieth of the capacity of tracker's 28 slots at 5 ms per request
BOOKINGS_PER_SECOND = 30
GRAY_SERVICE = "tracker"
SLOW_TARGET = "tracker-01"
HANGING_TARGET = "tracker-02"
MORE_FAULTY = ("tracker-03", "tracker-04")
READS_BEFORE_FAULTS = 300  # before the first fault
EJECTION_TIMEOUT_SECONDS = 20
EJECTED_SECONDS = 2.0
MAX_EJECTED_SHARE = 0.03  # share of the requests that an ejected target may get, for trials only
FLOOR_SECONDS = 4.0
# Until a hanging target is ejected, more requests wait for it than the retry budget covers. Their callers get 504 with
# Retry-After, as described in docs/CALLERS.md.
MAX_RETRIED_SHARE = 0.01
SAMPLE_SECONDS = 0.1
EJECTED_PHASES = ("ejected", "trial")
READS_TO_AWAIT = 300
EDIT = ("table", "set", "town-shops", "addressbook", "weight=6")


def callers(demo, seed):
    return [demo.caller(account, seed + index) for index in range(CALLERS_PER_ACCOUNT) for account in ACCOUNTS]


def read_traffic(demo, service, seed):
    return Traffic(callers(demo, seed), READS_PER_SECOND,
                   lambda caller, name: check_read(caller, name, service)).start()


def booking_traffic(demo, prefix, seed):
    """Sends bookings, each with its own name and key."""
    def send(caller, name):
        operation = f"{prefix}-{name}"
        headers = {"Idempotency-Key": f"{caller.location('pressdesk').token}/{operation}"}
        response = caller.request("POST", "pressdesk", "/bookings", f'{{"operation_id":"{operation}"}}', headers)
        return "" if response.status == 200 else f"booking {operation}: {response.status} {response.body!r}"
    return Traffic(callers(demo, seed), BOOKINGS_PER_SECOND, send).start()


def wait_for_records(traffic, count, seconds=EJECTION_TIMEOUT_SECONDS):
    """Waits until `count` more requests have completed."""
    expected_count = len(traffic.records) + count
    wait_for(f"{count} more requests complete", lambda: len(traffic.records) >= expected_count, seconds)


class EjectionMonitor:
    """Polls all proxies for the phases of a service's targets, and checks the floor at each poll."""

    def __init__(self, demo, service):
        self.demo = demo
        self.service = service
        self.last = {}
        self.max_ejected = 0
        self.floor_bound = False

    def sample(self):
        """Returns the ejected targets at each proxy, by VM."""
        ejected = {}
        for proxy in self.demo.proxies:
            [found] = [each for each in proxy.status()["services"] if each["service"] == self.service]
            ejected[proxy.vm] = {target["target"] for target in found["targets"] if target["phase"] in EJECTED_PHASES}
            self.floor_bound = self.floor_bound or found["floor_binds"]
            floor, targets = found["floor"], len(found["targets"])
        # The proxies are polled one after another. A target that was ejected at a proxy in the previous round and
        # still is was ejected in between, so all these targets were ejected at the same time.
        ejected_at_once = set().union(*(ejected[vm] & self.last.get(vm, set()) for vm in ejected))
        self.max_ejected = max(self.max_ejected, len(ejected_at_once))
        self.demo.check("the floor is respected", targets - len(ejected_at_once) >= floor,
                        f"{sorted(ejected_at_once)} out of {targets} are ejected at once, floor {floor}")
        self.floor = floor
        self.last = ejected
        return ejected

    def wait_until(self, what, condition, seconds):
        wait_for(what, lambda: condition(self.sample()), seconds)

    def sample_for(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.sample()
            time.sleep(SAMPLE_SECONDS)


def started_counts(demo, service):
    """Returns the number of requests that each of the service's targets has started."""
    return {name: control_standin(port, "/-/counters")["started"] for name, port in demo.targets[service].items()}


def set_faults(demo, service, target, **faults):
    control_standin(demo.targets[service][target], "/-/faults", faults)


def await_ejection(demo, monitor, faulty, before, since):
    """Waits until all proxies have ejected the targets, and reports the time for each target."""
    waiting = set(faulty)
    while waiting:
        def newly_ejected(ejected):
            return {target for target in waiting if all(target in each for each in ejected.values())}
        done = []
        monitor.wait_until(f"{sorted(waiting)} ejected at all proxies",
                           lambda ejected: done.extend(newly_ejected(ejected)) or done, EJECTION_TIMEOUT_SECONDS)
        now = started_counts(demo, GRAY_SERVICE)
        for target in set(done):
            waiting.discard(target)
            demo.report(f"{target} {faulty[target]}: ejected at all proxies after {time.monotonic() - since:.1f} s and "
                        f"{now[target] - before[target]} requests")


def inject_gray_failures(demo):
    """Makes one target slow and another one hang; both are ejected. With four of seven faulty the floor holds."""
    traffic = read_traffic(demo, GRAY_SERVICE, 100)
    monitor = EjectionMonitor(demo, GRAY_SERVICE)
    wait_for_records(traffic, READS_BEFORE_FAULTS)
    demo.check("no target is ejected before the first fault", not any(monitor.sample().values()), monitor.last)
    demo.check("all reads before it succeed", not traffic.problems(), traffic.problems()[:3])
    rejections = [record.rejections for record in traffic.retried()]
    demo.check("no read far below the table's limits is rejected", not rejections,
               f"{len(rejections)}, {rejections[:3]}")
    before = started_counts(demo, GRAY_SERVICE)
    since = time.monotonic()
    set_faults(demo, GRAY_SERVICE, SLOW_TARGET, slow_factor=10)
    set_faults(demo, GRAY_SERVICE, HANGING_TARGET, hang_share=1)
    await_ejection(demo, monitor, {SLOW_TARGET: "is 10 times slower", HANGING_TARGET: "hangs"}, before, since)
    before = started_counts(demo, GRAY_SERVICE)
    monitor.sample_for(EJECTED_SECONDS)
    after = started_counts(demo, GRAY_SERVICE)
    total = sum(after.values()) - sum(before.values())
    shares = {target: (after[target] - before[target]) / max(1, total) for target in (SLOW_TARGET, HANGING_TARGET)}
    demo.check("faulty targets get no traffic except trials", max(shares.values()) <= MAX_EJECTED_SHARE, shares)
    demo.report(f"share of traffic after ejection: "
                f"{', '.join(f'{name} {share:.1%}' for name, share in shares.items())} "
                f"of {total} requests")
    for target in MORE_FAULTY:
        set_faults(demo, GRAY_SERVICE, target, slow_factor=10)
    monitor.sample_for(FLOOR_SECONDS)
    demo.report(f"four of seven are faulty: {monitor.max_ejected} ejected at most, floor {monitor.floor} respected"
                + (", floor-binds was reported" if monitor.floor_bound else ""))
    for target in (SLOW_TARGET, HANGING_TARGET, *MORE_FAULTY):
        set_faults(demo, GRAY_SERVICE, target, slow_factor=1, hang_share=0)
    records = traffic.stop()
    problems = traffic.problems()
    demo.check("all reads succeeded", not problems, f"{len(problems)} of {len(records)}: {problems[:3]}")
    retried = traffic.retried()
    share = len(retried) / len(records)
    demo.check("few reads had to be retried", share <= MAX_RETRIED_SHARE,
               f"{len(retried)} of {len(records)}: {[record.rejections for record in retried[:3]]}")
    demo.report(f"all {len(records)} reads of two accounts succeeded meanwhile, {len(retried)} ({share:.1%}) of "
                f"them after a retry that the response's Retry-After permitted")


def check_traffic(demo, what, traffic, bookings, prefix):
    """Stops reads and bookings. Checks that all of them succeeded and that each booking ran once."""
    records = traffic.stop()
    booked = bookings.stop()
    problems = traffic.problems() + bookings.problems()
    problems += [f"{record.name}: {record.rejections}" for record in traffic.retried()]
    total = len(records) + len(booked)
    demo.check(f"no request is lost or rejected {what}", not problems, f"{len(problems)} of {total}: {problems[:3]}")
    counts = {}
    for port in demo.targets["pressdesk"].values():
        for name, count in control_standin(port, "/-/runs").items():
            counts[name] = counts.get(name, 0) + count
    wrong = [record.name for record in booked if counts.get(f"{prefix}-{record.name}") != 1]
    demo.check(f"each booking ran once {what}", not wrong, wrong[:5])
    demo.report(f"{what}: {len(records)} reads and {len(booked)} bookings succeeded, each booking ran once")


def drain_proxy(demo):
    """Terminates one proxy with SIGTERM under load. No request is lost."""
    draining = demo.proxies[1]
    traffic = read_traffic(demo, "addressbook", 200)
    bookings = booking_traffic(demo, "drain", 300)
    wait_for_records(traffic, READS_TO_AWAIT)
    demo.processes.running[draining.vm].terminate()
    status = demo.processes.wait(draining.vm)
    demo.check(f"{draining.vm} exits with 0", status == 0, status)
    wait_for_records(traffic, READS_TO_AWAIT)
    others = [proxy for proxy in demo.proxies if proxy is not draining]
    for proxy in others:
        wait_for(f"{proxy.vm} no longer has {draining.vm} as an alive member",
                 lambda proxy=proxy: draining.vm not in alive_vms(proxy))
    check_traffic(demo, f"while {draining.vm} drained", traffic, bookings, "drain")


def start_log_outage(demo):
    """Starts an outage of the log and tries an edit, which is rejected. Meanwhile the fleet continues to serve callers.
    A proxy drains, restarts and gets the configuration from the other proxies."""
    first = demo.proxies[0]
    control_standin(demo.log, "/-/faults", {"outage": True})
    wait_for("all proxies that read the log detect the outage",
             lambda: not any(proxy.status()["log_reachable"] for proxy in demo.proxies if proxy.status()["reads_log"]))
    edit_command = start_command([first], *EDIT)
    demo.report("the log is unavailable, and an edit is in progress")
    drain_proxy(demo)
    traffic = read_traffic(demo, "addressbook", 400)
    bookings = booking_traffic(demo, "outage", 500)
    restarted = demo.proxies[1]
    demo.start_proxy(restarted)
    wait_for(f"{restarted.vm} is ready without the log", restarted.ready)
    names = {proxy.vm for proxy in demo.proxies}
    wait_for(f"{restarted.vm} is an alive member again", lambda: alive_vms(first) == names)
    demo.report(f"{restarted.vm} restarted and got the configuration from the other proxies")
    wait_for_records(traffic, READS_TO_AWAIT)
    status, output = finish_command(edit_command)
    demo.check("an edit is rejected while the log is unavailable", status == 3, f"{status}, {output}")
    demo.report(f"the edit is rejected: {output.splitlines()[1]}")
    check_traffic(demo, "while the log was unavailable", traffic, bookings, "outage")


def end_log_outage(demo):
    """Ends the outage of the log. The edit that was rejected is accepted."""
    restored_at = time.monotonic()
    control_standin(demo.log, "/-/faults", {"outage": False})
    wait_for("all proxies reach the log again", lambda: all(proxy.status()["log_reachable"] for proxy in demo.proxies))
    seconds = time.monotonic() - restored_at
    output = demo.run_command(*EDIT)
    for proxy in demo.proxies:
        found = demo.weights(proxy, "town-shops", "addressbook")
        demo.check(f"{proxy.vm} has weight 6 in table and queue", found == [6, 6], found)
    demo.report(f"the log is available again, reached by all proxies within {seconds:.1f} s; "
                f"the edit: {demo.last_line(output)}")
