/*
 * bk-replay - plays decisions of a daemon again from its log
 *
 * usage: bk-replay [--only SLICE] [--rule SLICE.NAME=VALUE]... [--on-time]
 *                  [--list] LOG...
 *
 * Each log is that of one bk-front at level debug, as a failed proof leaves it
 * in its folder. For each slice, prints the first decision that the rules in
 * this program take otherwise than the daemon did, and what it was based on.
 *
 * --rule changes a rule of a slice: what is printed is then the first decision
 * that it would take otherwise. To learn what another change would do, make it
 * in the slice's pure part and build.
 *
 * A daemon that is late decides about a quarantine later than the rules say,
 * and counts what comes meanwhile. So do decisions that are played again; with
 * --on-time, they come when the rules say, as those of a changed rule do that
 * the daemon did not take. --list prints all decisions that are played again,
 * and compares none.
 *
 * Exit status: 0: all decisions are as recorded; 1: one differs; 2: a log can't
 * be read, or holds no inputs.
 */
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "replay.h"

enum {
    SLICES = 4
};

static const RpSlice *const slices[SLICES] = {&rp_admission, &rp_budget,
                                              &rp_plan, &rp_quarantine};

void
Rp_Print(const RpPlay *play, const char *fmt, ...)
{
    va_list args;

    printf("%s:%d: %s: ", play->path, play->line_number, play->slice->name);
    va_start(args, fmt);
    vprintf(fmt, args);
    va_end(args);
    printf("\n");
}

RpOutcome
Rp_Refuse(const RpPlay *play)
{
    Rp_Print(play, "members missing or not understood");
    return RP_UNREADABLE;
}

/* Whether the rule's name is "SLICE.NAME"; name NULL: of any rule of it. */
static bool
is_rule(const RpRule *rule, const char *slice, const char *name)
{
    size_t len = strlen(slice);

    if (rule->name_len <= len || strncmp(rule->name, slice, len) != 0 ||
        rule->name[len] != '.') {
        return false;
    }
    return name == NULL ||
           (rule->name_len == len + 1 + strlen(name) &&
            strncmp(rule->name + len + 1, name, strlen(name)) == 0);
}

double
Rp_GetRule(const RpPlay *play, const char *name, double recorded)
{
    const RpOptions *options = play->options;
    double value = recorded;

    for (int i = 0; i < options->rule_count; i++) {
        if (is_rule(&options->rules[i], play->slice->name, name)) {
            value = options->rules[i].value;
        }
    }
    return value;
}

bool
Rp_IsRuleChanged(const RpPlay *play)
{
    const RpOptions *options = play->options;

    for (int i = 0; i < options->rule_count; i++) {
        if (is_rule(&options->rules[i], play->slice->name, NULL)) {
            return true;
        }
    }
    return false;
}

bool
Rp_IsEvent(const json_t *line, const char *slice, const char *event)
{
    return strcmp(Rp_Text(line, "slice"), slice) == 0 &&
           strcmp(Rp_Text(line, "event"), event) == 0;
}

double
Rp_Real(const json_t *line, const char *name, bool *good)
{
    const json_t *value = json_object_get(line, name);

    *good = *good && json_is_number(value);
    return json_number_value(value);
}

int64_t
Rp_Integer(const json_t *line, const char *name, bool *good)
{
    const json_t *value = json_object_get(line, name);

    *good = *good && json_is_integer(value);
    return json_integer_value(value);
}

const char *
Rp_Text(const json_t *line, const char *name)
{
    const char *text = json_string_value(json_object_get(line, name));

    return text == NULL ? "?" : text;
}

/* All slices' plays of a log; those that are not asked for, and those that
   have ended, have no slice. */
typedef struct Plays {
    RpPlay plays[SLICES];
    const char *path;
    int line_number;
    bool has_inputs;
    RpOutcome worst;
} Plays;

static void
note_outcome(Plays *plays, RpPlay *play, RpOutcome outcome)
{
    plays->has_inputs = plays->has_inputs || play->inputs > 0;
    if (outcome == RP_SAME) {
        return;
    }
    /* it was printed that it is so */
    plays->has_inputs = true;
    plays->worst = outcome > plays->worst ? outcome : plays->worst;
    play->slice->destroy(play->state);
    play->slice = NULL;
}

static void
play_line(Plays *plays, const json_t *line)
{
    if (Rp_IsEvent(line, "log", "left out")) {
        printf(
            "%s:%d: the daemon left out lines here; inputs may be missing\n",
            plays->path, plays->line_number);
    }
    for (int i = 0; i < SLICES; i++) {
        RpPlay *play = &plays->plays[i];
        play->line_number = plays->line_number;
        if (play->slice != NULL) {
            note_outcome(plays, play, play->slice->play(play, line));
        }
    }
}

static void
play_lines(Plays *plays, FILE *file)
{
    char *text = NULL;
    size_t size = 0;

    while (getline(&text, &size, file) >= 0) {
        plays->line_number++;
        json_t *line = json_loads(text, 0, NULL);
        if (line != NULL) {
            play_line(plays, line);
            json_decref(line);
        }
        else if (text[0] == '{') { /* lines of other programs are not JSON */
            printf("%s:%d: cut off or not understood, and left out\n",
                   plays->path, plays->line_number);
        }
    }
    free(text);
}

static void
end_play(Plays *plays, RpPlay *play)
{
    if (play->slice->end != NULL) {
        note_outcome(plays, play, play->slice->end(play));
    }
    if (play->slice == NULL) {
        return;
    }
    if (play->inputs > 0 && !play->options->list) {
        printf("%s: %s: %lld inputs, %lld decisions, all as recorded\n",
               play->path, play->slice->name, (long long)play->inputs,
               (long long)play->compared);
    }
    play->slice->destroy(play->state);
}

static RpOutcome
play_log(const char *path, const RpOptions *options)
{
    Plays plays = {.path = path};
    FILE *file = fopen(path, "r");

    if (file == NULL) {
        printf("%s: %s\n", path, strerror(errno));
        return RP_UNREADABLE;
    }
    for (int i = 0; i < SLICES; i++) {
        RpPlay *play = &plays.plays[i];
        if (options->only == NULL ||
            strcmp(options->only, slices[i]->name) == 0) {
            *play =
                (RpPlay){.slice = slices[i], .options = options, .path = path};
            play->state = play->slice->create(play);
        }
    }
    play_lines(&plays, file);
    fclose(file);
    for (int i = 0; i < SLICES; i++) {
        if (plays.plays[i].slice != NULL) {
            end_play(&plays, &plays.plays[i]);
        }
    }
    if (!plays.has_inputs) {
        printf("%s: no inputs; was it logged at level debug?\n", path);
        return RP_UNREADABLE;
    }
    return plays.worst;
}

static bool
has_rule(const RpRule *rule)
{
    for (int i = 0; i < SLICES; i++) {
        const char *const *name = slices[i]->rules;
        for (; name != NULL && *name != NULL; name++) {
            if (is_rule(rule, slices[i]->name, *name)) {
                return true;
            }
        }
    }
    return false;
}

static bool
parse_rule(const char *text, RpOptions *options)
{
    const char *equals = strchr(text, '=');
    char *end = NULL;

    if (equals == NULL || options->rule_count == RP_MAX_RULES) {
        return false;
    }
    RpRule *rule = &options->rules[options->rule_count];
    *rule = (RpRule){text, (size_t)(equals - text), strtod(equals + 1, &end)};
    if (end == equals + 1 || *end != '\0' || !has_rule(rule)) {
        return false;
    }
    options->rule_count++;
    return true;
}

static bool
is_slice(const char *name)
{
    for (int i = 0; i < SLICES; i++) {
        if (strcmp(slices[i]->name, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns how many arguments the option at i takes; 0: it is wrong. */
static int
parse_option(int argc, char **argv, int i, RpOptions *options)
{
    const char *value = i + 1 < argc ? argv[i + 1] : NULL;

    if (strcmp(argv[i], "--on-time") == 0) {
        options->on_time = true;
        return 1;
    }
    if (strcmp(argv[i], "--list") == 0) {
        options->list = true;
        return 1;
    }
    if (strcmp(argv[i], "--only") == 0 && value != NULL && is_slice(value)) {
        options->only = value;
        return 2;
    }
    if (strcmp(argv[i], "--rule") == 0 && value != NULL &&
        parse_rule(value, options)) {
        return 2;
    }
    return 0;
}

static RpOutcome
print_usage(void)
{
    fprintf(stderr, "usage: bk-replay [--only SLICE] "
                    "[--rule SLICE.NAME=VALUE]... [--on-time] [--list] "
                    "LOG...\n");
    for (int i = 0; i < SLICES; i++) {
        const char *const *name = slices[i]->rules;
        fprintf(stderr, "  %s", slices[i]->name);
        for (; name != NULL && *name != NULL; name++) {
            fprintf(stderr, "%s %s", name == slices[i]->rules ? ":" : "",
                    *name);
        }
        fprintf(stderr, "\n");
    }
    return RP_UNREADABLE;
}

int
main(int argc, char **argv)
{
    RpOutcome worst = RP_SAME;
    RpOptions options = {0};
    int first = 1;

    while (first < argc && argv[first][0] == '-') {
        int taken = parse_option(argc, argv, first, &options);
        if (taken == 0) {
            return (int)print_usage();
        }
        first += taken;
    }
    if (first >= argc) {
        return (int)print_usage();
    }
    for (int i = first; i < argc; i++) {
        RpOutcome outcome = play_log(argv[i], &options);
        worst = outcome > worst ? outcome : worst;
    }
    return (int)worst;
}
