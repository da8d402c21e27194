#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/bundle/signature.h"
#include "bk/daemon/internal.h"

/*
 * Keeps the daemon on the bundle in force. It learns of a version and its
 * digest from the platform's row bundle/in-force, a peer's hello or an
 * operator's push. It then needs two more parts:
 *
 * 1. the signature: the row and a push contain it; after a hello, it is
 *    fetched from that peer;
 * 2. the text: a push contains it; otherwise it is fetched from the object
 *    store or, if that fails after a hello, from the peer.
 *
 * One fetch runs at a time. A failed fetch is not retried at once: the next
 * report of the version starts another one.
 */

enum {
    FETCH_TIMEOUT_MS = 2000,
    MAX_REF_BYTES = 16 * 1024, /* of a peer's response to GET /peer/in-force */
    URL_BYTES = 256
};

/* What identifies and authenticates a version of the bundle, without its
   text. */
typedef struct BundleRef {
    uint64_t version;
    unsigned char digest[BK_DIGEST_BYTES];
    char signature[BK_SIGNATURE_HEX_SIZE];
    char signer[BK_SIGNER_HEX_SIZE];
} BundleRef;

struct BkBundleSync {
    BkDaemon *daemon;
    BkTimer *poll_timer;
    bool polling; /* a read of the row is in flight */
    bool fetching;
    BundleRef wanted; /* of the bundle being fetched */
    /* address of the peer that reported it; "" if the platform did */
    char peer_ops_address[BKG_MAX_NAME + 1];
    BundleRef active; /* of the bundle that the daemon acts on */
    BkCounter *version_gauge;
};

static const char *
format_digest(const unsigned char *digest, char *hex)
{
    BkDigest_ToHex(digest, hex);
    return hex;
}

static bool
copy_member(const json_t *root, const char *name, char *out, size_t size)
{
    const char *text = json_string_value(json_object_get(root, name));

    if (text == NULL || strlen(text) + 1 != size) {
        return false;
    }
    memcpy(out, text, size);
    return true;
}

/* Reads the members that the row, the response to GET /peer/in-force and a
   push have in common. */
static BkStatus
parse_ref(const json_t *root, BundleRef *out)
{
    const char *digest = json_string_value(json_object_get(root, "digest"));

    out->version =
        (uint64_t)json_integer_value(json_object_get(root, "version"));
    if (out->version == 0 ||
        BkDigest_Parse(BkStr_FromC(digest), out->digest) != BK_OK ||
        !copy_member(root, "signature", out->signature,
                     BK_SIGNATURE_HEX_SIZE) ||
        !copy_member(root, "signer", out->signer, BK_SIGNER_HEX_SIZE)) {
        return BkErr_Set(BK_EDECODE,
                         "cannot be decoded: needs version, digest, signature "
                         "and signer");
    }
    return BK_OK;
}

static BkStatus
verify_signature(const BkBundleSync *sync, const BundleRef *ref)
{
    return BkSign_Verify(ref->digest, BkStr_FromC(ref->signature),
                         BkStr_FromC(ref->signer),
                         BkStr_FromC(sync->daemon->conf->signers));
}

static void
log_failure(const BundleRef *ref, const char *problem)
{
    BK_LOG(BK_LOG_ERR, "config", NULL, "version %llu: %s: %s",
           (unsigned long long)ref->version, problem, BkErr_Last());
}

/* Replaces the bundle and the view. The old ones are freed after the program
   has been notified, since it may still use them until then. */
static void
activate(BkBundleSync *sync, BkBundle *bundle, const BundleRef *ref)
{
    BkDaemon *daemon = sync->daemon;
    BkBundle *old_bundle = daemon->bundle;
    BkView *old_view = daemon->view;

    daemon->bundle = bundle;
    daemon->view = BkView_Create(bundle, old_view);
    sync->active = *ref;
    BkCounter_Set(sync->version_gauge, (int64_t)ref->version);
    BK_LOG(BK_LOG_NOTICE, "config", NULL, "now acting on version %llu (%s)",
           (unsigned long long)ref->version, bundle->name);
    if (daemon->hooks.on_bundle != NULL) {
        daemon->hooks.on_bundle(bundle, daemon->view, daemon->hooks.arg);
    }
    BkUpstreamWatch_OnViewReplaced(daemon->watch);
    BkView_Destroy(old_view);
    BkBundle_Destroy(old_bundle);
}

/* Acts on the text of a bundle whose signature has been verified. */
static BkStatus
apply_text(BkBundleSync *sync, const BundleRef *ref, BkStr text)
{
    BkStatus status;
    BkBundle *bundle = BkBundle_Parse("bundle in force", text, &status);

    if (bundle == NULL) {
        return status;
    }
    if (memcmp(bundle->digest, ref->digest, BK_DIGEST_BYTES) != 0) {
        BkBundle_Destroy(bundle);
        return BkErr_Set(BK_EBUNDLE, "the text does not match its digest");
    }
    if (!BkInForce_Activate(&sync->daemon->inforce, ref->version,
                            ref->digest)) {
        BkBundle_Destroy(bundle);
        return BK_OK;
    }
    activate(sync, bundle, ref);
    return BK_OK;
}

static void
finish_fetch(BkBundleSync *sync, BkStatus status)
{
    sync->fetching = false;
    if (status != BK_OK) {
        log_failure(&sync->wanted, "fetch failed");
    }
}

static void
on_peer_text(const BkHttpResult *result, BkStr body, void *arg)
{
    BkBundleSync *sync = arg;
    BkStatus status = result->status;

    BkControl_CountBytes("bundle", result);
    if (status == BK_OK && result->http_status == 200) {
        status = apply_text(sync, &sync->wanted, body);
    }
    else {
        status = BkErr_Set(BK_ENOTFOUND, "peer %s did not return the text",
                           sync->peer_ops_address);
    }
    finish_fetch(sync, status);
}

static void
fetch_from_peer(BkBundleSync *sync, const char *path, size_t max,
                BkHttpFetchFn fn)
{
    char url[URL_BYTES];
    BkHttpCallSpec spec = {.method = "GET", .url = url};

    spec.timeout = FETCH_TIMEOUT_MS;
    snprintf(url, sizeof(url), "http://%s/peer/%s", sync->peer_ops_address,
             path);
    BkHttpClient_Fetch(sync->daemon->http, &spec, max, fn, sync);
}

static void
on_object_read(const BkPlatReply *reply, void *arg)
{
    BkBundleSync *sync = arg;
    char hex[BK_DIGEST_BYTES * 2 + 1];
    char path[URL_BYTES];

    if (reply->status == BK_OK) {
        finish_fetch(sync, apply_text(sync, &sync->wanted, reply->body));
        return;
    }
    if (sync->peer_ops_address[0] == '\0') {
        finish_fetch(sync, reply->status);
        return;
    }
    snprintf(path, sizeof(path), "bundle/%s",
             format_digest(sync->wanted.digest, hex));
    fetch_from_peer(sync, path, BK_BUNDLE_MAX_BYTES, on_peer_text);
}

static void
fetch_text(BkBundleSync *sync)
{
    char hex[BK_DIGEST_BYTES * 2 + 1];
    char name[URL_BYTES];

    if (verify_signature(sync, &sync->wanted) != BK_OK) {
        finish_fetch(sync, BK_ESIGNATURE);
        return;
    }
    snprintf(name, sizeof(name), "bundle-%s",
             format_digest(sync->wanted.digest, hex));
    BkPlat_GetObject(sync->daemon->plat, BkStr_FromC(name), on_object_read,
                     sync);
}

static void
on_peer_ref(const BkHttpResult *result, BkStr body, void *arg)
{
    BkBundleSync *sync = arg;
    BundleRef ref;
    json_t *root = NULL;

    BkControl_CountBytes("bundle", result);
    if (result->status == BK_OK && result->http_status == 200) {
        root = json_loadb(body.ptr, body.len, 0, NULL);
    }
    BkStatus status = parse_ref(root, &ref);
    json_decref(root);
    if (status != BK_OK) {
        finish_fetch(sync, status);
        return;
    }
    if (ref.version != sync->wanted.version ||
        memcmp(ref.digest, sync->wanted.digest, BK_DIGEST_BYTES) != 0) {
        finish_fetch(sync,
                     BkErr_Set(BK_ETRYAGAIN, "the peer now reports another "
                                             "bundle"));
        return;
    }
    sync->wanted = ref;
    fetch_text(sync);
}

static BkInForceResult
record_report(BkBundleSync *sync, BkInForceSource source, const BundleRef *ref)
{
    BkInForceResult result =
        BkInForce_RecordReport(&sync->daemon->inforce, source, ref->version,
                               ref->digest, BkClock_Now());

    if (result == BK_INFORCE_CONFLICT) {
        BK_LOG(BK_LOG_CRIT, "config", NULL,
               "version %llu is reported with two digests; keeping the first",
               (unsigned long long)ref->version);
    }
    return result;
}

void
BkBundleSync_OnPeerReport(BkBundleSync *sync, uint64_t version,
                          const unsigned char *digest, const char *ops_address)
{
    BundleRef ref = {.version = version};

    memcpy(ref.digest, digest, BK_DIGEST_BYTES);
    if (record_report(sync, BK_INFORCE_FROM_PEER, &ref) != BK_INFORCE_FETCH ||
        sync->fetching ||
        BkSettings_CheckAddr(BkStr_FromC(ops_address)) != BK_OK) {
        return;
    }
    sync->fetching = true;
    sync->wanted = ref;
    snprintf(sync->peer_ops_address, sizeof(sync->peer_ops_address), "%s",
             ops_address);
    fetch_from_peer(sync, "in-force", MAX_REF_BYTES, on_peer_ref);
}

static void
on_row_read(const BkPlatReply *reply, void *arg)
{
    BkBundleSync *sync = arg;
    BundleRef ref;

    sync->polling = false;
    if (reply->status == BK_ENOTFOUND) {
        sync->daemon->inforce.platform_heard_at = BkClock_Now();
        return;
    }
    if (reply->status != BK_OK || reply->count == 0) {
        return;
    }
    BkStr data = reply->rows[0].data;
    json_t *root = json_loadb(data.ptr, data.len, 0, NULL);
    BkStatus status = parse_ref(root, &ref);
    json_decref(root);
    if (status != BK_OK) {
        BK_LOG(BK_LOG_ERR, "config", NULL, "row bundle/in-force: %s",
               BkErr_Last());
        return;
    }
    if (record_report(sync, BK_INFORCE_FROM_PLATFORM, &ref) ==
            BK_INFORCE_FETCH &&
        !sync->fetching) {
        sync->fetching = true;
        sync->wanted = ref;
        sync->peer_ops_address[0] = '\0';
        fetch_text(sync);
    }
}

static void
poll_row(void *arg)
{
    BkBundleSync *sync = arg;
    BkMs period = sync->daemon->conf->bundle_poll_period;
    BkMs jitter =
        (BkMs)BkRng_Below(&sync->daemon->rng, (uint32_t)period / 4 + 1);

    BkTimer_Start(sync->poll_timer, period - period / 4 + jitter);
    if (sync->polling) {
        return;
    }
    sync->polling = true;
    BkPlat_ReadRow(sync->daemon->plat, BK_STR("bundle"), BK_STR("in-force"),
                   on_row_read, sync);
}

BkBundleSync *
BkBundleSync_Create(BkDaemon *daemon)
{
    BkBundleSync *sync = BkMem_New(1, sizeof(*sync));

    sync->daemon = daemon;
    sync->poll_timer = BkTimer_Create(daemon->loop, poll_row, sync);
    sync->version_gauge =
        BkCounter_Get("bk_config_version", NULL, "configuration acted upon");
    BkTimer_Start(sync->poll_timer, 0);
    return sync;
}

void
BkBundleSync_Destroy(BkBundleSync *sync)
{
    if (sync == NULL) {
        return;
    }
    BkTimer_Destroy(sync->poll_timer);
    free(sync);
}

void
BkBundleSync_ReplyInForce(BkBundleSync *sync, BkHttpReq *req)
{
    char hex[BK_DIGEST_BYTES * 2 + 1];
    BkDaemon *daemon = sync->daemon;
    bool current = BkInForce_IsCurrent(&daemon->inforce, BkClock_Now());

    if (daemon->bundle == NULL) {
        BkHttpReq_ReplyError(req, BK_ENOTFOUND, "no configuration yet", 0);
        return;
    }
    json_t *root = json_pack(
        "{sI ss ss ss sb sI ss si}", "version",
        (json_int_t)sync->active.version, "digest",
        format_digest(sync->active.digest, hex), "signature",
        sync->active.signature, "signer", sync->active.signer, "current",
        current, "acting", (json_int_t)daemon->inforce.active_version,
        "daemon", daemon->conf->name, "role", (int)daemon->role);
    char *text = json_dumps(root, JSON_COMPACT);
    BkHttpReq_Reply(req, 200, NULL, BK_STR("application/json"),
                    BkStr_FromC(text));
    free(text);
    json_decref(root);
}

void
BkBundleSync_ReplyBundle(BkBundleSync *sync, BkHttpReq *req, BkStr digest)
{
    unsigned char wanted[BK_DIGEST_BYTES];
    const BkBundle *bundle = sync->daemon->bundle;

    if (bundle == NULL || BkDigest_Parse(digest, wanted) != BK_OK ||
        memcmp(bundle->digest, wanted, BK_DIGEST_BYTES) != 0) {
        BkHttpReq_ReplyError(req, BK_ENOTFOUND, "not acted upon here", 0);
        return;
    }
    BkHttpReq_Reply(req, 200, NULL, BK_STR("text/plain"),
                    (BkStr){bundle->text, bundle->text_len});
}

static BkStatus
apply_push(BkBundleSync *sync, const json_t *root)
{
    BundleRef ref;
    const json_t *text = json_object_get(root, "text");
    BkStatus status = parse_ref(root, &ref);

    if (status == BK_OK && !json_is_string(text)) {
        status = BkErr_Set(BK_EDECODE, "the push has no text");
    }
    if (status == BK_OK) {
        status = verify_signature(sync, &ref);
    }
    if (status != BK_OK || record_report(sync, BK_INFORCE_FROM_OPERATOR,
                                         &ref) != BK_INFORCE_FETCH) {
        return status;
    }
    BkStr bytes = {json_string_value(text), json_string_length(text)};
    return apply_text(sync, &ref, bytes);
}

void
BkBundleSync_HandlePush(BkBundleSync *sync, BkHttpReq *req)
{
    BkStr body = BkHttpReq_Body(req);
    json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
    BkStatus status = apply_push(sync, root);

    json_decref(root);
    if (status != BK_OK) {
        BkHttpReq_ReplyError(req, status, BkErr_Last(), 0);
        return;
    }
    BkBundleSync_ReplyInForce(sync, req);
}
