/*
 * log - JSON lines on standard error, severities of syslog
 *
 *   BK_LOG(BK_LOG_INFO, "relay", request_id, "upstream %s cut", name);
 *
 * gives {"at":...,"sev":"info","prog":...,"slice":"relay","req":...,
 * "msg":...}. A NULL or empty request id is left out. Lines below the
 * threshold cost one comparison.
 */
#ifndef BK_BASE_LOG_H
#define BK_BASE_LOG_H

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

#define BK_LOG(level, slice, request, ...)                                    \
    do {                                                                      \
        if ((level) <= bk_log_threshold) {                                    \
            BkLog_Write((level), (slice), (request), __VA_ARGS__);            \
        }                                                                     \
    } while (0)

#endif
