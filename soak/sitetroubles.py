"""The troubles of a site file, played on real gateways. Each method is named like its kind and runs in a thread."""

import random
import signal
import threading
import time

from link import DARK
from pathcut import PathCut
from sitetarget import Disturbance

EXPIRY_SECONDS = 4.5  # after which the store drops the record of a target that sends no heartbeats
REUSE_SECONDS = 2.0  # between the end of a target and the next one at its address
THROTTLE_PERIOD = 0.05
# Kinds that need a network of several machines, or work that these gateways don't do.
NOT_PLAYED = ("core_cut", "add_nodes")


class Troubles:
    def __init__(self, system, site, rng):
        self.system, self.site, self.rng = system, site, rng
        self.threads = []

    def start(self, trouble):
        """Starts a trouble. Returns whether it can be played."""
        if trouble.kind in NOT_PLAYED:
            return False
        play = getattr(self, trouble.kind)
        seed = self.rng.getrandbits(32)

        def run():
            self.system.record("begin", trouble)
            play(trouble, random.Random(seed))
            self.system.record("end", trouble)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.threads.append(thread)
        return True

    def targets(self, trouble, rng):
        """Draws the targets that a trouble hits, of one service in most cases."""
        service = rng.choice(self.site.services).name
        targets = [target for target in tuple(self.system.targets)
                   if (target.service == service or "across" in trouble.how) and not target.crashed.is_set()]
        most = len(targets) if "all" in trouble.how else max(1, len(targets) - 1)
        return rng.sample(targets, min(most, max(1, round(trouble.share * len(targets)))))

    def gateways(self, share, rng, most=None):
        gateways = self.system.gateways
        return rng.sample(gateways, min(most or len(gateways), max(1, round(share * len(gateways)))))

    def disturb(self, targets, disturbance, seconds):
        for target in targets:
            target.disturbances.add(disturbance)
        time.sleep(seconds)
        for target in targets:
            target.disturbances.discard(disturbance)

    def srv_crash(self, trouble, rng):
        targets = self.targets(trouble, rng)
        for target in targets:
            target.is_silent = True
            if "dark" in trouble.how:
                target.link.begin(DARK)
            else:
                target.crash()
        time.sleep(trouble.seconds)
        for target in targets:
            self.system.crash(target)
            if "gone" not in trouble.how:
                self.system.add_target(target.service, target.link.port)

    def srv_cut(self, trouble, rng):
        targets = self.targets(trouble, rng)
        for target in targets:
            target.is_silent = True
        cut = None
        if "some" in trouble.how:
            cut = PathCut(self.gateways(trouble.strength, rng, 4), [target.link for target in targets], "reset", 0)
        for target in rng.sample(targets, max(1, round(trouble.strength * len(targets)))):
            if "fronts" in trouble.how:
                target.link.begin(DARK)
            elif "one_way" in trouble.how:
                target.link.begin("cut-down")
            elif "reset" in trouble.how:
                target.link.begin("reset")
        time.sleep(min(trouble.seconds, EXPIRY_SECONDS))
        for target in targets:
            if not target.crashed.is_set():
                self.system.store.put("keyed.servers", target.id, "")
        time.sleep(max(0, trouble.seconds - EXPIRY_SECONDS))
        if cut:
            cut.end()
        for target in targets:
            target.link.end()
            target.is_silent = False

    def srv_slow(self, trouble, rng):
        self.disturb(self.targets(trouble, rng), Disturbance("slow", factor=trouble.strength), trouble.seconds)

    def srv_grey(self, trouble, rng):
        if "slow" in trouble.how:
            disturbance = Disturbance("grey", trouble.how, 1, trouble.strength)
        else:
            disturbance = Disturbance("grey", trouble.how or frozenset({"errors"}), trouble.strength)
        self.disturb(self.targets(trouble, rng), disturbance, trouble.seconds)

    def srv_lying_health(self, trouble, rng):
        kind = "ill" if "bad" in trouble.how else "lies"
        self.disturb(self.targets(trouble, rng), Disturbance(kind), trouble.seconds)

    def srv_flap(self, trouble, rng):
        targets = self.targets(trouble, rng)
        until = time.monotonic() + trouble.seconds
        while time.monotonic() < until:
            for target in targets:
                target.link.begin(DARK)
            time.sleep(trouble.gap_seconds)
            for target in targets:
                target.link.end()
            time.sleep(trouble.gap_seconds)

    def answer_lost(self, trouble, rng):
        disturbance = Disturbance("answer_lost", trouble.how, trouble.strength)
        self.disturb(self.targets(trouble, rng), disturbance, trouble.seconds)

    def garble(self, trouble, rng):
        self.disturb(self.targets(trouble, rng), Disturbance("garble", trouble.how, trouble.strength), trouble.seconds)

    def release(self, trouble, rng):
        for number, target in enumerate(self.targets(trouble, rng)):
            if number and number % int(trouble.strength) == 0:
                time.sleep(trouble.gap_seconds)
            self.system.add_target(target.service)
            self.leave(target, rng)

    def scale_out(self, trouble, rng):
        for target in self.targets(trouble, rng):
            self.system.add_target(target.service)
            time.sleep(trouble.gap_seconds / 2)

    def scale_in(self, trouble, rng):
        for target in self.targets(trouble, rng):
            self.leave(target, rng)

    def leave(self, target, rng):
        target.drain()
        delay = self.site.drain_seconds + rng.uniform(0.5, 4)
        timer = threading.Timer(delay, self.system.crash, (target,))
        timer.daemon = True
        timer.start()

    def replace_with_reuse(self, trouble, rng):
        targets = self.targets(trouble, rng)
        for target in targets:
            target.is_silent = True
            if "drain" in trouble.how:
                target.drain()
            elif "dark" in trouble.how:
                target.link.begin(DARK)
            else:
                self.system.crash(target)
        time.sleep(self.site.drain_seconds + REUSE_SECONDS if "drain" in trouble.how else REUSE_SECONDS)
        for target in targets:
            self.system.crash(target)
            others = [service.name for service in self.site.services if service.name != target.service]
            self.system.add_target(rng.choice(others), target.link.port)

    def node_kill(self, trouble, rng):
        for gateway in rng.sample(self.system.gateways, trouble.count * (2 if "race" in trouble.how else 1)):
            gateway.signal(signal.SIGKILL)

    def herd_kill(self, trouble, rng):
        for gateway in self.gateways(trouble.share, rng):
            gateway.signal(signal.SIGKILL)

    def after_ack_kill(self, trouble, rng):
        self.system.configure()
        rng.choice(self.system.gateways).signal(signal.SIGKILL)

    def roll_term(self, trouble, rng):
        for number, gateway in enumerate(self.gateways(min(trouble.share, 0.5), rng)):
            if number and number % int(trouble.strength) == 0:
                time.sleep(trouble.gap_seconds)
            gateway.signal(signal.SIGTERM)
            if "busy" in trouble.how and rng.random() < 0.3:
                gateway.signal(signal.SIGHUP)

    def node_slow(self, trouble, rng):
        throttle(self.gateways(trouble.share, rng), 1 / trouble.strength, lambda began: time.monotonic() - began > trouble.seconds)

    def reset_conns(self, trouble, rng):
        for target in tuple(self.system.targets):
            for connection in list(target.link.connections):
                if rng.random() < trouble.share * trouble.strength:
                    connection.reset()

    def node_cut(self, trouble, rng):
        gateways = self.gateways(trouble.share, rng, 4)
        for gateway in gateways:
            gateway.store_link.begin("cut-down")
        cut = PathCut(gateways, [target.link for target in tuple(self.system.targets)], "hang", 0)
        time.sleep(trouble.seconds)
        cut.end()
        for gateway in gateways:
            gateway.store_link.end()

    def lossy(self, trouble, rng):
        targets = rng.sample(self.system.targets, len(self.system.targets) // 3)
        for target in targets:
            target.link.begin("delay")
        time.sleep(trouble.seconds)
        for target in targets:
            target.link.end()

    def platform_down(self, trouble, rng):
        if "nodes" in trouble.how:
            gateways = self.gateways(trouble.share, rng)
            for gateway in gateways:
                gateway.store_link.begin("reset" if "reset" in trouble.how else DARK)
            time.sleep(trouble.seconds)
            for gateway in gateways:
                gateway.store_link.end()
        else:
            self.store_fault("refuse" if "busy" in trouble.how else "late", trouble.seconds)

    def store_fault(self, fault, seconds):
        self.system.store.fault = fault
        time.sleep(seconds)
        self.system.store.fault = None

    def platform_slow(self, trouble, rng):
        self.store_fault("late", trouble.seconds)

    def platform_lost(self, trouble, rng):
        self.store_fault("lose", trouble.seconds)

    def platform_compact(self, trouble, rng):
        self.system.store.compact()

    def burst(self, trouble, rng):
        self.system.rate_factor *= trouble.strength
        time.sleep(trouble.seconds)
        self.system.rate_factor /= trouble.strength

    def retry_abuse(self, trouble, rng):
        self.system.abuse = (trouble.share, int(trouble.strength))
        time.sleep(trouble.seconds)
        self.system.abuse = (0, 0)

    def give_up(self, trouble, rng):
        self.system.give_up_share = trouble.share
        time.sleep(trouble.seconds)
        self.system.give_up_share = 0

    def config_change(self, trouble, rng):
        self.system.configure(trouble.how)

    def config_storm(self, trouble, rng):
        for _ in range(int(trouble.seconds / trouble.gap_seconds)):
            self.system.configure(trouble.how)
            time.sleep(trouble.gap_seconds)

    def big_config(self, trouble, rng):
        self.system.configure(idle_routes=trouble.count)


def throttle(gateways, share, is_over):
    """Stops and continues gateways, so that they run for a share of the time, until `is_over` says so for its start."""
    began = time.monotonic()
    while not is_over(began):
        for gateway in gateways:
            gateway.signal(signal.SIGSTOP)
        time.sleep(THROTTLE_PERIOD * (1 - share))
        for gateway in gateways:
            gateway.signal(signal.SIGCONT)
        time.sleep(THROTTLE_PERIOD * share)
