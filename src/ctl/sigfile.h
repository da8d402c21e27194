/*
 * sigfile - the signature file of a bundle, FILE.sig next to FILE
 */
#ifndef BK_CTL_SIGFILE_H
#define BK_CTL_SIGFILE_H

#include "bk/bundle/bundle.h"
#include "bk/bundle/signature.h"

typedef struct BkSigFile {
    char signature[BK_SIGNATURE_HEX_SIZE];
    char signer[BK_SIGNER_HEX_SIZE];
} BkSigFile;

/* ERRORS: BK_EIO. */
BkStatus BkSigFile_Write(const char *bundle_path, const BkBundle *bundle,
                         const BkSigFile *sig);

/*
 * Reads the signature file of a bundle and verifies that one of signers signed
 * this bundle. ERRORS: BK_ESIGNATURE, BK_EIO; the message names the file
 * and the INI key.
 */
BkStatus BkSigFile_Read(const char *bundle_path, const BkBundle *bundle,
                        BkStr signers, BkSigFile *sig);

#endif
