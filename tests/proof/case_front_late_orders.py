"""Orders to load that get no answer, and come late to an engine that has crashed
and started again under its id, whose count of orders has come to the same
number again."""
import time

from basics import case, check, wait
from case_front_engine_room import Demand
from case_front_state import ENGINE, ask, find_planner, terms
from platform_standins import Front, Replica, Store, configure, route

LATE_S = 8       # the order is carried out so much later
MAX_DELAY_S = 12  # by then, no order is carried out any more


def serve(world, fronts):
    """An engine with one slot for adapters, which has accepted two orders."""
    store = Store()
    configure(store, 1, [route("llm", "streaming", service="llm")], ("llm",),
              {**ENGINE, "adapterSlots": 1,
               "models": [x for x in ENGINE["models"] if x["name"] == "m1"]})
    engine = Replica(store, "e-0", "llm", models={"m1": set()})
    daemons = [Front(world, store, "front-%d" % n) for n in range(fronts)]
    for daemon in daemons:
        daemon.await_ready()
    wait("a planner", lambda: terms(daemons))
    wait("a1", lambda: ask(daemons[-1], "m1/a1")[0] == 200)
    time.sleep(2.6)  # adapters used shortly before are not unloaded
    return engine, daemons


def lose_load(front, engine):
    """The unload of a1 is carried out, the load of a2 that follows is lost."""
    order, lost = engine.order, []

    def lose_loads(connection, body):
        if body["operation"] == "load" and body.get("adapter") == "a2":
            lost.append(body)
            engine.orders_to_lose = 1
        return order(connection, body)
    engine.order, engine.late_order_s = lose_loads, LATE_S
    demand = Demand(front, "m1/a2", 1)
    wait("a lost load", lambda: lost)
    check(engine.order_count == 2, "%d orders", engine.order_count)
    demand.end()
    engine.crash()
    time.sleep(0.5)
    engine.order = order
    engine.orders_to_lose = 0
    engine.start_again()


def watch(front, engine, for_s):
    """Asks for a1, and checks what the engine holds meanwhile. Returns when
    a1 was served first, in s from now."""
    demand, began, served = Demand(front, "m1/a1", 1), time.monotonic(), None
    while time.monotonic() < began + for_s:
        held = set(engine.models.get("m1", ()))
        check(len(held) <= 1, "it was ordered to hold %s", held)
        if served is None and held:
            served = time.monotonic() - began
        time.sleep(0.01)
    demand.end()
    return served


@case
def late_load_after_restart(world):
    """The planner fills the engine again, up to the count that the late order
    names: it must not be carried out then."""
    engine, (front,) = serve(world, 1)
    lose_load(front, engine)
    served = watch(front, engine, MAX_DELAY_S + 4)
    late = [x for x in engine.orders if x.get("adapter") == "a2" and
            x["operation"] == "load"]
    check(late, "no late order came")
    check(served is not None and served < MAX_DELAY_S + 2,
          "kept from work for %s s", served)


@case
def late_load_after_restart_and_takeover(world):
    """The planner is killed too: the fencing number of its successor keeps the
    late order out."""
    engine, daemons = serve(world, 2)
    planner, other = find_planner(daemons)
    lose_load(other, engine)
    planner.kill()
    wait("a successor", lambda: terms([other]))
    served = watch(other, engine, LATE_S + 2)
    check(served is not None, "kept from work")
