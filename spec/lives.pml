/*
 * Model of a worker whose incarnations have clocks of their own. An order carries a time limit on the clock of the incarnation
 * that its leader knew. That incarnation runs for SHORT ticks from the sending; on the clock of another one the limit lies
 * anywhere, so that one rejects the order as late or runs for LONG, to which workers cut any lease. An order without an answer
 * can be executed by the next incarnation up to CROSS ticks after it was sent. An incarnation rejects tokens below the highest
 * that it has accepted, and has accepted none at its start. Leaders follow each other; one that has lost the store sends orders
 * for a grace period. For each worker the store holds the incarnation whose lease runs by its own clock only (row; 0: unknown).
 *
 * Rule         A leader that sees a restart, which an order from before may have reached, has 0 stored, takes the lease to
 *              last for CROSS + LONG, and from the first report under a new token for LONG; then it has the incarnation stored.
 *              A successor that has not read the worker concludes that nothing runs there SHORT after the last order of the
 *              former leaders, or CROSS + LONG after it if the row is 0 or names another incarnation than the registry showed.
 *              A start without an answer keeps its leader from concluding for CROSS ticks.
 *              With FENCED, the row also tells that a restarted incarnation has accepted a newer token: then LONG is enough for
 *              a successor to which the registry shows that incarnation.
 * Invariants   over       when a leader concludes that nothing runs on the worker, nothing does
 *              stays      and nothing begins to run there by an order from before
 * Assumptions  Each flag removes one; an invariant must then fail.
 *              CROSS=2      orders cross within less than SHORT; else a successor waits for that long too (OUTWAIT_CROSS)
 *              UNREGISTERED an incarnation that executes orders from before gets into the registry
 *              EXPIRES      its entry stays until a leader with full authority has stored what it saw, or all nodes that may
 *                           lead have seen it
 * Faults       Each flag removes one mechanism; an invariant must then fail.
 *              OLD_RULE     SHORT is always enough for a successor
 *              NO_PROMPT    0 is not stored when a restart is seen
 *              NO_REGISTRY  a successor looks at the row alone
 *              SETTLE_EARLY the incarnation is stored at its first report
 *              KNOWN_CLOCK  a successor takes the lease at its first report to be SHORT
 *              FORMER_CLOCK an order that the next incarnation has executed and answered counts by the former clock
 *              LONG_ONLY    a successor waits for LONG in place of CROSS + LONG
 *              CUT_AT_SIGHT a leader that has seen a restart waits for LONG in place of CROSS + LONG
 *              LATE_SIGHT   a successor that sees a restart once orders of former leaders have ceased takes it for one without
 *                           orders from before
 *              FENCED_EARLY the row tells it when the restart is seen (FENCED)
 *              NO_DOUBT     a leader concludes although a start has no answer (CROSS=2, OUTWAIT_CROSS)
 *              NO_ENDS      a leader that has read the worker concludes although orders of former leaders may cross
 * Reachability SEEN_SHORT, SEEN_LONG assert that no successor concludes after the short, the long wait without having read the
 *              worker, SEEN_READ that none does after a reading, SEEN_SETTLED that no restarted worker is settled again; all
 *              must fail.
 */

#ifndef LIVES
#define LIVES 2
#endif
#ifndef LEADERS
#define LEADERS 2
#endif
#ifndef ORDERS
#define ORDERS 1 /* on their way at a time */
#endif
#ifndef CROSS
#define CROSS 1
#endif
#define SHORT 2
#define LONG 4
#define MOST (CROSS + LONG)

#define NONE 0
#define FULL 1
#define GRACE 2
#define ENDED 3

/* the worker */
byte life = 1;
byte lease;             /* ticks until it expires */
bool isRunning;
byte fence = 1;         /* highest token that it has accepted */

/* the store */
byte registered = 1;    /* incarnation of its entry; 0: there is none */
bool wasRegistered = true; /* the present incarnation */
byte row = 1;

/* orders that extend the lease; free once answered, or too old to be executed by another incarnation */
byte sender[ORDERS];    /* 0: free, else index + 1 */
byte target[ORDERS];    /* incarnation that the sender knew */
byte token[ORDERS];
byte age[ORDERS];
bool isStart[ORDERS];
byte executedBy[ORDERS]; /* incarnation; 0: not executed */
byte given[ORDERS];      /* ticks for which the executing incarnation runs, if it was not meant */

/* leaders */
byte mode[LEADERS];
byte known[LEADERS];    /* incarnation, also before the election: seen by its node; 0: none */
byte restarts[LEADERS]; /* that it has seen; part of its token */
bool hasRead[LEADERS];  /* a report of that incarnation under the present token */
bool wasFenced;         /* the latest leader knows that orders from before its term do not reach the known incarnation */
bool isDoubtful[LEADERS]; /* orders from before may have extended the lease */
bool mustStore[LEADERS]; /* 0 in the row */
byte bound[LEADERS];    /* ticks until the lease has expired, as the leader reckons */
byte settles[LEADERS];  /* ticks until the incarnation may be stored */
byte current;           /* latest leader */
byte since;             /* ticks since the last order of former leaders */
byte concluded;         /* index + 1 of the leader that has concluded that nothing runs */
byte i;
bool mayCross;

#define FENCED_ROW(x) ((x) + 8) /* row of incarnation x that is not settled, but has accepted a newer token */
#define TOKEN(x) ((x) * 4 + restarts[x] + 1)
#define MAX(x, y) ((x) > (y) -> (x) : (y))
#define LESS(x) ((x) > 0 -> (x) - 1 : 0)
#ifdef CUT_AT_SIGHT
#define AT_SIGHT LONG
#else
#define AT_SIGHT MOST
#endif
#ifdef LONG_ONLY
#define LONG_WAIT LONG
#else
#define LONG_WAIT MOST
#endif
#ifdef NO_REGISTRY
#define LOOKS(x) ((x) == 0)
#else
#define LOOKS(x) true
#endif
/* the leader has seen what the registry shows, and stored what follows */
#define IS_CURRENT(x) ((!LOOKS(x) || registered <= known[x]) && !mustStore[x])
#if LEADERS == 2
#define ALL_KNOW (known[1] == life)
#else
#define ALL_KNOW ((current >= 1 || known[1] == life) && known[2] == life)
#endif
#define ACTS(x) (concluded == 0 || (x) + 1 < concluded)

/* mayCross: an order that has extended the lease, or will, may be executed by an incarnation that it was not meant for */
inline checkOrders(l)
{
    mayCross = l > 0 && since <= CROSS;
    for (i : 0 .. LEADERS - 1) { if :: i < l && mode[i] == GRACE -> mayCross = true :: else fi }
    for (i : 0 .. ORDERS - 1) { if :: sender[i] == l + 1 -> mayCross = true :: else fi }
    i = 0
}

/* Leader l sees that incarnation x has begun. */
inline begin(l, x)
{
    checkOrders(l);
#ifndef LATE_SIGHT
    mayCross = mayCross || (l > 0 && !hasRead[l]);
#endif
    known[l] = x;
    restarts[l]++;
    hasRead[l] = false;
    wasFenced = false;
    settles[l] = 0;
    if
    :: mayCross || isDoubtful[l] ->
        isDoubtful[l] = true;
        bound[l] = MAX(bound[l], AT_SIGHT);
#ifndef NO_PROMPT
        mustStore[l] = true
#endif
    :: else
    fi;
    mayCross = false
}

inline freeOrder(o)
{
    sender[o] = 0; target[o] = 0; token[o] = 0; age[o] = 0; isStart[o] = false; executedBy[o] = 0; given[o] = 0
}

/* Leader l concludes nothing any more. */
inline giveUp(l)
{
    isDoubtful[l] = false; mustStore[l] = false; bound[l] = 0; settles[l] = 0
}

inline endTerm(l)
{
    mode[l] = ENDED;
    giveUp(l);
    known[l] = 0; restarts[l] = 0; hasRead[l] = false;
    since = 0
}

active proctype System()
{
    byte l, o;
    bool isLong;
    atomic {
        mode[0] = FULL;
        known[0] = 1;
        hasRead[0] = true;
        for (l : 1 .. LEADERS - 1) { known[l] = 1 }
        l = 0
    }
end:
    do
    :: atomic { /* a leader sends an order that extends the lease */
        select(l : 0 .. LEADERS - 1);
        select(o : 0 .. ORDERS - 1);
        if
        :: (mode[l] == FULL || mode[l] == GRACE) && hasRead[l] && sender[o] == 0 && ACTS(l) ->
            sender[o] = l + 1;
            target[o] = known[l];
            token[o] = TOKEN(l);
            if :: isStart[o] = true :: skip fi;
            bound[l] = (mode[l] == FULL -> MAX(bound[l], SHORT) : 0)
        :: else
        fi;
        l = 0; o = 0
      }
    :: atomic { /* the worker executes an order */
        select(o : 0 .. ORDERS - 1);
        if
        :: sender[o] != 0 && executedBy[o] == 0 && token[o] >= fence && (target[o] == life || age[o] <= CROSS) ->
            fence = token[o];
            executedBy[o] = life;
            if
            :: target[o] == life -> i = (age[o] < SHORT -> SHORT - age[o] : 0)
            :: target[o] != life -> i = LONG; given[o] = LONG
            :: target[o] != life -> i = 0
            fi;
            if :: i > 0 && isStart[o] -> assert(concluded == 0); isRunning = true /* stays */ :: else fi;
            lease = (i > 0 -> MAX(lease, i) : lease);
            i = 0
        :: sender[o] != 0 && executedBy[o] == 0 && token[o] < fence -> freeOrder(o)
        :: else
        fi;
        o = 0
      }
    :: atomic { /* its sender gets the answer, which tells the clock that it was executed by */
        select(o : 0 .. ORDERS - 1);
        if
        :: sender[o] != 0 && executedBy[o] != 0 ->
            l = sender[o] - 1;
#ifndef FORMER_CLOCK
            if
            :: given[o] > 0 && mode[l] == FULL ->
                bound[l] = MAX(bound[l], given[o]);
                isDoubtful[l] = true;
                if
                :: executedBy[o] > known[l] -> begin(l, executedBy[o])
                :: else
                fi
            :: given[o] > 0 && mode[l] == GRACE -> hasRead[l] = false /* it uses no other incarnation */
            :: else
            fi;
#endif
            freeOrder(o);
            l = 0
        :: else
        fi;
        o = 0
      }
    :: atomic { life < LIVES -> life++; lease = 0; isRunning = false; fence = 0; wasRegistered = false } /* the worker restarts */
    :: atomic { registered != life -> registered = life; wasRegistered = true }
#ifdef EXPIRES
    :: atomic { registered != 0 -> registered = 0 }
#else
    :: atomic {
        registered != 0 && (mode[current] == FULL -> known[current] == life && !mustStore[current]
                                                  : current + 1 < LEADERS && ALL_KNOW) -> registered = 0
      }
#endif
    :: atomic { /* the registry shows the incarnation to a leader, or to a node that will lead */
        select(l : 0 .. LEADERS - 1);
        if
        :: registered > known[l] && mode[l] == FULL && LOOKS(l) -> begin(l, registered)
        :: registered > known[l] && mode[l] == NONE -> known[l] = registered
        :: else
        fi;
        l = 0
      }
    :: atomic { /* a leader reads the worker */
        l = current;
        if
        :: mode[l] == FULL && ACTS(l) && TOKEN(l) >= fence ->
            fence = TOKEN(l);
            if
            :: life != known[l] -> begin(l, life)
            :: life == known[l] && !hasRead[l] ->
                hasRead[l] = true;
                settles[l] = 0;
                if
#ifdef KNOWN_CLOCK
                :: isDoubtful[l] && l == 0 ->
#else
                :: isDoubtful[l] ->
#endif
                    bound[l] = MAX(bound[l], LONG);
#ifdef FENCED
                    mustStore[l] = true;
#endif
#ifndef SETTLE_EARLY
                    settles[l] = LONG;
#endif
                :: else -> bound[l] = MAX(bound[l], SHORT)
                fi
            :: else
            fi
        :: else
        fi;
        l = 0
      }
    :: atomic { mode[current] == FULL && mustStore[current] ->
#if defined(FENCED_EARLY)
        row = FENCED_ROW(known[current]);
#elif defined(FENCED)
        row = (hasRead[current] -> FENCED_ROW(known[current]) : 0);
#else
        row = 0;
#endif
        mustStore[current] = false
      }
    :: atomic { /* the lease runs by the incarnation's own clock */
        mode[current] == FULL && hasRead[current] && settles[current] == 0 && !mustStore[current] &&
        (row != known[current] || isDoubtful[current]) ->
#ifdef SEEN_SETTLED
        assert(known[current] == 1);
#endif
        row = known[current];
        isDoubtful[current] = false
      }
    :: atomic { mode[current] == FULL && concluded == 0 -> mode[current] = GRACE; giveUp(current) } /* it loses the store */
    :: atomic { mode[current] == FULL && concluded == 0 -> endTerm(current) }
    :: atomic {
        select(l : 0 .. LEADERS - 1);
        if :: mode[l] == GRACE -> endTerm(l) :: else fi;
        l = 0
      }
    :: atomic { /* a successor is elected */
        current + 1 < LEADERS && mode[current] != FULL ->
        current++;
        mode[current] = FULL;
#ifdef NO_REGISTRY
        known[current] = row;
        isDoubtful[current] = row == 0;
#else
        isDoubtful[current] = row != known[current];
#endif
#ifdef FENCED
        wasFenced = row == FENCED_ROW(known[current]);
#endif
#ifndef NO_PROMPT
        mustStore[current] = isDoubtful[current] && !wasFenced
#endif
      }
    :: atomic { /* the leader concludes that nothing runs on the worker */
        l = current;
        checkOrders(l);
        for (i : 0 .. ORDERS - 1) { if :: sender[i] == l + 1 && isStart[i] -> o = 1 :: else fi }
        i = 0;
#ifdef NO_DOUBT
        o = 0;
#endif
        isLong = isDoubtful[l];
#ifdef OLD_RULE
        isLong = false;
#endif
        for (i : 0 .. LEADERS - 1) { if :: i < l && mode[i] == GRACE -> o = 1 :: else fi }
        i = 0;
#ifndef OUTWAIT_CROSS
        if :: hasRead[l] ->
#endif
        o = (l > 0 && since <= CROSS -> 1 : o);
#ifndef OUTWAIT_CROSS
        :: else fi;
#endif
#ifdef NO_ENDS
        o = (hasRead[l] -> 0 : o);
#endif
        if
        :: mode[l] == FULL && concluded == 0 && IS_CURRENT(l) && o == 0 && bound[l] == 0 &&
           (l == 0 || hasRead[l] || since >= (isLong -> (wasFenced -> LONG : LONG_WAIT) : SHORT)) ->
            concluded = l + 1;
            giveUp(l);
#ifdef SEEN_SHORT
            assert(l == 0 || hasRead[l] || isLong);
#endif
#ifdef SEEN_LONG
            assert(l == 0 || hasRead[l] || !isLong);
#endif
#ifdef SEEN_READ
            assert(l == 0 || !hasRead[l]);
#endif
            assert(!isRunning || lease == 0) /* over */
        :: else
        fi;
        mayCross = false; isLong = false; o = 0; l = 0
      }
    :: atomic { /* time passes */
#ifndef UNREGISTERED
        wasRegistered &&
#endif
        (mode[current] != FULL || IS_CURRENT(current)) ->
        lease = LESS(lease);
        isRunning = isRunning && lease > 0;
        for (i : 0 .. ORDERS - 1) {
            if
            :: sender[i] != 0 && age[i] < CROSS -> age[i]++
            :: sender[i] != 0 && age[i] >= CROSS -> freeOrder(i)
            :: else
            fi
        }
        for (i : 0 .. LEADERS - 1) {
            bound[i] = LESS(bound[i]);
            settles[i] = LESS(settles[i])
        }
        i = 0;
        since = (since < MOST -> since + 1 : MOST)
      }
    od
}
