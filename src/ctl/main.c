#include <argp.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "output.h"

enum {
    MAX_WORDS = 512,
    MAX_NAME = 32,
    MAX_TEXT_BYTES = 500, /* of --why and --by */
    OPT_AGAINST = 256,
    OPT_BY,
    OPT_CHECK_CONFIG,
    OPT_JSON,
    OPT_KEY,
    OPT_LAST,
    OPT_MARKDOWN,
    OPT_REPLACES,
    OPT_WAIT,
    OPT_WHY
};

#define BIT(option) (1U << ((option)-OPT_AGAINST))

typedef struct Command {
    const char *name;
    /* "" if it takes no argument; with "..." at the end: two or more */
    const char *arg_name;
    /* bits of the options it allows in addition to --config, --check-config
       and --json */
    unsigned options;
    unsigned required; /* bits of those that must be given */
    bool online;       /* needs the settings, the platform and the daemons */
    BkCtlFn run;
    const char *help;
} Command;

/* sorted by name */
static const Command commands[] = {
    {"bundle check", "FILE", BIT(OPT_AGAINST), 0, false, BkCtl_BundleCheck,
     "check a bundle, and a roll to it from --against FILE"},
    {"bundle roll", "FILE",
     BIT(OPT_REPLACES) | BIT(OPT_WHY) | BIT(OPT_WAIT) | BIT(OPT_BY),
     BIT(OPT_REPLACES) | BIT(OPT_WHY), true, BkCtl_BundleRoll,
     "bring a signed bundle into force, replacing version N"},
    {"bundle sign", "FILE", BIT(OPT_KEY), BIT(OPT_KEY), false,
     BkCtl_BundleSign, "sign a bundle; writes FILE.sig"},
    {"codes", "", BIT(OPT_MARKDOWN), 0, false, BkCtl_Codes,
     "the table of result codes"},
    {"drain", "UPSTREAM", BIT(OPT_WHY) | BIT(OPT_BY), BIT(OPT_WHY), true,
     BkCtl_Drain, "give an upstream no new work"},
    {"explain", "ID LOG...", 0, 0, false, BkCtl_Explain,
     "what became of a request, from logs of bk-front"},
    {"fronts", "", 0, 0, true, BkCtl_Fronts,
     "bk-front daemons, their upstreams and verdicts"},
    {"handover", "", 0, 0, true, BkCtl_Handover,
     "one page for the incoming shift"},
    {"key new", "FILE", 0, 0, false, BkCtl_KeyNew,
     "make a key for signing bundles"},
    {"log", "", BIT(OPT_LAST), 0, true, BkCtl_ShowLog, "the audit trail"},
    {"status", "", 0, 0, true, BkCtl_ShowStatus,
     "bundle in force, daemons, upstreams"},
    {"undrain", "UPSTREAM", BIT(OPT_WHY) | BIT(OPT_BY), BIT(OPT_WHY), true,
     BkCtl_Undrain, "give an upstream work again"},
    {"verdict lift", "TRAIT", BIT(OPT_WHY) | BIT(OPT_BY), BIT(OPT_WHY), true,
     BkCtl_VerdictLift, "serve requests again that bk-front refuses"},
    {"wait", "VERSION", 0, 0, true, BkCtl_Wait,
     "wait until all bk-front daemons act on a configuration"},
    {"watch", "", 0, 0, true, BkCtl_Watch, "like fronts, again each second"},
};

enum {
    COMMAND_COUNT = sizeof(commands) / sizeof(commands[0])
};

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0, "settings (/etc/burdockkeel/ctl.ini)", 0},
    {"check-config", OPT_CHECK_CONFIG, NULL, 0, "check the settings and exit",
     0},
    {"json", OPT_JSON, NULL, 0, "print one JSON object", 0},
    {"against", OPT_AGAINST, "FILE", 0, "bundle that would be replaced", 1},
    {"by", OPT_BY, "NAME", 0, "name of the operator, for the audit trail", 1},
    {"key", OPT_KEY, "FILE", 0, "secret key of the signer", 1},
    {"last", OPT_LAST, "N", 0, "number of entries (20)", 1},
    {"markdown", OPT_MARKDOWN, NULL, 0, "print docs/RESULT-CODES.md", 1},
    {"replaces", OPT_REPLACES, "N", 0,
     "version in force that is replaced; 0 for the first", 1},
    {"wait", OPT_WAIT, NULL, 0, "show progress until it is rolled", 1},
    {"why", OPT_WHY, "TEXT", 0, "the reason, for the audit trail", 1},
    {0},
};

/* The parsed command line. */
typedef struct CommandLine {
    BkCtlOptions options;
    /* bits of the given options, without --config, --check-config and
       --json */
    unsigned given_options;
    char *words[MAX_WORDS + 1]; /* with NULL at the end */
    int word_count;
} CommandLine;

static void
set_option(CommandLine *line, int key, const char *value)
{
    switch (key) {
    case OPT_AGAINST:
        line->options.against = value;
        break;
    case OPT_BY:
        line->options.by = value;
        break;
    case OPT_KEY:
        line->options.key = value;
        break;
    case OPT_LAST:
        line->options.last = value;
        break;
    case OPT_MARKDOWN:
        line->options.markdown = true;
        break;
    case OPT_REPLACES:
        line->options.replaces = value;
        break;
    case OPT_WAIT:
        line->options.wait = true;
        break;
    default:
        line->options.why = value;
        break;
    }
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    CommandLine *line = state->input;

    switch (key) {
    case 'c':
        line->options.config = value;
        return 0;
    case OPT_CHECK_CONFIG:
        line->options.check_config = true;
        return 0;
    case OPT_JSON:
        line->options.json = true;
        return 0;
    case ARGP_KEY_ARG:
        if (line->word_count == MAX_WORDS) {
            argp_error(state, "too many words");
        }
        line->words[line->word_count++] = value;
        return 0;
    default:
        break;
    }
    if (key < OPT_AGAINST || key > OPT_WHY) {
        return ARGP_ERR_UNKNOWN;
    }
    line->given_options |= BIT(key);
    set_option(line, key, value);
    return 0;
}

/* Help filter of argp: adds the list of commands at the end. */
static char *
format_commands(int key, const char *text, void *input)
{
    BkBuf out = BkBuf_Make(0);

    (void)input;
    if (key != ARGP_KEY_HELP_POST_DOC) {
        return (char *)text;
    }
    BkBuf_Printf(&out, "Commands:\n");
    for (int i = 0; i < COMMAND_COUNT; i++) {
        char name[MAX_NAME];
        snprintf(name, sizeof(name), "%s %s", commands[i].name,
                 commands[i].arg_name);
        BkBuf_Printf(&out, "  %-20s  %s\n", name, commands[i].help);
    }
    BkBuf_Printf(&out, "\nThe exit status is a result code: bkctl codes.");
    return out.ptr;
}

/* Finds the command that the line starts with; its name consists of one or two
 * words, counted in *name_words. */
static const Command *
find_command(const CommandLine *line, int *name_words)
{
    char name[MAX_NAME * 2] = "";

    for (*name_words = 1; *name_words <= line->word_count && *name_words <= 2;
         (*name_words)++) {
        const char *first = line->words[0];
        if (*name_words == 1) {
            snprintf(name, sizeof(name), "%s", first);
        }
        else {
            snprintf(name, sizeof(name), "%s %s", first, line->words[1]);
        }
        for (int i = 0; i < COMMAND_COUNT; i++) {
            if (strcmp(commands[i].name, name) == 0) {
                return &commands[i];
            }
        }
    }
    return NULL;
}

static const char *
option_name(int key)
{
    for (int i = 0; options[i].name != NULL; i++) {
        if (options[i].key == key) {
            return options[i].name;
        }
    }
    return "";
}

static BkStatus
check_options(const CommandLine *line, const Command *command)
{
    for (int key = OPT_AGAINST; key <= OPT_WHY; key++) {
        if ((line->given_options & BIT(key) & ~command->options) != 0) {
            return BkErr_Set(BK_EUSAGE, "--%s is not an option of %s",
                             option_name(key), command->name);
        }
        if ((command->required & BIT(key) & ~line->given_options) != 0) {
            return BkErr_Set(BK_EUSAGE, "%s needs --%s; see bkctl --help",
                             command->name, option_name(key));
        }
    }
    return BK_OK;
}

/* Texts that are stored in rows must be valid JSON strings. */
static BkStatus
check_texts(const BkCtlOptions *given)
{
    const char *texts[] = {given->why, given->by};

    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        json_t *text = texts[i] == NULL ? NULL : json_string(texts[i]);
        size_t len = json_string_length(text);
        if (texts[i] != NULL && (len == 0 || len > MAX_TEXT_BYTES)) {
            json_decref(text);
            return BkErr_Set(BK_EUSAGE, "--%s: needs 1 to %d bytes of UTF-8",
                             i == 0 ? "why" : "by", MAX_TEXT_BYTES);
        }
        json_decref(text);
    }
    return BK_OK;
}

static BkStatus
check_command_line(const CommandLine *line, const Command *command,
                   int name_words)
{
    int arg_count = command->arg_name[0] == '\0' ? 0 : 1;
    int given = line->word_count - name_words;
    bool many = strstr(command->arg_name, "...") != NULL;

    if (many ? given < 2 : given != arg_count) {
        return BkErr_Set(BK_EUSAGE, "usage: bkctl %s%s%s [OPTION...]",
                         command->name, arg_count == 0 ? "" : " ",
                         command->arg_name);
    }
    BkStatus status = check_options(line, command);
    return status == BK_OK ? check_texts(&line->options) : status;
}

static BkStatus
check_config(BkCtl *ctl)
{
    BkStatus status = BkCtl_LoadSettings(ctl);

    if (status == BK_OK) {
        printf("%s: settings are good\n", ctl->options.config);
    }
    return status;
}

static BkStatus
run_command_line(BkCtl *ctl, CommandLine *line)
{
    int name_words = 0;

    if (line->options.check_config) {
        return check_config(ctl);
    }
    const Command *command = find_command(line, &name_words);
    if (command == NULL) {
        return BkErr_Set(BK_EUSAGE, "%s; see bkctl --help",
                         line->word_count == 0 ? "no command given"
                                               : "unknown command");
    }
    BkStatus status = check_command_line(line, command, name_words);
    if (status == BK_OK && command->online) {
        status = BkCtl_LoadSettings(ctl);
    }
    if (status != BK_OK) {
        return status;
    }
    if (command->online) {
        BkCtl_Open(ctl);
    }
    return command->run(ctl, line->words + name_words);
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {options,
                                     parse_option,
                                     "COMMAND",
                                     "The operators' tool of "
                                     "burdockkeel.\v",
                                     NULL,
                                     format_commands,
                                     NULL};
    CommandLine line = {0};

    argp_program_version = "bkctl " BK_VERSION;
    argp_err_exit_status = BK_EUSAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &line);
    if (sodium_init() < 0) {
        fprintf(stderr, "bkctl: libsodium cannot be initialized\n");
        return BK_EINTERNAL;
    }
    BkCtl ctl = {.options = line.options};
    BkStatus status = run_command_line(&ctl, &line);
    if (status != BK_OK && !ctl.failure_printed) {
        BkCtl_PrintError(&ctl, status);
    }
    BkCtl_Close(&ctl);
    return (int)status;
}
