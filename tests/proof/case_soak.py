"""All kinds of faults, each of them twice, in an order drawn from the seed."""
import concurrent.futures
import contextlib
import json
import threading
import time

from basics import case, check, together, wait
from harness import Fake
from invariants import (accepted_rolls, check_whole_answer, check_memory,
                        check_no_double_runs, check_not_run_answers)

MODELS = ["care", "trace", "letter"]
TOKENS = 12
STEWARD = {"lease_span": "1500ms", "lease_renew": "300ms",
           "decide": "100ms", "order_timeout": "1500ms",
           "resend_after": "400ms", "flight_after": "5s", "vm_lag": "500ms",
           "place_loads_per_second": "50", "platform_timeout": "300ms"}
LONGEST_DELAY_MS = 3800  # of an order; flight_after is longer
KINDS = ["lose-answer", "drop", "delay", "duplicate", "refuse"]


class Soak:
    """A World with its callers and the faults that are injected."""

    def __init__(self, world):
        self.world, self.rng, self.stopped = \
            world, world.rng, threading.Event()
        self.busy, self.lock = set(), threading.Lock()
        self.completions, self.service_calls = [], []
        # a program is killed when the thread that started it ends
        self.starter = concurrent.futures.ThreadPoolExecutor(1)
        self.engines = [world.engine(
            "engine-%d" % i, domain="ab"[i % 2], memory="5GiB", relay=True,
            fencing=("checked", "ignored")[i % 2], load_ms=30, first_ms=2,
            token_ms=5) for i in range(3)]
        self.apps = [world.service("app-%d" % i, "water advice", relay=True)
                     for i in range(2)]
        world.item("service", "water", repeatable="no")
        world.item("service", "advice", repeatable="yes")
        self.callers = [world.caller("token-%d" % i) for i in range(6)]
        for name in MODELS:
            world.model(name, size="2GiB")
        world.roll()
        self.entries = [world.entry("entry-%d" % i, claim_patience="600ms",
                                    deadline="5s") for i in range(3)]
        self.stewards = [world.steward("steward-%d" % i, **STEWARD)
                         for i in range(2)]
        world.platform.set(vms={x.name: "live" for x in self.stewards})
        self.config = world.write("soak.ini", [("ctl", {
            "platform": world.platform.addr, "platform_timeout": "2s",
            "patience": "1s", "signers": world.signer, "by": "soak",
            "daemons": " ".join(x.ops for x in world.daemons)})])

    def call(self, index):
        """Sends requests as one caller: streams and plain completions, and for
        some callers also calls of services, with the same key at each
        entry."""
        caller, turn = self.callers[index], 0
        while not self.stopped.is_set():
            turn += 1
            entry = self.entries[(index + turn) % 3]
            if index % 3 < 2:
                text = "%d-%d" % (index, turn // 3)
                answer = caller.call(entry, ("water", "advice")[index % 3],
                                     "/x", text, (text, None)[index % 3])
                self.service_calls.append((answer, text))
            model, text = MODELS[turn % 3], "%d %d" % (index, turn)
            answer = caller.complete(entry, model, text, TOKENS,
                                     stream=turn % 2 == 1)
            for other in self.entries:
                if answer and answer.outcome == "cut" and \
                        "X-Resume-Ticket" in answer.headers:
                    answer = caller.resume(other, answer) or answer
            self.completions.append((answer, model, text))

    def watch_versions(self):
        """Checks all the time that no daemon acts on a lower version than
        before."""
        acting = {}
        while not self.stopped.wait(0.05):
            for daemon in list(self.world.daemons):
                current, last = (daemon.status().get("acting", 0),
                                 acting.get(daemon.name, 0))
                check(current == 0 or current >= last,
                      "%s reverted from version "
                      "%d to %d", daemon.name, last, current)
                acting[daemon.name] = max(current, last)

    def sleep_up_to(self, max_seconds):
        time.sleep(self.rng.uniform(max_seconds / 10, max_seconds))

    @contextlib.contextmanager
    def choose_target(self, candidates):
        """Chooses one that has no other fault at the same time."""
        with self.lock:
            target = self.rng.choice([x for x in candidates
                                      if x not in self.busy])
            self.busy.add(target)
        yield target
        self.busy.discard(target)

    def kill(self, candidates, stop=False):
        world = self.world
        with self.choose_target(candidates) as target:
            status = target.stop() if stop else 0
            check(status == 0, "%s was stopped and ended with %s", target.name,
                  status)
            target.kill()
            self.sleep_up_to(2)
            start = (world.restart if target in world.daemons else
                     world.restart_fake)
            restarted = self.starter.submit(start, target).result()
            # earlier, it would have no handler for SIGTERM yet
            wait(target.name + " starts",
                 lambda: isinstance(restarted, Fake) or restarted.status())
            candidates[candidates.index(target)] = restarted

    def freeze(self, candidates):
        with self.choose_target(candidates) as target:
            target.freeze()
            self.sleep_up_to(4)
            target.thaw()

    def cut(self):
        for _ in range(30):
            target = self.rng.choice(self.engines + self.apps)
            direction = self.rng.choice(["up", "down"])
            target.relay.cut(b"POST /", **{direction: self.rng.randrange(600)})
            self.sleep_up_to(0.3)

    # sets faults on loads and unloads, and rolls, which causes some
    def disturb_orders(self):
        for engine in self.engines:
            with contextlib.suppress(OSError):  # the engine may be dead
                engine.set_faults(*(
                    {"on": kind, "do": self.rng.choice(KINDS), "times": 3,
                     "ms": self.rng.randrange(LONGEST_DELAY_MS)}
                    for kind in ("load", "unload")))
        self.roll()

    # sets faults on transactions of the platform, and rolls
    def disturb_commits(self):
        self.world.platform.set_faults(*(
            {"on": "txn", "do": self.rng.choice(KINDS), "match": match,
             "ms": self.rng.randrange(1500), "skip": self.rng.randrange(3),
             "times": 5} for match in ("claims", "ledger", "planner",
                                       "in-force")))
        self.roll()
        self.world.platform.set_faults()

    def platform(self, **values):
        self.world.platform.set(**values)
        self.sleep_up_to(4)
        self.world.platform.set(outage=False, frozen=False, slow_ms=0)

    def ctl(self, *words):
        return self.world.ctl("--config", self.config, *words, "--why",
                              "soak", config=False, fails=True)

    def drain(self):
        name = self.rng.choice(self.engines + self.apps).name
        self.ctl("drain", name)
        self.sleep_up_to(2)
        wait("undrained", lambda: name + " is not drained" in
             self.ctl("undrain", name))

    def roll(self):
        """Two operators roll new versions of all models at the same time."""
        world, version = self.world, len(accepted_rolls(self.world))

        def roll_as(operator):
            path = "%s-%d.ini" % (operator, threading.get_ident())
            items = [(kind,
                      {**keys, "version": "%d%s" % (version + 1, operator)}
                      if "version" in keys else keys)
                     for kind, keys in world.items]
            world.write(path, [("bundle", {"name": "soak"})] +
                        world.upstreams + items + world.callers)
            world.ctl("bundle", "sign", path, "--key", "key", config=False)
            self.ctl("bundle", "roll", path, "--replaces", str(version),
                     "--by", operator)

        together(lambda: roll_as("ana"), lambda: roll_as("bo"))

    def run_faults(self):
        all_faults = [lambda: self.kill(self.entries),
                      lambda: self.kill(self.entries, stop=True),
                      lambda: self.kill(self.stewards),
                      lambda: self.kill(self.stewards, stop=True),
                      lambda: self.kill(self.engines),
                      lambda: self.freeze(self.entries),
                      lambda: self.freeze(self.stewards),
                      lambda: self.freeze(self.engines),
                      lambda: self.platform(outage=True),
                      lambda: self.platform(frozen=True),
                      lambda: self.platform(slow_ms=400),
                      self.cut, self.disturb_orders, self.disturb_commits,
                      self.drain, self.roll]
        sequences = [self.rng.sample(all_faults, len(all_faults))
                     for _ in range(2)]
        try:
            together(*(lambda sequence=sequence: [fault()
                                                  for fault in sequence]
                       for sequence in sequences))
        finally:
            self.stopped.set()

    def can_reach(self, entry, model):
        answer = self.callers[0].complete(entry, model, "x")
        return answer and answer.outcome == "done"

    def settle(self):
        """Ends all faults; then waits until a last roll is in force at all
        daemons and every entry reaches every model."""
        world = self.world
        for fake in self.engines + [world.platform]:
            fake.set_faults()
        world.version = len(accepted_rolls(world))
        check(world.version > 2, "no rolls")
        world.roll()
        for daemon in world.daemons:
            wait(daemon.name + " acts on the last version",
                 lambda: daemon.status().get("acting") == world.version)
        self.await_all_reached()

    def await_all_reached(self):
        for entry in self.entries:
            for model in MODELS:
                wait("%s at %s" % (model, entry.name),
                     lambda: self.can_reach(entry, model))

    def check_results(self):
        check_memory(self.world)
        check_no_double_runs(self.world)
        for caller in self.callers:
            check_not_run_answers(self.world, caller.answers)
        for answer, *_ in self.completions + self.service_calls:
            check(not answer or not answer.body or answer.outcome != "cut",
                  "a partial answer: %s", answer and answer.body)
        done = [[x for x in records if x[0] and x[0].outcome == "done"]
                for records in (self.completions, self.service_calls)]
        for answer, model, text in done[0]:
            check_whole_answer(answer, model, text, TOKENS)
        for answer, text in done[1]:
            check(json.loads(answer.body)["body"] == text, "%s got %s", text,
                  answer.body)
        check(min(map(len, done)) > 100, "too few answers to judge")


@case
def soak(world):
    """Two faults at a time, with callers of all kinds."""
    run = Soak(world)
    run.await_all_reached()
    together(run.run_faults, run.watch_versions,
             *(lambda i=i: run.call(i) for i in range(len(run.callers))))
    run.settle()
    run.check_results()
