"""A stop of bk-entry cuts no request short; slow readers harm nobody else."""
import json
import os
import socket
import threading
import time

from basics import TIMEOUT_S, case, check, request, together, wait
from invariants import check_whole_answer, check_no_double_runs, \
    check_not_run_answers

TOKENS = 40


def serve(world, entry_count=2, token_ms=15, **settings):
    """Starts engines, a service whose calls may not be repeated, and
    entries."""
    engines = [world.engine("engine-%d" % i, domain="ab"[i], first_ms=5,
                            token_ms=token_ms) for i in range(2)]
    service = world.service("app", "watering")
    world.model("care")
    world.item("service", "watering", repeatable="no")
    caller = world.caller()
    world.roll()
    entries = [world.entry("entry-%d" % i, **settings)
               for i in range(entry_count)]
    for engine in engines:
        engine.load("care")
    world.await_ready()
    for entry in entries:
        world.await_seen(entry, service)
        for engine in engines:
            world.await_seen(entry, engine, "care@1")
    return engines, service, entries, caller


@case
def stop_during_streams(world):
    """An entry gets SIGTERM while streams and a call that may not be repeated
    are in progress: it finishes them, serves requests that come before it
    closes the port, and exits with 0."""
    _, service, entries, caller = serve(world, daemon_balancer_wait="400ms")
    service.set_faults({"on": "app", "do": "delay", "ms": 600})
    all_started = threading.Barrier(9, timeout=TIMEOUT_S)

    def stream(index):
        text = "leaf %d" % world.rng.randrange(1 << 30)
        answer = caller.complete(
            entries[0], "care", text, TOKENS, stream=True,
            on_event=lambda answer: answer.last_id == 1 and all_started.wait())
        check_whole_answer(answer, "care", text, TOKENS)

    def call():
        all_started.wait()
        answer = caller.call(entries[0], "watering", "/start", b"pot", "k")
        check(answer and answer.outcome == "done", "call: %s", answer)

    def stop():
        time.sleep(world.rng.random() * 0.2)
        entries[0].signal(15)
        wait("not ready", lambda: request(
            entries[0].ops, "GET", "/readyz")[0] == 503)
        answer = caller.complete(entries[0], "care", "late leaf", 4)
        check_whole_answer(answer, "care", "late leaf", 4)

    together(call, *(lambda i=i: stream(i) for i in range(8)),
             lambda: (wait("begun", lambda: all_started.n_waiting == 0 and
                           world.journals("run")), stop()))
    check(entries[0].process.wait(TIMEOUT_S) == 0, "exit status")
    second_call = caller.call(entries[1], "watering", "/start", b"pot", "k")
    check(second_call.outcome == "done", "the outcome is lost: %s",
          second_call.error)
    check_no_double_runs(world)
    check_not_run_answers(world, caller.answers)


@case
def stop_waits_for_outcomes(world):
    """An entry that cannot write an outcome yet doesn't exit before it has.
    The outcome is then found by the same key at another entry."""
    _, service, entries, caller = serve(world)
    service.set_faults({"on": "app", "do": "delay", "ms": 200})
    answers = []
    thread = threading.Thread(target=lambda: answers.append(
        caller.call(entries[0], "watering", "/start", b"pot", "k")))
    thread.start()
    wait("claimed", lambda: any(
        "claims" in json.dumps(x) for x in world.platform.journal("commit")))
    world.platform.set(outage=True)
    thread.join()
    check(answers[0].outcome == "done", "%s", answers[0].error)
    entries[0].signal(15)
    time.sleep(0.5)
    check(entries[0].process.poll() is None,
          "it exited before the outcome was written")
    world.platform.set(outage=False)
    check(entries[0].process.wait(TIMEOUT_S) == 0, "exit status")
    second_call = caller.call(entries[1], "watering", "/start", b"pot", "k")
    check(second_call.outcome == "done" and
          second_call.body == answers[0].body,
          "the outcome is lost: %s", second_call.error)
    check_no_double_runs(world)


def sanitized(world):
    """Whether bk-entry was built with the address sanitizer, whose own memory
    counts as resident."""
    with open(os.path.join(world.build, "src/entry/bk-entry"), "rb") as file:
        return b"__asan_init" in file.read()


def resident_bytes(entry):
    with open("/proc/%d/status" % entry.process.pid) as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024
    return 0


@case
def slow_readers_are_bounded(world):
    """For each caller that stops reading, an entry buffers a bounded amount,
    and then stops reading from the upstream. Other callers are served, and a
    stalled caller loses nothing once it reads on."""
    # keep freed memory from counting as used
    os.environ["ASAN_OPTIONS"] = ("quarantine_size_mb=1:"
                                  "thread_local_quarantine_size_kb=64")
    max_bytes = (1024 if sanitized(world) else 256) * 1024
    _, _, (entry,), caller = serve(world, entry_count=1, token_ms=0)
    host, port = entry.addr.split(":")
    body = json.dumps({"model": "care", "prompt": "x", "stream": True,
                       "max_tokens": 200000}).encode()
    before, stalled = resident_bytes(entry), []
    for _ in range(8):
        reader = socket.socket()
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        reader.connect((host, int(port)))
        reader.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                       b"Authorization: Bearer token-1\r\n"
                       b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        stalled.append(reader)
    time.sleep(2)
    growth = resident_bytes(entry) - before
    check(growth < len(stalled) * max_bytes, "%d bytes for %d streams", growth,
          len(stalled))

    def served():
        # the engine is busy and may not answer a poll in time
        answer = caller.complete(entry, "care", "y", 8, stream=True)
        return answer.outcome != "not run" and answer

    check_whole_answer(wait("another caller served", served), "care", "y", 8)
    for reader in stalled[1:]:
        reader.close()
    ids, buffer = 0, b""
    stalled[0].settimeout(TIMEOUT_S)
    while ids < 3000:
        buffer += stalled[0].recv(65536)
        *lines, buffer = buffer.split(b"\n")
        for line in lines:
            if line.startswith(b"id: "):
                ids += 1
                check(int(line[4:]) == ids, "event %s at %d", line, ids)
    stalled[0].close()
    wait("streams closed", lambda: b"bk_entry_streams_open 0" in request(
        entry.ops, "GET", "/metrics")[2])


@case
def reader_never_reads(world):
    """The connection of a caller that never reads is closed after a while, so
    that it blocks neither the engine nor a stop of the entry."""
    _, _, (entry,), _ = serve(world, entry_count=1, token_ms=0,
                              resume_grace="50ms", reader_patience="300ms")
    host, port = entry.addr.split(":")
    body = json.dumps({"model": "care", "prompt": "x" * 1000, "stream": True,
                       "max_tokens": 1 << 20}).encode()
    with socket.socket() as reader:
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        reader.connect((host, int(port)))
        reader.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                       b"Authorization: Bearer token-1\r\n"
                       b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        for state in (b"1", b"0"):
            wait("open, then cut", lambda: b"bk_entry_streams_open " + state
                 in request(entry.ops, "GET", "/metrics")[2])


@case
def caller_disconnect_cancels(world):
    """A caller disconnects and doesn't return within resume_grace: its work at
    the upstream is cancelled, whether streamed or not. A call that may not be
    repeated is completed, and its outcome is kept."""
    _, service, (entry,), caller = serve(world, entry_count=1,
                                         resume_grace="100ms")
    service.set_faults({"on": "app", "do": "delay", "ms": 500})
    token_count = 4000  # tokens; takes a minute to generate

    class Disconnected(OSError):
        pass

    def disconnect(answer):
        if answer.last_id == 2:
            raise Disconnected

    caller.complete(entry, "care", "leaf", token_count, stream=True,
                    on_event=disconnect)
    wait("stream cancelled", lambda: [
        x for _, x in world.journals("done") if not x["whole"]])
    host, port = entry.addr.split(":")
    for path, extra, body in (
            ("/v1/completions", "", json.dumps({
                "model": "care", "prompt": "stem",
                "max_tokens": token_count})),
            ("/app/watering/start", "Idempotency-Key: k\r\n", "pot")):
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(("POST %s HTTP/1.1\r\nHost: x\r\n%s"
                                "Authorization: Bearer token-1\r\n"
                                "Content-Length: %d\r\n\r\n%s" % (
                                path, extra, len(body), body)).encode())
            wait("sent", lambda: b"bk_entry_in_flight 1" in request(
                entry.ops, "GET", "/metrics")[2])
            time.sleep(0.1)
        wait("over", lambda: b"bk_entry_in_flight 0" in request(
            entry.ops, "GET", "/metrics")[2])
    wait("whole answer cancelled", lambda: len([
        x for _, x in world.journals("done") if not x["whole"]]) == 2)
    replayed = wait("outcome kept", lambda: next(
        (x for x in [caller.call(entry, "watering", "/start", b"pot", "k")]
         if x.outcome == "done"), None))
    check(replayed.headers.get("Idempotent-Replayed") == "true", "ran again")
    check_no_double_runs(world)
