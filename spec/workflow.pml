/*
 * Model of the scheduler that keeps no journal of starts: two successive leaders run a task at most once, and workers
 * report what they run. The former leader is cut off from the store and continues in its grace period. Either leader
 * can lose contact with any worker.
 *
 * Parameters   WORKERS
 * Invariants   running    the task runs on at most one worker
 *              finished   the task is not started after its end has been stored
 *              lost       an end that a worker was told to forget has been stored
 * Faults       Each flag removes one mechanism; an invariant must then fail.
 *              NO_FENCE     workers accept orders of former leaders
 *              NO_BARRIER   a new leader places the task before every worker is resolved (see Leader.resolved)
 *              NO_FIRM      a leader in its grace period, which may have a successor, treats a lease as expired
 *              NO_OUTWAIT   a new leader does not wait for the former leader's lease on a worker that it cannot reach
 *              FORGET_EARLY a worker is told to forget an end before the end is stored
 * Reachability SEEN_TAKEOVER_END and SEEN_OUTWAIT assert that a state is never reached; the assertion must fail.
 *
 * The model has no clock, only the conclusions that leaders draw from time. The lease of a worker that a leader cannot
 * reach ends the run only if that leader was the last to renew it. The grace period ends when the successor has waited
 * for it (graceEnded). Incarnations of workers and late orders are not modelled; the randomised tests in
 * historytest.cpp cover them.
 */

#ifndef WORKERS
#define WORKERS 2
#endif
#define LEADERS 2
#define NO_WORKER WORKERS
#define UNKNOWN_WORKER (WORKERS + 1)

typedef Leader {
    byte epoch;            /* 0: does not lead */
    bool hasFullAuthority; /* certain that no other node leads; false during the grace period */
    byte taskWorker;       /* the worker that runs the task according to this leader, NO_WORKER or UNKNOWN_WORKER */
    bool hasRead[WORKERS]; /* the worker has accepted this leader's epoch and then listed its runs and ends */
    bool resolved[WORKERS] /* read, or known to run nothing for a former leader */
};

Leader leader[LEADERS];
byte highestEpoch[WORKERS];          /* that the worker has accepted; it rejects orders with a lower one */
bool isRunning[WORKERS];             /* the worker runs the task */
bool listsEnd[WORKERS];              /* the task has ended there, and the worker has not been told to forget it */
byte renewedBy[WORKERS];             /* the leader that last renewed the worker's lease, plus 1 */
bool isReachable[LEADERS * WORKERS]; /* by leader and worker */
bool stored;                         /* the end of the task is in the store */
bool forgotten;                      /* some worker was told to forget the end */
bool graceEnded;                     /* the grace period of the former leader is over */

hidden byte n;
hidden byte running; /* number of workers that run the task */

/* True if worker w accepts orders of leader l. */
#ifdef NO_FENCE
#define ACCEPTS_EPOCH(l, w) true
#else
#define ACCEPTS_EPOCH(l, w) (leader[l].epoch >= highestEpoch[w])
#endif

/* True if leader l may place the task. */
#ifdef NO_BARRIER
#define ALL_RESOLVED(l) true
#else
#define ALL_RESOLVED(l) (leader[l].resolved[0] && leader[l].resolved[WORKERS - 1])
#endif

/* True if leader l may treat the lease of a worker that it cannot reach as expired. */
#ifdef NO_FIRM
#define MAY_EXPIRE_LEASE(l) true
#else
#define MAY_EXPIRE_LEASE(l) leader[l].hasFullAuthority
#endif

/* True once the successor has waited for the grace period and the leases of the former leader. */
#ifdef NO_OUTWAIT
#define IS_WAIT_OVER true
#else
#define IS_WAIT_OVER graceEnded
#endif

inline checkInvariants() {
    d_step {
        running = 0;
        for (n : 0 .. WORKERS - 1) { running = running + isRunning[n] }
        assert(running <= 1);
        assert(!forgotten || stored);
        n = 0;
        running = 0
    }
}

proctype LeaderProcess(byte me) {
    byte w;
    do
    :: leader[me].epoch > 0 ->
        select(w : 0 .. WORKERS - 1);
        if
        /* Renewal: the worker accepts the leader's epoch and renews its lease; the leader reads the worker's lists. */
        :: atomic { isReachable[me * WORKERS + w] && ACCEPTS_EPOCH(me, w) ->
            highestEpoch[w] = leader[me].epoch;
            renewedBy[w] = me + 1;
            leader[me].hasRead[w] = true;
            leader[me].resolved[w] = true;
            if
            :: isRunning[w] -> leader[me].taskWorker = w
            :: !isRunning[w] && leader[me].taskWorker == w && !listsEnd[w] -> leader[me].taskWorker = NO_WORKER
            :: else
            fi
          }
        /* A rejection proves that a successor exists. */
        :: atomic { isReachable[me * WORKERS + w] && !ACCEPTS_EPOCH(me, w) -> leader[me].epoch = 0 }
        /* Stores a listed end if this leader may still write, and then tells the worker to forget it. */
        :: atomic { isReachable[me * WORKERS + w] && ACCEPTS_EPOCH(me, w) && listsEnd[w] &&
                    leader[me].hasFullAuthority ->
            highestEpoch[w] = leader[me].epoch;
            stored = true; listsEnd[w] = false; forgotten = true; leader[me].taskWorker = NO_WORKER }
#ifdef FORGET_EARLY
        :: atomic { isReachable[me * WORKERS + w] && ACCEPTS_EPOCH(me, w) && listsEnd[w] ->
            listsEnd[w] = false; forgotten = true }
#endif
        /* Starts the task. */
        :: atomic { !stored && leader[me].taskWorker == NO_WORKER && leader[me].hasRead[w] && ALL_RESOLVED(me) &&
                    !listsEnd[0] && !listsEnd[WORKERS - 1] && isReachable[me * WORKERS + w] ->
            if
            :: ACCEPTS_EPOCH(me, w) ->
                assert(!stored);
                isRunning[w] = true; highestEpoch[w] = leader[me].epoch; renewedBy[w] = me + 1;
                leader[me].taskWorker = w
            :: else -> leader[me].epoch = 0
            fi
          }
        /* Treats the lease of a worker that cannot be reached as expired. */
        :: atomic { !isReachable[me * WORKERS + w] && leader[me].taskWorker == w && MAY_EXPIRE_LEASE(me) ->
            if
            :: renewedBy[w] == me + 1 -> isRunning[w] = false
            :: else
            fi;
            leader[me].taskWorker = NO_WORKER
          }
        /* The successor has waited for the former leader's grace period and for that leader's lease on a worker that
         * the successor cannot reach. */
        :: atomic { me == 1 && !leader[1].resolved[w] && !isReachable[me * WORKERS + w] && IS_WAIT_OVER ->
            if
            :: renewedBy[w] == 1 && graceEnded -> isRunning[w] = false
            :: else
            fi;
            leader[1].resolved[w] = true;
#ifdef SEEN_OUTWAIT
            assert(false);
#endif
          }
        fi;
        checkInvariants()
    :: else -> break
    od
}

/* Ends runs, changes which workers are reachable, elects the successor and ends the grace period. */
proctype Environment() {
    byte w;
    do
    :: select(w : 0 .. WORKERS - 1);
        if
        :: atomic { isRunning[w] && !listsEnd[w] -> isRunning[w] = false; listsEnd[w] = true }
        :: isReachable[w] = !isReachable[w]
        :: isReachable[WORKERS + w] = !isReachable[WORKERS + w]
        :: true
        fi
    :: atomic { leader[1].epoch == 0 && leader[0].epoch == 1 && leader[0].hasFullAuthority ->
        leader[0].hasFullAuthority = false;
        leader[1].epoch = 2;
        leader[1].hasFullAuthority = true;
        leader[1].taskWorker = UNKNOWN_WORKER;
#ifdef SEEN_TAKEOVER_END
        assert(!stored)
#endif
        ;
        run LeaderProcess(1)
      }
    :: atomic { leader[1].epoch == 2 && !graceEnded -> leader[0].epoch = 0; graceEnded = true }
    /* Every worker is resolved and none runs the task: the successor concludes that it does not run. */
    :: atomic { leader[1].taskWorker == UNKNOWN_WORKER && leader[1].resolved[0] && leader[1].resolved[WORKERS - 1] ->
        leader[1].taskWorker = NO_WORKER }
#ifdef NO_BARRIER
    :: atomic { leader[1].taskWorker == UNKNOWN_WORKER -> leader[1].taskWorker = NO_WORKER }
#endif
    od
}

init {
    atomic {
        for (n : 0 .. WORKERS - 1) {
            isReachable[n] = true;
            isReachable[WORKERS + n] = true;
            leader[0].hasRead[n] = true;
            leader[0].resolved[n] = true;
            highestEpoch[n] = 1;
            renewedBy[n] = 1
        }
        n = 0;
        leader[0].epoch = 1;
        leader[0].hasFullAuthority = true;
        leader[0].taskWorker = NO_WORKER;
        run LeaderProcess(0);
        run Environment()
    }
}
