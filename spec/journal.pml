/*
 * Model of the journal: a ring of slots written by compare-and-swap. There are two candidate owners. Replies of the
 * store can be lost, writes can be executed late, and snapshots allow slots to be reused.
 *
 * Parameters   SLOTS      number of slots in the ring
 *              LAST       sequence number at which the model stops
 *              EPOCHS     maximum number of takeovers
 *              RECORDS    maximum number of appends
 * Invariants   A replay is complete and extends every earlier replay.
 *              An acknowledged record is in the replay exactly once, at the position that its owner recorded.
 *              A record reported as not written is not in the replay.
 * Faults       Each flag removes one mechanism; an invariant must then fail.
 *              NO_REVISION    a write does not compare the revision of its slot
 *              GIVE_UP        an in-doubt batch that is not in its slot is reported as not written
 *              SEND_AGAIN     an in-doubt batch that is not in its slot is appended again, to the next slot
 *              ANY_CONTENT    any batch found in the slot of an in-doubt batch counts as that batch
 *              NO_BOUND       slots are reused without a snapshot
 *              REUSE_IS_LOSS  if the slot of an in-doubt batch has been reused, the batch is reported as not written
 * Reachability SEEN_ROUND, SEEN_SNAPSHOT and SEEN_LATE assert that a state is never reached; the assertion must fail.
 *
 * The sequence number in a slot stands for the slot's revision: each write to a slot increases it by SLOTS. The history
 * is an octal number with one digit per record. A paused owner needs no step of its own, because the other processes
 * can run for any time between two steps of an owner.
 */

#ifndef SLOTS
#define SLOTS 4
#endif
#ifndef LAST
#define LAST 10
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef RECORDS
#define RECORDS 4
#endif
#define OWNERS 2

#define NONE 0
#define TAKEOVER 1
#define RECORD 2
#define SNAPSHOT 3

#define IDLE 0
#define READY 1    /* not sent yet */
#define IN_DOUBT 2 /* sent, no reply yet */

typedef Batch {
    byte kind;
    byte seq;
    byte epoch;
    byte writer;
    short value /* RECORD: the record's number; SNAPSHOT: the history */
};

typedef Owner {
    byte epoch;         /* 0: not the owner */
    byte head;          /* sequence number of the last batch */
    byte base;          /* sequence number of the first batch that a replay needs */
    short knownHistory; /* the history according to this owner */
    byte pending;       /* IDLE, READY or IN_DOUBT */
    Batch batch
};

Batch slot[SLOTS];
Batch delayedWrite[OWNERS]; /* a write in transit whose sender no longer waits for it */
Owner owner[OWNERS];
byte epochs;       /* number of takeovers tried */
byte records;      /* number of appends tried */
byte acknowledged; /* bit set of records */
byte notWritten;   /* bit set of records that were reported as not written */
short history;     /* result of the replay after the last write */

hidden byte n;
hidden byte head;
hidden byte base;
hidden short replayed;
hidden short digits; /* remaining digits of a history */
hidden byte present; /* bit set of the records in the history */

/* Number of slots that a replay by owner i needs. */
#define USED(i) (owner[i].head + 1 - owner[i].base)
/* True if owner i may append a record; one slot stays free for a snapshot. */
#ifdef NO_BOUND
#define HAS_ROOM(i) (1)
#else
#define HAS_ROOM(i) (USED(i) + 1 < SLOTS)
#endif
#define SLOT(s) slot[(s) % SLOTS]

inline copyBatch(to, from)
{
    to.kind = from.kind;
    to.seq = from.seq;
    to.epoch = from.epoch;
    to.writer = from.writer;
    to.value = from.value
}

inline clearBatch(it)
{
    it.kind = NONE;
    it.seq = 0;
    it.epoch = 0;
    it.writer = 0;
    it.value = 0
}

/* Replays the ring into head, base and replayed; asserts that no batch is missing. */
inline replay()
{
    head = 0;
    n = 0;
    do
    :: n < SLOTS ->
        if
        :: slot[n].seq > head -> head = slot[n].seq
        :: else
        fi;
        n++
    :: else -> break
    od;
    base = 1;
    n = 0;
    do
    :: n < SLOTS ->
        assert(slot[n].seq + SLOTS > head); /* no gap between the oldest and the newest slot */
        if
        :: slot[n].kind == SNAPSHOT && slot[n].seq > base -> base = slot[n].seq
        :: else
        fi;
        n++
    :: else -> break
    od;
    replayed = 0;
    n = base;
    do
    :: n <= head && head > 0 ->
        assert(SLOT(n).seq == n);
        if
        :: SLOT(n).kind == RECORD -> replayed = replayed * 8 + SLOT(n).value
        :: SLOT(n).kind == SNAPSHOT -> replayed = SLOT(n).value
        :: else
        fi;
        n++
    :: else -> break
    od;
    n = 0
}

/* Asserts that the replay extends the previous one by at most one record, and that it has every acknowledged record
 * once and no record that was reported as not written. */
inline checkReplay()
{
    replay();
    assert(replayed == history || replayed / 8 == history);
    history = replayed;
    digits = history;
    do
    :: digits > 0 ->
        assert(!(present & (1 << (digits % 8)))); /* no duplicate */
        present = present | (1 << (digits % 8));
        digits = digits / 8
    :: else -> break
    od;
    assert((present & acknowledged) == acknowledged);
    assert((present & notWritten) == 0);
    present = 0;
    head = 0;
    base = 0;
    replayed = 0
}

/* The store executes a write. The caller checks MAY_WRITE first. */
inline write(it)
{
    copyBatch(SLOT(it.seq), it);
    checkReplay()
}

/* True if the slot still has the revision that the writer expects. */
#ifdef NO_REVISION
#define MAY_WRITE(it) (1)
#else
#define MAY_WRITE(it) (SLOT(it.seq).seq == (it.seq > SLOTS -> it.seq - SLOTS : 0))
#endif

inline clearPending(i)
{
    owner[i].pending = IDLE;
    clearBatch(owner[i].batch)
}

inline stepDown(i)
{
    owner[i].epoch = 0;
    owner[i].head = 0;
    owner[i].base = 0;
    owner[i].knownHistory = 0;
    clearPending(i)
}

inline reportNotWritten(i)
{
    if
    :: owner[i].batch.kind == RECORD -> notWritten = notWritten | (1 << owner[i].batch.value)
    :: else
    fi;
    assert((acknowledged & notWritten) == 0)
}

/* Owner i learns that its batch was written. Asserts that the history begins with the records that the owner knows. */
inline acknowledge(i)
{
    owner[i].head = owner[i].batch.seq;
    if
    :: owner[i].batch.kind == TAKEOVER -> owner[i].epoch = owner[i].batch.epoch
    :: owner[i].batch.kind == SNAPSHOT -> owner[i].base = owner[i].batch.seq
    :: owner[i].batch.kind == RECORD ->
        owner[i].knownHistory = owner[i].knownHistory * 8 + owner[i].batch.value;
        acknowledged = acknowledged | (1 << owner[i].batch.value)
    fi;
    digits = history;
    do
    :: digits > owner[i].knownHistory -> digits = digits / 8
    :: else -> break
    od;
    assert(digits == owner[i].knownHistory);
    digits = 0;
    clearPending(i);
#ifdef SEEN_SNAPSHOT
    assert(!(owner[i].base > 1 && owner[i].head > owner[i].base && epochs > 1));
#endif
}

/* True if the slot of the pending batch holds that batch. */
#define IS_OWN(i) \
    (SLOT(owner[i].batch.seq).seq == owner[i].batch.seq && SLOT(owner[i].batch.seq).writer == owner[i].batch.writer \
     && SLOT(owner[i].batch.seq).epoch == owner[i].batch.epoch \
     && SLOT(owner[i].batch.seq).value == owner[i].batch.value)
/* True if the slot has been written with the sequence number of the pending batch or a later one. */
#define IS_WRITTEN(i) (SLOT(owner[i].batch.seq).seq >= owner[i].batch.seq)

inline prepareBatch(i, newKind, newEpoch, newValue)
{
    owner[i].batch.kind = newKind;
    owner[i].batch.seq = owner[i].head + 1;
    owner[i].batch.epoch = newEpoch;
    owner[i].batch.writer = i;
    owner[i].batch.value = newValue;
    owner[i].pending = READY
}

proctype Candidate(byte i)
{
end:
    do
    /* Reads the ring and prepares a takeover. Discards all earlier state, like a process that has just started. */
    :: d_step {
        epochs < EPOCHS ->
        epochs++;
        stepDown(i);
        replay();
        if
        :: head < LAST && head + 2 - base < SLOTS ->
            owner[i].head = head;
            owner[i].base = base;
            owner[i].knownHistory = replayed;
            n = (head > 0 -> SLOT(head).epoch : 0) + 1;
            prepareBatch(i, TAKEOVER, n, 0);
            n = 0
        :: else
        fi;
        head = 0;
        base = 0;
        replayed = 0
    }
    :: d_step {
        owner[i].epoch > 0 && owner[i].pending == IDLE && records < RECORDS && owner[i].head < LAST && HAS_ROOM(i) ->
        records++;
        prepareBatch(i, RECORD, owner[i].epoch, records)
    }
    :: d_step {
        owner[i].epoch > 0 && owner[i].pending == IDLE && USED(i) < SLOTS && USED(i) > 1 && owner[i].head < LAST ->
        prepareBatch(i, SNAPSHOT, owner[i].epoch, owner[i].knownHistory)
    }
    /* The first attempt is executed, and its reply arrives. */
    :: d_step {
        owner[i].pending == READY && MAY_WRITE(owner[i].batch) ->
        write(owner[i].batch);
        acknowledge(i)
    }
    /* The first attempt is executed, but its reply is lost. */
    :: d_step {
        owner[i].pending == READY && MAY_WRITE(owner[i].batch) ->
        write(owner[i].batch);
        owner[i].pending = IN_DOUBT
    }
    /* The first attempt is rejected because the slot has another revision: another owner has taken over. */
    :: d_step {
        owner[i].pending == READY && !MAY_WRITE(owner[i].batch) ->
        reportNotWritten(i);
        stepDown(i)
    }
    /* The first attempt fails with a definite error. */
    :: d_step {
        owner[i].pending == READY && owner[i].batch.kind != TAKEOVER ->
        reportNotWritten(i);
        clearPending(i)
    }
    /* The first attempt is lost. */
    :: d_step {
        owner[i].pending == READY ->
        owner[i].pending = IN_DOUBT
    }
    /* The first attempt is delayed in the network. */
    :: d_step {
        owner[i].pending == READY && delayedWrite[i].kind == NONE ->
        copyBatch(delayedWrite[i], owner[i].batch);
        owner[i].pending = IN_DOUBT
    }
    /* An in-doubt takeover is abandoned; the candidate may start a new one. Other in-doubt batches are resolved by
     * reading their slot. */
    :: d_step {
        owner[i].pending == IN_DOUBT && owner[i].batch.kind == TAKEOVER ->
        stepDown(i)
    }
#ifdef ANY_CONTENT
    :: d_step {
        owner[i].pending == IN_DOUBT && owner[i].batch.kind != TAKEOVER && IS_WRITTEN(i) ->
        acknowledge(i)
    }
#else
    :: d_step {
        owner[i].pending == IN_DOUBT && owner[i].batch.kind != TAKEOVER && IS_OWN(i) ->
        acknowledge(i)
    }
    :: d_step {
        owner[i].pending == IN_DOUBT && owner[i].batch.kind != TAKEOVER && IS_WRITTEN(i) && !IS_OWN(i) ->
        if
#ifdef REUSE_IS_LOSS
        :: 1 -> reportNotWritten(i)
#else
        :: SLOT(owner[i].batch.seq).seq == owner[i].batch.seq -> reportNotWritten(i)
        :: else /* The slot has been reused: the outcome cannot be determined. */
#endif
        fi;
        stepDown(i)
    }
#endif
#ifdef GIVE_UP
    :: d_step {
        owner[i].pending == IN_DOUBT && owner[i].batch.kind != TAKEOVER && !IS_WRITTEN(i) ->
        reportNotWritten(i);
        clearPending(i)
    }
#endif
#ifdef SEND_AGAIN
    :: d_step {
        owner[i].pending == IN_DOUBT && owner[i].batch.kind == RECORD && !IS_WRITTEN(i) && owner[i].head + 1 < LAST ->
        owner[i].head++;
        owner[i].batch.seq++;
        owner[i].pending = READY
    }
#endif
    /* The batch is not in its slot: a retry of the same write is executed, and its reply arrives. A retry that is lost
     * changes nothing. */
    :: d_step {
        owner[i].pending == IN_DOUBT && owner[i].batch.kind != TAKEOVER && !IS_WRITTEN(i) &&
            MAY_WRITE(owner[i].batch) ->
        write(owner[i].batch);
        acknowledge(i)
    }
    od
}

/* Delivers the delayed write of candidate i. */
proctype Network(byte i)
{
end:
    do
    :: d_step {
        delayedWrite[i].kind != NONE ->
        if
        :: MAY_WRITE(delayedWrite[i]) ->
#ifdef SEEN_LATE
            assert(!(owner[1 - i].epoch > 0));
#endif
            write(delayedWrite[i])
        :: else
        fi;
        clearBatch(delayedWrite[i])
    }
    od
}

#ifdef SEEN_ROUND
/* Fails once two slots have been reused. */
proctype ReuseMonitor()
{
    do
    :: d_step { slot[1].seq > SLOTS -> assert(!(slot[0].seq > SLOTS)) }
    od
}
#endif

init
{
    atomic {
        run Candidate(0);
        run Candidate(1);
        run Network(0);
        run Network(1);
#ifdef SEEN_ROUND
        run ReuseMonitor()
#endif
    }
}
