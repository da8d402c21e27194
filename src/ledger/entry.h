/*
 * entry - adding to a ledger, shared by its rules and its JSON
 */
#ifndef BK_SRC_LEDGER_ENTRY_H
#define BK_SRC_LEDGER_ENTRY_H

#include "bk/ledger/ledger.h"

/* A new empty entry at the end; valid until the next one is added. */
BkEntry *BkLedger_AddEntry(BkLedger *ledger);

/* The entry must have room for one more. */
void BkLedger_AddSend(BkEntry *entry, BkStr sender, uint64_t epoch,
                      uint64_t fence);
void BkLedger_DropEntries(BkLedger *ledger);

#endif
