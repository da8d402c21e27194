/*
 * show - parts of the pages of bkctl status, log and handover
 *
 * Each part says in brackets whence its figures come.
 */
#ifndef BK_CTL_SHOW_H
#define BK_CTL_SHOW_H

#include <jansson.h>

#include "fleet.h"

void BkCtl_PrintInForce(const BkFleet *fleet);
void BkCtl_PrintProgress(const BkFleet *fleet);
void BkCtl_PrintDaemons(const BkFleet *fleet);
void BkCtl_PrintDrains(const BkFleet *fleet);
void BkCtl_PrintAudit(const BkAuditList *audit);

json_t *BkCtl_FleetJson(const BkFleet *fleet);
json_t *BkCtl_AuditJson(const BkAuditList *audit);

/* The status of a page: an error if the platform could not be read. */
BkStatus BkCtl_FleetStatus(const BkFleet *fleet);

#endif
