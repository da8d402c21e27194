/*
 * entry - adds and removes ledger entries; for ledger.c and ledger_json.c
 */
#ifndef BK_SRC_LEDGER_ENTRY_H
#define BK_SRC_LEDGER_ENTRY_H

#include "bk/ledger/ledger.h"

/* Appends an empty entry. The pointer is valid until entries are added or
 * removed. */
BkLedgerEntry *BkLedger_AddEntry(BkLedger *ledger);

/* Appends an unsettled load order. The entry must have room for it. */
void BkLedger_AddLoadOrder(BkLedgerEntry *entry, BkStr sender, uint64_t epoch,
                           uint64_t fence);

/* Frees all entries. */
void BkLedger_DropEntries(BkLedger *ledger);

#endif
