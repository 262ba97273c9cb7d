/*
 * Model of withheld leases: leaders that follow each other list a silent worker in the store, and a later leader counts from
 * the time at which its node learned of the entry until the worker's lease has expired. There is one worker, and one node
 * whose view is modelled; it may lag. A leader that is succeeded can go on for a grace period.
 *
 * Invariant    expired    when a leader counts from its node's view, no order that extends the lease was sent since then
 * Faults       Each flag removes one mechanism; the invariant must then fail.
 *              NO_BOUND     a leader is not bound by the entry that it finds
 *              RELEASE_EARLY the worker's lease is extended before the entry is off the list
 *              SAME_NUMBER  entries of the same worker cannot be told apart
 *              NO_GONE      a leader lists the worker while a former leader may still send orders
 *              NO_READ      a leader counts from its node's view without reading the list
 * Reachability SEEN_COUNT asserts that no leader ever counts from its node's view of an earlier leader's entry; it must fail.
 *
 * An order carries an absolute time up to which it extends the lease, so one that is executed late counts from its sending.
 */

#define LEADERS 3

byte key = 0;            /* the current leader's epoch; condition of every write */
byte listed = 0;         /* number of the stored entry; 0: none */
byte lastNumber = 0;     /* of the entries so far */
byte seen = 0;           /* number of the entry in the node's view */
bool extendedSince;      /* an order that extends the lease was sent since the node has learned of that entry */
bool mayOrder[LEADERS + 1]; /* by epoch: the leader may send orders; in its grace period as well */

#define FORMER_GONE(e) (!mayOrder[1] || e == 1) && (!mayOrder[2] || e <= 2)

#ifdef NO_BOUND
#define MAY_EXTEND (withheld == 0 || !isOwn)
#else
#define MAY_EXTEND (withheld == 0)
#endif

proctype Leader(byte epoch)
{
    byte withheld;  /* number of the entry that binds this leader; 0: none */
    bool isOwn;     /* it made the entry itself */
    bool isWriting; /* a write that removes the entry has no answer yet */

    atomic {
        key == epoch;
        withheld = listed
    }
end:
    do
    :: atomic { mayOrder[epoch] && MAY_EXTEND -> extendedSince = true } /* extends the lease */
    :: atomic {
#ifdef NO_GONE
        mayOrder[epoch] && key == epoch && withheld == 0 && lastNumber < 4 ->
#else
        mayOrder[epoch] && key == epoch && withheld == 0 && lastNumber < 4 && FORMER_GONE(epoch) ->
#endif
#ifdef SAME_NUMBER
        lastNumber = 1;
#else
        lastNumber++;
#endif
        withheld = lastNumber;
        isOwn = true
      }
    :: atomic { withheld != 0 && isOwn && key == epoch && listed != withheld && !isWriting -> listed = withheld }
    :: atomic { withheld != 0 && key == epoch && !isWriting -> isWriting = true } /* the worker replies */
#ifdef RELEASE_EARLY
    :: atomic { isWriting -> withheld = 0; isWriting = false; isOwn = false; if :: key == epoch -> listed = 0 :: skip fi }
#else
    :: atomic { isWriting && key == epoch -> listed = 0; withheld = 0; isWriting = false; isOwn = false }
#endif
    :: atomic {
#ifdef NO_READ
        mayOrder[epoch] && key == epoch && seen != 0 ->
#else
        mayOrder[epoch] && key == epoch && withheld != 0 && !isOwn && seen == withheld && listed == withheld ->
#endif
#ifdef SEEN_COUNT
        assert(false);
#endif
        assert(!extendedSince) /* expired */
      }
    :: atomic { !mayOrder[epoch] -> break }
    od
}

/* Elects leaders, ends grace periods, and updates the node's view. */
active proctype Environment()
{
end:
    do
    :: atomic { key < LEADERS -> key++; mayOrder[key] = true; run Leader(key) }
    :: atomic { key > 1 && mayOrder[1] -> mayOrder[1] = false }
    :: atomic { key > 2 && mayOrder[2] -> mayOrder[2] = false }
    :: atomic { seen != listed -> seen = listed; extendedSince = false }
    od
}
