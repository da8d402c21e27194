/*
 * log - JSON lines on standard error or standard output, with the severities
 * of syslog
 *
 *   BK_LOG(BK_LOG_INFO, "relay", request_id, "upstream %s closed", name);
 *
 * writes {"at":...,"sev":"info","prog":...,"slice":"relay","req":...,
 * "msg":...}. The slice is the part of the program that logs. A NULL or empty
 * request id is omitted. A line below the threshold costs one comparison.
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

/* Sets the name that "prog" has in each line (program: the daemon's name from
 * its settings), and the threshold: lines less severe than level are not
 * written. */
void BkLog_Init(const char *program, BkLogLevel level);

/* The level of the severity "err", "warning", ...; -1 if there is none of that
 * name. */
int BkLog_ParseLevel(const char *name);

void BkLog_Write(BkLogLevel level, const char *slice, const char *request_id,
                 const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/*
 * Writes a line about one event or decision, which event names. fmt and the
 * arguments after it are the members of the line, as in an object of
 * jansson's json_pack: "s:s, s:I", ..., of the types s (NULL: null), i, I, b,
 * f and O. A member is always written: bytes of a text that are not UTF-8 are
 * replaced (utf8.h), and texts of more than 1 KB, or 512 bytes of a request's
 * id, are cut.
 */
void BkLog_Event(BkLogLevel level, const char *slice, const char *request_id,
                 const char *event, const char *fmt, ...);

/*
 * From now on, lines are buffered for standard output, and BkLog_Flush writes
 * as many as it can without blocking. Lines that do not fit into the buffer
 * even after that are dropped, and so are lines of BkLog_Event of severity info and below that
 * exceed per_second. Dropped lines are counted, and a line of the log reports
 * how many they were.
 */
void BkLog_UseStdout(int per_second);

/* Writes buffered lines; to be called often, and before the process ends. */
void BkLog_Flush(void);

#define BK_LOG(level, slice, request_id, ...)                                 \
    do {                                                                      \
        if ((level) <= bk_log_threshold) {                                    \
            BkLog_Write((level), (slice), (request_id), __VA_ARGS__);         \
        }                                                                     \
    } while (0)

#endif
