""""Not run" is true. (What may not be repeated is in case_once.py.)"""
import json
import socket

from basics import case, check, wait
from judges import no_doubles, not_run_true

LIMITS = {"claim_patience": "600ms", "deadline": "3s"}


def serve(world, entries=1, copies=2, **options):
    """Services: water (not repeatable) and advice (repeatable)."""
    services = [world.service("app-%d" % i, "water advice", relay=True,
                              **options) for i in range(copies)]
    world.item("service", "water", repeatable="no")
    world.item("service", "advice", repeatable="yes")
    caller = world.caller()
    world.roll()
    doors = [world.entry("entry-%d" % i, **LIMITS) for i in range(entries)]
    world.await_ready()
    for door in doors:
        for service in services:
            world.await_seen(door, service)
    return services, doors, caller


def judge(world, *callers):
    for caller in callers:
        not_run_true(world, caller.answers)
    no_doubles(world)


@case
def cut_at_each_byte(world):
    """An exchange cut at any byte, in either direction, is "not run" only if
    nothing ran: bytes on the wire make the outcome unknown."""
    services, (door,), caller = serve(world, first_ms=0)
    outcomes = set()
    for i in range(160):
        item = world.rng.choice(["water", "advice"])
        byte = world.rng.randrange(1, 420)
        way = {"up": byte} if world.rng.random() < 0.5 else {"down": byte}
        for service in services:
            service.relay.cut(b"POST /app/", **way)
        answer = caller.call(door, item, "/x", "litres=%d" % i,
                             key="key-%d" % i)
        outcomes.add((item, answer.outcome))
    check(("water", "outcome unknown") in outcomes and
          ("advice", "done") in outcomes, "only %s", outcomes)
    judge(world, caller)


@case
def every_refusal(world):
    """Each kind of refusal is compared with the upstreams' journals, also
    one that follows an attempt that was cut and may have run."""
    services, (door,), caller = serve(world, first_ms=0)
    faults = [
        {"do": "refuse"}, {"do": "drop"}, {"do": "lose-answer"},
        {"do": "cut", "bytes": 10}, {"do": "delay", "ms": 200},
    ]
    seen = {}
    for fault in faults:
        for service in services:
            service.faults({"on": "app", **fault})
        for item in ("water", "advice"):
            answer = caller.call(door, item, "/x", "n", key=fault["do"])
            seen[item, fault["do"]] = answer.outcome
    for i in range(50):
        for service in services:
            service.faults({"on": "app", "times": world.rng.randrange(3),
                            **world.rng.choice(faults)})
        item = world.rng.choice(["water", "advice"])
        caller.call(door, item, "/x", "n=%d" % i, key="key-%d" % i)
    check(seen["water", "refuse"] == "not run" and
          seen["water", "drop"] == "outcome unknown" and
          seen["advice", "delay"] == "done", "outcomes: %s", seen)
    judge(world, caller)


@case
def refused_after_a_cut(world):
    """When one attempt was cut and the next one refused, the request may
    have run: the answer is about the request, not the last attempt."""
    services, (door,), caller = serve(world, first_ms=0)
    for i in range(12):
        for service in services:
            service.faults({"on": "app", "do": "lose-answer", "times": 1},
                           {"on": "app", "do": "refuse"})
        caller.call(door, "advice", "/x", "n=%d" % i)
    check(any(answer.error for answer in caller.answers), "nothing failed")
    judge(world, caller)


@case
def upstreams_gone_or_full(world):
    """No upstream, none with room, or none in time: refused at once."""
    services, (door,), caller = serve(world, first_ms=200)
    for service in services:
        service.set(max_waiting=0)
    for i in range(4):
        caller.call(door, "water", "/x", "full", key="full-%d" % i)
    for service in services:
        service.kill()
    for i in range(4):
        caller.call(door, "water", "/x", "gone", key="gone-%d" % i)
        caller.call(door, "advice", "/x", "gone")
    check(all(answer.error for answer in caller.answers[-8:]),
          "a dead upstream answered")
    judge(world, caller)


@case
def platform_out(world):
    """A call that may not be repeated is refused while its claim cannot be
    written, and does not run when the platform comes back."""
    services, (door,), caller = serve(world, first_ms=0)
    how = [{"outage": True}, {"frozen": True}, {"slow_ms": 900}]
    for i in range(9):
        world.platform.set(**how[i % 3])
        answer = caller.call(door, "water", "/x", "out", key="out-%d" % i)
        check(answer.outcome == "not run", "%s: %s", how[i % 3],
              answer.error)
        world.platform.set(outage=False, frozen=False, slow_ms=0)
    wait("the platform to be back", lambda: caller.call(
        door, "water", "/x", "back", key="back").outcome == "done")
    judge(world, caller)


@case
def key_is_required(world):
    """A call that may not be repeated needs a key; a stream of one is
    refused; neither runs."""
    services, (door,), caller = serve(world)
    check(caller.call(door, "water", "/x", "n").status == 400, "no key")
    check(caller.call(door, "water", "/x", "n", key="k" * 200).status == 400,
          "a long key")
    world.model("letter", repeatable="no")
    world.engine("engine-1")
    world.roll()
    body = json.dumps({"model": "letter", "prompt": "x", "stream": True})
    wait("the letter in force", lambda: caller.send(
        door, "POST", "/v1/completions", body,
        {"Idempotency-Key": "k"}).status == 400)
    check(not world.journals("run"), "something ran")
    judge(world, caller)


@case
def garbage_at_the_ports(world):
    """Bytes that are no request, or a spoilt one, at the ports for callers
    and for operators do no harm."""
    services, (door,), caller = serve(world, first_ms=0)
    good = (b"POST /app/advice/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Authorization: Bearer token-1\r\n\r\nleaf")
    for i in range(300):
        data = bytearray(good)
        for _ in range(world.rng.randrange(1, 6)):
            data[world.rng.randrange(len(data))] = world.rng.randrange(256)
        if i % 3 == 0:
            data = world.rng.randbytes(world.rng.randrange(1, 400))
        host, port = (door.ops if i % 2 else door.addr).split(":")
        with socket.create_connection((host, int(port))) as port:
            port.sendall(data[:world.rng.randrange(1, len(data) + 1)])
    answer = caller.call(door, "advice", "/x", "leaf")
    check(answer.outcome == "done", "no answer: %s", answer.error)
    check(door.stop() == 0, "exit status")
    judge(world, caller)
