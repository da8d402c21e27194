"""Every caller receives the whole answer to its own request."""
import json

from basics import case, check, together, wait
from invariants import check_whole_answer

TOKENS = 24


def serve(world, copies=2, entry_count=2, settings=None, **options):
    """Starts engines that hold one model, and entries that know them."""
    engines = [world.engine("engine-%d" % i, domain="ab"[i % 2], **options)
               for i in range(copies)]
    world.model("care")
    caller = world.caller()
    world.roll()
    entries = [world.entry("entry-%d" % i, **(settings or {}))
               for i in range(entry_count)]
    for engine in engines:
        engine.load("care")
    world.await_ready()
    for entry in entries:
        for engine in engines:
            world.await_seen(entry, engine, "care@1")
    return engines, entries, caller


def prompt(world):
    return "leaf %d" % world.rng.randrange(1 << 30)


@case
def answers_delayed_and_reordered(world):
    """Answers that come late and out of order reach the right callers: an
    entry never mixes up its exchanges with upstreams."""
    engines, entries, caller = serve(world, first_ms=0, token_ms=1)
    for engine in engines:
        engine.set_faults({"on": "complete", "do": "delay", "ms": 300,
                           "match": "slow"})

    def ask(index, entry, text, stream):
        answer = caller.complete(entry, "care", text, TOKENS, stream=stream)
        check_whole_answer(answer, "care", text, TOKENS)

    together(*(lambda i=i, text=("slow " if world.rng.random() < 0.3
                                 else "") + prompt(world):
               ask(i, entries[i % 2], text, i % 3 == 0) for i in range(60)))


@case
def stream_cut_at_any_byte(world):
    """A stream whose upstream connection is cut at any byte is continued: the
    entry resumes it after the last event that it passed on, by the event's id,
    and drops events that the engine sends again."""
    engines, (entry,), caller = serve(world, copies=1, entry_count=1,
                                      relay=True, first_ms=2, token_ms=2)
    relay = engines[0].relay
    for i in range(40):
        engines[0].set(replay=i % 4)
        text = prompt(world)
        relay.cut(b"POST /v1/completions", down=world.rng.randrange(1, 1500))
        answer = caller.complete(entry, "care", text, TOKENS, stream=True)
        check_whole_answer(answer, "care", text, TOKENS)
    check(relay.cuts > 0, "no exchange was cut")


@case
def cut_before_head_retried_at_only_copy(world):
    """A request whose connection is cut before the response head is retried at
    the only copy. The entry cancels the first attempt only if the retry goes
    to another copy, since a late cancel would end the retry."""
    engines, (entry,), caller = serve(world, copies=1, entry_count=1,
                                      relay=True, first_ms=40, token_ms=2)
    engines[0].set_faults({"on": "resume", "do": "delay", "ms": 20})
    text = prompt(world)
    engines[0].relay.cut(b"POST /v1/completions", down=1)
    answer = caller.complete(entry, "care", text, TOKENS, stream=True)
    check_whole_answer(answer, "care", text, TOKENS)


@case
def clean_up_spares_the_retry(world):
    """The clean-up of a failed attempt doesn't end the retry, which has the
    same request id at the same engine: no cancel is sent."""
    (engine,), (entry,), caller = serve(world, copies=1, entry_count=1,
                                        first_ms=2, token_ms=10)
    engine.set_faults({"on": "complete", "do": "lose-answer", "times": 1},
                      {"on": "resume", "do": "delay", "ms": 100, "times": 1})
    text = prompt(world)
    answer = caller.complete(entry, "care", text, TOKENS, stream=True)
    check_whole_answer(answer, "care", text, TOKENS)
    check(len(engine.journal("run")) == 2, "ran %d times",
          len(engine.journal("run")))


@case
def whole_answer_cut_at_any_byte(world):
    """A plain answer that is cut at any byte is never passed on as if it were
    complete: the entry holds it until its last byte, and otherwise retries at
    another copy."""
    engines, (entry,), caller = serve(world, entry_count=1, relay=True,
                                      first_ms=0, token_ms=0)
    for _ in range(40):
        text = prompt(world)
        for engine in engines:
            engine.relay.cut(b"POST /v1/completions",
                             down=world.rng.randrange(1, 400))
        answer = caller.complete(entry, "care", text, TOKENS)
        if answer.outcome == "done":
            check_whole_answer(answer, "care", text, TOKENS)
        else:
            check(answer.error is not None and answer.outcome != "not run",
                  "neither whole nor a typed error: %s", answer.body)


@case
def engine_dies_in_mid_stream(world):
    """A stream whose engine dies is continued by another copy: the entry keeps
    the text so far and sends it along."""
    engines, (entry,), caller = serve(world, copies=3, entry_count=1,
                                      first_ms=5, token_ms=20)
    kill_after = world.rng.randrange(1, TOKENS - 4)
    text = prompt(world)

    def kill_engine(answer):
        if answer.last_id == kill_after:
            engine = next(fake for fake in engines
                          if fake.process.poll() is None and
                          fake.journal("run"))
            engine.kill()

    answer = caller.complete(entry, "care", text, TOKENS, stream=True,
                             on_event=kill_engine)
    check_whole_answer(answer, "care", text, TOKENS)
    runs = [line["from"] for _, line in world.journals("run")]
    check(sorted(runs)[0] == 0 and kill_after <= sorted(runs)[1] and
          len(runs) == 2,
          "the second copy did not continue after %d: %s", kill_after, runs)


@case
def entry_dies_in_mid_stream(world):
    """The caller of an entry that died resumes its stream at another one, with
    the resume ticket."""
    engines, entries, caller = serve(world, first_ms=5, token_ms=20)
    kill_after = world.rng.randrange(1, TOKENS)
    text = prompt(world)
    answer = caller.complete(
        entries[0], "care", text, TOKENS, stream=True,
        on_event=lambda partial: partial.last_id == kill_after and
        entries[0].kill())
    check(answer.outcome == "cut", "the entry was not killed in time")
    check_whole_answer(caller.resume(entries[1], answer), "care", text, TOKENS)


@case
def caller_moves_between_entries(world):
    """A caller that disconnects can resume its stream at another entry: that
    entry notifies the first one, which then doesn't cancel the stream."""
    engines, entries, caller = serve(world, first_ms=5, token_ms=60,
                                     settings={"resume_grace": "300ms"})
    text = prompt(world)

    class Disconnected(OSError):
        pass

    def disconnect(answer):
        if answer.last_id == 2:
            raise Disconnected

    answer = caller.complete(entries[0], "care", text, TOKENS, stream=True,
                             on_event=disconnect)
    check_whole_answer(caller.resume(entries[1], answer), "care", text, TOKENS)


@case
def ticket_bound_to_its_caller(world):
    """A resume ticket is sealed: another caller with the ticket, or its caller
    with a changed one, receives nothing of the stream."""
    other = world.caller("token-2")
    engines, entries, caller = serve(world, entry_count=1, first_ms=5,
                                     token_ms=2)
    text = prompt(world)
    answer = caller.complete(entries[0], "care", text, TOKENS, stream=True)
    others_answer = other.resume(entries[0], answer)
    check(others_answer.status == 403, "another caller got %s",
          others_answer.status)
    ticket = answer.headers["X-Resume-Ticket"]
    position = world.rng.randrange(len(ticket) - 4)
    answer.headers["X-Resume-Ticket"] = (
        ticket[:position] + ("B" if ticket[position] == "A" else "A") +
        ticket[position + 1:])
    forged_answer = caller.resume(entries[0], answer)
    check(forged_answer.status == 403, "a changed ticket got %s",
          forged_answer.status)


@case
def unknown_model_and_caller(world):
    """A caller, a model or a request that the bundle does not allow is refused
    with a typed error, and nothing runs."""
    engines, (entry,), caller = serve(world, copies=1, entry_count=1)
    unknown_caller = type(caller)("token-9")
    check(unknown_caller.complete(entry, "care", "x").status == 401,
          "an unknown caller was not refused")
    check(caller.complete(entry, "nothing", "x").status == 404,
          "an unknown model was not refused")
    malformed = caller.send(entry, "POST", "/v1/completions", b"{")
    check(malformed.status == 400, "malformed request got %s",
          malformed.status)
    body = json.dumps({"model": "care", "prompt": "x" * (2 << 20)})
    too_large = caller.send(entry, "POST", "/v1/completions", body)
    check(too_large.status == 413, "too large request got %s",
          too_large.status)
    for answer in caller.answers + unknown_caller.answers:
        check(answer.outcome == "not run", "%s", answer.error)
    check(not world.journals("run"), "something ran")
    wait("entry alive", entry.ready)


@case
def dot_segments_refused(world):
    """A path with dot segments, plain or encoded, is refused, so that no
    caller reaches an upstream's paths outside /app/SERVICE, such as /admin."""
    service = world.service("app", "advice")
    world.item("service", "advice", repeatable="yes")
    caller = world.caller()
    world.roll()
    entry = world.entry()
    world.await_ready()
    world.await_seen(entry, service)
    for path in ("/../../admin/state", "/a/%2e%2E/../../admin/state",
                 "/.%2e/.%2E/admin/state", "/a/..", "/./b", "/%2e"):
        answer = caller.call(entry, "advice", path, b"")
        check(answer.status == 400, "%s: %s %s", path, answer.status,
              answer.body)
    for path in ("", "/", "/a..b/...?q=/../x", "/.well-known"):
        answer = caller.call(entry, "advice", path, b"")
        check(answer.outcome == "done", "%s: %s", path, answer.error)
    ran = [line for _, line in world.journals("run")]
    check(len(ran) == 4, "%s", ran)
