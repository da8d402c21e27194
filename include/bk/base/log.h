/*
 * log - JSON lines on standard error or output, severities of syslog
 *
 *   BK_LOG(BK_LOG_INFO, "relay", request_id, "upstream %s cut", name);
 *
 * gives {"at":...,"sev":"info","prog":...,"slice":"relay","req":...,
 * "msg":...}. A NULL or empty request id is left out. Lines below the
 * threshold cost one comparison.
 */
#ifndef BK_BASE_LOG_H
#define BK_BASE_LOG_H

#include <jansson.h>

typedef enum BkLogLevel {
    BK_LOG_EMERG,
    BK_LOG_ALERT,
    BK_LOG_CRIT,
    BK_LOG_ERR,
    BK_LOG_WARNING,
    BK_LOG_NOTICE,
    BK_LOG_INFO,
    BK_LOG_DEBUG
} BkLogLevel;

extern BkLogLevel bk_log_threshold;

/* Names the program (and daemon) in each line; lines above level drop. */
void BkLog_Init(const char *program, BkLogLevel level);

/* "err", "warning", ... to a level; -1 if there is no such severity. */
int BkLog_ParseLevel(const char *name);

void BkLog_Write(BkLogLevel level, const char *slice, const char *request,
                 const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/*
 * A line about one decision: event names it, and fmt with what follows are
 * members as in an object of jansson's json_pack ("s:s, s:I", ...).
 */
void BkLog_Event(BkLogLevel level, const char *slice, const char *request,
                 const char *event, const char *fmt, ...);

/*
 * From now on lines go to standard output, are collected, and are written by
 * BkLog_Flush only as far as that does not block. Lines of severity info and
 * below beyond per_second are left out. Both losses are counted, and told by
 * a line of their own.
 */
void BkLog_ToOutput(int per_second);

/* Writes what was collected; call it often and before the process ends. */
void BkLog_Flush(void);

#define BK_LOG(level, slice, request, ...)                                    \
    do {                                                                      \
        if ((level) <= bk_log_threshold) {                                    \
            BkLog_Write((level), (slice), (request), __VA_ARGS__);            \
        }                                                                     \
    } while (0)

#endif
