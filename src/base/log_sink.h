/*
 * log_sink - where lines of the log go
 */
#ifndef BK_BASE_LOG_SINK_H
#define BK_BASE_LOG_SINK_H

#include <stdbool.h>

#include "bk/base/log.h"

/* Whether a line of this severity is within the limit; counts it. */
bool BkLogSink_Admits(BkLogLevel level);

/* text is without its line end. */
void BkLogSink_Write(BkLogLevel level, const char *text);

#endif
