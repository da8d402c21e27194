/*
 * Datagrams between daemons: ONC RPC calls without replies. All ages are in
 * milliseconds at the time of sending.
 */
const BKG_MAX_OBS = 44;
const BKG_MAX_DEMAND = 64;
const BKG_MAX_PEERS = 4;
const BKG_MAX_DRAINS = 32;
const BKG_NAME = 64;

struct bkg_obs {
    unsigned int key;     /* of the upstream's name */
    unsigned int boot;
    unsigned int digest;  /* of its instance list */
    unsigned int load;    /* running << 16 | waiting, each capped */
    unsigned int age;     /* highest bit: leaving */
};

struct bkg_peer {
    string gossip<BKG_NAME>;      /* "ip:port" */
    unsigned int role;
};

struct bkg_hello {
    string daemon<BKG_NAME>;      /* name of the sender */
    string ops<BKG_NAME>;         /* its operators' HTTP port, "ip:port" */
    unsigned int role;            /* 1 entry, 2 steward */
    unsigned hyper epoch;         /* rises with each start of the daemon */
    unsigned hyper acting;        /* configuration acted upon */
    opaque digest[32];
    int current;                  /* BkInForce_Current of the sender */
    int stopping;
    unsigned hyper term;          /* highest planner term heard of */
    string planner<BKG_NAME>;     /* steward that holds it */
    unsigned int planner_age;     /* since the planner was last heard */
    unsigned int drains_age;      /* since the drains were read; ~0: unknown */
    unsigned int drains<BKG_MAX_DRAINS>; /* keys of drained upstreams */
    bkg_peer peers<BKG_MAX_PEERS>; /* a random few that it knows */
    bkg_obs obs<BKG_MAX_OBS>;
};

struct bkg_demand_row {
    unsigned int key;             /* of the item's name */
    unsigned hyper requests;      /* since the daemon started */
    unsigned hyper busy_ms;       /* slot time they took */
};

struct bkg_demand {
    string daemon<BKG_NAME>;
    unsigned hyper epoch;
    bkg_demand_row rows<BKG_MAX_DEMAND>;
};

program BKG_PROGRAM {
    version BKG_VERSION {
        void BKG_HELLO(bkg_hello) = 1;
        void BKG_DEMAND(bkg_demand) = 2;
    } = 1;
} = 0x20426b01;
