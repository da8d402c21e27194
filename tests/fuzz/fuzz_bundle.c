/* bundles come from operators' files and from peers */
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
