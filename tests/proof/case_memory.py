"""Accelerator memory is never overcommitted."""
import json
import threading
import time

from basics import case, check, request, together, wait
from judges import memory_ok
from planner import (LONGEST_DELAY_MS, await_rolled, await_takeover, ordered,
                     planner, set_versions, stewards, term, unsettled)

MODELS = ["care", "trace"]
EXTRAS = ["extra-1", "extra-2"]


def serve(world, count=2, **settings):
    """One engine of each kind, each with room for two copies only."""
    engines = [world.engine("engine-%s" % fencing, domain=domain,
                            memory="7GiB", fencing=fencing, load_ms=30)
               for fencing, domain in (("checked", "a"), ("ignored", "b"))]
    set_versions(world, 1, MODELS, size="3GiB")
    world.caller()
    world.roll()
    daemons = stewards(world, count, **settings)
    await_rolled(world)
    return engines, daemons


def roll(world):
    """New versions of the models: the old and the new fill the memory."""
    set_versions(world, world.version + 1, MODELS, size="3GiB")
    world.roll()


def fill(world, version=1):
    """Back to the versions that are loaded, with other models that fill the
    memory; a new version that lands now is too much."""
    set_versions(world, version, MODELS, size="3GiB")
    world.roll()
    set_versions(world, 1, EXTRAS, size="3GiB")
    world.roll()


def clear(world):
    for name in EXTRAS:
        world.drop("model", name)
    world.roll()


def freeze_between_write_and_landing(world, engines, fault):
    """The planner is paused when its load orders are written; they land
    late, doubled, or with their answer lost, while a successor acts."""
    late = world.rng.randrange(LONGEST_DELAY_MS - 500, LONGEST_DELAY_MS)
    for engine in engines:
        engine.faults({"on": "load", "do": fault, "ms": late, "times": 1})
    before, old = term(world), planner(world)
    roll(world)
    wait("an order in flight", lambda: ordered(world))
    time.sleep(world.rng.random() * 0.1)
    old.freeze()
    sent = time.monotonic()
    fill(world)
    await_takeover(world, before)
    time.sleep(world.rng.random() * 4)
    old.thaw()
    await_rolled(world, doubt=False)
    let_land(sent)
    memory_ok(world)


def let_land(since):
    """Until every order of before has landed, if it ever does."""
    time.sleep(max(0, since + LONGEST_DELAY_MS / 1000 + 0.5 -
                   time.monotonic()))


def proof_of_takeover(fault):
    def body(world):
        engines, _ = serve(world)
        freeze_between_write_and_landing(world, engines, fault)
        late = [x["late"] for _, x in world.journals("order")
                if x["kind"] == "load"]
        if fault == "delay":
            check(max(late) > 1000, "no order was late: %s", late)
    return body


@case
def load_lands_late(world):
    """A load order lands after its sender was paused and replaced: the
    ledger pins its instance until the sender has the answer or the engine
    refuses the older fence."""
    proof_of_takeover("delay")(world)


@case
def load_answer_lost(world):
    """A load was carried out and its answer lost, with a takeover between:
    the entry stays until the engine's state and its sender settle it."""
    proof_of_takeover("lose-answer")(world)


@case
def load_doubled(world):
    """A load order that lands twice, with a takeover between: its instance
    name makes it one."""
    proof_of_takeover("duplicate")(world)


@case
def load_lost(world):
    """A load order is lost with its connection: it is sent again under the
    same instance name, and the first one stays pinned."""
    proof_of_takeover("drop")(world)


@case
def sender_frozen_long(world):
    """An order lands later than flight_after, and its sender stands still
    all the time: a sender that is not proven gone keeps its entry
    pinned."""
    engines, _ = serve(world)
    engines[1].faults({"on": "load", "do": "delay", "ms": 9000, "times": 1})
    before, old = term(world), planner(world)
    roll(world)
    wait("an order in flight", lambda: unsettled(world))
    time.sleep(0.1)
    old.freeze()
    fill(world)
    await_takeover(world, before)
    wait("the late order", lambda: any(
        x["late"] > 8000 for _, x in world.journals("order")))
    memory_ok(world)
    old.thaw()
    await_rolled(world, doubt=False)
    memory_ok(world)


@case
def deposed_sender_awaits_answer(world):
    """A planner that was paused finds itself deposed with an order still
    in flight: it says that it is quiet only after the answer."""
    engines, _ = serve(world, order_timeout="20s")
    engines[1].faults({"on": "load", "do": "delay", "ms": 9000, "times": 1})
    before, old = term(world), planner(world)
    roll(world)
    wait("an order in flight", lambda: unsettled(world))
    time.sleep(0.1)
    old.freeze()
    fill(world)
    await_takeover(world, before)
    old.thaw()
    wait("the late order", lambda: any(
        x["late"] > 8000 for _, x in world.journals("order")))
    await_rolled(world, doubt=False)
    memory_ok(world)


@case
def unload_takes_long(world):
    """An unload waits for the requests in progress: the memory is free
    when the engine's state shows it, not when the unload was answered."""
    engines, _ = serve(world)
    body = json.dumps({"model": MODELS[0], "prompt": "long", "stream": True,
                       "max_tokens": 1000})
    readers = [threading.Thread(target=request, args=(
        engine.addr, "POST", "/v1/completions", body)) for engine in engines]
    for reader in readers:
        reader.start()
    wait("a stream", lambda: world.journals("run"))
    roll(world)
    await_rolled(world)
    fill(world, 2)
    await_rolled(world, doubt=False)
    for reader in readers:
        reader.join()
    memory_ok(world)


@case
def sender_dies(world):
    """The sender dies with late orders under way, and is restarted or its
    VM is gone: what its connections left has had time to land before the
    memory is given away (flight_after)."""
    engines, _ = serve(world)
    for engine in engines:
        engine.faults({"on": "load", "do": "delay", "ms": LONGEST_DELAY_MS,
                       "times": 1})
    before, old = term(world), planner(world)
    restart = world.rng.random() < 0.5
    roll(world)
    wait("an order in flight", lambda: unsettled(world))
    time.sleep(0.2)
    sent = time.monotonic()
    old.kill()
    fill(world)
    if restart:
        world.restart(old)
    else:
        world.platform.set(vms={old.name: "gone"})
        world.daemons.remove(old)
    await_takeover(world, before)
    await_rolled(world, doubt=False)
    let_land(sent)
    memory_ok(world)


@case
def engine_frozen(world):
    """An engine stands still with orders in its sockets, for longer than
    flight_after, and works them off later: the span counts from its first
    answer."""
    engines, _ = serve(world)
    frozen = engines[1]
    frozen.faults({"on": "load", "do": "delay", "ms": 2000, "times": 1})
    frozen.freeze()
    roll(world)
    wait("an order in flight", lambda: unsettled(world))
    fill(world)
    time.sleep(7 + world.rng.random())
    frozen.thaw()
    thawed = time.monotonic()
    await_rolled(world, doubt=False)
    let_land(thawed)
    memory_ok(world)


@case
def planner_killed_mid_roll(world):
    """Planners die one after the other in the middle of rolls, with faults
    on every kind of exchange: each successor goes on from the ledgers."""
    engines, daemons = serve(world, count=3)
    kinds = ["delay", "drop", "duplicate", "lose-answer", "refuse"]
    loaded = 1
    for step in (roll, fill, clear) * 2:
        for engine in engines:
            engine.faults(*({"on": world.rng.choice(["load", "unload",
                                                     "state"]),
                             "do": world.rng.choice(kinds),
                             "ms": world.rng.randrange(LONGEST_DELAY_MS),
                             "times": 2} for _ in range(2)))
        world.platform.faults({"on": "txn", "do": "lose-answer",
                               "skip": world.rng.randrange(6), "times": 1})
        before, old = term(world), planner(world)
        if step is fill:
            fill(world, loaded)
        else:
            step(world)
            loaded = world.version if step is roll else loaded
        time.sleep(world.rng.random())
        old.kill()
        await_takeover(world, before)
        world.restart(old)
        memory_ok(world)
    for fake in engines + [world.platform]:
        fake.faults()
    await_rolled(world, doubt=False)
    memory_ok(world)


@case
def two_operators_roll(world):
    """Two operators roll at once, again and again: one of them wins each
    version, and loads of versions already replaced are made good."""
    engines, _ = serve(world)
    for engine in engines:
        engine.faults({"on": "load", "do": "delay", "ms": 300})
    for _ in range(4):
        texts = []
        for who in ("ana", "bo"):
            set_versions(world, "%d%s" % (world.version + 1, who), MODELS,
                         size="3GiB")
            texts.append(world.sign(who + ".ini"))
        said = {}

        def race(path):
            said[path] = world.ctl(
                "bundle", "roll", path, "--replaces", str(world.version),
                "--why", "race", "--by", path[:-4], fails=True)

        together(*(lambda path=path: race(path) for path in texts))
        row = world.rows("bundle")["in-force"]
        check(row["version"] == world.version + 1, "two won: %s", said)
        world.version += 1
        time.sleep(world.rng.random())
    await_rolled(world, doubt=False)
    memory_ok(world)


@case
def planned_stop_mid_roll(world):
    """The planner is stopped in the middle of a roll: it finishes its
    orders, gives the term up, and exits with 0."""
    engines, _ = serve(world)
    for engine in engines:
        engine.faults({"on": "load", "do": "delay", "ms": 500, "times": 2})
    before, old = term(world), planner(world)
    roll(world)
    wait("an order in flight", lambda: unsettled(world))
    check(old.stop() == 0, "the planned stop did not exit with 0")
    row = world.rows("session")[old.name]
    check(row.get("quiet_term") == before["term"], "not quiet: %s", row)
    world.daemons.remove(old)
    await_takeover(world, before)
    await_rolled(world, doubt=False)
    memory_ok(world)
