/*
 * Model of the transfer of one long-running task between two shards: leaders give the task on while it runs nowhere,
 * each shard has two successive leaders, and a caller cancels the job. Writes can be executed late, after their sender has
 * been succeeded, or never, and their replies can be lost.
 *
 * Shard HOME has the job. A task belongs to HOME unless the job's progress says that it is given away; it belongs to a
 * shard whose inbox has a record of the task.
 *
 * Parameters   TRANSFERS, MAX_SENDS (of one write)
 * Invariants   owner      the task belongs to exactly one shard, according to the store
 *              running    the task runs in at most one shard
 *              cancelled  an acknowledged cancel is stored at the shard to which the task belongs
 * Faults       Each flag removes one mechanism; an invariant must then fail.
 *              NO_REVISION      the giving write compares no revisions
 *              NO_LEADER_KEY    the giving write is executed although another node leads
 *              MAY_RUN          a task is given while it may still run
 *              ASSUME_FAILED    a write with unknown outcome counts as failed
 *              NO_BARRIER       a new leader gives the task before the former leader's runs are known
 *              NO_CANCEL_CHECK  the giving write is executed although the job is cancelled
 *              OLD_CANCEL       a cancel is written to the shards that were read, whatever was given since
 * Reachability SEEN_RETURN and SEEN_CANCEL assert that the task never returns to HOME, and that no cancel is ever
 *              acknowledged after a transfer; the assertion must fail.
 *
 * How leaders learn what runs in their own shard is modelled in workflow.pml. Here a leader is fenced once its
 * successor is resolved, and the successor knows from then on what runs.
 */

#ifndef TRANSFERS
#define TRANSFERS 2
#endif
#ifndef MAX_SENDS
#define MAX_SENDS 2
#endif
#define HOME 0
#define SHARDS 2

/* The store */
byte leaderKey[SHARDS];      /* term of the current leader */
bool given;                  /* the progress says that the task is given away */
bool record[SHARDS];         /* the inbox has a record of the task */
byte recordRevision[SHARDS]; /* of the last record */
byte registrationRevision;
bool listed[SHARDS]; /* the registration names the shard */
bool cancel[SHARDS]; /* a cancel is stored in the inbox */

bool acknowledged; /* the cancel was acknowledged */
byte fence[SHARDS]; /* workers reject orders of earlier terms */
bool running[SHARDS];
byte transfers;

#define BELONGS_TO(s) ((s == HOME && !given) || record[s])

inline checkInvariants() {
    assert((!given + record[0] + record[1]) == 1); /* owner */
    assert(running[0] + running[1] <= 1); /* running */
    assert(!acknowledged || (BELONGS_TO(0) && cancel[0]) || (BELONGS_TO(1) && cancel[1])); /* cancelled */
}

#ifdef NO_REVISION
#define IS_SOURCE_UNCHANGED true
#else
#define IS_SOURCE_UNCHANGED (registrationRevision == readRevision && \
                             (usesRecord -> (record[me] && recordRevision[me] == sourceRevision) : !given))
#endif
#ifdef NO_LEADER_KEY
#define IS_STILL_LEADER true
#else
#define IS_STILL_LEADER (leaderKey[me] == term)
#endif
#ifdef NO_CANCEL_CHECK
#define IS_NOT_CANCELLED true
#else
#define IS_NOT_CANCELLED !cancel[me]
#endif
#ifdef MAY_RUN
#define RUNS_NOWHERE true
#else
#define RUNS_NOWHERE !running[me]
#endif

/* One leader of shard me. */
proctype Leader(byte me; byte term) {
    bool isResolved; /* former leaders of the shard are fenced, and their runs are known */
    bool isOwner;
    byte adopted;      /* revision of the last record that was seen */
    bool isGiving;     /* a giving write is under way or has an unknown outcome: the task is not started */
    bool usesRecord;   /* the conditions of that write */
    byte sourceRevision;
    byte readRevision;
    byte copies;       /* of that write on their way to the store */
    byte sends;        /* number of times that it was sent */
    bool hasReply;
    bool isAccepted;

    /* Elected, then loaded. */
end_waiting:
    atomic { leaderKey[me] == term - 1 -> leaderKey[me] = term; isOwner = BELONGS_TO(me); adopted = recordRevision[me] }
end_leading:
    do
    :: atomic { leaderKey[me] == term && !isResolved -> fence[me] = term; isResolved = true }
    /* A record arrives in the inbox. */
    :: atomic { leaderKey[me] == term && record[me] && recordRevision[me] > adopted ->
        adopted = recordRevision[me]; isOwner = true }
    /* Starts the task; the former leader does that until it is fenced. */
    :: atomic { isResolved && fence[me] == term && isOwner && !isGiving && !running[me] && !cancel[me] ->
        running[me] = true; checkInvariants() }
    :: atomic { fence[me] == term && running[me] -> running[me] = false }
    /* Gives the task to the other shard. */
#ifdef NO_BARRIER
    :: atomic { leaderKey[me] == term && isOwner && !isGiving && transfers < TRANSFERS &&
                (!isResolved || !running[me]) ->
#else
    :: atomic { isResolved && leaderKey[me] == term && isOwner && !isGiving && RUNS_NOWHERE && transfers < TRANSFERS ->
#endif
        isGiving = true; hasReply = false; copies = 1; sends = 1;
        usesRecord = record[me]; sourceRevision = recordRevision[me]; readRevision = registrationRevision }
    /* The store executes a copy of the write; the reply may be lost. */
    :: atomic { copies > 0 ->
        copies--;
        if
        :: IS_SOURCE_UNCHANGED && IS_STILL_LEADER && IS_NOT_CANCELLED ->
            if
            :: usesRecord -> record[me] = false
            :: else -> given = true
            fi;
            record[1 - me] = true; recordRevision[1 - me]++;
            listed[1 - me] = true; registrationRevision++; transfers++;
#ifdef SEEN_RETURN
            assert(me == HOME);
#endif
            checkInvariants();
            if
            :: isGiving -> hasReply = true; isAccepted = true
            :: !isGiving || sends < MAX_SENDS
            fi
        :: else ->
            if
            :: isGiving -> hasReply = true; isAccepted = false
            :: !isGiving || sends < MAX_SENDS
            fi
        fi }
    :: atomic { copies > 0 && (!isGiving || sends < MAX_SENDS) -> copies-- } /* never executed */
    /* The outcome is unknown: the same write is sent again. */
#ifdef ASSUME_FAILED
    :: atomic { isGiving && !hasReply -> isGiving = false }
#else
    :: atomic { isGiving && !hasReply && sends < MAX_SENDS -> copies++; sends++ }
#endif
    /* The write succeeded, or a conflict shows whether an earlier copy did. */
    :: atomic { isGiving && hasReply ->
        if
        :: isAccepted || (usesRecord -> (!record[me] || recordRevision[me] != sourceRevision) : given) ->
            isOwner = record[me] && recordRevision[me] > sourceRevision && usesRecord;
            if
            :: isOwner -> adopted = recordRevision[me]
            :: else
            fi
        :: else
        fi;
        isGiving = false; hasReply = false }
    :: atomic { leaderKey[me] > term && fence[me] > term && copies == 0 -> break }
    od
}

/* Cancels the job: reads the registration, then writes to each shard that it names. */
proctype Canceller() {
    byte readRevision;
    bool toOther;
    do
    :: atomic { readRevision = registrationRevision; toOther = listed[1] }
        atomic {
            if
#ifdef OLD_CANCEL
            :: true ->
#else
            :: registrationRevision == readRevision ->
#endif
                cancel[HOME] = true;
                cancel[1] = toOther;
                acknowledged = true;
#ifdef SEEN_CANCEL
                assert(transfers == 0);
#endif
                checkInvariants();
                break
            :: else
            fi
        }
    od
}

init {
    atomic {
        listed[HOME] = true;
        run Leader(0, 1);
        run Leader(0, 2);
        run Leader(1, 1);
        run Leader(1, 2);
        run Canceller()
    }
}
