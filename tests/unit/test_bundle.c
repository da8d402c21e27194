#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "bk/bundle/bundle.h"
#include "bk/bundle/signature.h"
#include "script.h"

/* Commands of the script: + LINE adds a line to the text, +> LINE an indented
 * one; keep makes the text so far the prefix of all later texts; parse parses
 * the text and starts a new one. */
typedef struct BundleTexts {
    BkBuf prefix;
    BkBuf text;
} BundleTexts;

static void
add_line(BkBuf *text, const char *start, char **words, int count)
{
    BkBuf_Printf(text, "%s", start);
    for (int i = 1; i < count; i++) {
        BkBuf_Printf(text, "%s%s", i > 1 ? " " : "", words[i]);
    }
    BkBuf_Printf(text, "\n");
}

static const char *
item_name(const BkBundle *bundle, int item)
{
    return item < 0 ? "-" : bundle->items[item].name;
}

static void
print_bundle(const BkBundle *bundle, BkBuf *out)
{
    BkBuf_Printf(out, "%s (%s)\n", bundle->name, bundle->note);
    for (int i = 0; i < bundle->item_count; i++) {
        const BkItem *item = &bundle->items[i];
        BkBuf_Printf(out, "item %s kind %d v%s %llu B x%d base %s%s\n",
                     item->name, item->kind, item->version,
                     (unsigned long long)item->bytes, item->min_copies,
                     item_name(bundle, item->base),
                     item->repeatable ? "" : " once");
    }
    for (int i = 0; i < bundle->upstream_count; i++) {
        const BkUpstream *up = &bundle->upstreams[i];
        BkBuf_Printf(out, "upstream %s kind %d %s in %s %llu B x%d%s",
                     up->name, up->kind, up->addr, up->domain,
                     (unsigned long long)up->memory_bytes, up->slots,
                     up->checks_fencing ? " fencing" : "");
        for (int s = 0; s < up->service_count; s++) {
            BkBuf_Printf(out, " %s", item_name(bundle, up->services[s]));
        }
        BkBuf_Printf(out, "\n");
    }
    for (int i = 0; i < bundle->caller_count; i++) {
        const BkCallerSpec *caller = &bundle->callers[i];
        BkBuf_Printf(out, "caller %s share %d%s", caller->name, caller->share,
                     caller->allow_all ? " all" : "");
        for (int a = 0; a < caller->allowed_item_count; a++) {
            BkBuf_Printf(out, " %s",
                         item_name(bundle, caller->allowed_items[a]));
        }
        BkBuf_Printf(out, "\n");
    }
}

/* Looks up every item and upstream, and names that do not exist. */
static void
check_lookups(const BkBundle *bundle)
{
    for (int i = 0; i < bundle->item_count; i++) {
        BkStr name = BkStr_FromC(bundle->items[i].name);
        ck_assert_int_eq(BkBundle_FindItem(bundle, name), i);
    }
    for (int i = 0; i < bundle->upstream_count; i++) {
        const BkUpstream *up = &bundle->upstreams[i];
        ck_assert_int_eq(BkBundle_FindUpstream(bundle, BkStr_FromC(up->name)),
                         i);
        ck_assert_int_eq(BkBundle_FindUpstreamByHash(bundle, up->name_hash),
                         i);
        ck_assert_int_eq(
            BkBundle_FindUpstreamByHash(bundle, up->name_hash + 1), -1);
    }
    ck_assert_int_eq(BkBundle_FindItem(bundle, BK_STR("zz")), -1);
    ck_assert_int_eq(BkBundle_FindUpstream(bundle, BK_STR("")), -1);
    ck_assert_int_eq(BkBundle_FindCaller(bundle, BK_STR("nobody")), -1);
}

static void
parse_text(BundleTexts *texts, BkBuf *out)
{
    BkStatus status;
    BkBundle *bundle =
        BkBundle_Parse("b.ini", BkBuf_Str(&texts->text), &status);

    if (bundle == NULL) {
        BkBuf_Printf(out, "%s %s\n", BkStatus_Info(status)->name,
                     BkErr_Last());
    }
    else {
        print_bundle(bundle, out);
        check_lookups(bundle);
    }
    BkBundle_Destroy(bundle);
    BkBuf_Clear(&texts->text);
    BkBuf_Append(&texts->text, BkBuf_Str(&texts->prefix));
}

static void
run_command(char **words, int count, BkBuf *out, void *arg)
{
    BundleTexts *texts = arg;

    if (strcmp(words[0], "+") == 0) {
        add_line(&texts->text, "", words, count);
    }
    else if (strcmp(words[0], "+>") == 0) {
        add_line(&texts->text, "    ", words, count);
    }
    else if (strcmp(words[0], "keep") == 0) {
        BkBuf_Append(&texts->prefix, BkBuf_Str(&texts->text));
    }
    else if (strcmp(words[0], "parse") == 0) {
        parse_text(texts, out);
    }
}

START_TEST(test_script)
{
    BundleTexts texts = {BkBuf_Make(0), BkBuf_Make(0)};

    BkScript_Run("bundle", run_command, &texts);
    BkBuf_Destroy(&texts.prefix);
    BkBuf_Destroy(&texts.text);
}
END_TEST

START_TEST(test_callers)
{
    static const char text[] =
        "[bundle]\nname = b\n"
        "[service watering]\nrepeatable = no\n[service log]\nrepeatable=yes\n"
        "[upstream app-1]\nkind = service\naddr = 10.0.0.1:1\ndomain = a\n"
        "serves = log watering\n"
        /* BLAKE2b-256 of "secret" */
        "[caller stall]\ntoken = "
        "ae4aafb3c7d8616b739f05a30d06b4e2236fdea712168159f346e8a3efd57d9e\n"
        "allow = log\n";
    BkStatus status;
    BkBundle *bundle = BkBundle_Parse("b", BkStr_FromC(text), &status);

    ck_assert_msg(bundle != NULL, "%s", BkErr_Last());
    int caller = BkBundle_FindCaller(bundle, BK_STR("secret"));
    ck_assert_int_eq(caller, 0);
    ck_assert(BkBundle_Allows(bundle, caller,
                              BkBundle_FindItem(bundle, BK_STR("log"))));
    ck_assert(!BkBundle_Allows(bundle, caller,
                               BkBundle_FindItem(bundle, BK_STR("watering"))));
    BkBundle_Destroy(bundle);
}
END_TEST

START_TEST(test_limits)
{
    char *large = BkMem_New(BK_BUNDLE_MAX_BYTES + 1, 1);
    BkStatus status;

    memset(large, '#', BK_BUNDLE_MAX_BYTES + 1);
    ck_assert_ptr_null(
        BkBundle_Parse("b", (BkStr){large, BK_BUNDLE_MAX_BYTES + 1}, &status));
    ck_assert_int_eq(status, BK_ETOOBIG);
    ck_assert_ptr_null(BkBundle_Parse("b", (BkStr){"[x]\0", 4}, &status));
    ck_assert_int_eq(status, BK_EBUNDLE);
    ck_assert_ptr_null(BkBundle_Parse("b", BK_STR("# \xff\n"), &status));
    ck_assert_int_eq(status, BK_EBUNDLE);
    ck_assert_ptr_nonnull(strstr(BkErr_Last(), "UTF-8"));
    free(large);
}
END_TEST

static BkStatus
verify(const unsigned char *digest, const char *signature, const char *signer,
       const char *signers)
{
    return BkSign_Verify(digest, BkStr_FromC(signature), BkStr_FromC(signer),
                         BkStr_FromC(signers));
}

START_TEST(test_signature)
{
    char dir[] = "/tmp/bk-key-XXXXXX";
    char path[64];
    char signature[BK_SIGNATURE_HEX_SIZE];
    char signer[BK_SIGNER_HEX_SIZE];
    char other_signer[BK_SIGNER_HEX_SIZE];
    char signers[2 * BK_SIGNER_HEX_SIZE + 8];
    unsigned char digest[BK_DIGEST_BYTES] = {1, 2, 3};

    ck_assert_ptr_nonnull(mkdtemp(dir));
    snprintf(path, sizeof(path), "%s/key", dir);
    ck_assert_int_eq(BkSign_NewKey(path, other_signer), BK_OK);
    /* an existing key file is not overwritten */
    ck_assert_int_eq(BkSign_NewKey(path, other_signer), BK_EIO);
    ck_assert_int_eq(BkSign_SignDigest(path, digest, signature, signer),
                     BK_OK);
    memset(other_signer, '0', sizeof(other_signer) - 1);
    snprintf(signers, sizeof(signers), "%s  %s", other_signer, signer);
    ck_assert_int_eq(verify(digest, signature, signer, signers), BK_OK);
    ck_assert_int_eq(verify(digest, signature, signer, other_signer),
                     BK_ESIGNATURE);
    ck_assert_int_eq(verify(digest, signature, signer, ""), BK_ESIGNATURE);
    ck_assert_int_eq(verify(digest, "", signer, signers), BK_ESIGNATURE);
    ck_assert_int_eq(verify(digest, signature, other_signer, signers),
                     BK_ESIGNATURE);
    digest[0]++;
    ck_assert_int_eq(verify(digest, signature, signer, signers),
                     BK_ESIGNATURE);
    chmod(path, 0640);
    ck_assert_int_eq(BkSign_SignDigest(path, digest, signature, signer),
                     BK_ESIGNATURE);
    unlink(path);
    rmdir(dir);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script, test_callers, test_limits,
                                  test_signature};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("bundle", tests, count);
}
