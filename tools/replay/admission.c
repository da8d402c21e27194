/*
 * admission - a daemon's decisions as coordinator, played again from its inputs
 *
 * The inputs are those of src/front/admission_inputs.c. Each is passed to
 * bk/admit, with what bk/room and bk/throttle keep for an upstream, in the same
 * way as by src/front/admission.c.
 */
#include "bk/admit/admit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/str.h"
#include "bk/pick/pick.h"
#include "replay.h"

enum {
    ID_BYTES = 128,
    ANSWER_BYTES = 64
};

/* One process of an upstream. */
typedef struct Upstream {
    char id[ID_BYTES];
    int64_t born;
    BkRoom room;
    BkThrottle throttle;
} Upstream;

typedef struct Admissions {
    Upstream *list;
    int count;
    bool unlisted_told;
} Admissions;

static void *
create_admissions(const RpPlay *play)
{
    (void)play;
    return BkMem_New(1, sizeof(Admissions));
}

static void
destroy_admissions(void *state)
{
    Admissions *admissions = state;

    free(admissions->list);
    free(admissions);
}

static Upstream *
find_upstream(const Admissions *admissions, const char *id, int64_t born)
{
    for (int i = 0; i < admissions->count; i++) {
        Upstream *upstream = &admissions->list[i];
        if (upstream->born == born && strcmp(upstream->id, id) == 0) {
            return upstream;
        }
    }
    return NULL;
}

/* The daemon begins to keep something for an upstream, or does so anew. */
static RpOutcome
apply_listing(RpPlay *play, const json_t *line)
{
    Admissions *admissions = play->state;
    const json_t *born = json_object_get(line, "born");
    const char *id = Rp_Text(line, "id");

    if (!json_is_integer(born)) { /* another turn of one that is listed */
        return RP_SAME;
    }
    Upstream *upstream =
        find_upstream(admissions, id, json_integer_value(born));
    if (upstream == NULL) {
        admissions->list =
            BkMem_Grow(admissions->list, (size_t)admissions->count + 1,
                       sizeof(*admissions->list));
        upstream = &admissions->list[admissions->count++];
    }
    *upstream = (Upstream){.born = json_integer_value(born),
                           .throttle = BkThrottle_Make()};
    snprintf(upstream->id, sizeof(upstream->id), "%s", id);
    return RP_SAME;
}

/* Members of all inputs about an upstream. */
typedef struct Input {
    BkMs now;
    Upstream *upstream; /* NULL: it was listed before the log begins */
    const json_t *line;
} Input;

static bool
parse_input(RpPlay *play, const json_t *line, Input *out)
{
    Admissions *admissions = play->state;
    const char *id = json_string_value(json_object_get(line, "upstream"));
    bool good = id != NULL;
    int64_t born = Rp_Integer(line, "born", &good);

    *out = (Input){.now = Rp_Integer(line, "now", &good), .line = line};
    if (!good) {
        return false;
    }
    out->upstream = find_upstream(admissions, id, born);
    if (out->upstream == NULL && !admissions->unlisted_told) {
        admissions->unlisted_told = true;
        Rp_Print(play,
                 "the log's begin is missing: %s is not listed; it and others "
                 "that are not are left out",
                 id);
    }
    return true;
}

/* Prints or compares a decision about the upstream. */
static RpOutcome
compare(RpPlay *play, const Input *input, const char *recorded,
        const char *replayed, const char *cause)
{
    const char *id = input->upstream->id;

    if (play->options->list) {
        Rp_Print(play, "at %lld: %s: %s, recorded %s%s%s",
                 (long long)input->now, id, replayed, recorded,
                 cause[0] == '\0' ? "" : ", for ", cause);
        return RP_SAME;
    }
    if (strcmp(recorded, replayed) == 0) {
        play->compared++;
        return RP_SAME;
    }
    Rp_Print(play, "decision %lld differs, at %s",
             (long long)play->compared + 1, Rp_Text(input->line, "at"));
    printf("  recorded: %s: %s\n", id, recorded);
    printf("  replayed: %s: %s\n", id, replayed);
    if (cause[0] != '\0') {
        printf("  for %s\n", cause);
    }
    return RP_DIFFERS;
}

static RpOutcome
apply_limit(RpPlay *play, const Input *input)
{
    bool good = true;
    double rate = Rp_Real(input->line, "per_s", &good);
    BkMs age = Rp_Integer(input->line, "seen_ms", &good);

    if (!good) {
        return Rp_Refuse(play);
    }
    BkThrottle_NoteLimit(&input->upstream->throttle, rate, input->now - age,
                         input->now);
    return RP_SAME;
}

static RpOutcome
apply_refusal(RpPlay *play, const Input *input)
{
    BkRoom *room = &input->upstream->room;
    bool good = true;
    int running = (int)Rp_Integer(input->line, "running", &good);
    int slots = (int)Rp_Integer(input->line, "slots", &good);
    int64_t requests = Rp_Integer(input->line, "requests", &good);
    char recorded[ANSWER_BYTES];
    char replayed[ANSWER_BYTES];
    char cause[ANSWER_BYTES];

    if (!good) {
        return Rp_Refuse(play);
    }
    BkRoom_NoteRefusal(room, running, slots, input->now);
    snprintf(recorded, sizeof(recorded), "room for %lld", (long long)requests);
    snprintf(replayed, sizeof(replayed), "room for %d",
             BkRoom_Get(room, slots, input->now));
    snprintf(cause, sizeof(cause), "a refusal beside %d of %d", running,
             slots);
    return compare(play, input, recorded, replayed, cause);
}

static RpOutcome
apply_unanswered(RpPlay *play, const Input *input)
{
    const json_t *brittle = json_object_get(input->line, "brittle");
    const json_t *sent = json_object_get(input->line, "sent");

    if (!json_is_boolean(brittle) || !json_is_boolean(sent)) {
        return Rp_Refuse(play);
    }
    bool sends = BkAdmit_MaySendUnanswered(&input->upstream->throttle,
                                           json_is_true(brittle));
    return compare(play, input,
                   json_is_true(sent) ? "sent unasked" : "not sent",
                   sends ? "sent unasked" : "not sent", "");
}

/* What bk/pick says of an upstream with the recorded load. */
static bool
is_full(const RpPlay *play, const json_t *line, const BkAdmitAsk *ask,
        bool *good)
{
    const BkUp up = {.own_running = ask->running,
                     .own_prompt_tokens = Rp_Integer(line, "unread", good),
                     .slots = ask->slots};
    BkPickConf conf = {.prefill_window = Rp_Integer(line, "window", good),
                       .max_load_ratio = Rp_Real(line, "load_ratio", good)};

    conf.prefill_window = (int64_t)Rp_GetRule(play, "prefill_window",
                                              (double)conf.prefill_window);
    if (!ask->brittle) { /* for those, it is always the same */
        conf.max_load_ratio =
            Rp_GetRule(play, "max_load_ratio", conf.max_load_ratio);
    }
    return json_is_true(json_object_get(line, "service"))
               ? BkPick_IsServiceFull(&conf, &up)
               : BkPick_IsEngineFull(&conf, &up,
                                     Rp_Integer(line, "prompt", good));
}

static void
print_answer(const char *name, int64_t delay, char *text)
{
    if (delay > 0) {
        snprintf(text, ANSWER_BYTES, "%s for %lld ms", name, (long long)delay);
    }
    else {
        snprintf(text, ANSWER_BYTES, "%s", name);
    }
}

static RpOutcome
apply_ask(RpPlay *play, const Input *input)
{
    const json_t *line = input->line;
    Upstream *upstream = input->upstream;
    const char *from = json_string_value(json_object_get(line, "from"));
    bool good = json_is_boolean(json_object_get(line, "brittle")) &&
                json_is_boolean(json_object_get(line, "service"));
    BkAdmitAsk ask = {.own = from == NULL,
                      .brittle =
                          json_is_true(json_object_get(line, "brittle")),
                      .running = (int)Rp_Integer(line, "running", &good),
                      .slots = (int)Rp_Integer(line, "slots", &good)};
    int64_t delay = Rp_Integer(line, "delay_ms", &good);
    char recorded[ANSWER_BYTES];
    char replayed[ANSWER_BYTES];
    char limit[ANSWER_BYTES];
    char cause[2 * ID_BYTES];

    ask.full = is_full(play, line, &ask, &good);
    if (!good) {
        return Rp_Refuse(play);
    }
    int room = BkRoom_Get(&upstream->room, ask.slots, input->now);
    BkAdmitAnswer answer =
        BkAdmit_Decide(&ask, &upstream->room, &upstream->throttle, input->now);
    print_answer(Rp_Text(line, "answer"), delay, recorded);
    print_answer(BkAdmit_ResultName(answer.result), answer.delay, replayed);
    snprintf(limit, sizeof(limit), "%.2f a second", upstream->throttle.limit);
    snprintf(cause, sizeof(cause), "%s beside %d of %d, room for %d%s%s, %s",
             from == NULL ? Rp_Text(line, "req") : from, ask.running,
             ask.slots, room, ask.full && !ask.own ? ", full" : "",
             ask.brittle ? ", brittle" : "",
             BkThrottle_IsLimited(&upstream->throttle) ? limit : "no limit");
    return compare(play, input, recorded, replayed, cause);
}

static const struct {
    const char *slice;
    const char *event;
    RpOutcome (*apply)(RpPlay *play, const Input *input);
} kinds[] = {{"throttle", "limit noted", apply_limit},
             {"keeper", "room", apply_refusal},
             {"keeper", "asked", apply_ask},
             {"keeper", "ask unanswered", apply_unanswered}};

static RpOutcome
play_admission_line(RpPlay *play, const json_t *line)
{
    if (Rp_IsEvent(line, "fleet", "upstream")) {
        return apply_listing(play, line);
    }
    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        Input input;
        if (!Rp_IsEvent(line, kinds[i].slice, kinds[i].event)) {
            continue;
        }
        play->inputs++;
        if (!parse_input(play, line, &input)) {
            return Rp_Refuse(play);
        }
        return input.upstream == NULL ? RP_SAME : kinds[i].apply(play, &input);
    }
    return RP_SAME;
}

static const char *const rules[] = {"prefill_window", "max_load_ratio", NULL};

const RpSlice rp_admission = {.name = "admission",
                              .rules = rules,
                              .create = create_admissions,
                              .destroy = destroy_admissions,
                              .play = play_admission_line};
