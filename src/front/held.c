#include "held.h"

#include <string.h>

static void
copy_row(bkp_row *to, const bkp_row *from)
{
    u_int len = from->value.value_len;

    *to = *from;
    to->key = BkStr_Dup(BkStr_FromC(from->key));
    to->value.value_val = BkMem_New(len + 1, 1);
    if (len > 0) {
        memcpy(to->value.value_val, from->value.value_val, len);
    }
}

/* the others stay in the order in which they came */
static void
close_gap(FrHeld *held, int place)
{
    held->count--;
    memmove(held->messages + place, held->messages + place + 1,
            (size_t)(held->count - place) * sizeof(held->messages[0]));
}

static void
drop(FrHeld *held, int place)
{
    xdr_free((xdrproc_t)xdr_bkp_reports, (char *)&held->messages[place]);
    close_gap(held, place);
}

void
FrHeld_Keep(FrHeld *held, const bkp_reports *reports)
{
    if (reports->rows.rows_len == 0) {
        return;
    }
    if (held->count == FR_HELD_MOST) {
        drop(held, 0); /* the others' news will show that we are behind */
    }
    bkp_reports *kept = &held->messages[held->count++];
    *kept = *reports;
    kept->pass_to.pass_to_len = 0; /* it is passed on already */
    kept->pass_to.pass_to_val = NULL;
    kept->name = BkStr_Dup(BkStr_FromC(reports->name));
    kept->rows.rows_val =
        BkMem_New(reports->rows.rows_len, sizeof(*kept->rows.rows_val));
    for (u_int i = 0; i < reports->rows.rows_len; i++) {
        copy_row(&kept->rows.rows_val[i], &reports->rows.rows_val[i]);
    }
}

bool
FrHeld_Next(FrHeld *held, uint64_t version, bkp_reports *out)
{
    for (int i = held->count - 1; i >= 0; i--) {
        if (held->messages[i].revision <= version) {
            drop(held, i);
        }
    }
    for (int i = 0; i < held->count; i++) {
        if (held->messages[i].before <= version) {
            *out = held->messages[i];
            close_gap(held, i);
            return true;
        }
    }
    return false;
}

void
FrHeld_Clear(FrHeld *held)
{
    while (held->count > 0) {
        drop(held, held->count - 1);
    }
}
