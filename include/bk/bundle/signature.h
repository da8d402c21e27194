/*
 * signature - signing bundles and verifying their signatures
 *
 * Ed25519 signatures over a message that contains the bundle's digest; see
 * docs/PROTOCOLS.md for its format. A key file contains the secret seed as
 * 64 hex digits and must be readable by its owner only. Signers are
 * identified by their public keys.
 */
#ifndef BK_BUNDLE_SIGNATURE_H
#define BK_BUNDLE_SIGNATURE_H

#include "bk/base/str.h"

/* Buffer sizes for a signature and a public key in hex, zero byte included. */
#define BK_SIGNATURE_HEX_SIZE 129
#define BK_SIGNER_HEX_SIZE 65

/*
 * Creates a key pair. Writes the secret seed to a new file at path (mode
 * 0600; an existing file is never overwritten) and the public key to
 * signer_hex.
 * ERRORS: BK_EIO.
 */
BkStatus BkSign_NewKey(const char *path, char *signer_hex);

/*
 * Signs a digest with the key file at key_path; writes the signature and the
 * signer's public key. ERRORS: BK_EIO, BK_ESIGNATURE if the file is not a key
 * or its mode gives access to other users.
 */
BkStatus BkSign_SignDigest(const char *key_path, const unsigned char *digest,
                           char *signature_hex, char *signer_hex);

/*
 * Verifies that the signature over digest was made by the signer, and that
 * the signer is one of signers (public keys separated by blanks).
 * ERRORS: BK_ESIGNATURE.
 */
BkStatus BkSign_Verify(const unsigned char *digest, BkStr signature_hex,
                       BkStr signer_hex, BkStr signers);

#endif
