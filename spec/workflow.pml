/*
 * Running a task once without a journal of starts: two leaders, one after the other, and workers that remember what runs.
 * The former leader is cut off from the store and goes on in its grace; either may lose any worker.
 *
 * Parameters   WORKERS
 * Checked      running    the task runs on one worker at most
 *              finished   it is not started after its end was stored
 *              lost       an end that a worker was told to forget is stored
 * Taken out by NO_FENCE     workers obey leaders that have been succeeded
 *              NO_BARRIER   a new leader places before every worker has been read or outwaited
 *              NO_FIRM      a leader that may have been succeeded takes a lease for run out
 *              NO_OUTWAIT   the former leader's lease on a worker that cannot be read is not waited for
 *              FORGET_EARLY a worker is told to forget an end before it is stored
 * Reached      SEEN_TAKEOVER_END, SEEN_OUTWAIT: fails where the model gets as far as that
 *
 * Time is modelled by what it proves: a lease has run out on a worker that a leader does not reach only if that leader was the
 * last to prolong it, and only then does the wait end the run. Grace ends when the successor has outwaited it (graceOver). Lives
 * of workers and late orders are left to the random histories (historytest.cpp).
 */

#ifndef WORKERS
#define WORKERS 2
#endif
#define LEADERS 2
#define NOWHERE WORKERS
#define UNKNOWN (WORKERS + 1)

typedef Leader {
    byte epoch;          /* 0: does not lead */
    bool firm;           /* certain to be the only one */
    byte at;             /* where it believes the task to run */
    bool read[WORKERS];  /* has seen this leader's token, and given its lists after that */
    bool solved[WORKERS] /* read, or known to run nothing of a former leader */
};

Leader leader[LEADERS];
byte fence[WORKERS];
bool runs[WORKERS];
bool ended[WORKERS];      /* an end that the worker still lists */
byte prolonged[WORKERS];  /* the leader that last prolonged its lease, plus 1 */
bool reach[LEADERS * WORKERS];
bool stored;              /* the end, in the store */
bool forgotten;           /* some worker was told to forget the end */
bool graceOver;

hidden byte n;
hidden byte running;

#ifdef NO_FENCE
#define OBEYS(l, w) true
#else
#define OBEYS(l, w) (leader[l].epoch >= fence[w])
#endif

#ifdef NO_BARRIER
#define ALL_SOLVED(l) true
#else
#define ALL_SOLVED(l) (leader[l].solved[0] && leader[l].solved[WORKERS - 1])
#endif

#ifdef NO_FIRM
#define MAY_CONCLUDE(l) true
#else
#define MAY_CONCLUDE(l) leader[l].firm
#endif

#ifdef NO_OUTWAIT
#define OUTWAITED true
#else
#define OUTWAITED graceOver
#endif

inline check() {
    d_step {
        running = 0;
        for (n : 0 .. WORKERS - 1) { running = running + runs[n] }
        assert(running <= 1);
        assert(!forgotten || stored);
        n = 0;
        running = 0
    }
}

proctype Lead(byte me) {
    byte w;
    do
    :: leader[me].epoch > 0 ->
        select(w : 0 .. WORKERS - 1);
        if
        /* A renewal: raises the fence, prolongs the lease, reads the lists. */
        :: atomic { reach[me * WORKERS + w] && OBEYS(me, w) ->
            fence[w] = leader[me].epoch;
            prolonged[w] = me + 1;
            leader[me].read[w] = true;
            leader[me].solved[w] = true;
            if
            :: runs[w] -> leader[me].at = w
            :: !runs[w] && leader[me].at == w && !ended[w] -> leader[me].at = NOWHERE
            :: else
            fi
          }
        :: atomic { reach[me * WORKERS + w] && !OBEYS(me, w) -> leader[me].epoch = 0 } /* proof of another */
        /* An end that is listed is stored, where this leader still may, and forgotten after that. */
        :: atomic { reach[me * WORKERS + w] && OBEYS(me, w) && ended[w] && leader[me].firm ->
            fence[w] = leader[me].epoch;
            stored = true; ended[w] = false; forgotten = true; leader[me].at = NOWHERE }
#ifdef FORGET_EARLY
        :: atomic { reach[me * WORKERS + w] && OBEYS(me, w) && ended[w] -> ended[w] = false; forgotten = true }
#endif
        /* A start. */
        :: atomic { !stored && leader[me].at == NOWHERE && leader[me].read[w] && ALL_SOLVED(me) &&
                    !ended[0] && !ended[WORKERS - 1] && reach[me * WORKERS + w] ->
            if
            :: OBEYS(me, w) ->
                assert(!stored);
                runs[w] = true; fence[w] = leader[me].epoch; prolonged[w] = me + 1; leader[me].at = w
            :: else -> leader[me].epoch = 0
            fi
          }
        /* The lease of a worker that is not reached has run out. */
        :: atomic { !reach[me * WORKERS + w] && leader[me].at == w && MAY_CONCLUDE(me) ->
            if
            :: prolonged[w] == me + 1 -> runs[w] = false
            :: else
            fi;
            leader[me].at = NOWHERE
          }
        /* A successor outwaits the former leader's grace and lease on a worker that it cannot read. */
        :: atomic { me == 1 && !leader[1].solved[w] && !reach[me * WORKERS + w] && OUTWAITED ->
            if
            :: prolonged[w] == 1 && graceOver -> runs[w] = false
            :: else
            fi;
            leader[1].solved[w] = true;
#ifdef SEEN_OUTWAIT
            assert(false);
#endif
          }
        fi;
        check()
    :: else -> break
    od
}

proctype World() {
    byte w;
    do
    :: select(w : 0 .. WORKERS - 1);
        if
        :: atomic { runs[w] && !ended[w] -> runs[w] = false; ended[w] = true }
        :: reach[w] = !reach[w]
        :: reach[WORKERS + w] = !reach[WORKERS + w]
        :: true
        fi
    :: atomic { leader[1].epoch == 0 && leader[0].epoch == 1 && leader[0].firm ->
        leader[0].firm = false;
        leader[1].epoch = 2;
        leader[1].firm = true;
        leader[1].at = UNKNOWN;
#ifdef SEEN_TAKEOVER_END
        assert(!stored)
#endif
        ;
        run Lead(1)
      }
    :: atomic { leader[1].epoch == 2 && !graceOver -> leader[0].epoch = 0; graceOver = true }
    /* With every worker solved and none running the task, the successor knows that it runs nowhere. */
    :: atomic { leader[1].at == UNKNOWN && leader[1].solved[0] && leader[1].solved[WORKERS - 1] -> leader[1].at = NOWHERE }
#ifdef NO_BARRIER
    :: atomic { leader[1].at == UNKNOWN -> leader[1].at = NOWHERE }
#endif
    od
}

init {
    atomic {
        for (n : 0 .. WORKERS - 1) {
            reach[n] = true;
            reach[WORKERS + n] = true;
            leader[0].read[n] = true;
            leader[0].solved[n] = true;
            fence[n] = 1;
            prolonged[n] = 1
        }
        n = 0;
        leader[0].epoch = 1;
        leader[0].firm = true;
        leader[0].at = NOWHERE;
        run Lead(0);
        run World()
    }
}
