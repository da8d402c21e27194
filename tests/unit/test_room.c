#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/room/room.h"
#include "script.h"

/* at MS room SLOTS | at MS refused SLOTS beside RUNNING */
static void
run_room(char **words, int count, BkBuf *out, void *arg)
{
    BkRoom *room = arg;
    BkMs now = atoll(words[1]);
    int slots = atoi(words[3]);

    if (strcmp(words[2], "refused") == 0) {
        BkRoom_NoteRefusal(room, atoi(words[5]), slots, now);
    }
    BkBuf_Printf(out, "  %d\n", BkRoom_Get(room, slots, now));
}

START_TEST(test_script)
{
    BkRoom room = {0};

    BkScript_Run("room", run_room, &room);
}
END_TEST

/* An upstream with less room than slots, and callers who want more all the
   time: it refuses less than one request a second, and its room is used. */
START_TEST(test_refusals)
{
    enum {
        SLOTS = 12,
        STEP = 10,
        RUN = 200,
        DURATION = 60000
    };
    for (int room_there = 1; room_there < SLOTS; room_there++) {
        BkRoom room = {0};
        BkMs ends[SLOTS] = {0};
        int refused = 0;
        int64_t busy = 0;
        for (BkMs now = 1000; now < DURATION; now += STEP) {
            int running = 0;
            for (int i = 0; i < SLOTS; i++) {
                running += ends[i] > now ? 1 : 0;
            }
            busy += running;
            while (running < BkRoom_Get(&room, SLOTS, now)) {
                if (running >= room_there) {
                    refused++;
                    BkRoom_NoteRefusal(&room, running, SLOTS, now);
                    continue;
                }
                int i = 0;
                while (ends[i] > now) {
                    i++;
                }
                ends[i] = now + RUN;
                running++;
            }
        }
        ck_assert_int_le(refused, DURATION / 1000);
        ck_assert(busy >= 0.9 * room_there * (DURATION - 1000) / STEP);
    }
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script, test_refusals};

    return BkUnit_Main("room", tests, 2);
}
