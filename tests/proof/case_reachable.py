"""Callers can reach every model in force at all times."""
import threading
import time

from basics import case, check, wait
from harness import Fake
from invariants import check_memory
from planner import await_rolled, set_versions, stewards

MODELS = ["care", "trace", "soil", "light"]
DEADLINE = {"X-Deadline-Ms": "10000"}


class Probe:
    """Context manager that calls all models at all entries, one after another,
    while its block runs, and then checks that every call was answered."""

    def __init__(self, world, entries, models):
        self.caller, self.entries, self.models = \
            world.probe_caller, entries, models
        self.failures, self.count, self.stopped = [], 0, False
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self):
        while not self.stopped:
            for index, model in enumerate(self.models):
                entry = self.entries[index % len(self.entries)]
                answer = self.caller.complete(entry, model, "x", 2, DEADLINE)
                if answer is None or answer.outcome != "done":
                    self.failures.append((model, answer and answer.error))
                self.count += 1
            time.sleep(0.01)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopped = True
        self.thread.join()
        check(self.count >= len(self.models), "no call was made")
        check(not self.failures, "%d of %d calls did not reach a model: %s",
              len(self.failures), self.count, self.failures[:5])


def serve(world, domains, memory="8GiB", models=MODELS, copies=2,
          weights=False, relay=False, **settings):
    options = {"weights": world.platform.addr} if weights else {"load_ms": 50}
    engines = [world.engine("engine-%d" % i, domain=domain, memory=memory,
                            fencing=("checked", "ignored")[i % 2],
                            relay=relay, token_ms=1, first_ms=1, **options)
               for i, domain in enumerate(domains)]
    set_versions(world, 1, models, copies=copies)
    world.probe_caller = world.caller()
    world.roll()
    stewards(world, **settings)
    entries = [world.entry("entry-%d" % i) for i in range(2)]
    await_rolled(world)
    world.await_ready(*entries)
    for entry in entries:
        wait("all models at " + entry.name, lambda entry=entry: {
            instance for row in entry.status().get("upstreams", ())
            for instance in row["ready"]} >= {name + "@1" for name in models})
    return engines, entries


def count_ready(engine):
    """Number of instances that are ready at a live engine, from its
    journal."""
    is_ready = {}
    for line in engine.journal():
        if line["ev"] == "order" and line["kind"] == "load":
            is_ready.setdefault(line["instance"], False)
        elif line["ev"] == "ready":
            is_ready[line["instance"]] = True
        elif line["ev"] == "gone":
            is_ready[line["instance"]] = False
    return sum(is_ready.values())


def await_copies(engines, count):
    wait("%d copies in all" % count,
         lambda: sum(count_ready(engine) for engine in engines) >= count)


def restart_engine(world, engine, index):
    """Starts a killed engine again, at the same address and with empty
    memory."""
    restarted = Fake(world, engine.name, "fake-engine", "--name", engine.name,
                     "--memory", str(8 << 30), "--load-ms", "50", "--fencing",
                     ("checked", "ignored")[index % 2], "--token-ms", "1",
                     "--first-ms", "1")
    restarted.relay, restarted.bundle_addr = engine.relay, engine.bundle_addr
    engine.relay.target = restarted.addr
    world.fakes.append(restarted)
    return restarted


@case
def engines_killed_in_turn(world):
    """Each engine dies in turn. Copies are placed in two domains, and lost
    ones are replaced before anything else is loaded."""
    engines, entries = serve(world, "abc", relay=True)
    with Probe(world, entries, MODELS):
        for index in world.rng.sample(range(3), 3):
            engines[index].kill()
            remaining = [x for x in engines if x is not engines[index]]
            await_copies(remaining, 2 * len(MODELS))
            engines[index] = restart_engine(world, engines[index], index)
            wait("the engine is back", lambda index=index: all(
                entry.can_use(engines[index].name) for entry in entries))
    check_memory(world)


@case
def domain_lost(world):
    """All engines of a failure domain die at once: the copies in the other
    domain serve."""
    engines, entries = serve(world, "aabb")
    lost = world.rng.choice([(0, 1), (2, 3)])
    with Probe(world, entries, MODELS):
        for index in lost:
            engines[index].kill()
        remaining = [x for i, x in enumerate(engines) if i not in lost]
        await_copies(remaining, 2 * len(MODELS))
    check_memory(world)


@case
def memory_almost_full(world):
    """Rolls while each engine has room for only one more copy: the new version
    of a model is ready before the old one is unloaded."""
    models = ["model-%d" % i for i in range(8)]
    engines, entries = serve(world, "ab", memory="5GiB", models=models,
                             copies=1)
    with Probe(world, entries, models):
        for version in (2, 3):
            set_versions(world, version, models, copies=1)
            world.roll()
            await_rolled(world)
    check_memory(world)


@case
def weight_store_slow(world):
    """The weight store is slow and refuses loads over its limits: rolls take
    longer, but all models can be reached meanwhile."""
    world.platform.set(weights_per_s=4, weights_at_once=2, weights_ms=300)
    engines, entries = serve(world, "ab", weights=True, copies=1,
                             place_loads_per_second="4",
                             place_loads_at_once="2")
    with Probe(world, entries, MODELS):
        set_versions(world, 2, MODELS, copies=1)
        world.roll()
        await_rolled(world)
    check_memory(world)


@case
def reachable_while_platform_out(world):
    """During an outage of the platform the planner can't renew its lease and
    orders nothing, so that all copies stay, even when an engine dies. After
    the outage, lost copies are replaced."""
    engines, entries = serve(world, "abc")
    with Probe(world, entries, MODELS):
        world.platform.set(outage=True)
        time.sleep(2)  # until the lease has ended
        orders_before = [len(engine.journal("order")) for engine in engines]
        dead = world.rng.randrange(3)
        engines[dead].kill()
        time.sleep(2 + world.rng.random())
        remaining = [x for x in engines if x is not engines[dead]]
        orders_now = [len(engine.journal("order")) for engine in engines]
        check(orders_before == orders_now, "orders without a lease: %s, %s",
              orders_before, orders_now)
        world.platform.set(outage=False)
        await_copies(remaining, 2 * len(MODELS))
    check_memory(world)
