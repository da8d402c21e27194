#include "bk/bundle/signature.h"

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "bk/base/ini.h"
#include "bk/bundle/bundle.h"

#define MESSAGE_PREFIX "burdockkeel-bundle-1"

enum {
    MESSAGE_PREFIX_BYTES = sizeof(MESSAGE_PREFIX) - 1,
    MESSAGE_BYTES = MESSAGE_PREFIX_BYTES + BK_DIGEST_BYTES,
    SEED_HEX_LEN = crypto_sign_SEEDBYTES * 2,
    MAX_KEY_FILE_BYTES = 256
};

_Static_assert(BK_SIGNATURE_HEX_SIZE == crypto_sign_BYTES * 2 + 1,
               "signature");
_Static_assert(BK_SIGNER_HEX_SIZE == crypto_sign_PUBLICKEYBYTES * 2 + 1,
               "signer");

static void
build_message(const unsigned char *digest, unsigned char *message)
{
    memcpy(message, MESSAGE_PREFIX, MESSAGE_PREFIX_BYTES);
    memcpy(message + MESSAGE_PREFIX_BYTES, digest, BK_DIGEST_BYTES);
}

static bool
decode_hex(BkStr hex, unsigned char *out, size_t size)
{
    size_t len = 0;

    return hex.len == size * 2 &&
           sodium_hex2bin(out, size, hex.ptr, hex.len, NULL, &len, NULL) ==
               0 &&
           len == size;
}

static BkStatus
write_key_file(const char *path, const char *hex)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
    char line[SEED_HEX_LEN + 1];

    if (fd < 0) {
        return BkErr_Set(BK_EIO, "%s: %s", path, strerror(errno));
    }
    memcpy(line, hex, SEED_HEX_LEN);
    line[SEED_HEX_LEN] = '\n';
    ssize_t written = write(fd, line, sizeof(line));
    sodium_memzero(line, sizeof(line));
    if (close(fd) != 0 || written != (ssize_t)sizeof(line)) {
        return BkErr_Set(BK_EIO, "%s: cannot be written", path);
    }
    return BK_OK;
}

BkStatus
BkSign_NewKey(const char *path, char *signer_hex)
{
    unsigned char seed[crypto_sign_SEEDBYTES];
    unsigned char public_key[crypto_sign_PUBLICKEYBYTES];
    unsigned char secret_key[crypto_sign_SECRETKEYBYTES];
    char hex[SEED_HEX_LEN + 1];

    if (sodium_init() < 0) {
        return BkErr_Set(BK_EINTERNAL, "libsodium cannot be initialized");
    }
    randombytes_buf(seed, sizeof(seed));
    crypto_sign_seed_keypair(public_key, secret_key, seed);
    sodium_bin2hex(hex, sizeof(hex), seed, sizeof(seed));
    sodium_bin2hex(signer_hex, BK_SIGNER_HEX_SIZE, public_key,
                   sizeof(public_key));
    BkStatus status = write_key_file(path, hex);
    sodium_memzero(seed, sizeof(seed));
    sodium_memzero(secret_key, sizeof(secret_key));
    sodium_memzero(hex, sizeof(hex));
    return status;
}

static BkStatus
check_permissions(const char *path)
{
    struct stat file_status;

    if (stat(path, &file_status) != 0) {
        return BkErr_Set(BK_EIO, "%s: %s", path, strerror(errno));
    }
    if ((file_status.st_mode & 077) != 0) {
        return BkErr_Set(BK_ESIGNATURE,
                         "%s: mode %03o lets others read the key; allowed: "
                         "600",
                         path, (unsigned)file_status.st_mode & 0777);
    }
    return BK_OK;
}

static BkStatus
read_key_file(const char *path, unsigned char *seed)
{
    BkBuf text = BkBuf_Make(0);
    BkStatus status = check_permissions(path);

    if (status == BK_OK) {
        status = BkFile_Read(path, MAX_KEY_FILE_BYTES, &text);
    }
    if (status == BK_OK && !decode_hex(BkStr_Trim(BkBuf_Str(&text)), seed,
                                       crypto_sign_SEEDBYTES)) {
        status = BkErr_Set(BK_ESIGNATURE,
                           "%s:1: is not a key; a key is %d hex digits, as "
                           "written by bkctl key new",
                           path, SEED_HEX_LEN);
    }
    if (text.ptr != NULL) {
        sodium_memzero(text.ptr, text.len);
    }
    BkBuf_Destroy(&text);
    return status;
}

BkStatus
BkSign_SignDigest(const char *key_path, const unsigned char *digest,
                  char *signature_hex, char *signer_hex)
{
    unsigned char seed[crypto_sign_SEEDBYTES];
    unsigned char public_key[crypto_sign_PUBLICKEYBYTES];
    unsigned char secret_key[crypto_sign_SECRETKEYBYTES];
    unsigned char signature[crypto_sign_BYTES];
    unsigned char message[MESSAGE_BYTES];
    BkStatus status = read_key_file(key_path, seed);

    if (status != BK_OK) {
        return status;
    }
    crypto_sign_seed_keypair(public_key, secret_key, seed);
    build_message(digest, message);
    crypto_sign_detached(signature, NULL, message, sizeof(message),
                         secret_key);
    sodium_memzero(seed, sizeof(seed));
    sodium_memzero(secret_key, sizeof(secret_key));
    sodium_bin2hex(signature_hex, BK_SIGNATURE_HEX_SIZE, signature,
                   sizeof(signature));
    sodium_bin2hex(signer_hex, BK_SIGNER_HEX_SIZE, public_key,
                   sizeof(public_key));
    return BK_OK;
}

static bool
is_listed(BkStr signer, BkStr signers)
{
    while (signers.len > 0) {
        BkStr listed = BkStr_Trim(BkStr_Split(&signers, ' '));
        if (listed.len > 0 && BkStr_Equal(listed, signer)) {
            return true;
        }
    }
    return false;
}

BkStatus
BkSign_Verify(const unsigned char *digest, BkStr signature_hex,
              BkStr signer_hex, BkStr signers)
{
    unsigned char public_key[crypto_sign_PUBLICKEYBYTES];
    unsigned char signature[crypto_sign_BYTES];
    unsigned char message[MESSAGE_BYTES];

    if (!decode_hex(signer_hex, public_key, sizeof(public_key))) {
        return BkErr_Set(BK_ESIGNATURE, "the signer is not %d hex digits",
                         BK_SIGNER_HEX_SIZE - 1);
    }
    if (!decode_hex(signature_hex, signature, sizeof(signature))) {
        return BkErr_Set(BK_ESIGNATURE, "the signature is not %d hex digits",
                         BK_SIGNATURE_HEX_SIZE - 1);
    }
    if (!is_listed(signer_hex, signers)) {
        return BkErr_Set(BK_ESIGNATURE,
                         "%.*s is not one of the signers in the settings",
                         BK_STR_ARG(signer_hex));
    }
    build_message(digest, message);
    if (crypto_sign_verify_detached(signature, message, sizeof(message),
                                    public_key) != 0) {
        return BkErr_Set(BK_ESIGNATURE,
                         "the signature by %.*s does not match this text",
                         BK_STR_ARG(signer_hex));
    }
    return BK_OK;
}
