#include "sigfile.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "bk/base/settings.h"

enum {
    MAX_PATH_BYTES = 4096,
    MESSAGE_BYTES = 400
};

typedef struct SigFields {
    char *digest;
    char *signature;
    char *signer;
} SigFields;

static const BkSettingSpec sig_specs[] = {
    {"signature", "digest", BK_SETTING_TEXT, offsetof(SigFields, digest), NULL,
     0, 0, "BLAKE2b-256 of the bundle"},
    {"signature", "signature", BK_SETTING_TEXT, offsetof(SigFields, signature),
     NULL, 0, 0, "Ed25519 signature"},
    {"signature", "signer", BK_SETTING_TEXT, offsetof(SigFields, signer), NULL,
     0, 0, "public key of the signer"},
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
    BkDigest_ToHex(bundle->digest, digest);
    /* each line is shorter than the 199 characters that the settings parser
       accepts */
    int written = fprintf(file,
                          "[signature]\ndigest = %s\nsignature = %s\n"
                          "signer = %s\n",
                          digest, sig->signature, sig->signer);
    if (fclose(file) != 0 || written < 0) {
        return BkErr_Set(BK_EIO, "%s: cannot be written", path);
    }
    return BK_OK;
}

/* Reports the last error, of the settings parser, as BK_ESIGNATURE. */
static BkStatus
as_signature_error(void)
{
    char message[MESSAGE_BYTES];

    snprintf(message, sizeof(message), "%s", BkErr_Last());
    return BkErr_Set(BK_ESIGNATURE, "%s", message);
}

static BkStatus
check_signature(const char *path, const BkBundle *bundle,
                const SigFields *fields, BkStr signers)
{
    char digest[BK_DIGEST_BYTES * 2 + 1];
    char message[MESSAGE_BYTES];

    BkDigest_ToHex(bundle->digest, digest);
    if (strcmp(digest, fields->digest) != 0) {
        return BkErr_Set(BK_ESIGNATURE,
                         "%s: [signature] digest: does not match the bundle "
                         "(%.12s, the bundle has %.12s); sign it again",
                         path, fields->digest, digest);
    }
    if (BkSign_Verify(bundle->digest, BkStr_FromC(fields->signature),
                      BkStr_FromC(fields->signer), signers) != BK_OK) {
        snprintf(message, sizeof(message), "%s", BkErr_Last());
        return BkErr_Set(BK_ESIGNATURE, "%s: [signature]: %s", path, message);
    }
    return BK_OK;
}

BkStatus
BkSigFile_Read(const char *bundle_path, const BkBundle *bundle, BkStr signers,
               BkSigFile *sig)
{
    char path[MAX_PATH_BYTES];
    SigFields fields = {0};
    BkStatus status = make_path(bundle_path, path);

    if (status == BK_OK) {
        status = BkSettings_Load(path, sig_specs, SIG_SPECS, &fields);
    }
    if (status == BK_ECONFIG) {
        status = as_signature_error();
    }
    if (status == BK_OK) {
        status = check_signature(path, bundle, &fields, signers);
    }
    if (status == BK_OK) {
        snprintf(sig->signature, sizeof(sig->signature), "%s",
                 fields.signature);
        snprintf(sig->signer, sizeof(sig->signer), "%s", fields.signer);
    }
    BkSettings_Destroy(sig_specs, SIG_SPECS, &fields);
    return status;
}
