/* fuzzes the decoders of rows in the table service, which daemons of other
   versions may have written */
#include "bk/claim/claim.h"
#include "bk/ledger/ledger.h"

#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    BkStr text = {(const char *)data, size};
    BkUpstream upstream = {.name = "e1", .memory_bytes = UINT64_C(1) << 36};
    BkLedger *ledger = BkLedger_Create(&upstream);
    BkClaimRow row = {0};

    if (BkLedger_Decode(ledger, text, 1) == BK_OK) {
        BkBuf out = BkBuf_Make(0);
        BkLedger_Encode(ledger, &out);
        if (BkLedger_Decode(ledger, BkBuf_Str(&out), 2) != BK_OK) {
            __builtin_trap();
        }
        BkBuf_Destroy(&out);
    }
    BkLedger_Destroy(ledger);
    if (BkClaim_Decode(&row, text, 1) == BK_OK) {
        BkClaim_Clear(&row);
    }
    return 0;
}
