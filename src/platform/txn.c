#include "bk/platform/platform.h"

#include <stdlib.h>

BkTxn *
BkTxn_Create(void)
{
    return BkMem_New(1, sizeof(BkTxn));
}

void
BkTxn_Destroy(BkTxn *txn)
{
    if (txn == NULL) {
        return;
    }
    for (int i = 0; i < txn->count; i++) {
        free(txn->ops[i].table);
        free(txn->ops[i].key);
        free(txn->ops[i].data);
    }
    free(txn);
}

static BkTxnOp *
add_op(BkTxn *txn, BkTxnOpKind kind, BkStr table, BkStr key)
{
    if (txn->count == BK_TXN_MAX_OPS) {
        return NULL;
    }
    BkTxnOp *op = &txn->ops[txn->count++];
    *op = (BkTxnOp){
        .kind = kind, .table = BkStr_Dup(table), .key = BkStr_Dup(key)};
    return op;
}

static BkStatus
set_full_error(void)
{
    return BkErr_Set(BK_ERANGE, "a transaction holds at most %d operations",
                     BK_TXN_MAX_OPS);
}

BkStatus
BkTxn_Check(BkTxn *txn, BkStr table, BkStr key, uint64_t version)
{
    BkTxnOp *op = add_op(txn, BK_TXN_CHECK, table, key);

    if (op == NULL) {
        return set_full_error();
    }
    op->version = version;
    return BK_OK;
}

BkStatus
BkTxn_Put(BkTxn *txn, BkStr table, BkStr key, BkStr data)
{
    BkTxnOp *op = add_op(txn, BK_TXN_PUT, table, key);

    if (op == NULL) {
        return set_full_error();
    }
    op->data = BkStr_Dup(data);
    return BK_OK;
}

BkStatus
BkTxn_Delete(BkTxn *txn, BkStr table, BkStr key)
{
    return add_op(txn, BK_TXN_DELETE, table, key) == NULL ? set_full_error()
                                                          : BK_OK;
}
