/*
 * Model of the move of a whole job between two shards: leaders move the job on while none of its tasks runs, each shard
 * has two successive leaders, and a caller cancels the job. One task of the job is modelled; others wait, so that the job may
 * move after this one is done. Writes can be executed late, after their sender has been succeeded, or never, and their
 * replies can be lost. A worker may lose contact while it completes the task, and report the end later.
 *
 * The job belongs to the shard whose inbox has its record. A move removes that record and writes the other shard's, and
 * names the other shard in the registration, all in one write.
 *
 * Parameters   MOVES, MAX_SENDS (of one write), NO_CANCELS (nobody cancels the job: a smaller state space)
 * Invariants   owner      the job is in exactly one inbox, that of the shard in its registration
 *              running    the task runs in at most one shard
 *              again      the task is not started after its end was acknowledged to the worker
 *              cancelled  an acknowledged cancel is stored at the shard that has the job
 * Faults       Each flag removes one mechanism; an invariant must then fail.
 *              NO_REGISTRATION  the moving write does not compare the revisions of the registration and of the record
 *              NO_LEADER_KEY    the moving write is executed although another node leads
 *              MAY_RUN          the job is moved while its task may still run
 *              ASSUME_FAILED    a write with unknown outcome counts as failed
 *              NO_BARRIER       a new leader moves the job before the former leader's runs are known
 *              NO_CANCEL_CHECK  the moving write is executed although the job is cancelled
 *              OLD_CANCEL       a cancel is written to the shard that was read, wherever the job has moved since
 *              OLD_PROGRESS     the new shard's leader takes the progress that it has loaded, not that of the record
 *              NO_HOLD          a shard without the job acknowledges an end before the task is done by the progress
 * Reachability SEEN_RETURN, SEEN_CANCEL and SEEN_LATE assert that the job never returns to HOME, that no cancel is ever
 *              acknowledged after a move, and that no move is executed after its sender was succeeded in taking a
 *              reply; the assertion must fail.
 *
 * How leaders learn what runs in their own shard is modelled in workflow.pml. Here a leader is fenced once its
 * successor is resolved, and the successor knows from then on what runs.
 */

#ifndef MOVES
#define MOVES 2
#endif
#ifndef MAX_SENDS
#define MAX_SENDS 2
#endif
#define HOME 0
#define SHARDS 2

/* The store */
byte leaderKey[SHARDS]; /* term of the current leader */
byte shard;             /* of the job, by its registration */
byte revision;          /* of the registration, the record and the progress that were last written by a move */
bool record[SHARDS];    /* the inbox has the job */
bool storedDone;        /* the progress says that the task is done */
bool recordedDone;      /* the progress in the record says so */
bool cancel[SHARDS];    /* a cancel is stored in the inbox */

bool acknowledged;  /* the cancel was acknowledged */
byte fence[SHARDS]; /* workers reject orders of earlier terms */
bool running[SHARDS];
bool listed[SHARDS]; /* a worker lists a completed run that was not acknowledged */
bool ended;          /* such an end was acknowledged */
byte moves;

inline checkInvariants() {
    assert((record[0] + record[1]) == 1 && record[shard]); /* owner */
    assert(running[0] + running[1] <= 1); /* running */
    assert(!acknowledged || cancel[shard]) /* cancelled */
}

#ifdef NO_REGISTRATION
#define IS_SOURCE_UNCHANGED true
#else
#define IS_SOURCE_UNCHANGED (record[me] && revision == sourceRevision)
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
#ifdef NO_HOLD
#define IS_END_STORED (storedDone || !isOwner)
#else
#define IS_END_STORED storedDone
#endif

/* One leader of shard me. */
proctype Leader(byte me; byte term) {
    bool isResolved; /* former leaders of the shard are fenced, and their runs are known */
    bool loadedDone;
    bool isOwner;
    bool isDone;     /* what the leader knows of the task */
    byte adopted;    /* revision of the record from which the leader has the job */
    bool isMoving;   /* a moving write is under way or has an unknown outcome: the task is not started */
    byte sourceRevision;
    byte copies;     /* of that write on their way to the store */
    byte sends;      /* number of times that it was sent */
    bool hasReply;
    bool isAccepted;

    /* Elected. */
end_waiting:
    atomic { leaderKey[me] == term - 1 -> leaderKey[me] = term }
end_loading:
    /* Loads the progress, later the inbox: the job may arrive in between. */
    atomic { loadedDone = storedDone; adopted = 255 }
end_leading:
    do
    :: atomic { leaderKey[me] == term && !isResolved -> fence[me] = term; isResolved = true }
    /* The job's record arrives in the inbox, or is loaded. */
    :: atomic { leaderKey[me] == term && record[me] && !isMoving && (adopted == 255 || revision > adopted) ->
#ifdef OLD_PROGRESS
        isDone = loadedDone;
#else
        /* The newer of both: the one loaded is newer if the end was stored since the record was written. */
        isDone = recordedDone || loadedDone;
#endif
        adopted = revision; isOwner = true }
    /* Starts the task; the former leader does that until it is fenced. */
    :: atomic { isResolved && fence[me] == term && isOwner && !isMoving && !isDone && !running[me] && !cancel[me] ->
        assert(!ended); /* again */
        running[me] = true; checkInvariants() }
    /* The run ends, completed or lost; the leader may count a completed one as lost until the worker reports it. */
    :: atomic { fence[me] == term && running[me] ->
        running[me] = false;
        if
        :: listed[me] = true
        :: true
        fi }
    /* The worker reports the end; it is stored, then acknowledged. */
    :: atomic { fence[me] == term && listed[me] && isOwner && !isMoving && !isDone -> isDone = true }
    :: atomic { leaderKey[me] == term && isOwner && !isMoving && isDone && !storedDone -> storedDone = true }
    :: atomic { fence[me] == term && listed[me] && !isMoving && IS_END_STORED -> listed[me] = false; ended = true }
    /* Moves the job to the other shard. */
#ifdef NO_BARRIER
    :: atomic { leaderKey[me] == term && isOwner && !isMoving && moves < MOVES && isDone == storedDone &&
                (!isResolved || !running[me]) ->
#else
    :: atomic { isResolved && leaderKey[me] == term && isOwner && !isMoving && RUNS_NOWHERE &&
                isDone == storedDone && moves < MOVES ->
#endif
        isMoving = true; hasReply = false; copies = 1; sends = 1; sourceRevision = adopted }
    /* The store executes a copy of the write; the reply may be lost. */
    :: atomic { copies > 0 ->
        copies--;
        if
        :: IS_SOURCE_UNCHANGED && IS_STILL_LEADER && IS_NOT_CANCELLED ->
            record[me] = false; record[1 - me] = true; shard = 1 - me; revision++; moves++;
            recordedDone = storedDone;
#ifdef SEEN_RETURN
            assert(me == HOME);
#endif
#ifdef SEEN_LATE
            assert(sends == 1);
#endif
            checkInvariants();
            if
            :: isMoving -> hasReply = true; isAccepted = true
            :: !isMoving || sends < MAX_SENDS
            fi
        :: else ->
            if
            :: isMoving -> hasReply = true; isAccepted = false
            :: !isMoving || sends < MAX_SENDS
            fi
        fi }
    :: atomic { copies > 0 && (!isMoving || sends < MAX_SENDS) -> copies-- } /* never executed */
    /* The outcome is unknown: the same write is sent again. */
#ifdef ASSUME_FAILED
    :: atomic { isMoving && !hasReply -> isMoving = false }
#else
    :: atomic { isMoving && !hasReply && sends < MAX_SENDS -> copies++; sends++ }
#endif
    /* The write succeeded, or a conflict shows whether an earlier copy did: the record that the job was taken from is
       gone. A record that is there again is taken anew. */
    :: atomic { isMoving && hasReply ->
        if
        :: isAccepted || !record[me] || revision != sourceRevision -> isOwner = false; isDone = false
        :: else
        fi;
        isMoving = false; hasReply = false }
    :: atomic { leaderKey[me] > term && fence[me] > term && copies == 0 -> break }
    od
}

/* Cancels the job: reads the registration, then writes to the shard that it names. */
proctype Canceller() {
    byte readRevision;
    byte to;
    do
    :: atomic { readRevision = revision; to = shard }
        atomic {
            if
#ifdef OLD_CANCEL
            :: true ->
#else
            :: revision == readRevision ->
#endif
                cancel[to] = true;
                acknowledged = true;
#ifdef SEEN_CANCEL
                assert(moves == 0);
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
        record[HOME] = true;
        run Leader(0, 1);
        run Leader(0, 2);
        run Leader(1, 1);
        run Leader(1, 2);
#ifndef NO_CANCELS
        run Canceller()
#endif
    }
}
