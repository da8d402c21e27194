#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/memory/memory.h"
#include "script.h"

enum {
    MB = 1000000,
    MAX_HOLDERS = 16
};

/* "20@1500": 20 MB, idle since 1500 ms */
static BkMemoryHolder
read_holder(const char *word)
{
    return (BkMemoryHolder){.bytes = (int64_t)atoll(word) * MB,
                            .idle_since = atoll(strchr(word, '@') + 1)};
}

/* level of USED in LIMIT | end of USED in LIMIT at MS HOLDER... */
static void
run_memory(char **words, int count, BkBuf *out, void *arg)
{
    int64_t used = (int64_t)atoll(words[2]) * MB;
    int64_t limit = (int64_t)atoll(words[4]) * MB;
    BkMemoryHolder holders[MAX_HOLDERS];
    BkMemoryLevel level = BkMemory_GetLevel(limit, used);

    if (strcmp(words[0], "level") == 0) {
        BkBuf_Printf(out, "  %s, %zu bytes unsent\n",
                     BkMemory_LevelName(level), BkMemory_GetMaxUnsent(level));
        return;
    }
    for (int i = 7; i < count; i++) {
        holders[i - 7] = read_holder(words[i]);
    }
    int ended =
        BkMemory_ChooseToEnd(limit, used, holders, count - 7, atoll(words[6]));
    for (int i = 0; i < ended; i++) {
        BkBuf_Printf(out, "  ends the one idle since %lld\n",
                     (long long)holders[i].idle_since);
    }
    if (ended == 0) {
        BkBuf_Printf(out, "  ends none\n");
    }
}

START_TEST(test_script)
{
    BkScript_Run("memory", run_memory, NULL);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script};

    return BkUnit_Main("memory", tests, 1);
}
