/*
 * Messages between daemons: ONC RPC calls over UDP, without replies. An age is
 * the time in milliseconds from an event until the message was sent.
 */
const BKG_MAX_OBS = 44;
const BKG_MAX_DEMAND = 64;
const BKG_MAX_PEERS = 4;
const BKG_MAX_DRAINS = 32;
const BKG_MAX_NAME = 64;

/* what the sender knows of an upstream */
struct bkg_obs {
    unsigned int key;             /* hash of the upstream's name
                                     (BkBundle_NameHash) */
    unsigned int boot;            /* boot id; changes when the upstream
                                     restarts */
    unsigned int digest;          /* of its list of instances */
    unsigned int load;            /* requests: running << 16 | waiting; each
                                     capped */
    unsigned int age;             /* ms since the observation; highest bit: the
                                     upstream is leaving */
};

/* another daemon */
struct bkg_peer {
    string gossip_address<BKG_MAX_NAME>; /* "ip:port" */
    unsigned int role;            /* as in bkg_hello */
};

/* regular message of a daemon to a few random others */
struct bkg_hello {
    string daemon<BKG_MAX_NAME>;  /* name of the sender */
    /* its HTTP port for operators, "ip:port" */
    string ops_address<BKG_MAX_NAME>;
    unsigned int role;            /* 1 entry, 2 steward */
    unsigned hyper epoch;         /* increases with each start of the sender */
    unsigned hyper active_version; /* version of the bundle in use */
    opaque digest[32];            /* of that bundle */
    int current;                  /* whether the sender is sure that this
                                     bundle is the one in force
                                     (BkInForce_IsCurrent) */
    int stopping;
    unsigned hyper term;          /* highest planner term it has heard of */
    string planner<BKG_MAX_NAME>; /* steward that holds this term */
    unsigned int planner_age;     /* since the planner was last heard */
    unsigned int drains_age;      /* since the drains were read; ~0: unknown */
    unsigned int drains<BKG_MAX_DRAINS>; /* hashes of drained
                                            upstreams' names */
    bkg_peer peers<BKG_MAX_PEERS>; /* a few peers, chosen at random */
    bkg_obs obs<BKG_MAX_OBS>;
};

/* demand for an item of the bundle */
struct bkg_demand_row {
    unsigned int key;             /* hash of the item's name
                                     (BkBundle_NameHash) */
    unsigned hyper requests;      /* since the daemon started */
    unsigned hyper busy_ms;       /* total time for which they used a slot */
};

/* demand at an entry daemon, sent to the planner; to any steward, which
   forwards it, while the planner is not known */
struct bkg_demand {
    string daemon<BKG_MAX_NAME>;
    unsigned hyper epoch;
    bkg_demand_row rows<BKG_MAX_DEMAND>;
};

program BKG_PROGRAM {
    version BKG_VERSION {
        void BKG_HELLO(bkg_hello) = 1;
        void BKG_DEMAND(bkg_demand) = 2;
    } = 1;
} = 0x20426b01;
