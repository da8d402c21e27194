/* fuzzes the parser of bundles, which come from operators' files and peers */
#include "bk/bundle/bundle.h"

#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    BkStatus status = BK_OK;
    BkBundle *bundle =
        BkBundle_Parse("fuzz", (BkStr){(const char *)data, size}, &status);

    if ((bundle == NULL) != (status != BK_OK)) {
        __builtin_trap();
    }
    BkBundle_Destroy(bundle);
    return 0;
}
