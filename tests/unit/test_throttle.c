#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/throttle/throttle.h"
#include "script.h"

/* at MS delay | at MS take | at MS limit N [seen MS] | at MS hold MS draw N.
   limit: requests a second, -1: none; draw: in percent */
static void
run_throttle(char **words, int count, BkBuf *out, void *arg)
{
    BkThrottle *throttle = arg;
    BkMs now = atoll(words[1]);
    const char *what = words[2];

    if (strcmp(what, "delay") == 0) {
        BkBuf_Printf(out, "  %lld ms\n",
                     (long long)BkThrottle_GetDelay(throttle, now));
    }
    else if (strcmp(what, "take") == 0) {
        BkThrottle_Take(throttle, now);
    }
    else if (strcmp(what, "limit") == 0) {
        bool changed = BkThrottle_NoteLimit(
            throttle, atof(words[3]), count > 5 ? atoll(words[5]) : now, now);
        BkBuf_Printf(out, "  %s%s\n",
                     BkThrottle_IsLimited(throttle) ? "limited" : "free",
                     changed ? ", changed" : "");
    }
    else {
        BkThrottle_NoteHoldOff(throttle, atoll(words[3]), atof(words[5]) / 100,
                               now);
        BkBuf_Printf(out, "  held until %lld\n",
                     (long long)throttle->held_until);
    }
}

START_TEST(test_throttle)
{
    BkThrottle throttle = BkThrottle_Make();

    BkScript_Run("throttle", run_throttle, &throttle);
}
END_TEST

/* Requests come all the time and from several coordinators in turn, each of
   which begins with nothing; in no 4 s are there more than what an upstream
   tolerates: half as many again as its limit, and five. */
START_TEST(test_rate)
{
    enum {
        MAX = 4000
    };
    static BkMs sent[MAX];
    double limits[] = {0, 0.3, 1.2, 1.9, 7, 40};

    for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
        BkThrottle throttle = BkThrottle_Make();
        int count = 0;
        int first = 0;
        for (BkMs now = 1000; now < 60000; now += 5) {
            if (now % 7000 == 0) {
                throttle = BkThrottle_Make(); /* another coordinator */
            }
            BkThrottle_NoteLimit(&throttle, limits[i], now, now);
            if (BkThrottle_GetDelay(&throttle, now) > 0) {
                continue;
            }
            BkThrottle_Take(&throttle, now);
            ck_assert_int_lt(count, MAX);
            sent[count++] = now;
            while (sent[first] <= now - 4000) {
                first++;
            }
            ck_assert(count - first <= 1.5 * 4 * limits[i] + 5);
        }
        ck_assert(count >= limits[i] * 50);
    }
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_throttle, test_rate};

    return BkUnit_Main("throttle", tests, 2);
}
