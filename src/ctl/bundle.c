#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "bk/base/ini.h"
#include "bk/base/utf8.h"
#include "bk/place/place.h"
#include "ctl.h"
#include "diff.h"
#include "output.h"
#include "sigfile.h"

#define GIB ((double)(UINT64_C(1) << 30))

BkStatus
BkCtl_OperatorName(const BkCtl *ctl, const char **by)
{
    *by = ctl->options.by != NULL ? ctl->options.by : ctl->conf.by;
    if (*by == NULL || (*by)[0] == '\0') {
        return BkErr_Set(BK_EUSAGE,
                         "no operator name given; use --by NAME, or set "
                         "by in [ctl] of the settings");
    }
    return BK_OK;
}

BkStatus
BkCtl_LoadBundle(const char *path, BkBundle **bundle)
{
    BkBuf text = BkBuf_Make(0);
    BkStatus status = BkFile_Read(path, BK_BUNDLE_MAX_BYTES, &text);

    *bundle = NULL;
    if (status == BK_OK) {
        *bundle = BkBundle_Parse(path, BkBuf_Str(&text), &status);
    }
    BkBuf_Destroy(&text);
    return status;
}

/* Sums the bytes that the minimum copies of all items need, and the memory of
 * all engines. */
static void
sum_memory(const BkBundle *bundle, uint64_t *needed, uint64_t *available)
{
    *needed = 0;
    *available = 0;
    for (int i = 0; i < bundle->item_count; i++) {
        *needed +=
            bundle->items[i].bytes * (uint64_t)bundle->items[i].min_copies;
    }
    for (int i = 0; i < bundle->upstream_count; i++) {
        *available += bundle->upstreams[i].memory_bytes;
    }
}

static void
print_check(const BkCtl *ctl, const char *path, const BkBundle *bundle,
            const BkBundleDiff *diff)
{
    char digest[BK_DIGEST_BYTES * 2 + 1];
    uint64_t needed;
    uint64_t available;

    BkDigest_ToHex(bundle->digest, digest);
    sum_memory(bundle, &needed, &available);
    if (ctl->options.json) {
        json_t *out = json_pack(
            "{s:s, s:s, s:i, s:i, s:i, s:I, s:I}", "bundle", bundle->name,
            "digest", digest, "items", bundle->item_count, "upstreams",
            bundle->upstream_count, "callers", bundle->caller_count,
            "least_bytes", (json_int_t)needed, "memory_bytes",
            (json_int_t)available);
        if (diff != NULL) {
            json_object_set_new(out, "against", BkBundleDiff_Json(diff));
        }
        BkCtl_PrintJson(out);
        return;
    }
    printf("%s: bundle %s is good\n", path, bundle->name);
    printf("  digest     %s\n", digest);
    printf("  items      %d\n", bundle->item_count);
    printf("  upstreams  %d\n", bundle->upstream_count);
    printf("  callers    %d\n", bundle->caller_count);
    printf("  memory     the minimum copies need %.1f of %.1f GiB\n",
           (double)needed / GIB, (double)available / GIB);
    if (diff != NULL) {
        printf("  against    %s: ", ctl->options.against);
        BkBundleDiff_Print(diff, stdout);
    }
}

BkStatus
BkCtl_BundleCheck(BkCtl *ctl, char **words)
{
    BkBundle *bundle = NULL;
    BkBundle *prev = NULL;
    BkBundleDiff diff = {0};
    BkStatus status = BkCtl_LoadBundle(words[0], &bundle);

    if (status == BK_OK && ctl->options.against != NULL) {
        status = BkCtl_LoadBundle(ctl->options.against, &prev);
    }
    if (status == BK_OK) {
        status = BkPlace_CheckFeasible(bundle, prev);
    }
    if (status == BK_OK && prev != NULL) {
        diff = BkBundleDiff_Make(bundle, prev);
    }
    if (status == BK_OK) {
        print_check(ctl, words[0], bundle, prev != NULL ? &diff : NULL);
    }
    BkBundle_Destroy(bundle);
    BkBundle_Destroy(prev);
    return status;
}

BkStatus
BkCtl_BundleSign(BkCtl *ctl, char **words)
{
    BkBundle *bundle = NULL;
    BkSigFile sig;
    BkStatus status = BkCtl_LoadBundle(words[0], &bundle);

    if (status == BK_OK) {
        status = BkSign_SignDigest(ctl->options.key, bundle->digest,
                                   sig.signature, sig.signer);
    }
    if (status == BK_OK) {
        status = BkSigFile_Write(words[0], bundle, &sig);
    }
    if (status == BK_OK && ctl->options.json) {
        char digest[BK_DIGEST_BYTES * 2 + 1];
        BkDigest_ToHex(bundle->digest, digest);
        BkCtl_PrintJson(json_pack("{s:s, s:s, s:s, s:s}", "bundle",
                                  bundle->name, "digest", digest, "signature",
                                  sig.signature, "signer", sig.signer));
    }
    else if (status == BK_OK) {
        printf("%s.sig: bundle %s signed by %s\n", words[0], bundle->name,
               sig.signer);
    }
    BkBundle_Destroy(bundle);
    return status;
}

BkStatus
BkCtl_KeyNew(BkCtl *ctl, char **words)
{
    char signer[BK_SIGNER_HEX_SIZE];
    BkStatus status = BkSign_NewKey(words[0], signer);

    if (status == BK_OK && ctl->options.json) {
        BkCtl_PrintJson(json_pack("{s:o, s:s}", "key", BkUtf8_Json(words[0]),
                                  "signer", signer));
    }
    else if (status == BK_OK) {
        printf("%s: secret key, keep it private\n", words[0]);
        printf("public key, for signers in the settings:\n%s\n", signer);
    }
    return status;
}
