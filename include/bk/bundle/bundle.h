/*
 * bundle - what must be served, where it may run, and for whom
 *
 * A bundle is an INI text kept in version control (docs/OPERATING.md). A
 * parsed bundle is immutable. Its digest is the BLAKE2b-256 of its text and
 * names it in the object store; its version is given by the roll that
 * accepted it (row bundle/in-force) and only ever rises.
 *
 *   [bundle]            name = varanda   note = afternoon peak
 *   [upstream engine-1] kind = engine  addr = 10.0.0.5:9000  domain = a
 *                       memory = 48GiB  fencing = checked  slots = 16
 *   [upstream app-1]    kind = service addr = ...  domain = b
 *                       serves = watering status   slots = 16
 *   [model care-7b]     version = 3  bytes = 14GiB  repeatable = yes
 *                       copies = 2  (least number of copies, default 1)
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
    char *version;  /* "" for a service */
    int base;       /* item index of an adapter's model, else -1 */
    uint64_t bytes; /* accelerator memory of one copy; 0 for a service */
    int copies;     /* least number of copies */
    bool repeatable;
} BkItem;

typedef enum BkUpstreamKind {
    BK_UPSTREAM_ENGINE,
    BK_UPSTREAM_SERVICE
} BkUpstreamKind;

typedef struct BkUpstream {
    BkUpstreamKind kind;
    char *name;
    char *addr; /* "ip:port" */
    char *domain;
    uint32_t key;    /* BkBundle_Key of the name, for messages */
    uint64_t memory; /* bytes of all its accelerators; 0 for a service */
    int slots;       /* requests it runs at once */
    bool fencing;    /* refuses orders with an old fencing number */
    int *serves;     /* item indices of a service */
    int serves_count;
} BkUpstream;

typedef struct BkCallerSpec {
    char *name;
    unsigned char token[BK_DIGEST_BYTES]; /* hash of the bearer token */
    int share;                            /* weight of its fair share */
    bool all;                             /* may call every item */
    int *allow;                           /* item indices otherwise */
    int allow_count;
} BkCallerSpec;

typedef struct BkBundle {
    char *name;
    char *note;
    BkItem *items; /* sorted by name; names are unique over all kinds */
    int item_count;
    BkUpstream *upstreams; /* sorted by name */
    int upstream_count;
    int *upstreams_by_key; /* their indices, sorted by key */
    BkCallerSpec *callers; /* sorted by name */
    int caller_count;
    unsigned char digest[BK_DIGEST_BYTES];
    char *text; /* as parsed */
    size_t text_len;
} BkBundle;

/*
 * Parses and checks. where names the text in messages. Refused with section,
 * line and key: unknown keys, duplicates, unknown references, an item
 * larger than every engine, least copies that do not fit in all memory.
 * ERRORS: NULL, with BK_EBUNDLE or BK_ETOOBIG in *status.
 */
BkBundle *BkBundle_Parse(const char *where, BkStr text, BkStatus *status);
void BkBundle_Destroy(BkBundle *bundle);

/* Indices by name; -1 if there is none. */
int BkBundle_FindItem(const BkBundle *bundle, BkStr name);
int BkBundle_FindUpstream(const BkBundle *bundle, BkStr name);
int BkBundle_FindUpstreamKey(const BkBundle *bundle, uint32_t key);

/* The caller whose bearer token this is; -1 if there is none. */
int BkBundle_FindCaller(const BkBundle *bundle, BkStr token);
bool BkBundle_Allows(const BkBundle *bundle, int caller, int item);

/* 32-bit xxhash of a name, used in messages in place of the name. */
uint32_t BkBundle_Key(BkStr name);

/* Digest as 64 hex digits and a zero byte. */
void BkDigest_Hex(const unsigned char *digest, char *hex);
/* ERRORS: BK_EINVAL. */
BkStatus BkDigest_Parse(BkStr hex, unsigned char *digest);

#endif
