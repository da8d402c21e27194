"""Requests that are mangled in a field that decides something, or cut, or too
long: each gets an answer, and the daemon and other callers go on."""
import os
import random
import socket
import threading
import time

from basics import case, check, wait
from case_front_detour import cut_and_wait
from case_front_limit import hear_each_other
from case_front_state import ENGINE
from links import linked_front
from platform_standins import Caller, Front, Replica, Store, configure, \
    raw_request, route

# in CI; by hand, BK_MANGLED sets another number
REQUESTS = int(os.environ.get("BK_MANGLED", "1500"))
SENDERS = int(os.environ.get("BK_MANGLED_SENDERS", "6"))
READ_S = 0.5  # for the answer to a request that is incomplete
BAD_MODELS = ("/a1", "/", "m1/", "m1//a1", "m1/a1/", "/m1/a1", "")
FIELDS = ("Host", "X-Request-Id", "X-Deadline-Ms", "X-Model", "X-Token-Count",
          "X-Prompt-Prefix", "Last-Event-Id", "Resumes", "Content-Length",
          "Transfer-Encoding", "Connection", "Bk-Detour", "Expect")
TARGETS = ("/llm/", "/once/", "/safe/", "/again/x?y=/", "/", "//", "*", "",
           "llm/", "/llm", "http://h.example/safe/", "/" + "s" * 3000, "/?")


def values(rng):
    """Odd values of a field."""
    return rng.choice((
        "", " ", "/", "//", "/a1", "a/", "m1/a1", "m1/a9", "m9", "0", "-1",
        "1", "99999999999999999999", "1,2,3", ",", ":", "a:b", "ff:1,",
        "chunked", "close", "100-continue", "x" * rng.choice((127, 128, 3500)),
        "\x01\x02\x7f", "\xff\xfe", "h.example", "\t", "config=9,tries=9",
        "software=1", "%s%n", "\\u0000", "'\";{}"))


def mangle(rng):
    """Bytes of one request or two, or of a part of one."""
    fields = {"Host": "h.example", "X-Request-Id": "m%d" % rng.getrandbits(40),
              "X-Deadline-Ms": "300"}
    target, method = rng.choice(TARGETS[:4]), rng.choice(("GET", "POST"))
    body = b"" if method == "GET" else b"b" * rng.choice((0, 1, 1000))
    if method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = list(fields.items())
    for _ in range(rng.choice((0, 1, 1, 2, 3))):
        name = rng.choice(FIELDS)
        kind = rng.randrange(4)
        if kind == 0:
            lines = [x for x in lines if x[0] != name]
        elif kind == 1:
            lines.append((name, values(rng)))
        else:
            lines = [x for x in lines if x[0] != name] + [(name, values(rng))]
    if rng.random() < 0.2:
        target = rng.choice(TARGETS)
    if rng.random() < 0.05:
        method = rng.choice(("HEAD", "PUT", "BREW", "", "OPTIONS"))
    head = "%s %s HTTP/1.%d\r\n" % (method, target, rng.random() < 0.95)
    head += "".join("%s: %s\r\n" % x for x in lines) + "\r\n"
    data = head.encode("latin-1") + body
    how = rng.random()
    if how < 0.05:
        return data[:rng.randrange(1, len(data) + 1)]
    if how < 0.10:
        return data + b"z" * rng.choice((1, 100, 70000))
    if how < 0.15:
        return data + raw_request("/safe/", X_Deadline_Ms="300")
    return data


def send(address, rng):
    """Sends a mangled request, split anywhere; returns what came back."""
    data = mangle(rng)
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), timeout=20)
    try:
        cut = rng.randrange(len(data) + 1)
        sock.sendall(data[:cut])
        if rng.random() < 0.2:
            time.sleep(0.002)
        sock.sendall(data[cut:])
        sock.settimeout(READ_S)
        if rng.random() < 0.8:
            sock.shutdown(socket.SHUT_WR)
        return data, sock.recv(65536)
    except OSError:
        return data, b""
    finally:
        sock.close()


class Senders:
    """Send mangled requests to these addresses, each a share of them."""

    def __init__(self, world, addresses, count=REQUESTS):
        self.left, self.lock, self.odd = count, threading.Lock(), []
        self.answers = {}
        self.threads = [threading.Thread(
            target=self.run, daemon=True,
            args=(addresses[n % len(addresses)],
                  random.Random(world.seed * 1000 + n)))
            for n in range(SENDERS)]
        for thread in self.threads:
            thread.start()

    def run(self, address, rng):
        while True:
            with self.lock:
                if self.left <= 0:
                    return
                self.left -= 1
            data, answer = send(address, rng)
            code = answer[9:12]
            with self.lock:
                self.answers[code] = self.answers.get(code, 0) + 1
                if answer and not answer.startswith(b"HTTP/1.1 "):
                    self.odd.append((data, answer[:100]))

    def join(self):
        for thread in self.threads:
            thread.join()


def serve(world, names=("f-0",)):
    store = Store()
    configure(store, 1, [
        route("safe", "safe"), route("once", "unsafe"),
        route("again", "streaming", resumable=True),
        route("llm", "streaming", service="llm")], ("app", "llm"), ENGINE)
    upstreams = [Replica(store, "i-%d" % n, slots=50) for n in range(2)]
    Replica(store, "e-0", "llm", slots=50, models={"m1": {"a1"}, "m2": set()})
    start = linked_front if len(names) > 1 else Front
    fronts = [start(world, store, name, log="info") for name in names]
    for front in fronts:
        front.await_retry_budget()
    return upstreams, fronts


def check_sound(world, fronts, senders):
    """Sound callers get their own whole answers all the while."""
    kept, n = Caller(fronts[0]), 0
    while any(thread.is_alive() for thread in senders.threads):
        n += 1
        name = "sound%d" % n
        code, fields, _, whole = kept.ask("/safe/", X_Request_Id=name)
        check((code, whole, fields.get("x-request-id")) == (200, True, name),
              "%s: %s %s", name, code, fields)
    senders.join()
    for front in fronts:
        check(front.process.poll() is None, "%s ended: %s", front.name,
              front.process.poll())
    check(not senders.odd, "%s", senders.odd[:3])
    served = senders.answers.get(b"200", 0)
    check(served > 0 and senders.answers.get(b"400", 0) > served / 20,
          "%s", senders.answers)


@case
def mangled_model(world):
    """An adapter without a model, and what else names nothing: 400, and the
    field is named."""
    _, (front,) = serve(world)
    wait("m1 is served", lambda: Caller(front).ask(
        "/llm/", b"", X_Model="m1", X_Token_Count="100,10")[0] == 200)
    for model in BAD_MODELS:
        code, _, body, _ = Caller(front).ask("/llm/", b"", X_Model=model)
        check(code == 400 and b"X-Model" in body, "%r: %s %s", model, code,
              body)
    check(front.process.poll() is None, "it ended")


@case
def mangled_repeated_fields(world):
    """A field that decides something comes twice: 400, and it is named. A
    deadline of 0 has passed."""
    _, (front,) = serve(world)
    for name, value in (("Host", "h.example"), ("X-Request-Id", "a"),
                        ("X-Deadline-Ms", "500"), ("X-Model", "m1"),
                        ("X-Token-Count", "1,1"), ("X-Prompt-Prefix", "a:1"),
                        ("Last-Event-Id", "1"), ("Resumes", "a")):
        data = raw_request("/safe/").decode()
        line = "%s: %s\r\n" % (name, value)
        caller = Caller(front)
        caller.send((data[:-2] + line * (1 if name + ":" in data else 2) +
                     "\r\n").encode())
        code, _, body, _ = caller.read_answer()
        check(code == 400 and name.encode() in body, "%s: %s %s", name, code,
              body)
    code = Caller(front).ask("/safe/", X_Deadline_Ms="0")[0]
    check(code == 503, "a deadline of 0: %s", code)


@case
def mangled_requests(world):
    """Requests drawn at random."""
    _, fronts = serve(world)
    check_sound(world, fronts, Senders(world, [fronts[0].addr]))


@case
def mangled_by_way_of_another_daemon(world):
    """The same at a daemon that passes them on to another one, and at the
    address where that one takes them from other daemons."""
    _, fronts = serve(world, ("f-0", "f-1"))
    hear_each_other(fronts)
    fronts[0].paths = ("once",)
    cut_and_wait(fronts[0])
    check_sound(world, fronts, Senders(
        world, [fronts[0].addr, fronts[1].peers], REQUESTS // 3))
