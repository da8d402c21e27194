#include "bk/inforce/inforce.h"

#include <string.h>

BkInForce
BkInForce_Make(BkMs cut_off_after)
{
    BkInForce state = {0};

    state.platform_at = BK_MS_NEVER;
    state.peer_at = BK_MS_NEVER;
    state.cut_off_after = cut_off_after;
    return state;
}

BkNewsVerdict
BkInForce_TakeNews(BkInForce *state, BkNewsSource source, uint64_t version,
                   const unsigned char *digest, BkMs now)
{
    switch (source) {
    case BK_NEWS_PLATFORM:
        state->platform_at = now;
        break;
    case BK_NEWS_PEER:
        state->peer_at = now;
        break;
    case BK_NEWS_OPERATOR:
        break;
    }
    if (version < state->highest || version == 0) {
        return BK_NEWS_OLD;
    }
    if (version == state->highest &&
        memcmp(digest, state->digest, BK_DIGEST_BYTES) != 0) {
        return BK_NEWS_CLASH;
    }
    if (version > state->highest && state->acting == state->highest) {
        state->behind_since = now;
    }
    state->highest = version;
    memcpy(state->digest, digest, BK_DIGEST_BYTES);
    return state->acting == version ? BK_NEWS_OLD : BK_NEWS_FETCH;
}

bool
BkInForce_TakeText(BkInForce *state, uint64_t version,
                   const unsigned char *digest)
{
    if (version != state->highest ||
        memcmp(digest, state->digest, BK_DIGEST_BYTES) != 0) {
        return false;
    }
    state->acting = version;
    return true;
}

static bool
heard_recently(BkMs heard_at, BkMs now, BkMs max_age)
{
    return heard_at != BK_MS_NEVER && now - heard_at <= max_age;
}

bool
BkInForce_Current(const BkInForce *state, BkMs now)
{
    if (state->acting == 0) {
        return false;
    }
    if (state->acting != state->highest &&
        now - state->behind_since > BK_INFORCE_GRACE) {
        return false;
    }
    return heard_recently(state->platform_at, now, state->cut_off_after) ||
           heard_recently(state->peer_at, now, state->cut_off_after);
}
