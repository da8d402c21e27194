"""An upstream that is leaving gets no new work."""
import threading

from basics import case, check, together, wait
from harness import Relay
from judges import leaving_ok

POLLS = 3  # that begin when the upstream already says that it leaves
VM_LAG_MS = 30000


def serve(world, entries):
    """Two engines with the same model, entries that may use both, and the
    engine that will leave."""
    engines = [world.engine("engine-%d" % i, relay=True, first_ms=0,
                            token_ms=1) for i in range(2)]
    world.model("care")
    caller = world.caller()
    world.roll()
    doors = [world.entry("entry-%d" % i) for i in range(entries)]
    for engine in engines:
        engine.load("care")
    await_usable(world, doors, engines)
    return engines, doors, caller, world.rng.choice(engines)


def await_usable(world, doors, engines):
    for door in doors:
        for engine in engines:
            world.await_seen(door, engine, "care@1")


def await_word(fake, daemons):
    for daemon in daemons:
        wait(daemon.name + " knows", lambda: any(
            row["name"] == fake.name and not row["usable"]
            for row in daemon.status().get("upstreams", ())))


def judge(fake, doors, caller):
    """With the word everywhere, requests at all entries run, and none of
    them at the leaving upstream."""
    await_word(fake, doors)
    mark = len(fake.journal())

    def ask(door):
        for i in range(30):
            answer = caller.complete(door, "care", "%s %d" % (door.name, i))
            check(answer.outcome == "done", "%s", answer.error)

    together(*(lambda door=door: ask(door) for door in doors))
    leaving_ok(fake, mark)


@case
def leaving_by_own_report(world):
    """The VM list lags, and the entry has no peers: a few of its own polls
    are enough, and only a new start of the upstream takes the word back."""
    world.platform.set(vms_lag_ms=VM_LAG_MS)
    engines, doors, caller, fake = serve(world, 1)
    heard, over = fake.relay.heard, threading.Event()

    def ask():
        while not over.is_set():
            caller.complete(doors[0], "care", "x", 1)

    def leave():
        try:
            wait("work", lambda: heard.count(b"POST /v1/complet") > 5)
            fake.set(leaving=True)
            start = len(heard)
            wait("polls", lambda: heard[start:].count(b"GET /admin/state") >
                 2 * POLLS)
            return start
        finally:
            over.set()

    start = []
    together(ask, ask, ask, ask, lambda: start.append(leave()))
    polls = [i for i, head in enumerate(heard)
             if i >= start[0] and head == b"GET /admin/state"]
    late = [head for head in heard[polls[POLLS - 1]:] if b"POST" in head]
    check(not late, "%d requests behind %d polls", len(late), POLLS)
    judge(fake, doors, caller)
    fake.set(leaving=False)
    judge(fake, doors, caller)
    fake.kill()
    world.restart_fake(fake).load("care")
    await_usable(world, doors, engines)


@case
def leaving_by_a_peer(world):
    """One entry reads the VM list, the engine says nothing, and the others
    reach no platform: the peer's word is enough, also after a roll."""
    engines, doors, caller, fake = serve(world, 1)
    wall = Relay(world.platform.addr)
    wall.cut(b"", up=0, times=1 << 30)
    doors += [world.entry("walled-%d" % i, platform_address=wall.addr)
              for i in range(2)]
    await_usable(world, doors, engines)
    world.platform.set(vms={fake.name: "leaving"})
    judge(fake, doors, caller)
    world.model("other")
    world.roll()
    wait("the roll", lambda: all(
        door.status()["acting"] == 2 for door in doors))
    judge(fake, doors, caller)


@case
def leaving_by_drain(world):
    """What an operator drains gets nothing until it is undrained."""
    engines, doors, caller, fake = serve(world, 3)
    world.ctl("drain", fake.name, "--why", "proof")
    judge(fake, doors, caller)
    world.ctl("undrain", fake.name, "--why", "proof")
    await_usable(world, doors, engines)


@case
def leaving_by_drain_told_by_peers(world):
    """An entry that starts while the platform is out learns of a drain from
    its peers: the latest reading counts, by whichever daemon."""
    _, doors, caller, fake = serve(world, 3)
    world.ctl("drain", fake.name, "--why", "proof")
    await_word(fake, doors)
    world.platform.set(outage=True)
    doors[2].kill()
    doors[2] = world.restart(doors[2])
    world.await_ready(doors[2])
    judge(fake, doors, caller)


@case
def leaving_gets_no_load(world):
    """A roll loads nothing at an engine that has said that it leaves."""
    engines, doors, caller, fake = serve(world, 1)
    world.await_ready(world.steward())
    fake.set(leaving=True)
    await_word(fake, world.daemons)
    mark = len(fake.journal())
    world.model("care", version="2")
    world.roll()
    engines.remove(fake)
    wait("version 2 elsewhere", lambda: doors[0].sees(engines[0].name,
                                                      ["care@2"]))
    judge(fake, doors, caller)
    leaving_ok(fake, mark)
