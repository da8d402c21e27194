/*
 * log_sink - writes log lines to standard error, or buffers them for standard
 * output
 */
#ifndef BK_BASE_LOG_SINK_H
#define BK_BASE_LOG_SINK_H

#include <stdbool.h>

#include "bk/base/log.h"

/* Whether the rate limit admits a line of this severity now. An admitted line
 * uses up a part of the limit; any other is counted as dropped. */
bool BkLogSink_Admits(BkLogLevel level);

/* Writes or buffers one line; text has no line end. */
void BkLogSink_Write(BkLogLevel level, const char *text);

#endif
