/*
 * Model of the scheduler that keeps no journal of starts: successive leaders run a task at most once, and workers report
 * what they run. A former leader is cut off from the store and continues in its grace period. Any leader can lose contact
 * with any worker.
 *
 * Parameters   LEADERS (2 or 3; with 3 the second leader resigns), RESTARTS (one worker restarts once)
 * Invariants   running    the task runs on at most one worker
 *              finished   the task is not started after its end has been stored
 *              lost       an end that a worker was told to forget has been stored
 *              next       if a leader learned the end of a run that it accounts for, no former leader learns of that end: it
 *                         cannot start what depends on the task
 *              With UNCHECKED_FINISHED, finished and next are not checked.
 * Faults       Each flag removes one mechanism; an invariant must then fail.
 *              NO_FENCE     workers accept orders of former leaders
 *              NO_BARRIER   a new leader places the task before every worker is resolved (see Leader.resolved)
 *              NO_FIRM      a leader in its grace period, which may have a successor, treats a lease as expired
 *              NO_OUTWAIT   a new leader does not wait for the former leader's lease on a worker that it cannot reach
 *              NO_CHAIN     the third leader waits only for the second, which may not have waited for the first (LEADERS=3)
 *              KNOWS_ALWAYS a new leader accounts for a task whose run it has not read
 *              GRACE_RESTARTS a leader in its grace period concludes from a worker's restart that the run is gone (RESTARTS)
 *              FORGET_EARLY a worker is told to forget an end before the end is stored
 *              IGNORE_WAITING a new leader accounts for a run while a former leader's renewal may still wait at the worker
 * Reachability SEEN_TAKEOVER_END, SEEN_OUTWAIT, SEEN_UNWAITED, SEEN_HEARD and SEEN_THIRD assert that a state is never reached; the
 *              assertion must fail.
 *
 * The model has no clock, only the conclusions that leaders draw from time. The lease of a worker that a leader cannot
 * reach ends the run only if that leader was the last to renew it. The grace period ends when a successor has waited for
 * it (graceEnded). Late orders are not modelled; the randomised tests in historytest.cpp cover them. A start that a former
 * leader sends to a worker whose restart it has not noticed is left out (see the known holes in docs/PROMISES.md).
 */

#define WORKERS 2
#ifndef LEADERS
#define LEADERS 2
#endif
#define NO_WORKER WORKERS
#define UNKNOWN_WORKER (WORKERS + 1)

typedef Leader {
    byte epoch;             /* 0: does not lead */
    bool hasFullAuthority;  /* certain that no other node leads; false during the grace period */
    byte taskWorker;        /* the worker that runs the task according to this leader, NO_WORKER or UNKNOWN_WORKER */
    bool isUnheard;         /* it has read or started the current run after former leaders' renewals had ended there */
    bool isAccountedFor;    /* some run of the task was unheard */
    bool knowsEnd;          /* a worker has listed the end of the task to this leader, or it was stored before its election */
    bool hasUnwaitedEnd;    /* it learned the end of an unheard run while some worker was not resolved */
    bool hasRead[WORKERS];  /* the worker has accepted this leader's epoch and then listed its runs and ends */
    bool resolved[WORKERS]; /* read, or known to run nothing for a former leader */
    bool unseenRestart[WORKERS] /* the worker has restarted since this leader has read it */
};

Leader leader[LEADERS];
byte highestEpoch[WORKERS];          /* that the worker has accepted; it rejects orders with a lower one */
bool isRunning[WORKERS];             /* the worker runs the task */
bool listsEnd[WORKERS];              /* the task has ended there, and the worker has not been told to forget it */
bool isWaiting[WORKERS];             /* a renewal of the first leader, accepted before its successor's epoch, waits there */
byte renewedBy[WORKERS];             /* the leader that last renewed the worker's lease, plus 1 */
bool isReachable[LEADERS * WORKERS]; /* by leader and worker */
bool hasRestarted;                   /* a worker has restarted; at most one does */
bool stored;                         /* the end of the task is in the store */
bool forgotten;                      /* some worker was told to forget the end */
bool graceEnded;                     /* the grace period of the first leader is over */
bool isSettled;                      /* the second leader had every worker resolved before it resigned */

hidden byte n;
hidden byte running; /* number of workers that run the task */

/* True if worker w accepts orders of leader l. */
#ifdef NO_FENCE
#define ACCEPTS_EPOCH(l, w) true
#else
#define ACCEPTS_EPOCH(l, w) (leader[l].epoch >= highestEpoch[w])
#endif

/* True if a renewal that leader l sends to worker w waits there. Left out with three leaders: the task may then end twice, as
 * the second leader may resign before it stores an end, and the invariant next would compare two ends. */
#if LEADERS > 2
#define STAYS_WAITING(l, w) false
#else
#define STAYS_WAITING(l, w) (l == 0 && !listsEnd[w])
#endif

#define REACHES(l, w) (leader[l].epoch > 0 && isReachable[(l) * WORKERS + w])
#define ALL_RESOLVED(l) (leader[l].resolved[0] && leader[l].resolved[1])

/* True if leader l may place the task as far as runs of former leaders are concerned. */
#ifdef NO_BARRIER
#define MAY_PLACE(l) true
#else
#define MAY_PLACE(l) (ALL_RESOLVED(l) || leader[l].isAccountedFor)
#endif

/* True if no former leader's renewal waits at worker w, so that leader l alone learns how its run ends. */
#ifdef IGNORE_WAITING
#define ENDS_UNHEARD(l, w) true
#else
#define ENDS_UNHEARD(l, w) (l == 0 || !isWaiting[w])
#endif

/* True if leader l may conclude that a run is gone without the word of the worker's same incarnation. */
#ifdef NO_FIRM
#define MAY_EXPIRE_LEASE(l) true
#else
#define MAY_EXPIRE_LEASE(l) leader[l].hasFullAuthority
#endif
#ifdef GRACE_RESTARTS
#define MAY_REQUEUE_RESTARTED(l) true
#else
#define MAY_REQUEUE_RESTARTED(l) leader[l].hasFullAuthority
#endif

/* True once leader l has waited for the grace periods and the leases of the leaders before it. */
#ifdef NO_OUTWAIT
#define IS_WAIT_OVER(l) true
#else
#ifdef NO_CHAIN
#define IS_WAIT_OVER(l) (l == 2 || graceEnded)
#else
#define IS_WAIT_OVER(l) (graceEnded || (l == 2 && isSettled))
#endif
#endif

inline checkInvariants() {
    d_step {
        running = 0;
        for (n : 0 .. WORKERS - 1) { running = running + isRunning[n] }
        assert(running <= 1);
        assert(!forgotten || stored);
#ifndef UNCHECKED_FINISHED
        assert(!(leader[0].knowsEnd && leader[1].hasUnwaitedEnd));
#endif
        n = 0;
        running = 0
    }
}

/* Leader me learns from its renewal that worker w has restarted: the run that it knows there is gone. */
inline noticeRestart(me, w) {
    if
    :: leader[me].unseenRestart[w] && MAY_REQUEUE_RESTARTED(me) ->
        leader[me].unseenRestart[w] = false;
        if
        :: leader[me].taskWorker == w && !isRunning[w] ->
            leader[me].taskWorker = NO_WORKER
        :: else
        fi
    :: else
    fi
}

/* Leader me reads the lists of worker w. */
inline readLists(me, w) {
    if
    :: isRunning[w] ->
        leader[me].isUnheard = (leader[me].taskWorker == w && leader[me].isUnheard) || ENDS_UNHEARD(me, w);
        leader[me].taskWorker = w;
        leader[me].isAccountedFor = leader[me].isAccountedFor || leader[me].isUnheard
    :: listsEnd[w] ->
        leader[me].knowsEnd = true;
        leader[me].hasUnwaitedEnd = leader[me].hasUnwaitedEnd ||
            (leader[me].taskWorker == w && leader[me].isUnheard && !ALL_RESOLVED(me));
        leader[me].taskWorker = w
    :: !isRunning[w] && !listsEnd[w] && leader[me].taskWorker == w && !leader[me].unseenRestart[w] ->
        leader[me].taskWorker = NO_WORKER /* it was stopped */
    :: else
    fi
}

/* Renewal: the worker accepts the leader's epoch and renews its lease; the leader reads the worker's lists. */
#define RENEW(w) \
    :: atomic { REACHES(me, w) && ACCEPTS_EPOCH(me, w) -> renew(me, w); checkInvariants() }
inline renew(me, w) {
    highestEpoch[w] = leader[me].epoch;
    renewedBy[w] = me + 1;
    isWaiting[w] = isWaiting[w] || STAYS_WAITING(me, w);
    noticeRestart(me, w);
    readLists(me, w);
    leader[me].hasRead[w] = true;
    leader[me].resolved[w] = true
}

/* Answers a waiting renewal of the first leader, whatever epoch the worker knows by now: its wait is over, or a run ends. */
#define ANSWER(w) :: atomic { isWaiting[w] -> answerWaiting(w); checkInvariants() }
inline answerWaiting(w) {
    if
    :: isWaiting[w] && leader[0].epoch > 0 && isReachable[w] ->
#ifdef SEEN_HEARD
        assert(!(listsEnd[w] && highestEpoch[w] > 1));
#endif
        readLists(0, w)
    :: else
    fi;
    isWaiting[w] = false
}

/* A rejection proves that a successor exists. */
#define BE_FENCED(w) :: atomic { REACHES(me, w) && !ACCEPTS_EPOCH(me, w) -> leader[me].epoch = 0 }

/* Stores a listed end if this leader may still write, and then tells the worker to forget it. */
#define STORE_END(w) \
    :: atomic { REACHES(me, w) && ACCEPTS_EPOCH(me, w) && listsEnd[w] && leader[me].hasFullAuthority -> \
        storeEnd(me, w); checkInvariants() }
inline storeEnd(me, w) {
    highestEpoch[w] = leader[me].epoch;
    readLists(me, w);
    stored = true;
    listsEnd[w] = false;
    forgotten = true;
    leader[me].taskWorker = NO_WORKER
}

#ifdef FORGET_EARLY
#define FORGET_END(w) \
    :: atomic { REACHES(me, w) && ACCEPTS_EPOCH(me, w) && listsEnd[w] -> \
        listsEnd[w] = false; forgotten = true; checkInvariants() }
#else
#define FORGET_END(w)
#endif

/* Stops the run; the next renewal shows that it has ended. */
#define STOP(w) \
    :: atomic { REACHES(me, w) && ACCEPTS_EPOCH(me, w) && leader[me].taskWorker == w && isRunning[w] -> \
        highestEpoch[w] = leader[me].epoch; isRunning[w] = false; answerWaiting(w) }

/* Starts the task. */
#define START(w) \
    :: atomic { !leader[me].knowsEnd && leader[me].taskWorker == NO_WORKER && leader[me].hasRead[w] && MAY_PLACE(me) && \
                REACHES(me, w) && !leader[me].unseenRestart[w] -> \
        startTask(me, w); checkInvariants() }
inline startTask(me, w) {
    if
    :: ACCEPTS_EPOCH(me, w) ->
#ifndef UNCHECKED_FINISHED
        assert(!stored);
#endif
#ifdef SEEN_UNWAITED
        assert(me == 0 || ALL_RESOLVED(me));
#endif
        isRunning[w] = true;
        highestEpoch[w] = leader[me].epoch;
        renewedBy[w] = me + 1;
        leader[me].isUnheard = ENDS_UNHEARD(me, w);
        leader[me].isAccountedFor = leader[me].isAccountedFor || leader[me].isUnheard;
        leader[me].taskWorker = w
    :: else -> leader[me].epoch = 0
    fi
}

/* Treats the lease of a worker that cannot be reached as expired. Left out where the task has ended there and the leader
 * does not know: the task may then run again. */
#define EXPIRE_LEASE(w) \
    :: atomic { leader[me].epoch > 0 && !isReachable[me * WORKERS + w] && leader[me].taskWorker == w && !listsEnd[w] && \
                MAY_EXPIRE_LEASE(me) -> \
        expireLease(me, w) }
inline expireLease(me, w) {
    isRunning[w] = isRunning[w] && renewedBy[w] != me + 1;
    leader[me].hasRead[w] = false;
    leader[me].taskWorker = NO_WORKER
}

/* A successor has waited for the grace periods of the leaders before it and for their leases on a worker that it cannot
 * reach. */
#define OUTWAIT(w) \
    :: atomic { me > 0 && leader[me].epoch > 0 && !leader[me].resolved[w] && !isReachable[me * WORKERS + w] && \
                IS_WAIT_OVER(me) -> \
        outwait(me, w) }
inline outwait(me, w) {
    if
    :: renewedBy[w] > 0 && renewedBy[w] < me + 1 ->
        isRunning[w] = isRunning[w] && leader[renewedBy[w] - 1].epoch > 0
    :: else
    fi;
    leader[me].resolved[w] = true;
#ifdef SEEN_OUTWAIT
    assert(false)
#endif
}

/* Every worker is resolved and none runs the task: the leader concludes that it does not run. */
#ifdef NO_BARRIER
#define CONCLUDE :: atomic { leader[me].taskWorker == UNKNOWN_WORKER -> leader[me].taskWorker = NO_WORKER }
#else
#define CONCLUDE \
    :: atomic { leader[me].taskWorker == UNKNOWN_WORKER && ALL_RESOLVED(me) -> leader[me].taskWorker = NO_WORKER }
#endif

#define LEADER_STEPS(w) \
    RENEW(w) BE_FENCED(w) STORE_END(w) FORGET_END(w) STOP(w) START(w) EXPIRE_LEASE(w) OUTWAIT(w)

proctype LeaderProcess(byte me) {
end:
    do
    LEADER_STEPS(0)
    LEADER_STEPS(1)
    CONCLUDE
    :: leader[me].epoch == 0 -> break
    od
}

/* Leader me is elected. */
inline elect(me) {
    leader[me].epoch = me + 1;
    leader[me].hasFullAuthority = true;
    leader[me].taskWorker = UNKNOWN_WORKER;
    leader[me].knowsEnd = stored;
#ifdef KNOWS_ALWAYS
    leader[me].isUnheard = true;
    leader[me].isAccountedFor = true;
    leader[me].taskWorker = NO_WORKER;
#endif
    run LeaderProcess(me)
}

/* Ends and restarts, changes which workers are reachable, elects successors and ends the grace period. */
#ifdef RESTARTS
#define RESTART(w) :: atomic { !hasRestarted -> restart(w) }
#else
#define RESTART(w)
#endif
inline restart(w) {
    hasRestarted = true;
    isRunning[w] = false;
    listsEnd[w] = false;
    highestEpoch[w] = 0;
    renewedBy[w] = 0;
    isWaiting[w] = false;
    for (n : 0 .. LEADERS - 1) { leader[n].unseenRestart[w] = leader[n].epoch > 0 };
    n = 0
}

#define END_RUN(w) \
    :: atomic { isRunning[w] && !listsEnd[w] -> \
        isRunning[w] = false; listsEnd[w] = true; answerWaiting(w); checkInvariants() }
#if LEADERS > 2 /* links only fail, which keeps the state space small */
#define TOGGLE(l, w) :: isReachable[(l) * WORKERS + w] -> isReachable[(l) * WORKERS + w] = false
#define TOGGLE_THIRD(w) TOGGLE(2, w)
#else
#define TOGGLE(l, w) :: isReachable[(l) * WORKERS + w] = !isReachable[(l) * WORKERS + w]
#define TOGGLE_THIRD(w)
#endif
#define WORKER_STEPS(w) END_RUN(w) ANSWER(w) TOGGLE(0, w) TOGGLE(1, w) TOGGLE_THIRD(w) RESTART(w)

proctype Environment() {
end:
    do
    WORKER_STEPS(0)
    WORKER_STEPS(1)
    :: atomic { leader[1].epoch == 0 && leader[0].epoch == 1 && leader[0].hasFullAuthority ->
        leader[0].hasFullAuthority = false;
#ifdef SEEN_TAKEOVER_END
        assert(!stored);
#endif
        elect(1)
      }
#if LEADERS > 2
    :: atomic { leader[1].epoch == 2 && leader[2].epoch == 0 && leader[1].hasFullAuthority ->
        isSettled = ALL_RESOLVED(1);
        leader[1].epoch = 0;
        leader[1].hasFullAuthority = false;
#ifdef SEEN_THIRD
        assert(isSettled || graceEnded);
#endif
        elect(2)
      }
#endif
    :: atomic { !leader[0].hasFullAuthority && !graceEnded -> leader[0].epoch = 0; graceEnded = true }
    od
}

init {
    atomic {
        for (n : 0 .. LEADERS * WORKERS - 1) { isReachable[n] = true }
        for (n : 0 .. WORKERS - 1) {
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
