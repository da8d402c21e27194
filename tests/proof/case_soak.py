"""All faults together, each of them twice, in an order drawn from the seed."""
import concurrent.futures
import contextlib
import json
import threading
import time

from basics import case, check, together, wait
from harness import Fake
from judges import (accepted_rolls, answer_whole, memory_ok, no_doubles,
                    not_run_true)

MODELS = ["care", "trace", "letter"]
TOKENS = 12
STEWARD = {"lease_span": "1500ms", "lease_renew": "300ms",
           "decide": "100ms", "order_timeout": "1500ms",
           "resend_after": "400ms", "flight_after": "5s", "vm_lag": "500ms",
           "place_loads_per_second": "50", "platform_timeout": "300ms"}
LONGEST_DELAY_MS = 3800  # of an order; flight_after covers it
KINDS = ["lose-answer", "drop", "delay", "duplicate", "refuse"]


class Soak:
    """The world, its callers, and the faults that go on in it."""

    def __init__(self, world):
        self.world, self.rng, self.over = world, world.rng, threading.Event()
        self.busy, self.lock = set(), threading.Lock()
        self.asked, self.told = [], []
        # programs end with the thread that started them
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
        self.doors = [world.entry("entry-%d" % i, claim_patience="600ms",
                                  deadline="5s") for i in range(3)]
        self.stewards = [world.steward("steward-%d" % i, **STEWARD)
                         for i in range(2)]
        world.platform.set(vms={x.name: "live" for x in self.stewards})
        self.config = world.write("soak.ini", [("ctl", {
            "platform": world.platform.addr, "platform_timeout": "2s",
            "patience": "1s", "signers": world.signer, "by": "soak",
            "daemons": " ".join(x.ops for x in world.daemons)})])

    def call(self, index):
        """A caller of streams and whole answers; some also of services,
        the same key at each entry."""
        caller, turn = self.callers[index], 0
        while not self.over.is_set():
            turn += 1
            door = self.doors[(index + turn) % 3]
            if index % 3 < 2:
                text = "%d-%d" % (index, turn // 3)
                answer = caller.call(door, ("water", "advice")[index % 3],
                                     "/x", text, (text, None)[index % 3])
                self.told.append((answer, text))
            model, text = MODELS[turn % 3], "%d %d" % (index, turn)
            answer = caller.complete(door, model, text, TOKENS,
                                     stream=turn % 2 == 1)
            for other in self.doors:
                if answer and answer.outcome == "cut" and \
                        "X-Resume-Ticket" in answer.headers:
                    answer = caller.resume(other, answer) or answer
            self.asked.append((answer, model, text))

    def look(self):
        """No daemon acts on a lower version than before."""
        acting = {}
        while not self.over.wait(0.05):
            for daemon in list(self.world.daemons):
                now, last = (daemon.status().get("acting", 0),
                             acting.get(daemon.name, 0))
                check(now == 0 or now >= last, "%s went back from version "
                      "%d to %d", daemon.name, last, now)
                acting[daemon.name] = max(now, last)

    def hold(self, longest):
        time.sleep(self.rng.uniform(longest / 10, longest))

    @contextlib.contextmanager
    def victim(self, some):
        """One that has no other fault at the same time."""
        with self.lock:
            one = self.rng.choice([x for x in some if x not in self.busy])
            self.busy.add(one)
        yield one
        self.busy.discard(one)

    def kill(self, some, stop=False):
        world = self.world
        with self.victim(some) as one:
            end = one.stop() if stop else 0
            check(end == 0, "%s was stopped and ended with %s", one.name, end)
            one.kill()
            self.hold(2)
            start = (world.restart if one in world.daemons else
                     world.restart_fake)
            again = self.starter.submit(start, one).result()
            # before, a SIGTERM would find no handler yet
            wait(one.name + " starts", lambda: isinstance(again, Fake) or
                 again.status())
            some[some.index(one)] = again

    def freeze(self, some):
        with self.victim(some) as one:
            one.freeze()
            self.hold(4)
            one.thaw()

    def cut(self):
        for _ in range(30):
            one = self.rng.choice(self.engines + self.apps)
            way = self.rng.choice(["up", "down"])
            one.relay.cut(b"POST /", **{way: self.rng.randrange(600)})
            self.hold(0.3)

    def lose_orders(self):
        for engine in self.engines:
            with contextlib.suppress(OSError):  # it may be dead
                engine.faults(*(
                    {"on": kind, "do": self.rng.choice(KINDS), "times": 3,
                     "ms": self.rng.randrange(LONGEST_DELAY_MS)}
                    for kind in ("load", "unload")))
        self.roll()

    def lose_commits(self):
        self.world.platform.faults(*(
            {"on": "txn", "do": self.rng.choice(KINDS), "match": match,
             "ms": self.rng.randrange(1500), "skip": self.rng.randrange(3),
             "times": 5} for match in ("claims", "ledger", "planner",
                                       "in-force")))
        self.roll()
        self.world.platform.faults()

    def platform(self, **how):
        self.world.platform.set(**how)
        self.hold(4)
        self.world.platform.set(outage=False, frozen=False, slow_ms=0)

    def ctl(self, *words):
        return self.world.ctl("--config", self.config, *words, "--why",
                              "soak", config=False, fails=True)

    def drain(self):
        name = self.rng.choice(self.engines + self.apps).name
        self.ctl("drain", name)
        self.hold(2)
        wait("undrained", lambda: name + " is not drained" in
             self.ctl("undrain", name))

    def roll(self):
        """Two operators roll new versions of all models at once."""
        world, version = self.world, len(accepted_rolls(self.world))

        def operate(who):
            path = "%s-%d.ini" % (who, threading.get_ident())
            items = [(kind, {**keys, "version": "%d%s" % (version + 1, who)}
                      if "version" in keys else keys)
                     for kind, keys in world.items]
            world.write(path, [("bundle", {"name": "soak"})] +
                        world.upstreams + items + world.callers)
            world.ctl("bundle", "sign", path, "--key", "key", config=False)
            self.ctl("bundle", "roll", path, "--replaces", str(version),
                     "--by", who)

        together(lambda: operate("ana"), lambda: operate("bo"))

    def bring_about(self):
        every = [lambda: self.kill(self.doors),
                 lambda: self.kill(self.doors, stop=True),
                 lambda: self.kill(self.stewards),
                 lambda: self.kill(self.stewards, stop=True),
                 lambda: self.kill(self.engines),
                 lambda: self.freeze(self.doors),
                 lambda: self.freeze(self.stewards),
                 lambda: self.freeze(self.engines),
                 lambda: self.platform(outage=True),
                 lambda: self.platform(frozen=True),
                 lambda: self.platform(slow_ms=400),
                 self.cut, self.lose_orders, self.lose_commits, self.drain,
                 self.roll]
        lanes = [self.rng.sample(every, len(every)) for _ in range(2)]
        try:
            together(*(lambda lane=lane: [fault() for fault in lane]
                       for lane in lanes))
        finally:
            self.over.set()

    def reach(self, door, model):
        answer = self.callers[0].complete(door, model, "x")
        return answer and answer.outcome == "done"

    def settle(self):
        """The faults are over: a last roll is in force everywhere, and every
        model is reached at every entry."""
        world = self.world
        for fake in self.engines + [world.platform]:
            fake.faults()
        world.version = len(accepted_rolls(world))
        check(world.version > 2, "no rolls")
        world.roll()
        for daemon in world.daemons:
            wait(daemon.name + " acts on the last version",
                 lambda: daemon.status().get("acting") == world.version)
        self.reach_all()

    def reach_all(self):
        for door in self.doors:
            for model in MODELS:
                wait("%s at %s" % (model, door.name),
                     lambda: self.reach(door, model))

    def judge(self):
        memory_ok(self.world)
        no_doubles(self.world)
        for caller in self.callers:
            not_run_true(self.world, caller.answers)
        for answer, *_ in self.asked + self.told:
            check(not answer or not answer.body or answer.outcome != "cut",
                  "half an answer: %s", answer and answer.body)
        done = [[x for x in some if x[0] and x[0].outcome == "done"]
                for some in (self.asked, self.told)]
        for answer, model, text in done[0]:
            answer_whole(answer, model, text, TOKENS)
        for answer, text in done[1]:
            check(json.loads(answer.body)["body"] == text, "%s got %s", text,
                  answer.body)
        check(min(map(len, done)) > 100, "too few answers to judge")


@case
def soak(world):
    """Two faults at a time, under callers of all kinds."""
    run = Soak(world)
    run.reach_all()
    together(run.bring_about, run.look,
             *(lambda i=i: run.call(i) for i in range(len(run.callers))))
    run.settle()
    run.judge()
