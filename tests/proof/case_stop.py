"""A planned stop of bk-entry cuts nothing; a slow reader harms nobody."""
import json
import os
import socket
import threading
import time

from basics import LIMIT_S, case, check, request, together, wait
from judges import answer_whole, no_doubles, not_run_true

TOKENS = 40


def serve(world, entries=2, **settings):
    """Engines, a service whose calls may not be repeated, entries."""
    engines = [world.engine("engine-%d" % i, domain="ab"[i], first_ms=5,
                            token_ms=15) for i in range(2)]
    app = world.service("app", "watering")
    world.model("care")
    world.item("service", "watering", repeatable="no")
    caller = world.caller()
    world.roll()
    doors = [world.entry("entry-%d" % i, **settings) for i in range(entries)]
    for engine in engines:
        engine.load("care")
    world.await_ready()
    for door in doors:
        world.await_seen(door, app)
        for engine in engines:
            world.await_seen(door, engine, "care@1")
    return engines, app, doors, caller


@case
def stop_under_streams(world):
    """SIGTERM under streams and a call that may not be repeated: all of it
    is finished, what comes before the port closes is served, exit 0."""
    _, app, doors, caller = serve(world, daemon_balancer_wait="400ms")
    app.faults({"on": "app", "do": "delay", "ms": 600})
    begun = threading.Barrier(9, timeout=LIMIT_S)

    def stream(index):
        text = "leaf %d" % world.rng.randrange(1 << 30)
        answer = caller.complete(
            doors[0], "care", text, TOKENS, stream=True,
            on_event=lambda got: got.last == 1 and begun.wait())
        answer_whole(answer, "care", text, TOKENS)

    def call():
        begun.wait()
        answer = caller.call(doors[0], "watering", "/start", b"pot", "k")
        check(answer and answer.outcome == "done", "call: %s", answer)

    def stop():
        time.sleep(world.rng.random() * 0.2)
        doors[0].signal(15)
        wait("not ready", lambda: request(
            doors[0].ops, "GET", "/readyz")[0] == 503)
        answer = caller.complete(doors[0], "care", "late leaf", 4)
        answer_whole(answer, "care", "late leaf", 4)

    together(call, *(lambda i=i: stream(i) for i in range(8)),
             lambda: (wait("begun", lambda: begun.n_waiting == 0 and
                           world.journals("run")), stop()))
    check(doors[0].process.wait(LIMIT_S) == 0, "exit status")
    again = caller.call(doors[1], "watering", "/start", b"pot", "k")
    check(again.outcome == "done", "the outcome is lost: %s", again.error)
    no_doubles(world)
    not_run_true(world, caller.answers)


@case
def stop_waits_for_outcomes(world):
    """An outcome that cannot be written yet keeps the process until it is
    written: it is found by the same key at another entry."""
    _, app, doors, caller = serve(world)
    app.faults({"on": "app", "do": "delay", "ms": 200})
    got = []
    thread = threading.Thread(target=lambda: got.append(
        caller.call(doors[0], "watering", "/start", b"pot", "k")))
    thread.start()
    wait("claimed", lambda: any(
        "claims" in json.dumps(x) for x in world.platform.journal("commit")))
    world.platform.set(outage=True)
    thread.join()
    check(got[0].outcome == "done", "%s", got[0].error)
    doors[0].signal(15)
    time.sleep(0.5)
    check(doors[0].process.poll() is None, "left without its outcome")
    world.platform.set(outage=False)
    check(doors[0].process.wait(LIMIT_S) == 0, "exit status")
    again = caller.call(doors[1], "watering", "/start", b"pot", "k")
    check(again.outcome == "done" and again.body == got[0].body,
          "the outcome is lost: %s", again.error)
    no_doubles(world)


def sanitized(world):
    """Whether bk-entry was built with the address sanitizer, whose own
    memory counts as resident."""
    with open(os.path.join(world.build, "src/entry/bk-entry"), "rb") as file:
        return b"__asan_init" in file.read()


def resident(door):
    with open("/proc/%d/status" % door.process.pid) as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024
    return 0


@case
def slow_readers_are_bounded(world):
    """Callers that stop reading hold a bounded buffer each: the upstream is
    paused, others are served, and nothing is lost when they read on."""
    # freed memory is not to count as held
    os.environ["ASAN_OPTIONS"] = ("quarantine_size_mb=1:"
                                  "thread_local_quarantine_size_kb=64")
    bound = (1024 if sanitized(world) else 256) * 1024
    engines, _, (door,), caller = serve(world, entries=1)
    for engine in engines:
        engine.kill()
    fast = world.upstream("engine-0", ["--memory", 48 << 30, "--slots", 64],
                          {"first_ms": 0, "token_ms": 0}, False)
    world.upstreams[0][1]["addr"] = fast.bundle_addr
    world.roll("a faster engine")
    fast.load("care")
    world.await_seen(door, fast, "care@1")
    host, port = door.addr.split(":")
    body = json.dumps({"model": "care", "prompt": "x", "stream": True,
                       "max_tokens": 200000}).encode()
    before, stalled = resident(door), []
    for _ in range(8):
        reader = socket.socket()
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        reader.connect((host, int(port)))
        reader.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                       b"Authorization: Bearer token-1\r\n"
                       b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        stalled.append(reader)
    time.sleep(2)
    grown = resident(door) - before
    check(grown < len(stalled) * bound, "%d bytes for %d streams", grown,
          len(stalled))

    def served():
        # the only engine is busy: it may miss a poll
        answer = caller.complete(door, "care", "y", 8, stream=True)
        return answer.outcome != "not run" and answer

    answer_whole(wait("another caller served", served), "care", "y", 8)
    for reader in stalled[1:]:
        reader.close()
    ids, rest = 0, b""
    stalled[0].settimeout(LIMIT_S)
    while ids < 3000:
        rest += stalled[0].recv(65536)
        *lines, rest = rest.split(b"\n")
        for line in lines:
            if line.startswith(b"id: "):
                ids += 1
                check(int(line[4:]) == ids, "event %s at %d", line, ids)
    stalled[0].close()
    wait("streams closed", lambda: b"bk_entry_streams_open 0" in request(
        door.ops, "GET", "/metrics")[2])


@case
def caller_gone_cancels(world):
    """A caller that leaves and does not come back within the grace: its
    upstream work is cancelled, streamed or whole; a call that may not be
    repeated goes on and its outcome is kept."""
    _, app, (door,), caller = serve(world, entries=1, resume_grace="100ms")
    app.faults({"on": "app", "do": "delay", "ms": 500})
    long = 4000  # tokens; a minute's work

    class Gone(OSError):
        pass

    def leave(answer):
        if answer.last == 2:
            raise Gone

    caller.complete(door, "care", "leaf", long, stream=True, on_event=leave)
    wait("stream cancelled", lambda: [
        x for _, x in world.journals("done") if not x["whole"]])
    host, port = door.addr.split(":")
    for path, extra, body in (
            ("/v1/completions", "", json.dumps({
                "model": "care", "prompt": "stem", "max_tokens": long})),
            ("/app/watering/start", "Idempotency-Key: k\r\n", "pot")):
        with socket.create_connection((host, int(port))) as leaver:
            leaver.sendall(("POST %s HTTP/1.1\r\nHost: x\r\n%s"
                            "Authorization: Bearer token-1\r\n"
                            "Content-Length: %d\r\n\r\n%s" % (
                                path, extra, len(body), body)).encode())
            wait("sent", lambda: b"bk_entry_in_flight 1" in request(
                door.ops, "GET", "/metrics")[2])
            time.sleep(0.1)
        wait("over", lambda: b"bk_entry_in_flight 0" in request(
            door.ops, "GET", "/metrics")[2])
    wait("whole answer cancelled", lambda: len([
        x for _, x in world.journals("done") if not x["whole"]]) == 2)
    kept = wait("outcome kept", lambda: next(
        (x for x in [caller.call(door, "watering", "/start", b"pot", "k")]
         if x.outcome == "done"), None))
    check(kept.headers.get("Idempotent-Replayed") == "true", "ran again")
    no_doubles(world)
