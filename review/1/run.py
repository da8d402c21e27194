"""See claim.txt."""
import os
import signal
import sys
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "../standins"))

from small import (TROUBLE, CannotRun, Engine, Record,  # noqa: E402
                   Traffic, World, find_planner, restart, start_fronts)
from basics import Failure, wait  # noqa: E402
from platform_standins import Store, configure, route  # noqa: E402

GRACE_S = 8
LATE_S = 11.5  # the order without an answer is carried out so much later
ENGINE = {"slots": 64, "kvCapacityTokens": 140514, "stride": 3,
          "weightsMb": 230000, "adapterSlots": 8, "loadsPerS": 1.9,
          "hostMb": 150000, "diskMb": 440000,
          "models": [{"name": "m%d" % n, "weightsMb": 72700, "loadS": 4.2,
                      "adapters": 20, "adapterMb": 66, "warmS": 0.63,
                      "diskS": 0.84} for n in range(1, 11)]}
FOUR = ("a1", "a2", "a3", "a4")


class Orders:
    """Loses the first order to unload m1, if there is trouble."""

    def __init__(self):
        self.unload_at = None

    def __call__(self, order):
        if order["operation"] == "unload" and order["model"] == "m1" and \
                "adapter" not in order and self.unload_at is None:
            self.unload_at = time.monotonic()
            return LATE_S if TROUBLE else None
        return None


def cycle(names):
    state = {"n": 0}

    def choose():
        state["n"] += 1
        return names[state["n"] % len(names)]
    return choose


def start_again(front, record):
    """As the platform does: SIGKILL after the grace time, and a new start."""
    front.kill()
    restart(front)
    record.write("%s is started again", front.name)


def run(world, record):
    store = Store()
    configure(store, 1, [route("llm", "streaming", service="llm",
                               timeoutMs=15000, targetLatencyMs=600,
                               maxAttempts=1, gapAimMs=300, sticky=True)],
              ("llm",), ENGINE)
    engines = [
        Engine(store, "e-0", record, {"m1": FOUR, "m2": FOUR, "m3": ()},
               ("m4",), ENGINE),
        Engine(store, "e-1", record, {"m5": (), "m6": (), "m9": ()}, (), ENGINE,
               zone="b"),
        Engine(store, "e-2", record, {"m7": (), "m8": (), "m10": ()}, (), ENGINE)]
    orders = engines[0].lose = Orders()
    fronts = start_fronts(world, store, 3)
    wait("a planner", lambda: find_planner(fronts), 15)
    time.sleep(3)
    traffic = Traffic(record, fronts, "/llm/")
    traffic.add(cycle(["m2/a1", "m2/a2", "m2/a3", "m2/a4", "m3", "m5", "m6",
                       "m7", "m8", "m9", "m10"]), 0.03)
    time.sleep(5)
    traffic.add(cycle(["m5/a%d" % n for n in range(1, 9)]), 0.02)
    time.sleep(1)
    record.write("consumers begin to ask for m4, which no engine holds")
    traffic.add(lambda: "m4", 0.2)
    wait("an order to unload m1", lambda: orders.unload_at, 20)
    planner = find_planner(fronts)
    if TROUBLE:
        record.write("%s, the planner, gets SIGTERM", planner.name)
        planner.signal(signal.SIGTERM)
    record.write("consumers begin to ask for more adapters of m2")
    traffic.add(cycle(["m2/a%d" % n for n in range(5, 21)]), 0.02, 4000)
    if TROUBLE:
        threading.Timer(GRACE_S, start_again, (planner, record)).start()
    end = time.monotonic() + 20
    while time.monotonic() < end and not any(x.over for x in engines):
        time.sleep(0.1)
    time.sleep(1)  # for the runs that the crash breaks off
    traffic.end()
    cut = sum(code == 200 and not whole
              for _, code, whole in traffic.answers)
    record.write("%d streams were broken off", cut)
    print("%d of %d requests served, %d streams broken off" % (
        sum(code == 200 and whole for _, code, whole in traffic.answers),
        len(traffic.answers), cut))
    return [(engine, *over) for engine in engines for over in engine.over]


def main():
    record = Record(HERE)
    try:
        world = World()
    except CannotRun as error:
        print(error)
        return 2
    try:
        broken = run(world, record)
    except Failure as failure:
        print("could not run: %s" % failure)
        return 2
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        world.end()
    for engine, order, held in broken:
        print("LIMIT: %s held %s and was ordered to load %s/%s" % (
            engine.id, held, order["model"], order.get("adapter")))
    if not broken:
        print("held")
    return 1 if broken else 0


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)
