/*
 * verdicts - compares the verdicts that a log holds with those that follow from
 * its inputs, see quarantine.h
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "quarantine.h"
#include "replay.h"

static void *
create_quarantine(const RpPlay *play)
{
    RpQuarantine *quarantine = BkMem_New(1, sizeof(*quarantine));

    RpQuarantine_Init(quarantine, play->options->on_time);
    return quarantine;
}

static void
destroy_quarantine(void *state)
{
    RpQuarantine_Destroy(state);
    free(state);
}

static void
print_difference(const RpPlay *play, const char *at, const char *recorded)
{
    const RpQuarantine *quarantine = play->state;
    BkBuf rows = BkBuf_Make(0);

    Rp_Print(play, "decision %lld differs, at %s",
             (long long)play->compared + 1, at == NULL ? "the end" : at);
    printf("  recorded: %s\n", recorded == NULL ? "none" : recorded);
    if (quarantine->decision_count == 0) {
        printf("  replayed: none\n");
    }
    else {
        const RpDecision *decision = &quarantine->decisions[0];
        printf("  replayed: %s\n", decision->text);
        if (decision->cause.len > 0) {
            printf("    for %s", BkBuf_C(&decision->cause));
        }
    }
    RpQuarantine_Print(quarantine, &rows);
    printf("  counted then, in ms of the daemon's clock:\n%s",
           rows.len > 0 ? BkBuf_C(&rows) : "    nothing\n");
    BkBuf_Destroy(&rows);
}

static void
list_decisions(RpPlay *play)
{
    RpQuarantine *quarantine = play->state;

    while (quarantine->decision_count > 0) {
        const RpDecision *decision = &quarantine->decisions[0];
        Rp_Print(play, "at %lld: %s", (long long)decision->at, decision->text);
        if (decision->cause.len > 0) {
            printf("    for %s", BkBuf_C(&decision->cause));
        }
        RpQuarantine_DropDecision(quarantine);
    }
}

static void
print_counts(const RpPlay *play, const char *at)
{
    const RpQuarantine *quarantine = play->state;
    BkBuf rows = BkBuf_Make(0);

    RpQuarantine_Print(quarantine, &rows);
    Rp_Print(play,
             "the daemon had counted %d crashes, at %s; counted now, without "
             "traits that were decided:",
             quarantine->recorded_crashes, at == NULL ? "?" : at);
    printf("%s", BkBuf_C(&rows));
    BkBuf_Destroy(&rows);
}

static RpOutcome
compare(RpPlay *play, const char *at, const char *recorded)
{
    RpQuarantine *quarantine = play->state;

    if (quarantine->decision_count == 0 ||
        strcmp(quarantine->decisions[0].text, recorded) != 0) {
        print_difference(play, at, recorded);
        return RP_DIFFERS;
    }
    RpQuarantine_DropDecision(quarantine);
    play->compared++;
    return RP_SAME;
}

static RpOutcome
play_verdict_line(RpPlay *play, const json_t *line)
{
    RpQuarantine *quarantine = play->state;
    const char *at = json_string_value(json_object_get(line, "at"));
    char recorded[RP_DECISION_BYTES];

    if (RpQuarantine_ReadDecision(line, recorded)) {
        return play->options->list ? RP_SAME : compare(play, at, recorded);
    }
    if (!RpQuarantine_IsInput(line)) {
        return RP_SAME;
    }
    if (RpQuarantine_IsOverdue(quarantine, line)) {
        print_difference(play, at, NULL);
        return RP_DIFFERS;
    }
    if (RpQuarantine_Apply(quarantine, line) < 0) {
        return Rp_Refuse(play);
    }
    if (play->inputs++ == 0 && !RpQuarantine_IsBegin(line)) {
        Rp_Print(play,
                 "the log's begin is missing; what was counted before is "
                 "not known");
    }
    if (play->options->list) {
        list_decisions(play);
    }
    else if (quarantine->counts_differ) {
        print_counts(play, at);
        return RP_DIFFERS;
    }
    return RP_SAME;
}

static RpOutcome
end_verdicts(RpPlay *play)
{
    const RpQuarantine *quarantine = play->state;

    if (quarantine->decision_count > 0) {
        print_difference(play, NULL, NULL);
        return RP_DIFFERS;
    }
    return RP_SAME;
}

const RpSlice rp_quarantine = {.name = "quarantine",
                               .create = create_quarantine,
                               .destroy = destroy_quarantine,
                               .play = play_verdict_line,
                               .end = end_verdicts};
