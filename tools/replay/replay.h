/*
 * replay - what bk-replay's slices have in common
 *
 * A slice plays the decisions of one kind that a log holds. It is given all
 * lines, applies those that are its inputs, and compares the decisions that
 * follow with those that the daemon logged.
 */
#ifndef BK_REPLAY_REPLAY_H
#define BK_REPLAY_REPLAY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    RP_MAX_RULES = 16 /* --rule options */
};

typedef enum RpOutcome {
    RP_SAME,
    RP_DIFFERS,
    RP_UNREADABLE
} RpOutcome;

/* --rule SLICE.NAME=VALUE */
typedef struct RpRule {
    const char *name; /* "budget.ratio" */
    size_t name_len;
    double value;
} RpRule;

typedef struct RpOptions {
    bool on_time;
    bool list;
    const char *only; /* the name of the slice to play; NULL: all */
    RpRule rules[RP_MAX_RULES];
    int rule_count;
} RpOptions;

typedef struct RpSlice RpSlice;

/* One slice's play of one log. */
typedef struct RpPlay {
    const RpSlice *slice;
    const RpOptions *options;
    const char *path;
    int line_number;
    int64_t inputs;
    int64_t compared; /* decisions */
    void *state;      /* the slice's own */
} RpPlay;

struct RpSlice {
    const char *name;
    const char *const *rules; /* that --rule can change, up to a NULL */
    void *(*create)(const RpPlay *play);
    void (*destroy)(void *state);
    /* Plays a line of the log, of this slice or of another one. What is not
     * RP_SAME ends the play, and was printed. */
    RpOutcome (*play)(RpPlay *play, const json_t *line);
    /* The log has ended; NULL: nothing is left to do. */
    RpOutcome (*end)(RpPlay *play);
};

extern const RpSlice rp_admission;
extern const RpSlice rp_budget;
extern const RpSlice rp_plan;
extern const RpSlice rp_quarantine;

/* Prints "PATH:LINE: SLICE: " and the text. */
void Rp_Print(const RpPlay *play, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Prints that a line lacks members, or has some that can't be played. */
RpOutcome Rp_Refuse(const RpPlay *play);

/* The value that --rule gives the slice's rule of this name, or else the
 * recorded one. */
double Rp_GetRule(const RpPlay *play, const char *name, double recorded);

/* Whether --rule changes a rule of the slice. */
bool Rp_IsRuleChanged(const RpPlay *play);

/* Whether the line is of this slice of the log and this event. */
bool Rp_IsEvent(const json_t *line, const char *slice, const char *event);

/* Read a member that must be a number, or an integer. If it is none, clear
 * *good. */
double Rp_Real(const json_t *line, const char *name, bool *good);
int64_t Rp_Integer(const json_t *line, const char *name, bool *good);

/* A member to be printed; "?" if it is no text. */
const char *Rp_Text(const json_t *line, const char *name);

#endif
