"""An upstream that is leaving receives no new work."""
import threading

from basics import case, check, together, wait
from harness import Relay
from invariants import check_no_new_work

# After an upstream starts to report that it is leaving, no request may be sent
# to it once this many polls of its state have begun.
MAX_POLLS_TO_LEARN = 3
VM_LAG_MS = 30000


def serve(world, entry_count):
    """Starts two engines with the same model, and entries that can use both;
    also returns the engine that will leave."""
    engines = [world.engine("engine-%d" % i, relay=True, first_ms=0,
                            token_ms=1) for i in range(2)]
    world.model("care")
    caller = world.caller()
    world.roll()
    entries = [world.entry("entry-%d" % i) for i in range(entry_count)]
    for engine in engines:
        engine.load("care")
    await_usable(world, entries, engines)
    return engines, entries, caller, world.rng.choice(engines)


def await_usable(world, entries, engines):
    for entry in entries:
        for engine in engines:
            world.await_seen(entry, engine, "care@1")


def await_known_leaving(leaving, daemons):
    for daemon in daemons:
        wait(daemon.name + " knows of it", lambda: any(
            row["name"] == leaving.name and not row["usable"]
            for row in daemon.status().get("upstreams", ())))


def check_avoided(leaving, entries, caller):
    """Waits until all entries know that the upstream is leaving; then requests
    at all entries succeed, and none of them runs there."""
    await_known_leaving(leaving, entries)
    line_number = len(leaving.journal())

    def ask(entry):
        for i in range(30):
            answer = caller.complete(entry, "care", "%s %d" % (entry.name, i))
            check(answer.outcome == "done", "%s", answer.error)

    together(*(lambda entry=entry: ask(entry) for entry in entries))
    check_no_new_work(leaving, line_number)


@case
def leaving_by_own_report(world):
    """The VM list lags, and the entry has no peers: a few of its own polls are
    enough to learn that the upstream is leaving. Only a restart of the
    upstream revokes that."""
    world.platform.set(vms_lag_ms=VM_LAG_MS)
    engines, entries, caller, leaving = serve(world, 1)
    request_heads, stopped = leaving.relay.request_heads, threading.Event()

    def ask():
        while not stopped.is_set():
            caller.complete(entries[0], "care", "x", 1)

    def start_leaving():
        try:
            wait("work", lambda: request_heads.count(b"POST /v1/complet") > 5)
            leaving.set(leaving=True)
            start = len(request_heads)
            wait("polls",
                 lambda: request_heads[start:].count(b"GET /admin/state") >
                 2 * MAX_POLLS_TO_LEARN)
            return start
        finally:
            stopped.set()

    start = []
    together(ask, ask, ask, ask, lambda: start.append(start_leaving()))
    polls = [i for i, head in enumerate(request_heads)
             if i >= start[0] and head == b"GET /admin/state"]
    late_requests = [head for head in
                     request_heads[polls[MAX_POLLS_TO_LEARN - 1]:]
                     if b"POST" in head]
    check(not late_requests, "%d requests after %d polls", len(late_requests),
          MAX_POLLS_TO_LEARN)
    check_avoided(leaving, entries, caller)
    leaving.set(leaving=False)
    check_avoided(leaving, entries, caller)
    leaving.kill()
    world.restart_fake(leaving).load("care")
    await_usable(world, entries, engines)


@case
def leaving_by_peer_report(world):
    """One entry reads in the VM list that the engine is leaving, the engine
    doesn't report it, and the other entries can't reach the platform: they
    learn it from the peer, and still know it after a roll."""
    engines, entries, caller, leaving = serve(world, 1)
    blocked_relay = Relay(world.platform.addr)
    blocked_relay.cut(b"", up=0, times=1 << 30)
    entries += [world.entry("no-platform-%d" % i,
                            platform_address=blocked_relay.addr)
                for i in range(2)]
    await_usable(world, entries, engines)
    world.platform.set(vms={leaving.name: "leaving"})
    check_avoided(leaving, entries, caller)
    world.model("other")
    world.roll()
    wait("the roll", lambda: all(
        entry.status()["acting"] == 2 for entry in entries))
    check_avoided(leaving, entries, caller)


@case
def leaving_by_drain(world):
    """An upstream that an operator drains gets no work until it is
    undrained."""
    engines, entries, caller, leaving = serve(world, 3)
    world.ctl("drain", leaving.name, "--why", "proof")
    check_avoided(leaving, entries, caller)
    world.ctl("undrain", leaving.name, "--why", "proof")
    await_usable(world, entries, engines)


@case
def leaving_by_drain_from_peers(world):
    """An entry that starts during an outage of the platform learns of a drain
    from its peers: the latest reading counts, whichever daemon made it."""
    _, entries, caller, leaving = serve(world, 3)
    world.ctl("drain", leaving.name, "--why", "proof")
    await_known_leaving(leaving, entries)
    world.platform.set(outage=True)
    entries[2].kill()
    entries[2] = world.restart(entries[2])
    world.await_ready(entries[2])
    check_avoided(leaving, entries, caller)


@case
def leaving_gets_no_load(world):
    """A roll loads nothing at an engine that has reported that it is
    leaving."""
    engines, entries, caller, leaving = serve(world, 1)
    world.await_ready(world.steward())
    leaving.set(leaving=True)
    await_known_leaving(leaving, world.daemons)
    line_number = len(leaving.journal())
    world.model("care", version="2")
    world.roll()
    engines.remove(leaving)
    wait("version 2 elsewhere", lambda: entries[0].can_use(engines[0].name,
                                                           ["care@2"]))
    check_avoided(leaving, entries, caller)
    check_no_new_work(leaving, line_number)
