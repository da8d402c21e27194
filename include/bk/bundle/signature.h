/*
 * signature - who signed a bundle off
 *
 * Ed25519 over the text that docs/PROTOCOLS.md gives, which holds the
 * bundle's digest. A key file holds the secret seed as 64 hex digits and
 * may be read by its owner only. Signers are named by their public keys.
 */
#ifndef BK_BUNDLE_SIGNATURE_H
#define BK_BUNDLE_SIGNATURE_H

#include "bk/base/str.h"

/* Characters of the hex forms, with the zero byte. */
#define BK_SIGNATURE_HEX 129
#define BK_SIGNER_HEX 65

/*
 * Makes a key pair: the secret goes into a new file at path (mode 0600, never
 * over an existing one), the public key into signer_hex.
 * ERRORS: BK_EIO.
 */
BkStatus BkSign_NewKey(const char *path, char *signer_hex);

/*
 * Signs a digest with the key at key_path; gives signature and public key.
 * ERRORS: BK_EIO, BK_ESIGNATURE if the file is no key or others may read it.
 */
BkStatus BkSign_Make(const char *key_path, const unsigned char *digest,
                     char *signature_hex, char *signer_hex);

/*
 * Whether signer, one of signers (public keys separated by blanks), made the
 * signature over digest. ERRORS: BK_ESIGNATURE.
 */
BkStatus BkSign_Verify(const unsigned char *digest, BkStr signature_hex,
                       BkStr signer_hex, BkStr signers);

#endif
