"""bk-front under all faults together, in an order drawn from the seed.

Real daemons, each behind proxies of its own to the store and the upstreams.
Faults come from outside: signals, and proxies that delay, reset, silence or
cut. Judged by what callers and upstreams saw. For longer: SOAK_S=60 in the
environment, seconds.
"""
import collections
import concurrent.futures
import os
import random
import threading
import time

from basics import case, check, together, wait
from case_front import bad_answers, chunk, begin, events
from case_front_state import ENGINE
from platform_standins import (Caller, Front, Proxy, Replica, Store,
                               configure, not_run, plain, route, sealed)

SECONDS = float(os.environ.get("SOAK_S", "12"))
EVENTS = 8
FRONTS, APPS, ENGINES, CALLERS = 4, 4, 3, 10
MODELS = ("m1", "m2", "m3")


def answer(asked, sock):
    """Each kind of route answers with what belongs to its request."""
    if asked.target.startswith(("/flow/", "/again/", "/llm/")):
        first = int(asked.fields.get("last-event-id", 0)) + 1
        sock.sendall(begin(asked))
        for n in range(first, EVENTS + 1):
            sock.sendall(chunk(events(n, n)))
            time.sleep(0.01)
        sock.sendall(b"0\r\n\r\n")
    else:
        sock.sendall(sealed(asked, b"for " + asked.id.encode()))


class Soak:
    def __init__(self, world):
        self.world, self.rng = world, random.Random(world.seed)
        self.over, self.answers = threading.Event(), []
        self.lock, self.version = threading.Lock(), 0
        # programs end with the thread that started them
        self.starter = concurrent.futures.ThreadPoolExecutor(1)
        self.store, self.born, self.gone = Store(), 1, []
        self.change()
        self.apps = [self.replica("app-%d" % n) for n in range(APPS)]
        self.engines = [self.replica("e-%d" % n, "llm", {MODELS[n]: set()})
                        for n in range(ENGINES)]
        self.doors = [Proxy(self.store.addr) for _ in range(FRONTS)]
        self.fronts = [self.start(n) for n in range(FRONTS)]
        for front in self.fronts:
            front.await_ready()

    def change(self):
        """Another configuration; each keeps the routes that callers use."""
        self.version += 1 + self.version % 3
        configure(self.store, self.version, [
            route("once", "unsafe"), route("safe", "safe"),
            route("flow", "streaming", maxAttempts=1),
            route("again", "streaming", resumable=True),
            route("llm", "streaming", service="llm", targetLatencyMs=500),
            route("extra%d" % self.version, "safe")], ("app", "llm"), ENGINE)

    def replica(self, name, service="app", models=None):
        one = Replica(self.store, name, service, slots=8, models=models)
        one.proxy = Proxy(one.addr)
        one.real, one.addr = one.addr, one.proxy.addr
        one.plays = [answer]
        if models is not None:
            one.takes, one.lag = 0.2, 0.1
        one.register(born=self.born)
        return one

    def start(self, n):
        self.doors[n].heal()
        store = type("Door", (), {"addr": self.doors[n].addr})
        front = self.starter.submit(Front, self.world, store, "front-%d" % n,
                                    log="info").result()
        front.number = n
        return front

    def call(self, index):
        rng = random.Random(self.world.seed * 100 + index)
        caller, turn = None, 0
        while not self.over.is_set():
            turn += 1
            kind = rng.choice(("once", "safe", "flow", "again", "llm"))
            identity = "%d-%d" % (index, turn)
            try:
                if caller is None or rng.random() < 0.2:
                    caller = Caller(rng.choice(self.fronts))
                    caller.sock.settimeout(12)
                model = rng.choice(MODELS) + rng.choice(("", "/a1", "/a2"))
                words = {"X_Model": model, "X_Token_Count": "300,9"} \
                    if kind == "llm" else {}
                caller.send(plain("/%s/x" % kind,
                                  None if kind == "safe" else b"body",
                                  X_Request_Id=identity, X_Deadline_Ms="4000",
                                  **words))
                if rng.random() < 0.05:
                    caller.close()  # leaves without waiting
                    raise OSError
                code, fields, body, whole = caller.answer()
            except (OSError, ValueError):
                caller, code, fields, body, whole = None, 0, {}, b"", False
            if code == 0 or not whole or fields.get("connection") == "close":
                caller = None
            with self.lock:
                self.answers.append((identity, kind, code, fields, body,
                                     whole))
            time.sleep(rng.random() * 0.02)

    # faults; each returns what ends it

    def kill(self):
        n = self.rng.randrange(FRONTS)
        self.fronts[n].kill()
        time.sleep(self.rng.random())
        self.fronts[n] = self.start(n)

    def stop(self):
        n = self.rng.randrange(FRONTS)
        if self.fronts[n].process.poll() is None:
            check(self.fronts[n].stop() == 0, "exit after SIGTERM")
        self.fronts[n] = self.start(n)

    def freeze(self):
        front = self.rng.choice(self.fronts)
        front.freeze()
        time.sleep(self.rng.random() * 3)
        front.thaw()

    def hup(self):
        self.rng.choice(self.fronts).signal(1)

    def store_away(self):
        self.store.refuse = self.rng.choice((429, 503))
        time.sleep(self.rng.random() * 2.5)
        self.store.refuse = None

    def store_silent(self):
        self.store.silent = True
        time.sleep(self.rng.random() * 2)
        self.store.silent = False

    def store_forgets(self):
        with self.store.lock:
            self.store.forgotten = self.store.version + 1
        self.change()

    def harm(self):
        """One of the proxies harms what passes it."""
        proxy = self.rng.choice(self.doors + [
            x.proxy for x in self.apps + self.engines])
        how = self.rng.choice(("silence", "reset", "up", "down", "delay",
                               "refuse"))
        if how in ("silence", "reset"):
            getattr(proxy, how)()
            return
        if how == "delay":
            proxy.delay = 0.05 + self.rng.random() * 0.3
        elif how == "refuse":
            proxy.refuse = True
        else:
            proxy.mute = (how,)
        time.sleep(self.rng.random() * 2)
        proxy.reset()
        proxy.heal()

    def spoil(self):
        """An upstream gives a bad answer, refuses or hangs."""
        one = self.rng.choice(self.apps)
        bad = self.rng.choice([act for _, act, whole in bad_answers()
                               if not whole])
        hang = (lambda asked, sock: (time.sleep(1), False)[1])

        def refuse(asked, sock):
            with one.lock:
                one.runs.remove(asked)
            sock.sendall(not_run(asked))
        one.plays = [self.rng.choice((bad, hang, refuse))
                     for _ in range(3)] + [answer]

    def replace(self):
        """An upstream drains, and another one takes its place."""
        n = self.rng.randrange(APPS)
        old = self.apps[n]
        old.register(state="draining", born=self.born)
        self.born += 1
        self.apps[n] = self.replica("app-%d-%d" % (n, self.born))
        self.gone.append(old)
        time.sleep(0.5)
        self.store.put("servers", old.id, None)

    def reborn(self):
        """An engine starts again, empty, under its id."""
        n = self.rng.randrange(ENGINES)
        old = self.engines[n]
        old.proxy.refuse = True
        old.proxy.reset()
        self.store.put("servers", old.id, None)
        time.sleep(0.5)
        self.born += 1
        self.engines[n] = self.replica(old.id, "llm", {})
        self.gone.append(old)

    def faults(self):
        kinds = [self.kill, self.stop, self.freeze, self.hup, self.store_away,
                 self.store_silent, self.store_forgets, self.harm, self.harm,
                 self.spoil, self.spoil, self.replace, self.reborn,
                 self.change]
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            self.rng.choice(kinds)()
            time.sleep(self.rng.random() * 0.4)

    def replicas(self):
        return self.apps + self.engines + self.gone


def judge(soak):
    runs = collections.Counter()
    for one in soak.replicas():
        runs.update(x.id for x in one.runs if x.id[0] != "r")
    kinds = collections.Counter()
    for identity, kind, code, fields, body, whole in soak.answers:
        ran = runs.pop(identity, 0)
        kinds[kind, code] += 1
        if kind in ("once", "flow", "llm"):
            check(ran <= 1, "%s (%s) ran %d times", identity, kind, ran)
            check(code not in (408, 421, 429, 503) or ran == 0,
                  "%s (%s) was answered %d and ran", identity, kind, code)
        check(ran <= 2, "%s (%s) ran %d times", identity, kind, ran)
        check(code != 404 and code != 400, "%s: %d", identity, code)
        if code != 200 or kind in ("once", "safe"):
            check(code != 200 or (not whole) or
                  body == b"for " + identity.encode(), "%s got %r", identity,
                  body)
            continue
        check(events(1, EVENTS).startswith(body) or not whole,
              "%s: events %r", identity, body)
        check(not whole or body == events(1, EVENTS),
              "%s looks complete: %r", identity, body)
    check(not runs, "ran, though nobody asked: %s", list(runs)[:5])
    for one in soak.replicas():
        fences = [x["fencingToken"] for x in one.orders
                  if x["code"] in (200, 202)]
        check(fences == sorted(fences), "%s: fences %s", one.id, fences)
        check(not one.over, "%s: %s", one.id, one.over)
    holders = collections.defaultdict(set)
    for one in soak.replicas():
        for x in one.orders:
            holders[x["fencingToken"]].add(x["holder"])
    check(all(len(x) == 1 for x in holders.values()), "%s", holders)
    served = sum(n for (kind, code), n in kinds.items() if code == 200)
    check(served > len(soak.answers) / 4, "served %d of %d: %s", served,
          len(soak.answers), kinds)


@case
def soak_front(world):
    """Nothing is doubled, lost for good, mixed up or called "not run" though
    it ran; no two planners; and all is served again after the faults."""
    soak = Soak(world)
    callers = [lambda n=n: soak.call(n) for n in range(CALLERS)]

    def faults():
        try:
            soak.faults()
        finally:
            soak.over.set()
    together(faults, *callers)
    soak.store.refuse, soak.store.silent = None, False
    for proxy in soak.doors + [x.proxy for x in soak.replicas()
                               if x not in soak.gone]:
        proxy.heal()
    for front in soak.fronts:
        front.await_ready()
        for kind, words in (("once", {}), ("again", {}), (
                "llm", {"X_Model": "m1/a1", "X_Token_Count": "300,9"})):
            wait("%s is served by %s" % (kind, front.name), lambda: Caller(
                front).ask("/%s/" % kind, b"", **words)[0] == 200)
    judge(soak)
