/*
 * Running a task once: two candidate owners over a fenced journal, workers with messages from them that arrive late,
 * repeatedly or never, and workers that are lost with their VM.
 *
 * Parameters   TASKS, WORKERS, CAPACITY (tasks that fit a worker), ATTEMPTS (of a task), EPOCHS (takeovers)
 * Checked      starts     an attempt starts at most once, so in one place
 *              running    no two attempts of a task run at once (UNCHECKED_RUNNING: unchecked)
 *              committed  what the journal commits of a worker fits
 *              load       what runs on a worker fits
 *              FOLLOWS    the next attempt is journaled after the end of the one before, and once (UNCHECKED_ORDER: unchecked)
 * Taken out by NO_FENCING      an owner appends although another has taken over
 *              START_FIRST     a start is sent before it is known to be journaled
 *              FREE_AT_STOP    the end is journaled, and capacity freed, once the stop has been sent
 *              FREE_ON_UNKNOWN an attempt that the worker does not know is taken for ended
 *              RESUME_EARLY    the next attempt is journaled while the one before may run
 *              NO_LEDGER       places without looking at what is committed
 *              NO_EPOCHS       workers obey owners that have been succeeded
 *              NO_CONTACT      a new owner acts on a worker before the worker has seen its epoch
 *              FORGET_EARLY    workers are told to forget an attempt while its start may still arrive in time
 * Reached      SEEN_RESUME, SEEN_TAKEOVER, SEEN_LOSS: fails where the model gets as far as that
 *
 * The journal is modelled by its fold: the last attempt of each task, where it was placed, whether its end is known. That
 * appends are atomic, ordered and fenced is what journal.pml checks. A start is a bit that stays set until it expires: until
 * then it may be delivered at any time, any number of times, or never. Pauses need no step: every owner may rest between
 * any two of its steps while the other takes over. A worker may end, or bar, a journaled attempt at any time; that covers
 * tasks that finish or fail, stops of present and former owners, starts that arrive expired, and leases that lapse because
 * renewals were late or lost. Renewals are not modelled beyond that: they can only delay such an end.
 */

#ifndef TASKS
#define TASKS 1
#endif
#ifndef WORKERS
#define WORKERS 2
#endif
#ifndef CAPACITY
#define CAPACITY 1
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#define OWNERS 2

/* Of an attempt, as a worker sees it. */
#define UNKNOWN 0
#define RUNNING 1
#define ENDED 2 /* stopped, finished, failed, or barred before it began */

/* Of what an owner has in hand for the journal. */
#define NOTHING 0
#define ASSIGNMENT 1
#define END 2

typedef Task {
    byte attempt; /* 0: none yet */
    byte worker;
    bool open /* its end is not known: it holds capacity */
};

typedef Owner {
    byte epoch; /* 0: not the owner */
    Task task[TASKS];
    bool met[WORKERS]; /* the worker has seen this epoch, and given its list after that */
    byte pending;
    byte pendingTask;
    byte pendingWorker;
    bool written /* the append has taken effect; the owner may not know yet */
};

typedef Worker {
    byte epoch; /* the highest it has seen */
    bool gone;
    byte state[TASKS * ATTEMPTS]
};

#define ATTEMPT(t, a) ((t) * ATTEMPTS + (a) - 1)
#define MESSAGE(t, a, e, w) ((ATTEMPT(t, a) * EPOCHS + (e) - 1) * WORKERS + (w))
#define MESSAGES (TASKS * ATTEMPTS * EPOCHS * WORKERS)

byte epoch; /* of the journal */
Task task[TASKS];
Owner owner[OWNERS];
Worker worker[WORKERS];
bool startMessage[MESSAGES]; /* sent, and not expired */
byte starts[TASKS * ATTEMPTS]; /* how often each attempt began to run, anywhere */

hidden byte n;
hidden byte m;
hidden byte committed;
hidden byte running; /* attempts of one task */
hidden byte load;    /* of one worker */

#ifdef NO_EPOCHS
#define OBEYS(w, e) (!worker[w].gone)
#else
#define OBEYS(w, e) (!worker[w].gone && (e) >= worker[w].epoch)
#endif
#ifdef NO_CONTACT
#define MET(i, w) (1)
#else
#define MET(i, w) (owner[i].met[w])
#endif
#ifdef NO_FENCING
#define MAY_APPEND(i) (1)
#else
#define MAY_APPEND(i) (owner[i].epoch == epoch)
#endif
#ifdef RESUME_EARLY
#define MAY_RESUME(i, t) (1)
#else
#define MAY_RESUME(i, t) (!owner[i].task[t].open)
#endif
#ifdef FORGET_EARLY
#define CANNOT_ARRIVE(i, t, a, w) (1)
#else
#define CANNOT_ARRIVE(i, t, a, w) (!startMessage[MESSAGE(t, a, owner[i].epoch, w)])
#endif

#ifdef NO_LEDGER
#define HAS_ROOM (1)
#else
#define HAS_ROOM (committed < CAPACITY)
#endif

#define IS_OWNER(i) (owner[i].epoch > 0 && owner[i].pending == NOTHING)
#define OPEN_WORKER(i, t) owner[i].task[t].worker
#define OPEN_ATTEMPT(i, t) ATTEMPT(t, owner[i].task[t].attempt)
#define OPEN_MESSAGE(i, t) MESSAGE(t, owner[i].task[t].attempt, owner[i].epoch, owner[i].task[t].worker)

#define IS_CLOSED(i, t, a) \
    (owner[i].task[t].attempt > (a) || (owner[i].task[t].attempt == (a) && !owner[i].task[t].open))
#define HAS_STOPPED(t, a, w) (!worker[w].gone && worker[w].state[ATTEMPT(t, a)] == ENDED)

#ifdef UNCHECKED_ORDER
#define FOLLOWS(i) (1)
#else
#define FOLLOWS(i) \
    (!task[owner[i].pendingTask].open \
     && task[owner[i].pendingTask].attempt == owner[i].task[owner[i].pendingTask].attempt)
#endif

/* What an owner takes for the end of the open attempt of a task. */
#ifdef FREE_AT_STOP
#define HAS_ENDED(i, t) (1)
#endif
#ifdef FREE_ON_UNKNOWN
#define HAS_ENDED(i, t) (worker[OPEN_WORKER(i, t)].state[OPEN_ATTEMPT(i, t)] != RUNNING)
#endif
#ifndef HAS_ENDED
#define HAS_ENDED(i, t) \
    (worker[OPEN_WORKER(i, t)].gone || worker[OPEN_WORKER(i, t)].state[OPEN_ATTEMPT(i, t)] == ENDED)
#endif

/* committed = tasks that owner i counts against worker w */
inline countCommitted(i, w)
{
    do
    :: n < TASKS ->
        committed = committed + (owner[i].task[n].open && owner[i].task[n].worker == w -> 1 : 0);
        n++
    :: else -> break
    od;
    n = 0
}

inline checkLedger(w)
{
    do
    :: n < TASKS ->
        committed = committed + (task[n].open && task[n].worker == w -> 1 : 0);
        n++
    :: else -> break
    od;
    n = 0;
    assert(committed <= CAPACITY);
    committed = 0
}

/* Asserts that no task runs twice, and that what runs on worker w fits. */
inline checkRunning(w)
{
    do
    :: n < TASKS ->
        do
        :: m < ATTEMPTS * WORKERS ->
            running = running + (worker[m % WORKERS].state[n * ATTEMPTS + m / WORKERS] == RUNNING -> 1 : 0);
            m++
        :: else -> break
        od;
#ifndef UNCHECKED_RUNNING
        assert(running <= 1);
#endif
        running = 0;
        m = 0;
        n++
    :: else -> break
    od;
    n = 0;
    do
    :: n < TASKS * ATTEMPTS ->
        load = load + (worker[w].state[n] == RUNNING -> 1 : 0);
        n++
    :: else -> break
    od;
    assert(load <= CAPACITY);
    load = 0;
    n = 0
}

inline dropPending(i)
{
    owner[i].pending = NOTHING;
    owner[i].pendingTask = 0;
    owner[i].pendingWorker = 0;
    owner[i].written = 0
}

inline standDown(i)
{
    owner[i].epoch = 0;
    dropPending(i);
    n = 0;
    do
    :: n < TASKS ->
        owner[i].task[n].attempt = 0;
        owner[i].task[n].worker = 0;
        owner[i].task[n].open = 0;
        n++
    :: else -> break
    od;
    n = 0;
    do
    :: n < WORKERS ->
        owner[i].met[n] = 0;
        n++
    :: else -> break
    od;
    n = 0
}

/* ------------------------------------------------------------------------------------------------------------------ */
/* Steps of owners                                                                                                      */
/* ------------------------------------------------------------------------------------------------------------------ */

/* Owner i takes over, whatever the other does, and whatever it had in hand itself. */
#define TAKE_OVER(i) :: d_step { epoch < EPOCHS -> takeOver(i) }
inline takeOver(i)
{
    epoch++;
    standDown(i);
    owner[i].epoch = epoch;
    do
    :: n < TASKS ->
        owner[i].task[n].attempt = task[n].attempt;
        owner[i].task[n].worker = task[n].worker;
        owner[i].task[n].open = task[n].open;
        n++
    :: else -> break
    od;
    n = 0;
#ifdef SEEN_TAKEOVER
    assert(!(epoch > 2 && task[0].open && task[0].attempt > 1));
#endif
}

/* What owner i has in hand takes effect in the journal. */
#define WRITE(i) :: d_step { owner[i].pending != NOTHING && !owner[i].written && MAY_APPEND(i) -> write(i) }
inline write(i)
{
    if
    :: owner[i].pending == ASSIGNMENT ->
        assert(FOLLOWS(i));
        task[owner[i].pendingTask].attempt = owner[i].task[owner[i].pendingTask].attempt + 1;
        task[owner[i].pendingTask].worker = owner[i].pendingWorker;
        task[owner[i].pendingTask].open = 1;
        checkLedger(owner[i].pendingWorker)
    :: else -> task[owner[i].pendingTask].open = 0
    fi;
    owner[i].written = 1
}

/* Owner i learns that it took effect, by the answer or by reading it back. */
#define LEARN(i) :: d_step { owner[i].written -> learn(i) }
inline learn(i)
{
    if
    :: owner[i].pending == ASSIGNMENT ->
        owner[i].task[owner[i].pendingTask].attempt++;
        owner[i].task[owner[i].pendingTask].worker = owner[i].pendingWorker;
        owner[i].task[owner[i].pendingTask].open = 1
    :: else -> owner[i].task[owner[i].pendingTask].open = 0
    fi;
    dropPending(i)
}

/* The service refuses it, or somebody else has taken over. */
#define REFUSE(i) :: d_step { owner[i].pending != NOTHING && !owner[i].written -> dropPending(i) }
#define FENCE(i) :: d_step { owner[i].pending != NOTHING && !owner[i].written && owner[i].epoch < epoch -> standDown(i) }

/* Owner i shows its epoch to worker w and reads its list. */
#define CONTACT(i, w) \
    :: d_step { IS_OWNER(i) && !owner[i].met[w] && (OBEYS(w, owner[i].epoch) || worker[w].gone) -> contact(i, w) }
inline contact(i, w)
{
    worker[w].epoch = (worker[w].gone -> 0 : owner[i].epoch);
    owner[i].met[w] = 1
}

/* Owner i decides to run task t on worker w. */
#define PLACE(i, t, w) \
    :: d_step { IS_OWNER(i) && MET(i, w) && MAY_RESUME(i, t) && owner[i].task[t].attempt < ATTEMPTS -> place(i, t, w) }
inline place(i, t, w)
{
    countCommitted(i, w);
    if
    :: HAS_ROOM ->
        owner[i].pending = ASSIGNMENT;
        owner[i].pendingTask = t;
        owner[i].pendingWorker = w;
#ifdef START_FIRST
        startMessage[MESSAGE(t, owner[i].task[t].attempt + 1, owner[i].epoch, w)] = 1
#endif
    :: else
    fi;
    committed = 0
}

/* Owner i sends, or sends again, the start of the open attempt of task t. */
#define START(i, t) :: d_step { IS_OWNER(i) && owner[i].task[t].open && !SENT(i, t) -> startMessage[OPEN_MESSAGE(i, t)] = 1 }
#define SENT(i, t) (startMessage[OPEN_MESSAGE(i, t)] || worker[OPEN_WORKER(i, t)].gone)

/* Owner i has the worker's or the platform's word that the open attempt of task t has ended. */
#define HEAR(i, t) \
    :: d_step { IS_OWNER(i) && owner[i].task[t].open && MET(i, OPEN_WORKER(i, t)) && HAS_ENDED(i, t) -> hear(i, t) }
inline hear(i, t)
{
    owner[i].pending = END;
    owner[i].pendingTask = t
}

/* Owner i lets worker w forget attempt a of task t, whose end is durable. */
#define FORGET(i, t, a, w) \
    :: d_step { IS_OWNER(i) && MET(i, w) && IS_CLOSED(i, t, a) && HAS_STOPPED(t, a, w) && CANNOT_ARRIVE(i, t, a, w) -> \
        worker[w].state[ATTEMPT(t, a)] = UNKNOWN }

/* ------------------------------------------------------------------------------------------------------------------ */
/* Steps of the network and of workers                                                                                  */
/* ------------------------------------------------------------------------------------------------------------------ */

/* The start of an attempt, as sent by the owner of epoch e, arrives at worker w. */
#define ARRIVE(t, a, w, e) \
    :: d_step { startMessage[MESSAGE(t, a, e, w)] && OBEYS(w, e) && worker[w].state[ATTEMPT(t, a)] == UNKNOWN -> \
        arrive(t, a, w, e) }
inline arrive(t, a, w, e)
{
    worker[w].epoch = (worker[w].epoch < e -> e : worker[w].epoch);
    worker[w].state[ATTEMPT(t, a)] = RUNNING;
    starts[ATTEMPT(t, a)]++;
#ifdef SEEN_RESUME
    assert(a < 2);
#endif
    assert(starts[ATTEMPT(t, a)] == 1); /* an attempt starts once */
    checkRunning(w)
}

/* It is lost, or expires. */
#define EXPIRE(t, a, w, e) :: d_step { startMessage[MESSAGE(t, a, e, w)] -> startMessage[MESSAGE(t, a, e, w)] = 0 }

/* A journaled attempt ends on worker w, or is barred there, for whatever reason. */
#define FINISH(t, a, w) \
    :: d_step { task[t].attempt >= a && worker[w].state[ATTEMPT(t, a)] != ENDED -> worker[w].state[ATTEMPT(t, a)] = ENDED }

/* Worker w is lost with its VM, and the platform says so. */
#define LOSE(w) :: d_step { !worker[w].gone -> lose(w) }
inline lose(w)
{
#ifdef SEEN_LOSS
    assert(!(worker[w].state[1] == RUNNING && epoch > 1));
#endif
    worker[w].gone = 1;
    worker[w].epoch = 0;
    do
    :: n < TASKS * ATTEMPTS ->
        worker[w].state[n] = ENDED;
        m = 0;
        do
        :: m < EPOCHS -> startMessage[(n * EPOCHS + m) * WORKERS + w] = 0; m++
        :: else -> break
        od;
        n++
    :: else -> break
    od;
    n = 0;
    m = 0
}

/* ------------------------------------------------------------------------------------------------------------------ */
/* Everything in any order                                                                                              */
/* ------------------------------------------------------------------------------------------------------------------ */

#define EACH_OWNER(step) step(0) step(1)
#if WORKERS > 1
#define EACH_WORKER(step, ...) step(__VA_ARGS__, 0) step(__VA_ARGS__, 1)
#define ONLY_WORKERS(step) step(0) step(1)
#else
#define EACH_WORKER(step, ...) step(__VA_ARGS__, 0)
#define ONLY_WORKERS(step) step(0)
#endif
#if TASKS > 1
#define EACH_TASK(step, ...) step(__VA_ARGS__, 0) step(__VA_ARGS__, 1)
#define ONLY_TASKS(step) step(0) step(1)
#else
#define EACH_TASK(step, ...) step(__VA_ARGS__, 0)
#define ONLY_TASKS(step) step(0)
#endif
#if ATTEMPTS > 2
#define EACH_ATTEMPT(step, ...) step(__VA_ARGS__, 1) step(__VA_ARGS__, 2) step(__VA_ARGS__, 3)
#else
#define EACH_ATTEMPT(step, ...) step(__VA_ARGS__, 1) step(__VA_ARGS__, 2)
#endif
#if EPOCHS > 2
#define EACH_EPOCH(step, ...) step(__VA_ARGS__, 1) step(__VA_ARGS__, 2) step(__VA_ARGS__, 3)
#else
#define EACH_EPOCH(step, ...) step(__VA_ARGS__, 1) step(__VA_ARGS__, 2)
#endif

#define OF_OWNER(i) TAKE_OVER(i) WRITE(i) LEARN(i) REFUSE(i) FENCE(i) EACH_WORKER(CONTACT, i) EACH_TASK(OF_OWNERS_TASK, i)
#define OF_OWNERS_TASK(i, t) START(i, t) HEAR(i, t) EACH_WORKER(PLACE, i, t) EACH_ATTEMPT(OF_OWNERS_ATTEMPT, i, t)
#define OF_OWNERS_ATTEMPT(i, t, a) FORGET(i, t, a, 0) FORGET_AT_1(i, t, a)
#define OF_TASK(t) OF_ATTEMPT(t, 1) OF_ATTEMPT(t, 2) OF_ATTEMPT_3(t)
#define OF_ATTEMPT(t, a) AT_WORKER(t, a, 0) AT_WORKER_1(t, a)
#define AT_WORKER(t, a, w) FINISH(t, a, w) EACH_EPOCH(OF_MESSAGE, t, a, w)
#define OF_MESSAGE(t, a, w, e) ARRIVE(t, a, w, e) EXPIRE(t, a, w, e)
#if WORKERS > 1
#define FORGET_AT_1(i, t, a) FORGET(i, t, a, 1)
#define AT_WORKER_1(t, a) AT_WORKER(t, a, 1)
#else
#define FORGET_AT_1(i, t, a)
#define AT_WORKER_1(t, a)
#endif
#if ATTEMPTS > 2
#define OF_ATTEMPT_3(t) OF_ATTEMPT(t, 3)
#else
#define OF_ATTEMPT_3(t)
#endif

active proctype System()
{
end:
    do
    EACH_OWNER(OF_OWNER)
    ONLY_TASKS(OF_TASK)
    ONLY_WORKERS(LOSE)
    od
}
