"""Admission of requests to one engine, coordinated between several bk-fronts.

The daemon that counts an engine's total load is its keeper; the others ask it
before they send a request there.
"""
import re
import threading
import time

from basics import case, check, request, together, wait
from case_front_state import engines
from platform_standins import Caller, sealed

FRONTS = 3
WINDOW = 2600  # prompt tokens not yet prefilled: the default of the setting


class LoadMeter:
    """Measures the peak load of an engine: requests and prompt tokens at
    once."""

    def __init__(self, upstream, duration):
        self.lock, self.duration = threading.Lock(), duration
        self.unprocessed, self.max_unprocessed, self.running = 0, 0, 0
        self.max_running = 0
        upstream.handlers = [self.serve_request]

    def serve_request(self, req, connection):
        prompt = int(req.fields["x-token-count"].split(",")[0])
        with self.lock:
            self.running += 1
            self.unprocessed += prompt
            self.max_unprocessed = max(self.max_unprocessed, self.unprocessed)
            self.max_running = max(self.max_running, self.running)
        time.sleep(self.duration)
        with self.lock:
            self.running -= 1
            self.unprocessed -= prompt
        connection.sendall(sealed(req))


def start(world):
    _, (upstream,), fronts = engines(world, [{"m1": set()}], FRONTS)
    for front in fronts:
        wait("the daemons hear each other", lambda: len(
            {x["name"] for x in front.events("peer heard")}) == FRONTS - 1)
    return upstream, fronts


def count_unanswered(fronts):
    """Number of questions that no keeper answered in time. For each, a daemon
    decided about one request alone."""
    metrics = [request(x.ops, "GET", "/metrics")[2].decode() for x in fronts]
    return sum(int(re.search(r"^bk_front_asks_lost_total (\d+)$", text,
                             re.M).group(1)) for text in metrics)


def ask_all(fronts, prompt, times):
    """Sends so many concurrent requests to each front; returns all status
    codes."""
    codes = []

    def ask(front):
        codes.append(Caller(front).ask(
            "/llm/", b"", X_Model="m1", X_Token_Count="%d,10" % prompt)[0])
    together(*(lambda front=front: ask(front) for front in fronts * times))
    return codes


@case
def keeper_counts_prompts(world):
    """When prompts arrive at all daemons at once, the engine never has more
    unprocessed prompt tokens than the window allows. Two of these prompts
    together exceed the window."""
    upstream, fronts = start(world)
    meter = LoadMeter(upstream, 0.1)
    codes = ask_all(fronts, 1500, 4)
    check(codes == [200] * len(codes), "answers %s", codes)
    check(meter.max_unprocessed <= WINDOW + 1500 * count_unanswered(fronts),
          "%d unprocessed prompt tokens at once", meter.max_unprocessed)


@case
def keeper_counts_runs(world):
    """Requests that come to all daemons at once never use more slots than the
    engine has."""
    upstream, fronts = start(world)
    meter = LoadMeter(upstream, 0.1)
    codes = ask_all(fronts, 10, 8)
    check(codes == [200] * len(codes), "answers %s", codes)
    check(meter.max_running <= upstream.slots + count_unanswered(fronts),
          "%d at once, %d unanswered", meter.max_running,
          count_unanswered(fronts))


@case
def keeper_frozen(world):
    """A frozen keeper doesn't stop the daemons that ask it, and is asked again
    once it runs on."""
    upstream, fronts = start(world)
    LoadMeter(upstream, 0.01)
    for frozen in fronts:
        others = [x for x in fronts if x is not frozen]
        frozen.freeze()
        codes = [code for _ in range(5) for code in ask_all(others, 100, 1)]
        check(codes == [200] * len(codes), "answers %s", codes)
        frozen.thaw()
    wait("a keeper that doesn't answer", lambda: any(
        front.events("no answer") for front in fronts))
    time.sleep(2.5)  # until the daemons ask the keepers again
    meter, before = LoadMeter(upstream, 0.1), count_unanswered(fronts)
    codes = ask_all(fronts, 1500, 2)
    check(codes == [200] * len(codes), "answers %s", codes)
    unanswered = count_unanswered(fronts) - before
    check(meter.max_unprocessed <= WINDOW + 1500 * unanswered,
          "%d unprocessed prompt tokens at once", meter.max_unprocessed)
