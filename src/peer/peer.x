/*
 * Messages between the daemons (bk-front) of the users' platform: ONC RPC
 * calls over UDP, without replies. Upstreams, models and adapters are named by
 * the hashes of their names (BkStr_NameHash), except where a field is a
 * string.
 */
const BKP_MAX_NAME = 64;          /* bytes */
/* most elements of each list, where no unit is given */
const BKP_MAX_TOTALS = 24;
const BKP_MAX_HEARD = 64;
const BKP_MAX_LEAVING = 32;
const BKP_MAX_MEMBERS = 4;
const BKP_MAX_DEMANDS = 48;
const BKP_MAX_ADAPTER_USES = 24;
const BKP_MAX_CHANGES = 32;
const BKP_MAX_WEIGHT_LOADS = 256;
const BKP_MAX_ROWS = 8;
const BKP_MAX_ROW_BYTES = 1400;   /* bytes of a row's value */
const BKP_MAX_FORWARD = 12;
const BKP_MAX_ORIGINS = 64;
const BKP_MAX_SUSPECTS = 24;
const BKP_MAX_WELL_RUNS = 24;
const BKP_MAX_VERDICTS = 16;
const BKP_MAX_LOST = 64;
const BKP_MAX_REMOVED = 48;

/* load that the sender causes at an upstream */
struct bkp_load {
    unsigned int up;
    unsigned int running;         /* its requests in progress there */
    unsigned int prompt_tokens;   /* prompt tokens of those not yet answered */
};

/* an upstream that is leaving */
struct bkp_leaving {
    unsigned int up;
    unsigned hyper started_at;    /* its start time, in ms since 1970 */
};

/* another daemon */
struct bkp_member {
    string name<BKP_MAX_NAME>;
    string address<BKP_MAX_NAME>; /* "ip:port" for these datagrams */
    string domain<BKP_MAX_NAME>;  /* failure domain; "" if not known */
};

/* the load that all daemons together cause at an upstream */
struct bkp_total {
    bkp_load load;
    unsigned int age;             /* ms since its coordinator counted it */
};

/* a daemon that the sender knows to run */
struct bkp_heard {
    unsigned int key;             /* hash of its name */
    /* ms since it was known to run, times 4, plus 1 if it is stopping, plus 2
       if the store answers its calls */
    unsigned int age_and_flags;
};

typedef string bkp_address<BKP_MAX_NAME>; /* "ip:port" for these datagrams */

/* what the receiver of a message does to spread it (bk/spread/spread.h) */
struct bkp_spread {
    unsigned int origin;          /* hash of the name of the first sender */
    int to_domain;                /* spread it in the own failure domain */
    bkp_address forward_to<BKP_MAX_FORWARD>; /* forward it to these */
};

/* state of a daemon, sent regularly to some others (gossip) */
struct bkp_gossip {
    string name<BKP_MAX_NAME>;    /* name of the sender */
    unsigned hyper started_at;    /* its start time, in ms since 1970 */
    string domain<BKP_MAX_NAME>;  /* its failure domain */
    unsigned hyper site_version;  /* version of the configuration it uses */
    /* newest store version that it applied to its table of reports, and the
       era of the store that gave it out */
    unsigned hyper report_era;
    unsigned hyper report_version;
    string planner<BKP_MAX_NAME>; /* planner that it knows; "": none */
    unsigned hyper term;          /* term of that planner */
    unsigned int planner_age;     /* ms since that planner was known to act */
    unsigned hyper resigned_term; /* term that the sender resigned from: it
                                     sends no more orders in that term;
                                     0: none */
    int stopping;
    int store_ok;                 /* whether the store answers its calls */
    bkp_total totals<BKP_MAX_TOTALS>;
    bkp_heard heard<BKP_MAX_HEARD>;
    bkp_leaving leaving<BKP_MAX_LEAVING>;
    bkp_member members<BKP_MAX_MEMBERS>;
};

/* sent by the planner to all daemons a few times a second */
struct bkp_planner_beat {
    bkp_spread spread;
    string name<BKP_MAX_NAME>;    /* name of the planner */
    unsigned hyper term;
    /* versions of the two rows of the lease, as it wrote them */
    unsigned hyper term_version;
    unsigned hyper beat_version;
    /* for each load from the weight store that it started recently, the ms
       since then */
    unsigned int recent_weight_load_ages<BKP_MAX_WEIGHT_LOADS>;
};

/* demand for a model */
struct bkp_demand {
    unsigned int model;
    unsigned int requests;        /* since the daemon started */
    /* their work in prompt-token equivalents: prompt tokens, and the requested
       output tokens times OUTPUT_WEIGHT (src/front/arrival.c) */
    unsigned hyper work_tokens;
    /* of these, since the sender last told this row */
    unsigned int new_work_tokens;
    unsigned int waiting;         /* requests that wait now because no upstream
                                     has loaded the model */
};

/* an adapter that requests used at an upstream */
struct bkp_adapter_use {
    unsigned int up;
    unsigned int model;
    unsigned int adapter;
};

/* demand at a daemon, sent to the planner */
struct bkp_demands {
    string name<BKP_MAX_NAME>;    /* name of the sender */
    unsigned hyper started_at;    /* its start time, in ms since 1970 */
    /* rows that changed, and some others in turn */
    bkp_demand rows<BKP_MAX_DEMANDS>;
    /* since the last message */
    bkp_adapter_use adapter_uses<BKP_MAX_ADAPTER_USES>;
};

/* asks the planner to load an adapter, for which a request waits, into an
   upstream that has loaded the model */
struct bkp_adapter_request {
    unsigned int up;
    string model<BKP_MAX_NAME>;
    string adapter<BKP_MAX_NAME>;
};

enum bkp_change_kind {
    /* the model takes requests: it was loaded, or an unload of it did not take
       place */
    BKP_MODEL_AVAILABLE = 0,
    BKP_MODEL_CLOSING = 1,        /* it will be unloaded: no new requests */
    BKP_ADAPTER_LOADED = 2,       /* the adapter was loaded */
    BKP_ADAPTER_UNLOADED = 3,     /* the adapter was unloaded */
    /* the model is being loaded, or will be after an unload of another one; it
       is expected to be ready after eta */
    BKP_MODEL_EXPECTED = 4
};

/* a change of the models or adapters that an upstream has loaded */
struct bkp_change {
    bkp_change_kind kind;
    unsigned int up;
    unsigned hyper order_count;   /* number of orders that the upstream had
                                     accepted by then */
    unsigned int model;
    unsigned int adapter;
    unsigned int eta;             /* ms until the model is expected to be
                                     ready */
};

/* changes by orders of the planner, sent to all daemons */
struct bkp_changes {
    bkp_spread spread;
    unsigned hyper term;
    bkp_change rows<BKP_MAX_CHANGES>;
};

/* a row of the store's table of reports */
struct bkp_row {
    string key<BKP_MAX_NAME>;
    unsigned hyper store_version; /* store version that wrote or removed it */
    int removed;                  /* it was removed */
    opaque value<BKP_MAX_ROW_BYTES>;
};

/* The reports that changed in the store between two versions, sent to all
   daemons by one that reads them from the store (a reader). If
   from_store_version is higher than the version that a receiver has reached,
   the receiver has missed a message. A message without rows has the same
   version twice: it is a keepalive, or it announces that a row is too large
   for a message, and the receivers then read the changes from the store. */
struct bkp_reports {
    bkp_spread spread;
    string name<BKP_MAX_NAME>;    /* name of the reader */
    unsigned hyper store_era;     /* era of the store that gave out the
                                     versions */
    unsigned hyper from_store_version; /* store version before the changes */
    unsigned hyper to_store_version; /* store version with the changes */
    unsigned hyper site_version;  /* version of the configuration it uses */
    int store_outage;             /* the store failed a short time ago */
    bkp_row rows<BKP_MAX_ROWS>;
};

/* the rate limit that an upstream last named in a response (bk/throttle) */
struct bkp_limit {
    int rate;                     /* requests in 1000 s; -1: none */
    unsigned int age;             /* ms since that response */
};

/* Asks the coordinator of an upstream, the daemon that counts its total load,
   whether a request may be sent there. */
struct bkp_ask {
    string name<BKP_MAX_NAME>;    /* name of the sender */
    unsigned int number;          /* repeated in the answer */
    unsigned int prompt_tokens;   /* prompt tokens of the request */
    bkp_load load;                /* of the sender, including the request */
    bkp_limit limit;              /* as the sender knows it */
};

/* the coordinator's answer */
struct bkp_grant {
    unsigned int number;          /* of the ask */
    int granted;                  /* 0: the upstream is full, or its rate limit
                                     admits no request now */
    bkp_load others;              /* load of all daemons but the asking one */
    bkp_limit limit;              /* as the coordinator knows it */
    unsigned int delay;           /* ms until the rate limit may admit it; 0: it
                                     does not matter */
};

/* the load that a daemon causes at an upstream, sent to its coordinator when
   it has changed */
struct bkp_load_update {
    string name<BKP_MAX_NAME>;    /* name of the sender */
    bkp_load load;
};

/* a stream, and the hash of the software version that began it */
struct bkp_origin {
    unsigned hyper stream;        /* hash of the id of the request that brought
                                     its first event */
    unsigned int software;
    unsigned int service;
};

/* an upstream that may not refuse many requests has refused one of the sender,
   which is still in its load; sent to the upstream's coordinator */
struct bkp_refused {
    string name<BKP_MAX_NAME>;    /* name of the sender */
    bkp_load load;
};

/* streams that began at the sender; it tells two other daemons of each */
struct bkp_origins {
    bkp_origin rows<BKP_MAX_ORIGINS>;
};

/* asks which version began a stream */
struct bkp_origin_ask {
    string name<BKP_MAX_NAME>;    /* name of the sender */
    unsigned int number;          /* repeated in the answer */
    unsigned int place;           /* of the receiver among those that are
                                     asked; repeated in the answer */
    unsigned hyper stream;        /* 0: its caller does not name it */
    unsigned int service;
};

enum bkp_origin_kind {
    BKP_ORIGIN_KNOWN = 0,         /* the version that began it */
    BKP_ORIGIN_UNKNOWN = 1        /* not known; what is told of the service is
                                     the sender's view (bk/origin/origin.h) */
};

struct bkp_origin_answer {
    unsigned int number;
    unsigned int place;
    bkp_origin_kind kind;
    unsigned int versions;        /* 0, 1, or 2 for several */
    unsigned int software;
    int complete;                 /* it saw all that served in the last memory
                                     of streams */
};

/* what requests have in common that may crash upstreams (bk/quarantine) */
struct bkp_trait {
    unsigned int service;
    unsigned int kind;            /* BkTraitKind */
    unsigned hyper id;
};

/* a trait of a request that ran on an upstream when that crashed */
struct bkp_suspect {
    bkp_trait trait;
    unsigned hyper request;       /* hash of what its caller repeats */
    unsigned int depth;           /* of a part in its prompt */
    unsigned int sent_age;        /* ms since it was sent there */
};

/* an upstream's process ended; sent to all daemons by those that had suspects
   there */
struct bkp_crash {
    bkp_spread spread;
    unsigned int up;
    unsigned hyper started_at;    /* of the process, in ms since 1970 */
    unsigned int age;             /* ms since that was noticed */
    /* ms since its last sign of life; the same if it closed its connections */
    unsigned int alive_age;
    bkp_suspect suspects<BKP_MAX_SUSPECTS>;
};

/* a request with a suspected trait ran well */
struct bkp_well_run {
    bkp_trait trait;
    unsigned int sent_age;        /* ms since it was sent to its upstream */
};

struct bkp_well {
    bkp_spread spread;
    bkp_well_run rows<BKP_MAX_WELL_RUNS>;
};

/* a trait whose requests are refused, or no longer are */
struct bkp_verdict {
    bkp_trait trait;
    unsigned int generation;
    int lifted;
    unsigned int trials;          /* that crashed their upstreams */
    unsigned int age;             /* ms since the term began */
    unsigned int evidence_age;    /* ms since the request of the first crash was
                                     sent */
    unsigned int claimant;        /* key of the daemon that claimed the trial */
};

struct bkp_verdicts {
    bkp_spread spread;            /* empty if sent to one daemon */
    bkp_verdict rows<BKP_MAX_VERDICTS>;
};

/* the services whose upstreams the sender cannot connect to, sent to all
   daemons when that changes, and again while there are any */
struct bkp_links {
    bkp_spread spread;
    string name<BKP_MAX_NAME>;    /* name of the sender */
    unsigned hyper started_at;    /* its start time, in ms since 1970 */
    unsigned int lost<BKP_MAX_LOST>;
};

/* an upstream whose report was removed from the store */
struct bkp_removal {
    unsigned int up;
    unsigned hyper store_version; /* by which it was */
};

/* removals of the last seconds that the sender knows of, sent with its gossip:
   a receiver may have missed the change, and be refused by the store */
struct bkp_removals {
    unsigned hyper store_era;
    bkp_removal rows<BKP_MAX_REMOVED>;
};

program BKP_PROGRAM {
    version BKP_VERSION {
        void BKP_GOSSIP(bkp_gossip) = 1;
        void BKP_DEMANDS(bkp_demands) = 2;
        void BKP_ADAPTER_REQUEST(bkp_adapter_request) = 3;
        void BKP_CHANGES(bkp_changes) = 4;
        void BKP_REPORTS(bkp_reports) = 5;
        /* 6 and 7 were an ask and a grant without limits */
        void BKP_LOAD_UPDATE(bkp_load_update) = 8;
        void BKP_PLANNER_BEAT(bkp_planner_beat) = 9;
        void BKP_ASK(bkp_ask) = 10;
        void BKP_GRANT(bkp_grant) = 11;
        void BKP_ORIGINS(bkp_origins) = 12;
        void BKP_ORIGIN_ASK(bkp_origin_ask) = 13;
        void BKP_ORIGIN_ANSWER(bkp_origin_answer) = 14;
        /* 15 was a crash without the last sign of life */
        void BKP_WELL(bkp_well) = 16;
        void BKP_VERDICTS(bkp_verdicts) = 17;
        void BKP_LINKS(bkp_links) = 18;
        void BKP_REFUSED(bkp_refused) = 19;
        void BKP_REMOVALS(bkp_removals) = 20;
        void BKP_CRASH(bkp_crash) = 21;
    } = 2;
} = 0x20426b02;
