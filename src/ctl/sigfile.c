#include "sigfile.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "bk/base/settings.h"

enum {
    MAX_PATH_BYTES = 4096,
    MAX_WHY = 400
};

typedef struct SigText {
    char *digest;
    char *signature;
    char *signer;
} SigText;

static const BkSettingSpec sig_specs[] = {
    {"signature", "digest", BK_SET_TEXT, offsetof(SigText, digest), NULL, 0, 0,
     "BLAKE2b-256 of the bundle"},
    {"signature", "signature", BK_SET_TEXT, offsetof(SigText, signature), NULL,
     0, 0, "Ed25519 signature"},
    {"signature", "signer", BK_SET_TEXT, offsetof(SigText, signer), NULL, 0, 0,
     "public key of the signer"},
};

enum {
    SIG_SPECS = sizeof(sig_specs) / sizeof(sig_specs[0])
};

static BkStatus
make_path(const char *bundle_path, char *path)
{
    int len = snprintf(path, MAX_PATH_BYTES, "%s.sig", bundle_path);

    if (len >= MAX_PATH_BYTES) {
        return BkErr_Set(BK_EIO, "%.60s...: the path is too long",
                         bundle_path);
    }
    return BK_OK;
}

BkStatus
BkSigFile_Write(const char *bundle_path, const BkBundle *bundle,
                const BkSigFile *sig)
{
    char path[MAX_PATH_BYTES];
    char digest[BK_DIGEST_BYTES * 2 + 1];
    BkStatus status = make_path(bundle_path, path);

    if (status != BK_OK) {
        return status;
    }
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        return BkErr_Set(BK_EIO, "%s: %s", path, strerror(errno));
    }
    BkDigest_Hex(bundle->digest, digest);
    /* the settings parser takes lines of up to 199 characters */
    int written = fprintf(file,
                          "[signature]\ndigest = %s\nsignature = %s\n"
                          "signer = %s\n",
                          digest, sig->signature, sig->signer);
    if (fclose(file) != 0 || written < 0) {
        return BkErr_Set(BK_EIO, "%s: cannot be written", path);
    }
    return BK_OK;
}

/* the message of a settings fault, as a fault of the signature */
static BkStatus
as_signature_fault(void)
{
    char why[MAX_WHY];

    snprintf(why, sizeof(why), "%s", BkErr_Last());
    return BkErr_Set(BK_ESIGNATURE, "%s", why);
}

static BkStatus
check_text(const char *path, const BkBundle *bundle, const SigText *text,
           BkStr signers)
{
    char digest[BK_DIGEST_BYTES * 2 + 1];
    char why[MAX_WHY];

    BkDigest_Hex(bundle->digest, digest);
    if (strcmp(digest, text->digest) != 0) {
        return BkErr_Set(BK_ESIGNATURE,
                         "%s: [signature] digest: is of another text (%.12s, "
                         "the bundle is %.12s); sign the bundle again",
                         path, text->digest, digest);
    }
    if (BkSign_Verify(bundle->digest, BkStr_FromC(text->signature),
                      BkStr_FromC(text->signer), signers) != BK_OK) {
        snprintf(why, sizeof(why), "%s", BkErr_Last());
        return BkErr_Set(BK_ESIGNATURE, "%s: [signature]: %s", path, why);
    }
    return BK_OK;
}

BkStatus
BkSigFile_Read(const char *bundle_path, const BkBundle *bundle, BkStr signers,
               BkSigFile *sig)
{
    char path[MAX_PATH_BYTES];
    SigText text = {0};
    BkStatus status = make_path(bundle_path, path);

    if (status == BK_OK) {
        status = BkSettings_Load(path, sig_specs, SIG_SPECS, &text);
    }
    if (status == BK_ECONFIG) {
        status = as_signature_fault();
    }
    if (status == BK_OK) {
        status = check_text(path, bundle, &text, signers);
    }
    if (status == BK_OK) {
        snprintf(sig->signature, sizeof(sig->signature), "%s", text.signature);
        snprintf(sig->signer, sizeof(sig->signer), "%s", text.signer);
    }
    BkSettings_Destroy(sig_specs, SIG_SPECS, &text);
    return status;
}
