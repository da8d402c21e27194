#include "bk/base/counters.h"

#include <stdlib.h>
#include <string.h>

typedef struct Entry {
    char *name;
    char *labels;
    char *help;
    BkCounter counter;
    struct Entry *next;
} Entry;

/* kept sorted by name, then labels */
static Entry *entries;

static int
compare_entry(const Entry *entry, const char *name, const char *labels)
{
    int order = strcmp(entry->name, name);

    return order != 0 ? order : strcmp(entry->labels, labels);
}

BkCounter *
BkCounter_Get(const char *name, const char *labels, const char *help)
{
    Entry **link = &entries;
    int order = 1;

    labels = labels == NULL ? "" : labels;
    while (*link != NULL) {
        order = compare_entry(*link, name, labels);
        if (order >= 0) {
            break;
        }
        link = &(*link)->next;
    }
    if (*link != NULL && order == 0) {
        return &(*link)->counter;
    }
    Entry *entry = BkMem_New(1, sizeof(*entry));
    entry->name = BkStr_Dup(BkStr_FromC(name));
    entry->labels = BkStr_Dup(BkStr_FromC(labels));
    entry->help = BkStr_Dup(BkStr_FromC(help));
    entry->next = *link;
    *link = entry;
    return &entry->counter;
}

void
BkCounter_Add(BkCounter *counter, int64_t n)
{
    counter->value += n;
}

void
BkCounter_Set(BkCounter *counter, int64_t value)
{
    counter->value = value;
}

static const char *
metric_type(const char *name)
{
    size_t len = strlen(name);
    const char *suffix = "_total";
    size_t suffix_len = strlen(suffix);

    if (len > suffix_len && strcmp(name + len - suffix_len, suffix) == 0) {
        return "counter";
    }
    return "gauge";
}

void
BkCounter_Print(BkBuf *out)
{
    const char *previous = "";

    for (const Entry *e = entries; e != NULL; e = e->next) {
        if (strcmp(previous, e->name) != 0) {
            BkBuf_Printf(out, "# HELP %s %s\n# TYPE %s %s\n", e->name, e->help,
                         e->name, metric_type(e->name));
        }
        previous = e->name;
        if (e->labels[0] == '\0') {
            BkBuf_Printf(out, "%s %lld\n", e->name,
                         (long long)e->counter.value);
        }
        else {
            BkBuf_Printf(out, "%s{%s} %lld\n", e->name, e->labels,
                         (long long)e->counter.value);
        }
    }
}
