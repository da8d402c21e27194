/*
 * budget - a daemon's decisions about retries, played again from its inputs
 *
 * The inputs are those of src/front/budget_inputs.c. Each is passed to
 * bk/budget in the same way as by src/front/front.c.
 */
#include "bk/budget/budget.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/str.h"
#include "replay.h"

enum {
    MAX_ROWS = 64,          /* as many as bk-front has */
    MAX_REQUESTS = 1000000, /* in a line; a slice has fewer */
    MAX_REFUSED = 1024      /* retries of the daemon without a token here */
};

/* by which sums of the same numbers may differ */
static const double tolerance = 1e-6;

typedef struct Budgets {
    bool begun;
    bool counts_differ; /* at a decision, another sum than the daemon's */
    BkBudgetConf conf;
    BkBudget rows[MAX_ROWS];
    /* requests whose retries were granted by the daemon and refused here: the
       ends of their attempts return no token */
    char *refused[MAX_REFUSED];
    int refused_count;
} Budgets;

/* A line about one row. */
typedef struct Input {
    BkMs now;
    BkBudget *row;
} Input;

static void *
create_budgets(const RpPlay *play)
{
    (void)play;
    return BkMem_New(1, sizeof(Budgets));
}

static void
clear(Budgets *budgets)
{
    for (int i = 0; i < budgets->refused_count; i++) {
        free(budgets->refused[i]);
    }
    *budgets = (Budgets){.counts_differ = budgets->counts_differ};
}

static void
destroy_budgets(void *state)
{
    clear(state);
    free(state);
}

static bool
parse_input(Budgets *budgets, const json_t *line, Input *out)
{
    bool good = true;
    int64_t row = Rp_Integer(line, "row", &good);

    *out = (Input){.now = Rp_Integer(line, "now", &good)};
    if (!good || row < 0 || row >= MAX_ROWS) {
        return false;
    }
    out->row = &budgets->rows[row];
    return true;
}

/* The daemon begins, or the next process of the same name. */
static RpOutcome
apply_begin(RpPlay *play, const json_t *line)
{
    Budgets *budgets = play->state;
    bool good = true;
    BkBudgetConf conf = {.ratio = Rp_Real(line, "ratio", &good),
                         .slack = Rp_Real(line, "slack", &good),
                         .window = Rp_Integer(line, "window_ms", &good),
                         .started_at = Rp_Integer(line, "now", &good),
                         .usable_share = Rp_Real(line, "usable_share", &good)};

    conf.ratio = Rp_GetRule(play, "ratio", conf.ratio);
    conf.slack = Rp_GetRule(play, "slack", conf.slack);
    conf.window = (BkMs)Rp_GetRule(play, "window_ms", (double)conf.window);
    conf.usable_share = Rp_GetRule(play, "usable_share", conf.usable_share);
    if (!good || conf.window <= 0) {
        return Rp_Refuse(play);
    }
    clear(budgets);
    budgets->conf = conf;
    budgets->begun = true;
    return RP_SAME;
}

static RpOutcome
apply_requests(RpPlay *play, const json_t *line)
{
    Budgets *budgets = play->state;
    bool good = true;
    int64_t count = Rp_Integer(line, "requests", &good);
    Input input;

    if (!parse_input(budgets, line, &input) || !good || count < 0 ||
        count > MAX_REQUESTS) {
        return Rp_Refuse(play);
    }
    for (int64_t i = 0; i < count; i++) {
        BkBudget_CountRequest(input.row, &budgets->conf, input.now);
    }
    return RP_SAME;
}

/* Whether the request's token was not granted here; it is no longer known
   then. */
static bool
forget_refused(Budgets *budgets, const char *request)
{
    for (int i = 0; i < budgets->refused_count; i++) {
        if (strcmp(budgets->refused[i], request) == 0) {
            free(budgets->refused[i]);
            budgets->refused[i] = budgets->refused[--budgets->refused_count];
            return true;
        }
    }
    return false;
}

static RpOutcome
apply_end(RpPlay *play, const json_t *line)
{
    Budgets *budgets = play->state;
    bool good = true;
    BkMs age = Rp_Integer(line, "taken_ms", &good);
    Input input;

    if (!parse_input(budgets, line, &input) || !good) {
        return Rp_Refuse(play);
    }
    if (!forget_refused(budgets, Rp_Text(line, "req"))) {
        BkBudget_EndRetry(input.row, &budgets->conf, input.now - age,
                          input.now);
    }
    return RP_SAME;
}

/* The rest of the log tells how the daemon went on, and not what would have
   become of a retry that it decided otherwise about. */
static void
note_other_decision(Budgets *budgets, const Input *input, const char *request,
                    bool granted)
{
    if (granted) { /* it is not known when it would have ended: at once */
        BkBudget_EndRetry(input->row, &budgets->conf, input->now, input->now);
    }
    else if (budgets->refused_count < MAX_REFUSED) {
        size_t size = strlen(request) + 1;
        char *copy = BkMem_New(1, size);
        memcpy(copy, request, size);
        budgets->refused[budgets->refused_count++] = copy;
    }
}

static const char *
name_decision(bool granted)
{
    return granted ? "granted" : "refused";
}

static bool
is_near(double a, double b)
{
    return fabs(a - b) <= tolerance;
}

/* What the daemon counted is compared only if the rules are the same. */
static void
check_counts(RpPlay *play, const json_t *line, const BkBudgetState *state,
             const BkBudgetState *recorded)
{
    Budgets *budgets = play->state;

    if (budgets->counts_differ || Rp_IsRuleChanged(play) ||
        (is_near(state->earned, recorded->earned) &&
         is_near(state->bucket, recorded->bucket) &&
         state->late == recorded->late)) {
        return;
    }
    budgets->counts_differ = true;
    Rp_Print(play,
             "at %s, the daemon had counted earned %.3f, bucket %.3f, late "
             "%d; counted now: earned %.3f, bucket %.3f, late %d",
             Rp_Text(line, "at"), recorded->earned, recorded->bucket,
             recorded->late, state->earned, state->bucket, state->late);
}

static RpOutcome
apply_retry(RpPlay *play, const json_t *line)
{
    Budgets *budgets = play->state;
    bool good = json_is_boolean(json_object_get(line, "granted"));
    bool recorded = json_is_true(json_object_get(line, "granted"));
    int daemons = (int)Rp_Integer(line, "daemons", &good);
    BkBudgetState counted = {.earned = Rp_Real(line, "earned", &good),
                             .bucket = Rp_Real(line, "bucket", &good),
                             .late = (int)Rp_Integer(line, "late", &good)};
    const char *request = Rp_Text(line, "req");
    Input input;

    if (!parse_input(budgets, line, &input) || !good) {
        return Rp_Refuse(play);
    }
    BkBudgetState state =
        BkBudget_Inspect(input.row, &budgets->conf, daemons, input.now);
    bool granted =
        BkBudget_TakeRetry(input.row, &budgets->conf, daemons, input.now);
    check_counts(play, line, &state, &counted);
    if (granted != recorded) {
        note_other_decision(budgets, &input, request, granted);
    }
    if (play->options->list) {
        Rp_Print(play, "at %lld: retry of %s %s, recorded %s",
                 (long long)input.now, request, name_decision(granted),
                 name_decision(recorded));
        return RP_SAME;
    }
    if (granted != recorded) {
        Rp_Print(play, "decision %lld differs, at %s",
                 (long long)play->compared + 1, Rp_Text(line, "at"));
        printf("  recorded: retry of %s for %s %s\n", request,
               Rp_Text(line, "service"), name_decision(recorded));
        printf("  replayed: %s\n", name_decision(granted));
        printf("  counted then: earned %.3f, bucket %.3f, late %d, of %d "
               "daemons\n",
               state.earned, state.bucket, state.late, daemons);
        return RP_DIFFERS;
    }
    play->compared++;
    return RP_SAME;
}

static const struct {
    const char *event;
    RpOutcome (*apply)(RpPlay *play, const json_t *line);
} kinds[] = {{"budget begins", apply_begin},
             {"requests counted", apply_requests},
             {"retry ended", apply_end},
             {"retry", apply_retry}};

static RpOutcome
play_budget_line(RpPlay *play, const json_t *line)
{
    const Budgets *budgets = play->state;

    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        if (!Rp_IsEvent(line, "budget", kinds[i].event)) {
            continue;
        }
        if (kinds[i].apply == apply_retry) {
            /* without inputs, it was not logged at level debug */
            return budgets->begun ? apply_retry(play, line) : RP_SAME;
        }
        play->inputs++;
        if (kinds[i].apply != apply_begin && !budgets->begun) {
            Rp_Print(play, "the log's begin is missing; what was counted "
                           "before and the rules are not known");
            return RP_UNREADABLE;
        }
        return kinds[i].apply(play, line);
    }
    return RP_SAME;
}

static RpOutcome
end_budgets(RpPlay *play)
{
    const Budgets *budgets = play->state;

    return budgets->counts_differ ? RP_DIFFERS : RP_SAME;
}

static const char *const rules[] = {"ratio", "slack", "window_ms",
                                    "usable_share", NULL};

const RpSlice rp_budget = {.name = "budget",
                           .rules = rules,
                           .create = create_budgets,
                           .destroy = destroy_budgets,
                           .play = play_budget_line,
                           .end = end_budgets};
