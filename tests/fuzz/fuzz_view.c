/* fuzzes the decoder of engine states, which come from many kinds of
   engines */
#include <string.h>

#include "bk/view/view.h"

#include "fuzz.h"

static const char bundle_text[] = "[bundle]\nname = fuzz\n"
                                  "[upstream e1]\nkind = engine\n"
                                  "addr = 10.0.0.1:9000\ndomain = a\n"
                                  "memory = 8GiB\nfencing = checked\n"
                                  "slots = 4\n"
                                  "[model m]\nversion = 2\nbytes = 1GiB\n";

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    BkStatus status = BK_OK;
    BkBundle *bundle =
        BkBundle_Parse("fuzz", BkStr_FromC(bundle_text), &status);
    BkView *view = BkView_Create(bundle, NULL);

    BkView_ApplyState(view, 0, (BkStr){(const char *)data, size}, 1000);
    BkView_FindReady(view, 0, 0);
    BkView_Destroy(view);
    BkBundle_Destroy(bundle);
    return 0;
}
