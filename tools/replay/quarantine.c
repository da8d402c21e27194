#include "quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    DEFAULT_PROBATION = 2000, /* ms */
    DEFAULT_TERM = 20000,     /* ms */
    HEX = 16,
    MAX_SUSPECTS = 64,
    /* ms after which a decision that is due is taken, though the daemon has
       not logged that it took one */
    LATE_DECISION = 1000
};

void
RpQuarantine_Init(RpQuarantine *quarantine, bool on_time)
{
    *quarantine = (RpQuarantine){.on_time = on_time,
                                 .well = BkWell_Make(),
                                 .tally = BkTally_Make(),
                                 .share = BkShare_Make()};
    quarantine->verdicts.short_term = DEFAULT_PROBATION;
    quarantine->verdicts.first_term = DEFAULT_TERM;
}

void
RpQuarantine_Destroy(RpQuarantine *quarantine)
{
    while (quarantine->decision_count > 0) {
        RpQuarantine_DropDecision(quarantine);
    }
    BkWell_Destroy(&quarantine->well);
    BkTally_Destroy(&quarantine->tally);
    BkShare_Destroy(&quarantine->share);
}

static void
remove_decision(RpQuarantine *quarantine, int at)
{
    RpDecision *decision = &quarantine->decisions[at];

    BkBuf_Destroy(&decision->cause);
    quarantine->decision_count--;
    memmove(decision, decision + 1,
            (size_t)(quarantine->decision_count - at) * sizeof(*decision));
}

void
RpQuarantine_DropDecision(RpQuarantine *quarantine)
{
    remove_decision(quarantine, 0);
}

static void
print_row(const BkTallyRow *row, BkMs now, BkBuf *out)
{
    BkBuf_Printf(out, "%s %llx of %08x:", BkTrait_KindName(row->trait.kind),
                 (unsigned long long)row->trait.id, row->trait.service);
    for (int i = 0; i < row->count; i++) {
        const BkTallyCrash *crash = &row->crashes[i];
        BkBuf_Printf(out, " #%08x of request %llx, sent %lld, ended %lld;",
                     crash->crash.upstream, (unsigned long long)crash->request,
                     (long long)(crash->sent_at - now),
                     (long long)(crash->crash.at - now));
    }
    BkBuf_Printf(out, " depth %d\n", row->depth);
}

void
RpQuarantine_Print(const RpQuarantine *quarantine, BkBuf *out)
{
    for (int i = 0; i < quarantine->tally.count; i++) {
        BkBuf_Printf(out, "    ");
        print_row(&quarantine->tally.rows[i], 0, out);
    }
}

/* row: what convicts the trait; NULL: nothing */
static void
add_decision(RpQuarantine *quarantine, const char *what, const BkTrait *trait,
             const BkTallyRow *row, bool convicts, BkMs now)
{
    if (quarantine->decision_count == RP_MAX_DECISIONS) {
        quarantine->decisions_left_out++;
        return;
    }
    RpDecision *decision =
        &quarantine->decisions[quarantine->decision_count++];
    *decision = (RpDecision){.trait = *trait,
                             .at = now,
                             .convicts = convicts,
                             .cause = BkBuf_Make(0)};
    snprintf(decision->text, sizeof(decision->text), "%s %s %llx", what,
             BkTrait_KindName(trait->kind), (unsigned long long)trait->id);
    if (row != NULL) {
        print_row(row, now, &decision->cause);
    }
}

static void
lift(RpQuarantine *quarantine, const BkTrait *trait, const char *what,
     BkMs now)
{
    BkVerdicts_Lift(&quarantine->verdicts, trait, now);
    add_decision(quarantine, what, trait, NULL, false, now);
}

static void
withdraw(RpQuarantine *quarantine, uint32_t service, BkMs now)
{
    const BkVerdicts *verdicts = &quarantine->verdicts;

    for (int i = 0; i < verdicts->count; i++) {
        BkTrait trait = verdicts->rows[i].trait;
        if (trait.service == service &&
            BkVerdict_IsOnProbation(&verdicts->rows[i])) {
            lift(quarantine, &trait, "verdict withdrawn", now);
        }
    }
    BkTally_Forget(&quarantine->tally, service);
}

static bool
withhold_universal(RpQuarantine *quarantine, const BkTrait *trait, BkMs now)
{
    const BkVerdict *verdict = BkVerdicts_Find(&quarantine->verdicts, trait);

    if (!BkShare_IsUniversal(&quarantine->share, trait, now)) {
        return false;
    }
    if (verdict != NULL && BkVerdict_IsOnProbation(verdict)) {
        lift(quarantine, trait, "verdict withdrawn", now);
    }
    return true;
}

static bool
withhold_verdict(RpQuarantine *quarantine, const BkTrait *trait, BkMs now)
{
    BkShare *share = &quarantine->share;

    if (withhold_universal(quarantine, trait, now)) {
        return true;
    }
    if (BkShare_IsExceeded(share, &quarantine->verdicts, trait, now)) {
        BkShare_BeginExemption(share, trait->service, now);
    }
    if (!BkShare_IsExempt(share, trait->service, now)) {
        return false;
    }
    withdraw(quarantine, trait->service, now);
    return true;
}

static bool
convict(RpQuarantine *quarantine, const BkTallyRow *row, BkMs now)
{
    bool weak =
        row->weak || BkShare_IsCommon(&quarantine->share, &row->trait, now);

    return BkVerdicts_Convict(&quarantine->verdicts, &row->trait,
                              row->crashes[0].sent_at, weak, now) != NULL;
}

/* Confirms the verdicts whose trials have crashed their upstreams. Of others, an
   input tells that they ended. */
static void
judge_trials(RpQuarantine *quarantine, BkMs now)
{
    BkTrial trial;
    bool shows;

    while (BkTrials_Take(&quarantine->trials, &quarantine->tally, now, &trial,
                         &shows)) {
        if (shows && BkVerdicts_Confirm(&quarantine->verdicts, &trial.trait,
                                        quarantine->own_key, trial.sent_at,
                                        now) != NULL) {
            add_decision(quarantine, "verdict confirmed", &trial.trait, NULL,
                         false, now);
        }
    }
}

static void
decide(RpQuarantine *quarantine, BkMs now)
{
    BkTallyRow row;

    judge_trials(quarantine, now);
    while (BkTally_TakeConvicted(&quarantine->tally, now, &row)) {
        if (withhold_verdict(quarantine, &row.trait, now)) {
            add_decision(quarantine, "evidence", &row.trait, &row, false, now);
        }
        else if (convict(quarantine, &row, now)) {
            add_decision(quarantine, "evidence", &row.trait, &row, true, now);
            add_decision(quarantine, "verdict", &row.trait, NULL, true, now);
        }
    }
}

static bool
is_explained(RpQuarantine *quarantine, const BkSuspect *suspects, int count,
             BkMs now)
{
    for (int i = 0; i < count; i++) {
        if (BkVerdicts_Check(&quarantine->verdicts, &suspects[i].trait, now) !=
            BK_VERDICT_NONE) {
            return true;
        }
    }
    return false;
}

static void
count_crash(RpQuarantine *quarantine, const BkCrash *crash,
            const BkSuspect *suspects, int count, bool own, BkMs now)
{
    for (int i = 0; own && i < count; i++) {
        BkTrials_NoteCrash(&quarantine->trials, &quarantine->verdicts, crash,
                           &suspects[i], quarantine->own_key, now);
    }
    if (count == 0) {
        return;
    }
    bool explained = is_explained(quarantine, suspects, count, now);
    BkTally_NoteEnd(&quarantine->tally, suspects[0].trait.service, crash,
                    explained);
    if (explained ||
        BkShare_IsExempt(&quarantine->share, suspects[0].trait.service, now)) {
        return;
    }
    for (int i = 0; i < count; i++) {
        if (!BkShare_IsUniversal(&quarantine->share, &suspects[i].trait,
                                 now)) {
            BkTally_NoteCrash(&quarantine->tally, crash, &suspects[i], own,
                              now);
        }
    }
}

/* What an input's members say. */
typedef struct Input {
    BkMs now;
    BkSuspect suspects[MAX_SUSPECTS]; /* or only their traits */
    int count;
    const json_t *line;
} Input;

static int64_t
member(const Input *input, const char *name)
{
    return json_integer_value(json_object_get(input->line, name));
}

static bool
flag(const Input *input, const char *name)
{
    return json_is_true(json_object_get(input->line, name));
}

static BkMs
ago(const Input *input, const char *name)
{
    return input->now - (BkMs)member(input, name);
}

static void
apply_begin(RpQuarantine *quarantine, const Input *input)
{
    /* the log goes on with that of the next process of the same name */
    bool on_time = quarantine->on_time;
    RpQuarantine_Destroy(quarantine);
    RpQuarantine_Init(quarantine, on_time);
    quarantine->begun = true;
    quarantine->own_key = (uint32_t)member(input, "daemon");
    quarantine->verdicts.short_term = (BkMs)member(input, "probation_ms");
    quarantine->verdicts.first_term = (BkMs)member(input, "term_ms");
}

static void
apply_request(RpQuarantine *quarantine, const Input *input)
{
    BkTrait traits[MAX_SUSPECTS];

    for (int i = 0; i < input->count; i++) {
        traits[i] = input->suspects[i].trait;
    }
    BkShare_NoteRequest(&quarantine->share, traits, input->count, input->now);
}

/* A request of this daemon has shown that its upstream does not crash of it. */
static void
apply_answer(RpQuarantine *quarantine, const Input *input)
{
    BkMs sent_at = ago(input, "sent_ms");

    for (int i = 0; i < input->count; i++) {
        const BkTrait *trait = &input->suspects[i].trait;
        const BkVerdict *verdict =
            BkVerdicts_Find(&quarantine->verdicts, trait);
        if (verdict != NULL && !verdict->lifted &&
            sent_at > verdict->evidence_since) {
            lift(quarantine, trait, "verdict lifted", input->now);
        }
    }
}

/* A request of this daemon has run well. */
static void
apply_run(RpQuarantine *quarantine, const Input *input)
{
    for (int i = 0; i < input->count; i++) {
        BkWell_Note(&quarantine->well, &input->suspects[i].trait,
                    ago(input, "sent_ms"));
    }
    apply_answer(quarantine, input);
}

/* A run that went well is told to all daemons, by this one or another one. */
static void
apply_told_run(RpQuarantine *quarantine, const Input *input)
{
    BkMs sent_at = ago(input, "sent_ms");

    for (int i = 0; i < input->count; i++) {
        BkWell_Note(&quarantine->well, &input->suspects[i].trait, sent_at);
        BkTally_NoteWell(&quarantine->tally, &input->suspects[i].trait,
                         sent_at);
    }
}

/* "#1b8829a1" */
static uint32_t
upstream_key(const Input *input)
{
    const char *key = json_string_value(json_object_get(input->line, "key"));

    return key == NULL ? 0 : (uint32_t)strtoul(key + 1, NULL, HEX);
}

static void
apply_crash(RpQuarantine *quarantine, const Input *input)
{
    BkCrash crash = {upstream_key(input), (uint64_t)member(input, "born"),
                     ago(input, "age_ms"), ago(input, "alive_ms")};

    count_crash(quarantine, &crash, input->suspects, input->count,
                flag(input, "own"), input->now);
}

/* Another daemon came to the same verdict, and told it before this one got to
   its own. */
static void
remove_anticipated(RpQuarantine *quarantine, const BkTrait *trait)
{
    for (int i = quarantine->decision_count - 1; i >= 0; i--) {
        const RpDecision *decision = &quarantine->decisions[i];
        if (BkTrait_Equal(&decision->trait, trait) && decision->convicts) {
            remove_decision(quarantine, i);
        }
    }
}

static void
apply_verdict(RpQuarantine *quarantine, const Input *input)
{
    BkVerdict told = {.trait = input->suspects[0].trait,
                      .generation = (uint32_t)member(input, "generation"),
                      .lifted = flag(input, "lifted"),
                      .confirmations = (int)member(input, "confirmations"),
                      .since = ago(input, "since_ms"),
                      .evidence_since = ago(input, "evidence_ms"),
                      .claimant = (uint32_t)member(input, "claimant")};

    if (!told.lifted) {
        remove_anticipated(quarantine, &told.trait);
    }
    if (BkVerdicts_Merge(&quarantine->verdicts, &told, input->now) &&
        !told.lifted) {
        withhold_verdict(quarantine, &told.trait, input->now);
    }
}

static void
apply_claim(RpQuarantine *quarantine, const Input *input)
{
    BkVerdicts_Claim(&quarantine->verdicts, &input->suspects[0].trait,
                     (uint32_t)member(input, "claimant"), input->now);
}

static void
end_trial(RpQuarantine *quarantine, const Input *input)
{
    const BkTrait *trait = &input->suspects[0].trait;
    BkVerdict *verdict = BkVerdicts_Find(&quarantine->verdicts, trait);

    if (verdict != NULL &&
        BkVerdicts_EndTrial(&quarantine->verdicts, trait,
                            (uint32_t)member(input, "claimant"),
                            verdict->claimed_at, 0, input->now) != NULL) {
        verdict->since = ago(input, "since_ms");
    }
}

static void
apply_operator(RpQuarantine *quarantine, const Input *input)
{
    BkVerdicts_Lift(&quarantine->verdicts, &input->suspects[0].trait,
                    input->now);
}

static bool
withhold_universals(RpQuarantine *quarantine, uint32_t service, BkMs now)
{
    const BkVerdicts *verdicts = &quarantine->verdicts;
    bool found = false;

    for (int i = 0; i < verdicts->count; i++) {
        BkTrait trait = verdicts->rows[i].trait;
        if (trait.service == service &&
            BkVerdict_IsOnProbation(&verdicts->rows[i]) &&
            withhold_universal(quarantine, &trait, now)) {
            found = true;
        }
    }
    return found;
}

static void
apply_share_check(RpQuarantine *quarantine, const Input *input)
{
    const BkVerdicts *verdicts = &quarantine->verdicts;

    for (int i = 0; i < verdicts->count; i++) {
        BkTrait trait = verdicts->rows[i].trait;
        if (BkShare_IsFirstOfMany(verdicts, i) &&
            (withhold_universals(quarantine, trait.service, input->now) ||
             withhold_verdict(quarantine, &trait, input->now))) {
            return;
        }
    }
}

/* Notes what was counted in another way than the daemon did. */
static void
check_counts(RpQuarantine *quarantine, const Input *input)
{
    const json_t *recorded = json_object_get(input->line, "crashes_counted");
    int count = BkTally_CountCrashes(&quarantine->tally);

    if (recorded != NULL && quarantine->begun && !quarantine->on_time &&
        (json_integer_value(recorded) != count ||
         member(input, "traits_counted") != quarantine->tally.count)) {
        quarantine->recorded_crashes = (int)json_integer_value(recorded);
        quarantine->counts_differ = true;
    }
}

static void
apply_due(RpQuarantine *quarantine, const Input *input)
{
    check_counts(quarantine, input);
    decide(quarantine, input->now);
}

static const struct {
    const char *event;
    void (*apply)(RpQuarantine *quarantine, const Input *input);
    const char *list; /* the member with traits; NULL: it has none */
} kinds[] = {{"quarantine begins", apply_begin, NULL},
             {"request noted", apply_request, "traits"},
             {"ran well", apply_run, "traits"},
             {"trial answered", apply_answer, "traits"},
             {"run told", apply_told_run, "traits"},
             {"crash heard", apply_crash, "suspects"},
             {"verdict told", apply_verdict, "traits"},
             {"claimed", apply_claim, "traits"},
             {"trial ended", end_trial, "traits"},
             {"operator lifts", apply_operator, "traits"},
             {"shares checked", apply_share_check, NULL},
             {"decision due", apply_due, NULL}};

/* The index of the line's kind; -1: it is no input. */
static int
find_kind(const json_t *line)
{
    const char *slice = json_string_value(json_object_get(line, "slice"));
    const char *event = json_string_value(json_object_get(line, "event"));

    if (slice == NULL || event == NULL || strcmp(slice, "quarantine") != 0) {
        return -1;
    }
    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        if (strcmp(event, kinds[i].event) == 0) {
            return (int)i;
        }
    }
    return -1;
}

bool
RpQuarantine_IsInput(const json_t *line)
{
    return find_kind(line) >= 0;
}

bool
RpQuarantine_IsOverdue(const RpQuarantine *quarantine, const json_t *line)
{
    BkMs now = (BkMs)json_integer_value(json_object_get(line, "now"));

    if (quarantine->decision_count == 0) {
        return false;
    }
    return !quarantine->on_time ||
           now - quarantine->decisions[0].at > LATE_DECISION;
}

bool
RpQuarantine_IsBegin(const json_t *line)
{
    int kind = find_kind(line);

    return kind >= 0 && kinds[kind].apply == apply_begin;
}

static bool
parse_kind(const char *name, size_t len, BkTraitKind *out)
{
    for (int kind = 0; kind < BK_TRAIT_KINDS; kind++) {
        const char *known = BkTrait_KindName((BkTraitKind)kind);
        if (strlen(known) == len && memcmp(known, name, len) == 0) {
            *out = (BkTraitKind)kind;
            return true;
        }
    }
    return false;
}

/* "part:5c1e07a2", or "part:5c1e07a2:1:120:91bd3f06": kind, id, depth, ms
   since the request was sent, and the request */
static bool
parse_suspect(const char *word, uint32_t service, BkMs now, BkSuspect *out)
{
    const char *colon = strchr(word, ':');
    unsigned long long id = 0;
    unsigned long long request = 0;
    long long age = 0;

    *out = (BkSuspect){.trait = {.service = service}};
    if (colon == NULL ||
        !parse_kind(word, (size_t)(colon - word), &out->trait.kind)) {
        return false;
    }
    int parsed =
        sscanf(colon, ":%llx:%d:%lld:%llx", &id, &out->depth, &age, &request);
    out->trait.id = id;
    out->request = request;
    out->sent_at = now - (BkMs)age;
    return parsed == 1 || parsed == 4;
}

/* The member's words, and those of the member "more". */
static bool
parse_list(Input *input, const char *name, uint32_t service)
{
    const char *text = json_string_value(json_object_get(input->line, name));
    char word[RP_DECISION_BYTES];

    while (text != NULL && *text != '\0') {
        size_t len = strcspn(text, ",");
        if (len >= sizeof(word) || input->count == MAX_SUSPECTS) {
            return false;
        }
        memcpy(word, text, len);
        word[len] = '\0';
        if (!parse_suspect(word, service, input->now,
                           &input->suspects[input->count++])) {
            return false;
        }
        text += len + (text[len] == ',' ? 1 : 0);
    }
    return true;
}

static bool
parse_input(const json_t *line, const char *list, Input *out)
{
    const json_t *now = json_object_get(line, "now");
    const char *service = json_string_value(json_object_get(line, "service"));

    *out = (Input){.now = (BkMs)json_integer_value(now), .line = line};
    if (!json_is_integer(now) || list == NULL) {
        return json_is_integer(now);
    }
    if (service == NULL) {
        return false;
    }
    uint32_t key = (uint32_t)strtoul(service, NULL, HEX);
    /* another daemon may have known no suspects that this one understands */
    return parse_list(out, list, key) && parse_list(out, "more", key) &&
           (out->count > 0 || strcmp(list, "traits") != 0);
}

/* 0: none is pending */
static BkMs
next_decision(const RpQuarantine *quarantine)
{
    BkMs next = BkTally_NextDecision(&quarantine->tally);
    BkMs of_trial = BkTrials_NextDecision(&quarantine->trials);

    return next == 0 || (of_trial != 0 && of_trial < next) ? of_trial : next;
}

int
RpQuarantine_Apply(RpQuarantine *quarantine, const json_t *line)
{
    int kind = find_kind(line);
    Input input;
    BkVerdict expired;

    if (kind < 0) {
        return 0;
    }
    if (!parse_input(line, kinds[kind].list, &input)) {
        return -1;
    }
    BkMs due = next_decision(quarantine);
    BkMs lateness = quarantine->on_time ? 0 : LATE_DECISION;
    if (due != 0 && input.now - due > lateness) {
        decide(quarantine, due);
    }
    BkTally_Expire(&quarantine->tally, input.now);
    while (
        BkVerdicts_TakeExpired(&quarantine->verdicts, input.now, &expired)) {
    }
    kinds[kind].apply(quarantine, &input);
    return 1;
}

bool
RpQuarantine_ReadDecision(const json_t *line, char *text)
{
    static const char *const events[] = {"evidence", "verdict",
                                         "verdict lifted", "verdict withdrawn",
                                         "verdict confirmed"};
    const char *slice = json_string_value(json_object_get(line, "slice"));
    const char *event = json_string_value(json_object_get(line, "event"));
    const char *source = json_string_value(json_object_get(line, "source"));
    const char *kind = json_string_value(json_object_get(line, "kind"));
    const char *trait = json_string_value(json_object_get(line, "trait"));

    if (slice == NULL || strcmp(slice, "quarantine") != 0 || event == NULL ||
        kind == NULL || trait == NULL ||
        (source != NULL && (strcmp(source, "another daemon") == 0 ||
                            strcmp(source, "the store") == 0))) {
        return false;
    }
    for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
        if (strcmp(event, events[i]) == 0) {
            snprintf(text, RP_DECISION_BYTES, "%s %s %s", event, kind, trait);
            return true;
        }
    }
    return false;
}
