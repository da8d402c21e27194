"""The room of an engine is counted from what the engine says that it holds,
and not from what requests may be sent to."""
import threading
import time

from basics import case, check, wait
from case_front_state import ENGINE, ask, engines, find_planner, terms
from platform_standins import Front, Replica, Store, configure, route

FULL = {"m1": {"a1"}, "m2": {"a1"}}  # two models and two adapters fit
TRIES = 12  # of an order without an answer
ASKED_S = 5


def unloads(upstreams):
    """The unloads of models that were ordered: (engine, model)."""
    return [(upstream, x["model"]) for upstream in upstreams
            for x in upstream.received
            if x["operation"] == "unload" and "adapter" not in x]


def record_received(upstream):
    """Records orders as they come, also those that are lost."""
    upstream.received, order = [], upstream.order

    def record(connection, body):
        upstream.received.append(body)
        return order(connection, body)
    upstream.order = record


class Demand:
    """Asks for a model again and again, until it is ended."""

    def __init__(self, front, model, callers=4):
        self.front, self.model, self.ended = front, model, False
        self.threads = [threading.Thread(target=self.send, daemon=True)
                        for _ in range(callers)]
        for thread in self.threads:
            thread.start()

    def send(self):
        while not self.ended:
            ask(self.front, self.model, X_Deadline_Ms="2000",
                X_Token_Count="1000,100")
            time.sleep(0.05)

    def end(self):
        self.ended = True
        for thread in self.threads:
            thread.join()


def lose_unload(front, upstreams, orders):
    """Has the planner order the unload of a model, for m3, which no engine
    holds; the order has no effect. Returns its engine and the model that the
    engine keeps."""
    for upstream in upstreams:
        upstream.orders_to_lose = orders
    demand = Demand(front, "m3")
    engine, model = wait("an unload", lambda: unloads(upstreams))[0]
    demand.end()
    return engine, "m1" if model == "m2" else "m2"


def check_room(front, engine, model):
    """Asks for adapters of the model, some of which the planner has loaded at
    that engine."""
    before = len(engine.orders)
    end = time.monotonic() + ASKED_S
    while time.monotonic() < end and not engine.overcommits:
        for n in (2, 3, 4):
            ask(front, "%s/a%d" % (model, n), X_Deadline_Ms="500")
    check(not engine.overcommits, "%s was ordered to load more than fits: %s",
          engine.id, engine.overcommits)
    check(any("adapter" in x for x in engine.orders[before:]),
          "no adapter was ordered at %s", engine.id)


def start(world, fronts):
    _, upstreams, daemons = engines(
        world, [{k: set(v) for k, v in FULL.items()} for _ in range(2)],
        fronts)
    for upstream in upstreams:
        record_received(upstream)
    wait("a planner", lambda: terms(daemons))
    return upstreams, daemons


@case
def room_after_takeover_while_model_closes(world):
    """A planner ends after it has told all that a model closes; the unload
    has no effect. Its successor counts the adapters of that model."""
    upstreams, daemons = start(world, 2)
    planner, other = find_planner(daemons)
    engine, model = lose_unload(other, upstreams, 1000)
    planner.kill()
    wait("a successor", lambda: terms([other]))
    for upstream in upstreams:
        upstream.orders_to_lose = 0
    check_room(other, engine, model)


@case
def room_after_lost_unload(world):
    """The same in one term: the unload gets no answer until it is given up."""
    upstreams, (front,) = start(world, 1)
    engine, model = lose_unload(front, upstreams, TRIES)
    wait("it is given up", lambda: engine.orders_to_lose == 0)
    check_room(front, engine, model)


def serve_engine(world, held, sizes, models):
    """A front with one engine of these sizes that holds so much."""
    store = Store()
    configure(store, 1, [route("llm", "streaming", service="llm")], ("llm",),
              {**ENGINE, **sizes, "models": [
                  {**ENGINE["models"][0], "weightsMb": 10, "adapters": 80,
                   "name": name} for name in models]})
    engine = Replica(store, "e-0", "llm", models=held)
    front = Front(world, store, "front-0").await_ready()
    wait("it reads the engine", lambda: front.events("engine read"))
    return engine, front


@case
def room_beside_more_than_is_counted(world):
    """An engine is full and holds more models, or more adapters, than the
    planner can count: nothing is loaded there without an unload."""
    names = ["n%d" % n for n in range(20)]
    for held, sizes, asked in (
            ({name: set() for name in names[:17]}, {"weightsMb": 175}, "n19"),
            ({"n0": {"a%d" % n for n in range(1, 66)}}, {"adapterSlots": 65},
             "n0/a70")):
        engine, front = serve_engine(world, held, sizes, names)
        demand = Demand(front, asked)
        time.sleep(ASKED_S)
        demand.end()
        front.kill()
        room = 0
        for x in engine.orders:
            if x["code"] == 202 and ("adapter" in x) == ("/" in asked):
                room += 1 if x["operation"] == "unload" else -1
            check(room >= 0, "%s", engine.orders)
