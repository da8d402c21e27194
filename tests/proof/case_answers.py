"""A caller gets the whole answer to its own request."""
import json

from basics import case, check, together, wait
from judges import answer_whole

TOKENS = 24


def serve(world, copies=2, entries=2, settings=None, **options):
    """Engines with one model, entries that know it, and a caller."""
    engines = [world.engine("engine-%d" % i, domain="ab"[i % 2], **options)
               for i in range(copies)]
    world.model("care")
    caller = world.caller()
    world.roll()
    doors = [world.entry("entry-%d" % i, **(settings or {}))
             for i in range(entries)]
    for engine in engines:
        engine.load("care")
    world.await_ready()
    for door in doors:
        for engine in engines:
            world.await_seen(door, engine, "care@1")
    return engines, doors, caller


def prompt(world):
    return "leaf %d" % world.rng.randrange(1 << 30)


@case
def answers_late_and_swapped(world):
    """Answers that come late and out of order reach their own callers:
    the relay keeps an exchange and its caller together."""
    engines, doors, caller = serve(world, first_ms=0, token_ms=1)
    for engine in engines:
        engine.faults({"on": "complete", "do": "delay", "ms": 300,
                       "match": "slow"})

    def ask(index, door, text, stream):
        answer = caller.complete(door, "care", text, TOKENS, stream=stream)
        answer_whole(answer, "care", text, TOKENS)

    together(*(lambda i=i, text=("slow " if world.rng.random() < 0.3
                                 else "") + prompt(world):
               ask(i, doors[i % 2], text, i % 3 == 0) for i in range(60)))


@case
def stream_cut_at_any_byte(world):
    """A stream cut at any byte goes on at its offset: events carry ids, the
    relay resumes behind the last one that the caller has, and drops what an
    engine sends again."""
    engines, (door,), caller = serve(world, copies=1, entries=1, relay=True,
                                     first_ms=2, token_ms=2)
    relay = engines[0].relay
    for i in range(40):
        engines[0].set(replay=i % 4)
        text = prompt(world)
        relay.cut(b"POST /v1/completions", down=world.rng.randrange(1, 1500))
        answer = caller.complete(door, "care", text, TOKENS, stream=True)
        answer_whole(answer, "care", text, TOKENS)
    check(relay.cuts > 0, "no cut was brought about")


@case
def only_copy_tried_again(world):
    """An exchange cut before its head is made again at the only copy: the
    relay cancels the first one only if the next goes elsewhere, since a
    cancel that lands late would end the second one."""
    engines, (door,), caller = serve(world, copies=1, entries=1, relay=True,
                                     first_ms=40, token_ms=2)
    engines[0].faults({"on": "resume", "do": "delay", "ms": 20})
    text = prompt(world)
    engines[0].relay.cut(b"POST /v1/completions", down=1)
    answer = caller.complete(door, "care", text, TOKENS, stream=True)
    answer_whole(answer, "care", text, TOKENS)


@case
def retry_at_the_only_copy(world):
    """The clean-up of a first try does not hit the second one, which has
    the same id at the same engine: no cancel is sent to it."""
    (engine,), (door,), caller = serve(world, copies=1, entries=1, first_ms=2,
                                       token_ms=10)
    engine.faults({"on": "complete", "do": "lose-answer", "times": 1},
                  {"on": "resume", "do": "delay", "ms": 100, "times": 1})
    text = prompt(world)
    answer = caller.complete(door, "care", text, TOKENS, stream=True)
    answer_whole(answer, "care", text, TOKENS)
    check(len(engine.journal("run")) == 2, "ran %d times",
          len(engine.journal("run")))


@case
def whole_answer_cut_at_any_byte(world):
    """A whole answer cut at any byte is never handed on as if complete: the
    relay holds it until its last byte, and asks another copy."""
    engines, (door,), caller = serve(world, entries=1, relay=True,
                                     first_ms=0, token_ms=0)
    for _ in range(40):
        text = prompt(world)
        for engine in engines:
            engine.relay.cut(b"POST /v1/completions",
                             down=world.rng.randrange(1, 400))
        answer = caller.complete(door, "care", text, TOKENS)
        if answer.outcome == "done":
            answer_whole(answer, "care", text, TOKENS)
        else:
            check(answer.error is not None and answer.outcome != "not run",
                  "neither whole nor a typed error: %s", answer.body)


@case
def engine_dies_in_mid_stream(world):
    """A stream whose engine dies goes on at another copy: the relay keeps
    the text and continues from it."""
    engines, (door,), caller = serve(world, copies=3, entries=1, first_ms=5,
                                     token_ms=20)
    at = world.rng.randrange(1, TOKENS - 4)
    text = prompt(world)

    def die(answer):
        if answer.last == at:
            engine = next(fake for fake in engines
                          if fake.process.poll() is None and
                          fake.journal("run"))
            engine.kill()

    answer = caller.complete(door, "care", text, TOKENS, stream=True,
                             on_event=die)
    answer_whole(answer, "care", text, TOKENS)
    runs = [line["from"] for _, line in world.journals("run")]
    check(sorted(runs)[0] == 0 and at <= sorted(runs)[1] and len(runs) == 2,
          "the second copy did not go on behind %d: %s", at, runs)


@case
def entry_dies_in_mid_stream(world):
    """The caller of a dead entry resumes at another one by its ticket."""
    engines, doors, caller = serve(world, first_ms=5, token_ms=20)
    at = world.rng.randrange(1, TOKENS)
    text = prompt(world)
    answer = caller.complete(
        doors[0], "care", text, TOKENS, stream=True,
        on_event=lambda got: got.last == at and doors[0].kill())
    check(answer.outcome == "cut", "the entry was not killed in time")
    answer_whole(caller.resume(doors[1], answer), "care", text, TOKENS)


@case
def caller_moves_between_entries(world):
    """A caller that breaks off and comes back elsewhere finds its stream:
    the resuming entry tells the first one not to cancel it."""
    engines, doors, caller = serve(world, first_ms=5, token_ms=60,
                                   settings={"resume_grace": "300ms"})
    text = prompt(world)

    class Gone(OSError):
        pass

    def leave(answer):
        if answer.last == 2:
            raise Gone

    answer = caller.complete(doors[0], "care", text, TOKENS, stream=True,
                             on_event=leave)
    answer_whole(caller.resume(doors[1], answer), "care", text, TOKENS)


@case
def ticket_is_its_callers(world):
    """A ticket is sealed: another caller, or a changed ticket, gets none
    of the stream."""
    other = world.caller("token-2")
    engines, doors, caller = serve(world, entries=1, first_ms=5, token_ms=2)
    text = prompt(world)
    answer = caller.complete(doors[0], "care", text, TOKENS, stream=True)
    stolen = other.resume(doors[0], answer)
    check(stolen.status == 403, "another caller got %s", stolen.status)
    ticket = answer.headers["X-Resume-Ticket"]
    at = world.rng.randrange(len(ticket) - 4)
    answer.headers["X-Resume-Ticket"] = (
        ticket[:at] + ("B" if ticket[at] == "A" else "A") + ticket[at + 1:])
    forged = caller.resume(doors[0], answer)
    check(forged.status == 403, "a changed ticket got %s", forged.status)


@case
def unknown_item_and_caller(world):
    """Who is not in the bundle is refused, typed, and nothing runs."""
    engines, (door,), caller = serve(world, copies=1, entries=1)
    stranger = type(caller)("token-9")
    check(stranger.complete(door, "care", "x").status == 401, "stranger")
    check(caller.complete(door, "nothing", "x").status == 404, "no model")
    bad = caller.send(door, "POST", "/v1/completions", b"{")
    check(bad.status == 400, "malformed: %s", bad.status)
    body = json.dumps({"model": "care", "prompt": "x" * (2 << 20)})
    big = caller.send(door, "POST", "/v1/completions", body)
    check(big.status == 413, "too large: %s", big.status)
    for answer in caller.answers + stranger.answers:
        check(answer.outcome == "not run", "%s", answer.error)
    check(not world.journals("run"), "something ran")
    wait("entry alive", door.ready)


@case
def path_stays_below_its_service(world):
    """A path with dot segments, plain or encoded, is refused: no caller gets
    beyond /app/SERVICE, to the operators' paths of an upstream."""
    app = world.service("app", "advice")
    world.item("service", "advice", repeatable="yes")
    caller = world.caller()
    world.roll()
    door = world.entry()
    world.await_ready()
    world.await_seen(door, app)
    for path in ("/../../admin/state", "/a/%2e%2E/../../admin/state",
                 "/.%2e/.%2E/admin/state", "/a/..", "/./b", "/%2e"):
        answer = caller.call(door, "advice", path, b"")
        check(answer.status == 400, "%s: %s %s", path, answer.status,
              answer.body)
    for path in ("", "/", "/a..b/...?q=/../x", "/.well-known"):
        answer = caller.call(door, "advice", path, b"")
        check(answer.outcome == "done", "%s: %s", path, answer.error)
    ran = [line for _, line in world.journals("run")]
    check(len(ran) == 4, "%s", ran)
