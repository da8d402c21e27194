"""A request that is answered "not run" hasn't run.

case_once.py has more cases of calls that may not be repeated.
"""
import json
import socket

from basics import case, check, wait
from invariants import check_no_double_runs, check_not_run_answers

LIMITS = {"claim_patience": "600ms", "deadline": "3s"}


def serve(world, entry_count=1, copies=2, **options):
    """Starts services for water (not repeatable) and advice (repeatable), and
    entries."""
    services = [world.service("app-%d" % i, "water advice", relay=True,
                              **options) for i in range(copies)]
    world.item("service", "water", repeatable="no")
    world.item("service", "advice", repeatable="yes")
    caller = world.caller()
    world.roll()
    entries = [world.entry("entry-%d" % i, **LIMITS)
               for i in range(entry_count)]
    world.await_ready()
    for entry in entries:
        for service in services:
            world.await_seen(entry, service)
    return services, entries, caller


def check_answers(world, *callers):
    for caller in callers:
        check_not_run_answers(world, caller.answers)
    check_no_double_runs(world)


@case
def cut_at_each_byte(world):
    """An exchange is cut at any byte, in either direction. It is answered "not
    run" only if nothing ran: once bytes were sent, the outcome is unknown."""
    services, (entry,), caller = serve(world, first_ms=0)
    outcomes = set()
    for i in range(160):
        item = world.rng.choice(["water", "advice"])
        byte = world.rng.randrange(1, 420)
        limit = {"up": byte} if world.rng.random() < 0.5 else {"down": byte}
        for service in services:
            service.relay.cut(b"POST /app/", **limit)
        answer = caller.call(entry, item, "/x", "litres=%d" % i,
                             key="key-%d" % i)
        outcomes.add((item, answer.outcome))
    check(("water", "outcome unknown") in outcomes and
          ("advice", "done") in outcomes, "only %s", outcomes)
    check_answers(world, caller)


@case
def every_refusal(world):
    """Each kind of refusal is compared with the journals of the upstreams,
    also one that comes after an attempt that was cut and may have run."""
    services, (entry,), caller = serve(world, first_ms=0)
    faults = [
        {"do": "refuse"}, {"do": "drop"}, {"do": "lose-answer"},
        {"do": "cut", "bytes": 10}, {"do": "delay", "ms": 200},
    ]
    outcomes = {}
    for fault in faults:
        for service in services:
            service.set_faults({"on": "app", **fault})
        for item in ("water", "advice"):
            answer = caller.call(entry, item, "/x", "n", key=fault["do"])
            outcomes[item, fault["do"]] = answer.outcome
    for i in range(50):
        for service in services:
            service.set_faults({"on": "app", "times": world.rng.randrange(3),
                                **world.rng.choice(faults)})
        item = world.rng.choice(["water", "advice"])
        caller.call(entry, item, "/x", "n=%d" % i, key="key-%d" % i)
    check(outcomes["water", "refuse"] == "not run" and
          outcomes["water", "drop"] == "outcome unknown" and
          outcomes["advice", "delay"] == "done", "outcomes: %s", outcomes)
    check_answers(world, caller)


@case
def refused_after_a_cut(world):
    """One attempt is cut and the next one refused. The request may have run,
    so it is not answered "not run", although the last attempt wasn't run."""
    services, (entry,), caller = serve(world, first_ms=0)
    for i in range(12):
        for service in services:
            service.set_faults({"on": "app", "do": "lose-answer", "times": 1},
                               {"on": "app", "do": "refuse"})
        caller.call(entry, "advice", "/x", "n=%d" % i)
    check(any(answer.error for answer in caller.answers), "nothing failed")
    check_answers(world, caller)


@case
def upstreams_dead_or_full(world):
    """A request is refused if all upstreams are full or dead."""
    services, (entry,), caller = serve(world, first_ms=200)
    for service in services:
        service.set(max_waiting=0)
    for i in range(4):
        caller.call(entry, "water", "/x", "full", key="full-%d" % i)
    for service in services:
        service.kill()
    for i in range(4):
        caller.call(entry, "water", "/x", "gone", key="gone-%d" % i)
        caller.call(entry, "advice", "/x", "gone")
    check(all(answer.error for answer in caller.answers[-8:]),
          "a dead upstream answered")
    check_answers(world, caller)


@case
def platform_out(world):
    """A call that may not be repeated is refused while its claim cannot be
    written, and does not run once the platform is back."""
    services, (entry,), caller = serve(world, first_ms=0)
    settings = [{"outage": True}, {"frozen": True}, {"slow_ms": 900}]
    for i in range(9):
        world.platform.set(**settings[i % 3])
        answer = caller.call(entry, "water", "/x", "out", key="out-%d" % i)
        check(answer.outcome == "not run", "%s: %s", settings[i % 3],
              answer.error)
        world.platform.set(outage=False, frozen=False, slow_ms=0)
    wait("the platform to be back", lambda: caller.call(
        entry, "water", "/x", "back", key="back").outcome == "done")
    check_answers(world, caller)


@case
def key_is_required(world):
    """A call that may not be repeated is refused without a valid key, or as a
    stream, and doesn't run."""
    services, (entry,), caller = serve(world)
    check(caller.call(entry, "water", "/x", "n").status == 400,
          "a call without a key was not refused")
    check(caller.call(entry, "water", "/x", "n", key="k" * 200).status == 400,
          "too long a key was not refused")
    world.model("letter", repeatable="no")
    world.engine("engine-1")
    world.roll()
    body = json.dumps({"model": "letter", "prompt": "x", "stream": True})
    wait("model letter in force", lambda: caller.send(
        entry, "POST", "/v1/completions", body,
        {"Idempotency-Key": "k"}).status == 400)
    check(not world.journals("run"), "something ran")
    check_answers(world, caller)


@case
def malformed_requests(world):
    """Random bytes and corrupted requests, at the ports for callers and for
    operators, do no harm."""
    services, (entry,), caller = serve(world, first_ms=0)
    valid = (b"POST /app/advice/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
             b"Authorization: Bearer token-1\r\n\r\nleaf")
    for i in range(300):
        data = bytearray(valid)
        for _ in range(world.rng.randrange(1, 6)):
            data[world.rng.randrange(len(data))] = world.rng.randrange(256)
        if i % 3 == 0:
            data = world.rng.randbytes(world.rng.randrange(1, 400))
        host, port = (entry.ops if i % 2 else entry.addr).split(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(data[:world.rng.randrange(1, len(data) + 1)])
    answer = caller.call(entry, "advice", "/x", "leaf")
    check(answer.outcome == "done", "no answer: %s", answer.error)
    check(entry.stop() == 0, "the entry did not exit with 0")
    check_answers(world, caller)
