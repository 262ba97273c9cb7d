/*
 * Which records go into the next write (StoreQueue::take() and mayStoreProgress() in packages/workflow/storequeue.cpp and
 * storing.cpp). Records of any class come at any time. One record is observed: a number of records of its class have waited
 * longer. Others that have waited longer may rise into its class, a few. A failed write gives its records back, with their
 * waits, so that the observed one has any number before it again. A backlog of MANY stands for any number. Pauses between
 * writes are left out, and records that a transfer or a write under way keeps from others.
 *
 * Parameters   CLASSES (something waits for the first half), PLACES (of a write), KEPT (for each lower class), WRITES (in
 *              flight at most), AWAITED_WRITES (of these, only for records that something waits for), MAX_BEFORE
 * Invariants   bounded    between two failures the observed record is passed by no more writes than what has waited longer in its
 *                         class fills, whatever waits in other classes
 *              prompt     a record that something waits for goes into a write at once unless another such write is in flight
 *              settled    while no write is in flight, one starts if there is any record
 * Faults       Each flag changes one mechanism; an invariant must then fail.
 *              NO_KEPT    no places are kept for lower classes
 *              NO_CLASSES all records wait in one queue
 *              ONE_WRITE  one write in flight for all
 *              NO_AWAITED_WRITES  full writes of any records may take all writes in flight
 *              FULL_ONLY  a write starts only if it is full, or if something waits for a record
 * Reachability SEEN_PASSED  a write passes the observed record
 *              SEEN_LAST    one of the lowest class is next while all others wait
 */
#ifndef PLACES
#define PLACES 4
#endif
#ifndef KEPT
#define KEPT 1
#endif
#ifndef WRITES
#define WRITES 4
#endif
#ifndef AWAITED_WRITES
#define AWAITED_WRITES 1
#endif
#ifndef CLASSES
#define CLASSES 3
#endif
#define LOWEST (CLASSES - 1)
#define MANY PLACES
#define IS_AWAITED(c) ((c) < CLASSES / 2) /* trials and evidence */
#ifndef MAX_BEFORE
#define MAX_BEFORE 3
#endif
#define MAX_OLDER 2

byte ready[CLASSES];    /* records apart from the observed one */
byte before;            /* of these, those of its class that have waited longer */
byte older;             /* records that have waited longer, and may rise into its class */
byte observed;          /* class of the observed record */
bool isWaiting;         /* the observed record waits */
byte awaitedWrites;     /* in flight, begun for a record that something waits for */
byte otherWrites;
byte passed;
byte bound;

hidden byte c, n, room, kept, taken, share, sum;
hidden byte isAwaited, mayStart, isFull;

#define WRITES_IN_FLIGHT (awaitedWrites + otherWrites)

/* Writes that fill the records before the observed one, and one for itself */
inline setBound()
{
    share = (observed == 0 -> PLACES - LOWEST * KEPT : KEPT);
    bound = (before + older) / share;
    passed = 0
}

/* Sets mayStart and isAwaited */
inline findStart()
{
    sum = (isWaiting -> 1 : 0);
    for (c : 0 .. LOWEST) { sum = sum + ready[c] }
    isAwaited = ready[0] > 0 || (IS_AWAITED(1) && ready[1] > 0) || (isWaiting && IS_AWAITED(observed));
    isFull = sum >= PLACES;
    n = (isAwaited -> WRITES : WRITES - AWAITED_WRITES);
#ifdef ONE_WRITE
    n = 1;
#endif
#ifdef NO_AWAITED_WRITES
    n = WRITES;
#endif
#ifdef FULL_ONLY
    mayStart = sum > 0 && WRITES_IN_FLIGHT < n && (isAwaited || isFull)
#else
    mayStart = sum > 0 && WRITES_IN_FLIGHT < n && (WRITES_IN_FLIGHT == 0 || isAwaited || isFull)
#endif
}

/* Takes records for a write */
inline take()
{
    room = PLACES;
#ifdef SEEN_LAST
    assert(!(isWaiting && observed == LOWEST && ready[0] == MANY && ready[LOWEST] > 0 && before == 0));
#endif
#ifdef NO_CLASSES
    /* Any of the others may have waited longer than the observed record. */
    for (c : 0 .. LOWEST) {
        taken = (ready[c] < room -> ready[c] : room);
        ready[c] = ready[c] - taken;
        room = room - taken
    }
    if
    :: isWaiting && room > 0 -> isWaiting = false
    :: isWaiting && room == 0 -> passed++; before = (before < ready[observed] -> before : ready[observed])
    :: else
    fi
#else
    for (c : 0 .. LOWEST) {
        kept = 0;
        for (n : 0 .. LOWEST) {
#ifndef NO_KEPT
            sum = ready[n] + (isWaiting && observed == n -> 1 : 0);
            if :: n > c -> kept = kept + (sum < KEPT -> sum : KEPT) :: else fi
#else
            skip
#endif
        }
        share = (room > kept -> room - kept : 0);
        sum = ready[c] + (isWaiting && observed == c -> 1 : 0);
        taken = (sum < share -> sum : share);
        room = room - taken;
        if
        :: isWaiting && observed == c && before < taken -> isWaiting = false; before = 0; taken--
        :: isWaiting && observed == c && before >= taken -> before = before - taken; passed++
        :: else
        fi;
        ready[c] = ready[c] - taken
    }
#endif
#ifdef SEEN_PASSED
    assert(passed == 0);
#endif
    assert(!isWaiting || passed <= bound); /* bounded */
    if :: !isWaiting -> observed = 0; before = 0; older = 0; passed = 0; bound = 0 :: else fi
}

active proctype System()
{
    byte which, count;
end:
    do
    :: atomic { /* a record of some class comes */
        select(which : 0 .. LOWEST);
        d_step { if :: ready[which] < MANY -> ready[which]++ :: else fi; which = 0 }
       }
    :: atomic { !isWaiting ->
        select(which : 0 .. LOWEST);
        select(count : 0 .. MAX_BEFORE);
        d_step {
            if
            :: count <= ready[which] -> observed = which; before = count; older = MAX_OLDER; isWaiting = true; setBound()
            :: else
            fi;
            which = 0;
            count = 0
        }
       }
    :: atomic { isWaiting && observed > 0 -> /* the observed record rises */
        select(count : 0 .. MAX_BEFORE);
        d_step {
            if
            :: count <= ready[observed - 1] -> observed--; before = count; setBound()
            :: else
            fi;
            count = 0
        }
       }
    :: d_step { isWaiting && older > 0 && ready[observed] < MANY -> older--; ready[observed]++; before++ }
    :: d_step {
        findStart();
        if
        :: mayStart ->
            if :: isAwaited -> awaitedWrites++ :: else -> otherWrites++ fi;
            take()
        :: else ->
            assert(!(isWaiting && IS_AWAITED(observed) && awaitedWrites == 0)); /* prompt */
            assert(!(isWaiting && WRITES_IN_FLIGHT == 0)) /* settled */
        fi
       }
    :: d_step { awaitedWrites > 0 -> awaitedWrites-- }
    :: d_step { otherWrites > 0 -> otherWrites-- }
    :: atomic { WRITES_IN_FLIGHT > 0 && isWaiting -> /* a failed write gives back what has waited longer */
        select(count : 0 .. MAX_BEFORE);
        d_step {
            if :: awaitedWrites > 0 -> awaitedWrites-- :: else -> otherWrites-- fi;
            before = count;
            if :: ready[observed] < count -> ready[observed] = count :: else fi;
            setBound();
            count = 0
        }
       }
    od
}
