/*
 * The journal: a ring of slots written by compare-and-swap, two candidate owners, answers that get lost, writes that
 * arrive late, snapshots that let the ring go round.
 *
 * Parameters   SLOTS      of the ring
 *              LAST       sequence at which the model stops
 *              EPOCHS     takeovers that it tries
 *              RECORDS    appends that it tries
 * Checked      replay is complete, and extends every earlier replay
 *              an acknowledged record is in the replay, where its owner has put it, once
 *              a record reported as not written is not in the replay
 * Taken out by NO_REVISION    a slot is written without regard to what is in it
 *              GIVE_UP        a batch in doubt that is not in its slot is reported as not written
 *              SEND_AGAIN     a batch in doubt that is not in its slot is appended anew, behind it
 *              ANY_CONTENT    whatever is in the slot in doubt is taken for one's own
 *              NO_BOUND       the ring goes round without a snapshot
 *              REUSE_IS_LOSS  a slot used again means that the batch in doubt was not written
 * Reached      SEEN_ROUND, SEEN_SNAPSHOT, SEEN_LATE: fails where the model gets as far as that
 *
 * A slot's revision is modelled by the sequence that it holds: each write of a slot raises it by SLOTS. The history is a
 * number in octal, one digit for each record. A pause needs no step of its own: every owner may rest between any two
 * calls while the others go on.
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
#define READY 1 /* not yet sent */
#define DOUBT 2 /* sent, no answer */

typedef Batch {
    byte kind;
    byte seq;
    byte epoch;
    byte writer;
    short value /* RECORD: its number; SNAPSHOT: the history */
};

typedef Owner {
    byte epoch; /* 0: not the owner */
    byte head;
    byte base;
    short view; /* the history as it knows it */
    byte pending;
    Batch batch
};

Batch slot[SLOTS];
Batch late[OWNERS]; /* a write on its way that nobody waits for any more */
Owner owner[OWNERS];
byte epochs;
byte records;
byte acknowledged; /* bits */
byte notWritten;   /* bits */
short history;     /* as replayed after the last write */

hidden byte n;
hidden byte head;
hidden byte base;
hidden short replayed;
hidden short digits;
hidden byte present; /* bits of the records in the history */

#define USED(i) (owner[i].head + 1 - owner[i].base)
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

/* Strict replay of the ring into head, base and replayed. */
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
        assert(slot[n].seq + SLOTS > head); /* nothing is missing */
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

/* Asserts that the history as replayed now begins with the one replayed before, and what has been promised about it. */
inline checkReplay()
{
    replay();
    assert(replayed == history || replayed / 8 == history);
    history = replayed;
    digits = history;
    do
    :: digits > 0 ->
        assert(!(present & (1 << (digits % 8)))); /* none stands in it twice */
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

/* The service takes a write: the slot must hold what the writer last saw there. */
inline write(it)
{
    copyBatch(SLOT(it.seq), it);
    checkReplay()
}

#ifdef NO_REVISION
#define MAY_WRITE(it) (1)
#else
#define MAY_WRITE(it) (SLOT(it.seq).seq == (it.seq > SLOTS -> it.seq - SLOTS : 0))
#endif

inline forgetBatch(i)
{
    owner[i].pending = IDLE;
    clearBatch(owner[i].batch)
}

inline standDown(i)
{
    owner[i].epoch = 0;
    owner[i].head = 0;
    owner[i].base = 0;
    owner[i].view = 0;
    forgetBatch(i)
}

inline reportNotWritten(i)
{
    if
    :: owner[i].batch.kind == RECORD -> notWritten = notWritten | (1 << owner[i].batch.value)
    :: else
    fi;
    assert((acknowledged & notWritten) == 0)
}

/* Asserts that what an owner counts as written is where it believes it to be. */
inline acknowledge(i)
{
    owner[i].head = owner[i].batch.seq;
    if
    :: owner[i].batch.kind == TAKEOVER -> owner[i].epoch = owner[i].batch.epoch
    :: owner[i].batch.kind == SNAPSHOT -> owner[i].base = owner[i].batch.seq
    :: owner[i].batch.kind == RECORD ->
        owner[i].view = owner[i].view * 8 + owner[i].batch.value;
        acknowledged = acknowledged | (1 << owner[i].batch.value)
    fi;
    digits = history;
    do
    :: digits > owner[i].view -> digits = digits / 8
    :: else -> break
    od;
    assert(digits == owner[i].view);
    digits = 0;
    forgetBatch(i);
#ifdef SEEN_SNAPSHOT
    assert(!(owner[i].base > 1 && owner[i].head > owner[i].base && epochs > 1));
#endif
}

#define IS_MINE(i) \
    (SLOT(owner[i].batch.seq).seq == owner[i].batch.seq && SLOT(owner[i].batch.seq).writer == owner[i].batch.writer \
     && SLOT(owner[i].batch.seq).epoch == owner[i].batch.epoch && SLOT(owner[i].batch.seq).value == owner[i].batch.value)
#define IS_THERE(i) (SLOT(owner[i].batch.seq).seq >= owner[i].batch.seq)

inline prepare(i, what, ofEpoch, content)
{
    owner[i].batch.kind = what;
    owner[i].batch.seq = owner[i].head + 1;
    owner[i].batch.epoch = ofEpoch;
    owner[i].batch.writer = i;
    owner[i].batch.value = content;
    owner[i].pending = READY
}

proctype Candidate(byte i)
{
end:
    do
    /* Reads the ring and prepares a takeover; what it owned before is forgotten, as by a new process. */
    :: d_step {
        epochs < EPOCHS ->
        epochs++;
        standDown(i);
        replay();
        if
        :: head < LAST && head + 2 - base < SLOTS ->
            owner[i].head = head;
            owner[i].base = base;
            owner[i].view = replayed;
            n = (head > 0 -> SLOT(head).epoch : 0) + 1;
            prepare(i, TAKEOVER, n, 0);
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
        prepare(i, RECORD, owner[i].epoch, records)
    }
    :: d_step {
        owner[i].epoch > 0 && owner[i].pending == IDLE && USED(i) < SLOTS && USED(i) > 1 && owner[i].head < LAST ->
        prepare(i, SNAPSHOT, owner[i].epoch, owner[i].view)
    }
    /* The first try takes effect: its answer comes, or is lost. */
    :: d_step {
        owner[i].pending == READY && MAY_WRITE(owner[i].batch) ->
        write(owner[i].batch);
        acknowledge(i)
    }
    :: d_step {
        owner[i].pending == READY && MAY_WRITE(owner[i].batch) ->
        write(owner[i].batch);
        owner[i].pending = DOUBT
    }
    /* It has no effect, and says so. */
    :: d_step {
        owner[i].pending == READY && !MAY_WRITE(owner[i].batch) ->
        reportNotWritten(i);
        standDown(i)
    }
    :: d_step {
        owner[i].pending == READY && owner[i].batch.kind != TAKEOVER ->
        reportNotWritten(i);
        forgetBatch(i)
    }
    /* It is lost, or held up on its way. */
    :: d_step {
        owner[i].pending == READY ->
        owner[i].pending = DOUBT
    }
    :: d_step {
        owner[i].pending == READY && late[i].kind == NONE ->
        copyBatch(late[i], owner[i].batch);
        owner[i].pending = DOUBT
    }
    /* A takeover in doubt is given up for a new one. Other batches in doubt are settled by reading the slot. */
    :: d_step {
        owner[i].pending == DOUBT && owner[i].batch.kind == TAKEOVER ->
        standDown(i)
    }
#ifdef ANY_CONTENT
    :: d_step {
        owner[i].pending == DOUBT && owner[i].batch.kind != TAKEOVER && IS_THERE(i) ->
        acknowledge(i)
    }
#else
    :: d_step {
        owner[i].pending == DOUBT && owner[i].batch.kind != TAKEOVER && IS_MINE(i) ->
        acknowledge(i)
    }
    :: d_step {
        owner[i].pending == DOUBT && owner[i].batch.kind != TAKEOVER && IS_THERE(i) && !IS_MINE(i) ->
        if
#ifdef REUSE_IS_LOSS
        :: 1 -> reportNotWritten(i)
#else
        :: SLOT(owner[i].batch.seq).seq == owner[i].batch.seq -> reportNotWritten(i)
        :: else /* used again since: nobody can tell */
#endif
        fi;
        standDown(i)
    }
#endif
#ifdef GIVE_UP
    :: d_step {
        owner[i].pending == DOUBT && owner[i].batch.kind != TAKEOVER && !IS_THERE(i) ->
        reportNotWritten(i);
        forgetBatch(i)
    }
#endif
#ifdef SEND_AGAIN
    :: d_step {
        owner[i].pending == DOUBT && owner[i].batch.kind == RECORD && !IS_THERE(i) && owner[i].head + 1 < LAST ->
        owner[i].head++;
        owner[i].batch.seq++;
        owner[i].pending = READY
    }
#endif
    /* Not there: the same batch is sent again, and its answer is lost again or not. */
    :: d_step {
        owner[i].pending == DOUBT && owner[i].batch.kind != TAKEOVER && !IS_THERE(i) && MAY_WRITE(owner[i].batch) ->
        write(owner[i].batch);
        acknowledge(i)
    }
    od
}

proctype Network(byte i)
{
end:
    do
    :: d_step {
        late[i].kind != NONE ->
        if
        :: MAY_WRITE(late[i]) ->
#ifdef SEEN_LATE
            assert(!(owner[1 - i].epoch > 0));
#endif
            write(late[i])
        :: else
        fi;
        clearBatch(late[i])
    }
    od
}

#ifdef SEEN_ROUND
proctype Watch()
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
        run Watch()
#endif
    }
}
