#include "bk/inforce/inforce.h"

#include <string.h>

BkInForce
BkInForce_Make(BkMs max_silence)
{
    BkInForce state = {0};

    state.platform_heard_at = BK_MS_NEVER;
    state.peer_heard_at = BK_MS_NEVER;
    state.max_silence = max_silence;
    return state;
}

BkInForceResult
BkInForce_RecordReport(BkInForce *state, BkInForceSource source,
                       uint64_t version, const unsigned char *digest, BkMs now)
{
    switch (source) {
    case BK_INFORCE_FROM_PLATFORM:
        state->platform_heard_at = now;
        break;
    case BK_INFORCE_FROM_PEER:
        state->peer_heard_at = now;
        break;
    case BK_INFORCE_FROM_OPERATOR:
        break;
    }
    if (version < state->highest_version || version == 0) {
        return BK_INFORCE_UNCHANGED;
    }
    if (version == state->highest_version &&
        memcmp(digest, state->highest_digest, BK_DIGEST_BYTES) != 0) {
        return BK_INFORCE_CONFLICT;
    }
    if (version > state->highest_version &&
        state->active_version == state->highest_version) {
        state->behind_since = now;
    }
    state->highest_version = version;
    memcpy(state->highest_digest, digest, BK_DIGEST_BYTES);
    return state->active_version == version ? BK_INFORCE_UNCHANGED
                                            : BK_INFORCE_FETCH;
}

bool
BkInForce_Activate(BkInForce *state, uint64_t version,
                   const unsigned char *digest)
{
    if (version != state->highest_version ||
        memcmp(digest, state->highest_digest, BK_DIGEST_BYTES) != 0) {
        return false;
    }
    state->active_version = version;
    return true;
}

static bool
heard_recently(BkMs heard_at, BkMs now, BkMs max_age)
{
    return heard_at != BK_MS_NEVER && now - heard_at <= max_age;
}

bool
BkInForce_IsCurrent(const BkInForce *state, BkMs now)
{
    if (state->active_version == 0) {
        return false;
    }
    if (state->active_version != state->highest_version &&
        now - state->behind_since > BK_INFORCE_GRACE) {
        return false;
    }
    return heard_recently(state->platform_heard_at, now, state->max_silence) ||
           heard_recently(state->peer_heard_at, now, state->max_silence);
}
