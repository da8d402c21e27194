/*
 * Datagrams between the daemons of the users' platform: ONC RPC calls
 * without replies. Upstreams, models and adapters go by the keys of their
 * names (BkStr_Key).
 */
const BKP_NAME = 64;
const BKP_MAX_LOADS = 120;
const BKP_MAX_LEAVING = 32;
const BKP_MAX_MEMBERS = 4;
const BKP_MAX_DEMANDS = 160;
const BKP_MAX_USES = 64;
const BKP_MAX_CHANGES = 32;
const BKP_MAX_BEGUN = 64;
const BKP_MAX_ROWS = 8;
const BKP_ROW_BYTES = 1400;
const BKP_MAX_PASS = 12;

struct bkp_load {
    unsigned int up;
    unsigned int running;         /* own requests there */
    unsigned int prompt;          /* tokens of theirs not yet read */
};

struct bkp_leaving {
    unsigned int up;
    unsigned hyper born;
};

struct bkp_member {
    string name<BKP_NAME>;
    string address<BKP_NAME>;     /* "ip:port" for these datagrams */
};

/* what a daemon tells all others, again and again */
struct bkp_news {
    string name<BKP_NAME>;
    unsigned hyper born;          /* start of the daemon */
    unsigned hyper site;          /* version of the configuration in force */
    unsigned hyper reports;       /* newest version of the reports' table */
    unsigned hyper term;          /* the planner's, if it is the planner */
    int plans;                    /* whether it is, its lease being valid */
    unsigned hyper resigned;      /* a term that it held, and never acts in
                                     again; 0: none */
    unsigned hyper term_version;  /* of the lease's rows, as it wrote them */
    unsigned hyper beat_version;
    unsigned int begun<BKP_MAX_BEGUN>; /* ages in ms of loads from the weight
                                     store that it began lately */
    int stopping;
    int store;                    /* whether the store answers it */
    bkp_load loads<BKP_MAX_LOADS>;
    bkp_leaving leaving<BKP_MAX_LEAVING>;
    bkp_member members<BKP_MAX_MEMBERS>;
};

struct bkp_demand {
    unsigned int model;
    unsigned int requests;        /* since the daemon started */
    unsigned hyper tokens;        /* of their prompts and answers */
    unsigned int waiting;         /* now, since no upstream holds it */
};

struct bkp_use {
    unsigned int up;
    unsigned int model;
    unsigned int adapter;
};

/* what a daemon tells the planner */
struct bkp_demands {
    string name<BKP_NAME>;
    unsigned hyper born;
    bkp_demand rows<BKP_MAX_DEMANDS>;
    bkp_use uses<BKP_MAX_USES>;   /* adapters used lately */
};

/* a request waits for an adapter at an upstream that holds its model */
struct bkp_wish {
    unsigned int up;
    string model<BKP_NAME>;
    string adapter<BKP_NAME>;
};

enum bkp_change_kind {
    BKP_MODEL_HELD = 0,
    BKP_MODEL_CLOSING = 1,        /* no new requests: it is unloaded */
    BKP_ADAPTER_HELD = 2,
    BKP_ADAPTER_DROPPED = 3,
    BKP_MODEL_COMING = 4          /* ready there after the time in eta */
};

struct bkp_change {
    bkp_change_kind kind;
    unsigned int up;
    unsigned hyper orders;        /* that the upstream had accepted then */
    unsigned int model;
    unsigned int adapter;
    unsigned int eta;             /* ms */
};

/* what the planner has done, for all */
struct bkp_changes {
    unsigned hyper term;
    bkp_change rows<BKP_MAX_CHANGES>;
};

struct bkp_row {
    string key<BKP_NAME>;
    unsigned hyper revision;
    int gone;
    opaque value<BKP_ROW_BYTES>;
};

typedef string bkp_address<BKP_NAME>; /* "ip:port" for these datagrams */

/* what a daemon that follows the store passes on: the changes of reports
   after the revision before, up to revision; also without any, as a sign of
   life */
struct bkp_reports {
    string name<BKP_NAME>;
    unsigned hyper before;
    unsigned hyper revision;
    unsigned hyper site;          /* version of the configuration in force */
    int ill;                      /* the store was away a moment ago */
    bkp_row rows<BKP_MAX_ROWS>;
    bkp_address pass_to<BKP_MAX_PASS>; /* who gets it from the one told */
};

/* may a request be sent to the upstream? to its keeper */
struct bkp_ask {
    string name<BKP_NAME>;
    unsigned int number;          /* of the question, in the answer again */
    unsigned int prompt;          /* tokens */
    bkp_load load;                /* of the one that asks, with this request */
};

struct bkp_grant {
    unsigned int number;
    int granted;                  /* 0: the upstream is full */
};

/* what a daemon has at an upstream now, for its keeper */
struct bkp_told {
    string name<BKP_NAME>;
    bkp_load load;
};

program BKP_PROGRAM {
    version BKP_VERSION {
        void BKP_NEWS(bkp_news) = 1;
        void BKP_DEMANDS(bkp_demands) = 2;
        void BKP_WISH(bkp_wish) = 3;
        void BKP_CHANGES(bkp_changes) = 4;
        void BKP_REPORTS(bkp_reports) = 5;
        void BKP_ASK(bkp_ask) = 6;
        void BKP_GRANT(bkp_grant) = 7;
        void BKP_TOLD(bkp_told) = 8;
    } = 1;
} = 0x20426b02;
