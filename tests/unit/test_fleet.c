#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/fleet/fleet.h"
#include "script.h"

typedef struct Fixture {
    BkFleet fleet;
    BkMs now;
} Fixture;

static const char *const state_names[] = {"listed", "missing", "leaving",
                                          "gone"};

/* report ID ADDRESS STARTED ready|draining VERSION [MODEL[+ADAPTER]...] */
static void
apply_report(Fixture *fixture, char **words, int count)
{
    BkUpReport report = {.id = BkStr_Dup(BkStr_FromC(words[1])),
                         .address = BkStr_Dup(BkStr_FromC(words[2])),
                         .service = BkStr_Dup(BK_STR("llm")),
                         .domain = BkStr_Dup(BK_STR("d1")),
                         .started_at = strtoull(words[3], NULL, 10),
                         .draining = strcmp(words[4], "draining") == 0,
                         .slots = 4};

    report.models = BkMem_New((size_t)count, sizeof(*report.models));
    for (int i = 6; i < count; i++) {
        BkStr adapter = BkStr_FromC(words[i]);
        BkLoadedModel *loaded = &report.models[report.model_count++];
        loaded->name = BkStr_Dup(BkStr_Split(&adapter, '+'));
        if (adapter.len > 0) {
            loaded->adapters = BkMem_New(1, sizeof(char *));
            loaded->adapters[loaded->adapter_count++] = BkStr_Dup(adapter);
        }
    }
    BkFleet_ApplyReport(&fixture->fleet, &report, strtoull(words[5], NULL, 10),
                        fixture->now);
    BkUpReport_Destroy(&report);
}

static void
print_upstreams(const Fixture *fixture, BkBuf *out)
{
    for (int i = 0; i < fixture->fleet.count; i++) {
        const BkUp *up = fixture->fleet.ups[i];
        BkBuf_Printf(out, "  %s %s born %llu %s%s models %d adapters %d\n",
                     up->id, up->address, (unsigned long long)up->started_at,
                     state_names[up->state], BkUp_IsOpen(up) ? " open" : "",
                     up->model_count, up->adapter_count);
    }
}

/* Script verbs:
 *   at MS               sets the time and sweeps the fleet
 *   report ...          applies a report, see apply_report
 *   removed ID VERSION  the store says that the report of ID was removed
 *   list                begins to read the complete list of reports
 *   end VERSION         ends it
 *   outage              the store is unreachable
 *   leaving ID          the upstream says that it is leaving
 *   replaced ID         another process responded at its address
 *   close ID MODEL      sends no new requests for MODEL there for 8000 ms
 *   own-running ID      this daemon has 3 requests in progress there
 *   new                 empties the fleet
 *   show                prints all upstreams */
static void
run_line(char **words, int count, BkBuf *out, void *arg)
{
    Fixture *fixture = arg;
    BkFleet *fleet = &fixture->fleet;
    BkUp *up = count > 1 ? BkFleet_Find(fleet, BkStr_FromC(words[1])) : NULL;

    if (strcmp(words[0], "at") == 0) {
        fixture->now = atoll(words[1]);
        BkFleet_Sweep(fleet, fixture->now);
    }
    else if (strcmp(words[0], "report") == 0) {
        apply_report(fixture, words, count);
    }
    else if (strcmp(words[0], "removed") == 0) {
        BkFleet_ApplyRemoval(fleet, BkStr_FromC(words[1]),
                             strtoull(words[2], NULL, 10), fixture->now);
    }
    else if (strcmp(words[0], "list") == 0) {
        BkFleet_BeginList(fleet);
    }
    else if (strcmp(words[0], "end") == 0) {
        BkFleet_EndList(fleet, strtoull(words[1], NULL, 10), fixture->now);
    }
    else if (strcmp(words[0], "outage") == 0) {
        BkFleet_NoteStoreOutage(fleet, fixture->now);
    }
    else if (strcmp(words[0], "leaving") == 0) {
        BkFleet_MarkLeaving(fleet, up, fixture->now);
    }
    else if (strcmp(words[0], "replaced") == 0) {
        BkFleet_MarkGone(fleet, up, fixture->now);
    }
    else if (strcmp(words[0], "close") == 0) {
        BkUp_CloseModel(up, BkStr_NameHash(BkStr_FromC(words[2])),
                        fixture->now + 8000);
    }
    else if (strcmp(words[0], "own-running") == 0) {
        up->own_running = 3;
    }
    else if (strcmp(words[0], "new") == 0) {
        BkFleet_Destroy(fleet);
    }
    else if (strcmp(words[0], "show") == 0) {
        print_upstreams(fixture, out);
    }
    else {
        BkBuf_Printf(out, "  unknown command\n");
    }
}

START_TEST(test_script)
{
    Fixture fixture = {.now = 0};

    BkScript_Run("fleet", run_line, &fixture);
    BkFleet_Destroy(&fixture.fleet);
}
END_TEST

/* A polled state is ignored if the engine has accepted an order since then. */
START_TEST(test_polled_state)
{
    BkFleet fleet = {0};
    char name[] = "m1";
    char *adapters[] = {"a1"};
    BkLoadedModel models[] = {{name, adapters, 1}};
    BkUpReport report = {.id = "e1",
                         .address = "10.0.0.1:80",
                         .service = "llm",
                         .domain = "d1",
                         .models = models,
                         .model_count = 1};
    BkUpReport empty = {0};
    uint32_t m1 = BkStr_NameHash(BK_STR("m1"));
    uint32_t a1 = BkStr_NameHash(BK_STR("a1"));
    BkUp *up = BkFleet_ApplyReport(&fleet, &report, 1, 0);

    ck_assert(BkUp_HasAdapter(up, m1, a1));
    ck_assert(BkUp_ApplyPolledState(up, &empty, 4, 100));
    ck_assert(!BkUp_HasModel(up, m1));
    ck_assert(!BkUp_ApplyPolledState(up, &report, 3, 200));
    ck_assert(!BkUp_HasModel(up, m1));
    ck_assert(BkUp_ApplyPolledState(up, &report, 5, 300));
    /* a report without the adapter keeps it loaded; a report without its
       model unloads both */
    models[0].adapter_count = 0;
    BkFleet_ApplyReport(&fleet, &report, 2, 400);
    ck_assert(BkUp_HasAdapter(up, m1, a1));
    report.model_count = 0;
    BkFleet_ApplyReport(&fleet, &report, 3, 500);
    ck_assert(!BkUp_HasAdapter(up, m1, a1));
    BkFleet_Destroy(&fleet);
}
END_TEST

/* An upstream that another process replaced under its id is kept until its
   last request or connection has ended, so that bk-front can close these. */
START_TEST(test_replaced)
{
    BkFleet fleet = {0};
    BkUpReport report = {.id = "e1",
                         .address = "10.0.0.1:80",
                         .service = "llm",
                         .domain = "d1",
                         .started_at = 1};
    BkUp *old = BkUp_Ref(BkFleet_ApplyReport(&fleet, &report, 1, 0));

    report.started_at = 2;
    ck_assert_ptr_ne(BkFleet_ApplyReport(&fleet, &report, 2, 100), old);
    BkFleet_Sweep(&fleet, 200);
    ck_assert_int_eq(fleet.count, 1);
    ck_assert_int_eq(fleet.replaced_count, 1);
    ck_assert_ptr_eq(fleet.replaced[0], old);
    BkUp_Unref(old);
    BkFleet_Sweep(&fleet, 300);
    ck_assert_int_eq(fleet.replaced_count, 0);
    BkFleet_Destroy(&fleet);
}
END_TEST

static void
check_view(const BkFleet *fleet, BkMs now, int versions, bool complete)
{
    const BkMs memory = 1000;
    BkOriginView view = BkFleet_ViewSoftware(
        fleet, BkStr_NameHash(BK_STR("llm")), memory, now);

    ck_assert_int_eq(view.versions, versions);
    ck_assert_int_eq(view.complete, complete);
}

/* A version counts until all its upstreams have been gone for a while; what
   served before the first list is not known for as long. */
START_TEST(test_software_versions)
{
    BkFleet fleet = {0};
    char v1[] = "v1";
    char v2[] = "v2";
    BkUpReport report = {.id = "e1",
                         .address = "10.0.0.1:80",
                         .service = "llm",
                         .domain = "d1",
                         .software = v1};
    const BkUp *first = BkFleet_ApplyReport(&fleet, &report, 1, 0);

    check_view(&fleet, 5000, 1, false);
    BkFleet_EndList(&fleet, 1, 5000);
    check_view(&fleet, 5999, 1, false);
    check_view(&fleet, 6000, 1, true);
    report.service = "other";
    report.id = "e2";
    report.software = v2;
    BkFleet_ApplyReport(&fleet, &report, 2, 6000);
    check_view(&fleet, 6000, 1, true);
    report.service = "llm";
    report.id = "e3";
    BkFleet_ApplyReport(&fleet, &report, 3, 6000);
    check_view(&fleet, 6000, 2, true);
    BkFleet_ApplyRemoval(&fleet, BK_STR("e3"), 4, 7000);
    check_view(&fleet, 7999, 2, true);
    check_view(&fleet, 8000, 1, true);
    /* the same id with another version is another process */
    report.id = "e1";
    ck_assert_ptr_ne(BkFleet_ApplyReport(&fleet, &report, 5, 9000), first);
    check_view(&fleet, 9000, 2, true);
    BkFleet_Destroy(&fleet);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script, test_polled_state,
                                  test_replaced, test_software_versions};

    return BkUnit_Main("fleet", tests, 4);
}
