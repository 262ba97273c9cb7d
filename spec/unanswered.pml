/*
 * Model of a start without an answer. One leader runs one task on one of two workers, the first of which restarts. Each copy of
 * a start is executed once or never, up to LATE ticks after it was sent: by the incarnation that it was meant for while it is
 * valid there, or by a later one, whose clock says nothing about that, and which knows neither tokens nor stops nor runs of
 * before.
 *
 * Rule         A copy is in doubt until it is answered or a new incarnation has reported under a newer token, at most for LATE
 *              ticks, and for LEASE more, unless the worker has reported since. The task starts elsewhere only if no copy is in
 *              doubt; at the same worker it may be repeated, or stopped and started again.
 * Invariant    one        at most one run of the task at a time
 * Faults       Each flag removes one mechanism; the invariant must then fail.
 *              STOP_FREES    a confirmed stop ends the doubt
 *              REPEAT_FREES  the answer to one copy ends the doubt about the others
 *              END_FREES     the end of a run ends it
 *              SILENT_FREES  the end of a silent worker's lease ends it
 *              RESTART_FREES the sight of a restart ends it
 *              RESTART_ENDS  the sight of a restart ends a run whose start was answered
 *              OLD_TOKEN     a report of the new incarnation under the token of before ends it
 *              NO_LEASE      nobody waits for LEASE after LATE
 * Known holes  LIVES=3: a copy that the second incarnation would reject crosses to the third one; if only time ends the doubt
 *              (TIME_ONLY), the invariant holds.
 *              AFTER_DONE asserts that no start follows a run that has ended done, if the leader notes that end. It fails:
 *              a repeated start, or a later one at the same worker, can be done while an earlier copy is in doubt. With WAIT,
 *              nothing starts while a copy is in doubt, and it holds.
 * Reachability SEEN_NEXT asserts that no copy is executed by a later incarnation, SEEN_ELSEWHERE that the task never starts on
 *              the other worker after a copy was in doubt, SEEN_DONE that no done run is taken note of; all must fail.
 */

#define WORKERS 2
#define COPIES 2 /* on their way, or unanswered, at a time */
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef LIVES
#define LIVES 2
#endif
#define VALID 1
#ifndef LATE
#define LATE 2
#endif
#define LEASE 2

/* workers */
byte life[WORKERS] = 1;
byte fence[WORKERS];   /* highest token that the incarnation has accepted */
byte running[WORKERS];     /* attempt that runs; 0: none */
byte ended[WORKERS];   /* highest attempt that the incarnation has ended or barred */
byte lease[WORKERS];   /* ticks */
bool hasFailed[WORKERS], hasDone[WORKERS]; /* attempt ended[], not taken note of */

/* copies of starts */
byte place[COPIES];    /* 0: free, else index of the worker + 1 */
byte attempt[COPIES];
byte token[COPIES];
byte target[COPIES];   /* incarnation */
byte age[COPIES];
bool isExecuted[COPIES];
bool isSettled[COPIES]; /* the leader does not reckon with it any more */

/* the leader */
byte number;           /* of attempts so far */
byte at;               /* worker of the latest attempt, index + 1; 0: the task waits */
bool isConfirmed;      /* it runs there, as an answer or a report says */
bool isDone;
byte known[WORKERS] = 1;
bool hasRead[WORKERS]; /* a report of that incarnation under the present token */
byte bound[WORKERS];   /* ticks until the lease that it gave has expired */
byte lingers[WORKERS]; /* ticks for which a copy that came at last may run */
bool wasDoubtful;

bool startsSince[WORKERS]; /* the task has started since the run there was done */
byte i, n;

#define LESS(x) ((x) > 0 -> (x) - 1 : 0)
#define IS_DOUBTFUL(w) (lingers[w] > 0 || (place[0] == (w) + 1 && !isSettled[0]) || (place[1] == (w) + 1 && !isSettled[1]))
#ifdef WAIT
#define MAY_START(w) (!IS_DOUBTFUL(0) && !IS_DOUBTFUL(1))
#define MAY_REPEAT false
#else
#define MAY_START(w) (!IS_DOUBTFUL(1 - (w)))
#define MAY_REPEAT true
#endif

inline freeCopy(c)
{
    place[c] = 0; attempt[c] = 0; token[c] = 0; target[c] = 0; age[c] = 0; isExecuted[c] = false; isSettled[c] = false
}

/* The leader takes it that nothing comes from earlier copies at worker w. */
inline settle(w)
{
    for (i : 0 .. COPIES - 1) { if :: place[i] == w + 1 -> isSettled[i] = true :: else fi }
    i = 0;
    lingers[w] = 0
}

inline sendCopy(w)
{
    for (i : 0 .. COPIES - 1) {
        if
        :: place[i] == 0 && n == 0 ->
            place[i] = w + 1; attempt[i] = number; token[i] = known[w]; target[i] = known[w];
            n = 1
        :: else
        fi
    }
    i = 0;
    n = 0;
    bound[w] = LEASE
}

/* The leader sees that worker w has restarted. An answered start may have been executed by the new incarnation. */
inline begin(w)
{
    known[w] = life[w];
    hasRead[w] = false;
#ifdef RESTART_ENDS
    if :: at == w + 1 -> at = 0; isConfirmed = false :: else fi;
#endif
#ifdef RESTART_FREES
    if :: at == w + 1 -> at = 0; isConfirmed = false :: else fi;
    settle(w)
#endif
}

#define HAS_FREE_COPY (place[0] == 0 || place[1] == 0)

active proctype System()
{
    byte w, c;
end:
    do
    :: atomic { /* the leader starts the task */
        select(w : 0 .. WORKERS - 1);
        if
        :: !isDone && at == 0 && hasRead[w] && number < ATTEMPTS && HAS_FREE_COPY && MAY_START(w) ->
#ifdef SEEN_ELSEWHERE
            assert(!wasDoubtful || w == 0);
#endif
            number++;
            at = w + 1;
            isConfirmed = false;
            sendCopy(w)
        :: else
        fi;
        w = 0
      }
    :: atomic { /* it repeats the start */
        !isDone && at != 0 && hasRead[at - 1] && !isConfirmed && HAS_FREE_COPY && MAY_REPEAT ->
        w = at - 1;
        sendCopy(w);
        w = 0
      }
    :: atomic { /* a copy is executed */
        select(c : 0 .. COPIES - 1);
        if
        :: place[c] != 0 && !isExecuted[c] && token[c] >= fence[place[c] - 1] &&
           (target[c] != life[place[c] - 1] || age[c] <= VALID) ->
            w = place[c] - 1;
            isExecuted[c] = true;
            fence[w] = token[c];
            if
            :: attempt[c] > ended[w] && attempt[c] > running[w] ->
#ifdef SEEN_NEXT
                assert(target[c] == life[w]);
#endif
#ifdef AFTER_DONE
                assert(!isDone); /* done */
                startsSince[0] = startsSince[0] || hasDone[0];
                startsSince[1] = startsSince[1] || hasDone[1];
#endif
                running[w] = attempt[c];
                hasFailed[w] = false; hasDone[w] = false; startsSince[w] = false;
                n = (target[c] == life[w] -> LEASE - age[c] : LEASE);
                lease[w] = (n > lease[w] -> n : lease[w]);
                n = 0;
                assert(running[0] == 0 || running[1] == 0) /* one */
            :: else
            fi
        :: place[c] != 0 && !isExecuted[c] && token[c] < fence[place[c] - 1] -> freeCopy(c)
        :: else
        fi;
        w = 0; c = 0
      }
    :: atomic { /* it is answered */
        select(c : 0 .. COPIES - 1);
        if
        :: place[c] != 0 && isExecuted[c] ->
            w = place[c] - 1;
            if :: at == w + 1 && attempt[c] == number -> isConfirmed = true; bound[w] = LEASE :: else -> lingers[w] = LEASE fi;
            freeCopy(c);
#ifdef REPEAT_FREES
            settle(w);
#endif
        :: else
        fi;
        w = 0; c = 0
      }
    :: atomic { /* the worker confirms a stop, and lists no end that has not been taken note of */
        at != 0 && known[at - 1] >= fence[at - 1] &&
        !(ended[at - 1] == number && (hasFailed[at - 1] || hasDone[at - 1])) ->
        w = at - 1;
        fence[w] = known[w];
        if :: running[w] == number -> running[w] = 0 :: else fi;
        if :: ended[w] < number -> ended[w] = number; hasFailed[w] = false; hasDone[w] = false :: else fi;
        at = 0;
        isConfirmed = false;
#ifdef SEEN_ELSEWHERE
        wasDoubtful = wasDoubtful || (w == 0 && IS_DOUBTFUL(0));
#endif
#ifdef STOP_FREES
        settle(w);
#endif
        w = 0
      }
    :: atomic { /* a run ends */
        select(w : 0 .. WORKERS - 1);
        if
        :: running[w] != 0 ->
            ended[w] = running[w];
            running[w] = 0;
            if
            :: hasFailed[w] = true
#if defined(AFTER_DONE) || defined(SEEN_DONE)
            :: hasDone[w] = true
#endif
            fi
        :: else
        fi;
        w = 0
      }
    :: atomic { /* the worker reports, which extends its lease */
        select(w : 0 .. WORKERS - 1);
        if
        :: known[w] >= fence[w] ->
            fence[w] = known[w];
            if
            :: known[w] != life[w] ->
                begin(w);
#ifdef OLD_TOKEN
                settle(w);
#endif
            :: else ->
                if
                :: !hasRead[w] -> /* it rejects copies of before from now on */
#ifndef TIME_ONLY
                    for (i : 0 .. COPIES - 1) {
                        if :: place[i] == w + 1 && token[i] < known[w] -> isSettled[i] = true :: else fi
                    }
                    i = 0;
#endif
                    hasRead[w] = true;
                    if :: at == w + 1 && running[w] != number && ended[w] != number -> at = 0; isConfirmed = false :: else fi
                :: else
                fi;
                lingers[w] = 0;
                if
                :: running[w] != 0 && (at != w + 1 || running[w] != number) -> ended[w] = running[w]; running[w] = 0 /* stopped */
                :: else
                fi;
                if
                :: at == w + 1 && running[w] == number -> isConfirmed = true
                :: at == w + 1 && ended[w] == number && (hasFailed[w] || hasDone[w]) ->
                    isDone = hasDone[w];
#ifdef AFTER_DONE
                    assert(!isDone || !startsSince[w]); /* done */
#endif
                    at = 0;
                    isConfirmed = false;
                    hasFailed[w] = false; hasDone[w] = false;
#ifdef SEEN_DONE
                    assert(!isDone);
#endif
#ifdef END_FREES
                    settle(w)
#endif
                :: else
                fi;
                lease[w] = (running[w] != 0 -> LEASE : lease[w]);
                bound[w] = LEASE
            fi
        :: else
        fi;
        w = 0
      }
    :: atomic { /* the lease of a silent worker has expired */
        at != 0 && bound[at - 1] == 0 ->
        w = at - 1;
        at = 0;
        isConfirmed = false;
#ifdef SILENT_FREES
        settle(w);
#endif
        w = 0
      }
    :: atomic { /* a worker restarts */
        select(w : 0 .. WORKERS - 1);
        if
        :: w == 0 && life[w] < LIVES ->
            life[w]++; fence[w] = 0; running[w] = 0; ended[w] = 0; lease[w] = 0;
            hasFailed[w] = false; hasDone[w] = false; startsSince[w] = false
        :: else
        fi;
        w = 0
      }
    :: atomic { /* the registry shows that */
        select(w : 0 .. WORKERS - 1);
        if :: known[w] != life[w] -> begin(w) :: else fi;
        w = 0
      }
    :: atomic { /* time passes */
        for (i : 0 .. COPIES - 1) {
            if
            :: place[i] != 0 && age[i] < LATE -> age[i]++
            :: place[i] != 0 && age[i] >= LATE ->
#ifndef NO_LEASE
                if :: !isSettled[i] -> lingers[place[i] - 1] = LEASE + 1 :: else fi;
#endif
                freeCopy(i)
            :: else
            fi
        }
        for (i : 0 .. WORKERS - 1) {
            lease[i] = LESS(lease[i]);
            running[i] = (lease[i] == 0 -> 0 : running[i]);
            bound[i] = LESS(bound[i]);
            lingers[i] = LESS(lingers[i])
        }
        i = 0
      }
    od
}
