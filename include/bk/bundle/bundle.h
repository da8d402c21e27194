/*
 * bundle - configuration of the whole installation: items, upstreams and
 * callers
 *
 * Items are what can be requested: models, adapters and services. A bundle
 * states which items must be served, which upstreams may run them and which
 * callers may request them. It is an INI text kept in version control
 * (docs/OPERATING.md). A parsed bundle is immutable. Its digest, the
 * BLAKE2b-256 of its text, names it in the object store. Rolling a bundle
 * puts it in force and assigns its version, which only increases (row in-force
 * of the table bundle in the platform's store).
 *
 *   [bundle]            name = varanda   note = afternoon peak
 *   [upstream engine-1] kind = engine  addr = 10.0.0.5:9000  domain = a
 *                       memory = 48GiB  fencing = checked  slots = 16
 *   [upstream app-1]    kind = service addr = ...  domain = b
 *                       serves = watering status   slots = 16
 *   [model care-7b]     version = 3  bytes = 14GiB  repeatable = yes
 *                       copies = 2  (minimum number of copies, default 1)
 *   [adapter care-rec]  version = 1  bytes = 200MiB  base = care-7b
 *   [service watering]  repeatable = no
 *   [caller stall-app]  token = <BLAKE2b-256 of the token, hex>
 *                       share = 2  allow = care-7b watering | *
 */
#ifndef BK_BUNDLE_BUNDLE_H
#define BK_BUNDLE_BUNDLE_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/str.h"

#define BK_DIGEST_BYTES 32
#define BK_BUNDLE_MAX_BYTES (1024 * 1024)

typedef enum BkItemKind {
    BK_ITEM_MODEL,
    BK_ITEM_ADAPTER,
    BK_ITEM_SERVICE
} BkItemKind;

typedef struct BkItem {
    BkItemKind kind;
    char *name;
    char *version;   /* "" for a service */
    int base;        /* item index of an adapter's base model, else -1 */
    uint64_t bytes;  /* accelerator memory of one copy; 0 for a service */
    int min_copies;  /* minimum number of copies; 1 for a service */
    bool repeatable; /* a request may safely run more than once */
} BkItem;

typedef enum BkUpstreamKind {
    BK_UPSTREAM_ENGINE,
    BK_UPSTREAM_SERVICE
} BkUpstreamKind;

typedef struct BkUpstream {
    BkUpstreamKind kind;
    char *name;
    char *addr;         /* "ip:port" */
    char *domain;       /* failure domain */
    uint32_t name_hash; /* hash of the name, sent in messages in its place */
    /* bytes of all its accelerators; 0 for an upstream of kind
       BK_UPSTREAM_SERVICE */
    uint64_t memory_bytes;
    /* requests that it can run at the same time */
    int slots;
    /* it rejects orders with an outdated fencing number */
    bool checks_fencing;
    int *services; /* indices of the services that it runs; only if it is
                        of kind BK_UPSTREAM_SERVICE */
    int service_count;
} BkUpstream;

typedef struct BkCallerSpec {
    char *name;
    /* BLAKE2b-256 of its bearer token */
    unsigned char token_hash[BK_DIGEST_BYTES];
    int share;      /* weight in fair sharing between callers */
    bool allow_all; /* may request every item */
    /* otherwise the indices of the items that it may request */
    int *allowed_items;
    int allowed_item_count;
} BkCallerSpec;

typedef struct BkBundle {
    char *name;
    char *note;
    BkItem *items; /* sorted by name; names are unique over all kinds */
    int item_count;
    BkUpstream *upstreams; /* sorted by name */
    int upstream_count;
    /* indices of upstreams, sorted by the hashes of their names */
    int *upstreams_by_hash;
    BkCallerSpec *callers; /* sorted by name */
    int caller_count;
    unsigned char digest[BK_DIGEST_BYTES];
    char *text; /* the text that was parsed */
    size_t text_len;
} BkBundle;

/*
 * Parses and checks a bundle. source_name is the text's name in error
 * messages, which also give section, line and key. Rejected are among others
 * unknown keys, duplicates, unknown references, an item larger than the
 * memory of every engine, and minimum copies that need more than the memory
 * of all engines together.
 * ERRORS: NULL, with BK_EBUNDLE or BK_ETOOBIG in *status.
 */
BkBundle *BkBundle_Parse(const char *source_name, BkStr text,
                         BkStatus *status);
void BkBundle_Destroy(BkBundle *bundle);

/* Return the index of an item or upstream by its name or the hash of its name;
 * -1 if there is none. */
int BkBundle_FindItem(const BkBundle *bundle, BkStr name);
int BkBundle_FindUpstream(const BkBundle *bundle, BkStr name);
int BkBundle_FindUpstreamByHash(const BkBundle *bundle, uint32_t key);

/* The index of the caller with this bearer token (the token itself, not its
 * hash); -1 if there is none. */
int BkBundle_FindCaller(const BkBundle *bundle, BkStr token);

/* Whether the caller may request the item; both are indices. */
bool BkBundle_Allows(const BkBundle *bundle, int caller, int item);

/* The 32-bit xxhash of a name, sent in messages in place of the name. */
uint32_t BkBundle_NameHash(BkStr name);

/* Writes the digest as 64 hex digits and a zero byte. */
void BkDigest_ToHex(const unsigned char *digest, char *hex);
/* Parses 64 hex digits. ERRORS: BK_EINVAL. */
BkStatus BkDigest_Parse(BkStr hex, unsigned char *digest);

#endif
