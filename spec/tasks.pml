/*
 * Model of running a task at most once: two candidate owners write a fenced journal, start messages can be delayed,
 * duplicated or lost, and workers can be lost together with their VM.
 *
 * Parameters   TASKS, WORKERS, CAPACITY (tasks per worker), ATTEMPTS (per task), EPOCHS (takeovers)
 * Invariants   starts     an attempt starts at most once, and therefore on one worker only
 *              running    no two attempts of a task run at once (not checked with UNCHECKED_RUNNING)
 *              committed  the capacity that the journal commits on a worker does not exceed the worker's capacity
 *              load       the tasks that run on a worker do not exceed its capacity
 *              order      an attempt is journaled once, after the end of the previous attempt; see IS_NEXT_ATTEMPT (not
 *                         checked with UNCHECKED_ORDER)
 * Faults       Each flag removes one mechanism; an invariant must then fail.
 *              NO_FENCING      an owner appends although another owner has taken over
 *              START_FIRST     a start is sent before it is known to be journaled
 *              FREE_AT_STOP    the end is journaled, and the capacity freed, as soon as the stop has been sent
 *              FREE_ON_UNKNOWN an attempt that the worker does not know counts as ended
 *              RESUME_EARLY    the next attempt is journaled while the previous one may still run
 *              NO_LEDGER       placement ignores the committed capacity
 *              NO_EPOCHS       workers accept orders of former owners
 *              NO_CONTACT      a new owner acts on a worker before the worker has accepted its epoch
 *              FORGET_EARLY    workers are told to forget an attempt while its start message can still be delivered
 * Reachability SEEN_RESUME, SEEN_TAKEOVER and SEEN_LOSS assert that a state is never reached; the assertion must fail.
 *
 * The journal is modelled by the state that a replay yields: for each task its last attempt, the worker of that
 * attempt, and whether its end is known. journal.pml checks that appends are atomic, ordered and fenced. A start
 * message is a bit that stays set until the message expires; until then it can be delivered at any time and any number
 * of times, or never. A paused owner needs no step of its own, because the other owner can take over between any two of
 * its steps. A worker can end a journaled attempt, or refuse its start, at any time. That covers tasks that finish or
 * fail, stops sent by present and former owners, starts that arrive expired, and leases that expire because renewals
 * were late or lost. Lease renewals are not modelled further: they can only delay such an end.
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

/* State of an attempt on a worker. */
#define UNKNOWN 0 /* the worker has no record of the attempt */
#define RUNNING 1
#define ENDED 2   /* stopped, finished, failed, or refused before it started */

/* Kind of the append that an owner has pending. */
#define NONE 0
#define ASSIGNMENT 1
#define END 2

typedef Task {
    byte attempt; /* 0: none yet */
    byte worker;
    bool open /* the attempt has no known end and holds capacity */
};

typedef Owner {
    byte epoch; /* 0: not the owner */
    Task task[TASKS];
    bool contacted[WORKERS]; /* the worker is lost, or has accepted this epoch and then listed its attempts */
    byte pending;
    byte pendingTask;
    byte pendingWorker;
    bool written /* the append has been executed; the owner may not know it yet */
};

typedef Worker {
    byte epoch; /* the highest that it has accepted */
    bool lost;  /* together with its VM */
    byte state[TASKS * ATTEMPTS]
};

/* Index of attempt a (from 1) of task t, and of the start message of epoch e for that attempt to worker w. */
#define ATTEMPT(t, a) ((t) * ATTEMPTS + (a) - 1)
#define MESSAGE(t, a, e, w) ((ATTEMPT(t, a) * EPOCHS + (e) - 1) * WORKERS + (w))
#define MESSAGES (TASKS * ATTEMPTS * EPOCHS * WORKERS)

byte epoch; /* of the journal */
Task task[TASKS];
Owner owner[OWNERS];
Worker worker[WORKERS];
bool startMessage[MESSAGES];   /* sent and not expired */
byte starts[TASKS * ATTEMPTS]; /* number of starts of each attempt on all workers */

hidden byte n;
hidden byte m;
hidden byte committed; /* number of tasks that hold capacity on one worker */
hidden byte running;   /* number of running attempts of one task */
hidden byte load;      /* number of running attempts on one worker */

/* True if worker w accepts messages of epoch e. */
#ifdef NO_EPOCHS
#define ACCEPTS_EPOCH(w, e) (!worker[w].lost)
#else
#define ACCEPTS_EPOCH(w, e) (!worker[w].lost && (e) >= worker[w].epoch)
#endif
/* True if owner i may act on worker w. */
#ifdef NO_CONTACT
#define HAS_CONTACTED(i, w) (1)
#else
#define HAS_CONTACTED(i, w) (owner[i].contacted[w])
#endif
/* True if an append of owner i passes the fencing of the journal. */
#ifdef NO_FENCING
#define MAY_APPEND(i) (1)
#else
#define MAY_APPEND(i) (owner[i].epoch == epoch)
#endif
/* True if owner i may journal the next attempt of task t. */
#ifdef RESUME_EARLY
#define MAY_RESUME(i, t) (1)
#else
#define MAY_RESUME(i, t) (!owner[i].task[t].open)
#endif
/* True if no start message of this owner for attempt a can still be delivered to worker w. */
#ifdef FORGET_EARLY
#define NO_START_IN_FLIGHT(i, t, a, w) (1)
#else
#define NO_START_IN_FLIGHT(i, t, a, w) (!startMessage[MESSAGE(t, a, owner[i].epoch, w)])
#endif
/* True if a worker has capacity for one more task; committed is the number of tasks that hold capacity on it. */
#ifdef NO_LEDGER
#define HAS_ROOM (1)
#else
#define HAS_ROOM (committed < CAPACITY)
#endif

/* True if i is an owner without a pending append. */
#define IS_IDLE_OWNER(i) (owner[i].epoch > 0 && owner[i].pending == NONE)
#define OPEN_WORKER(i, t) owner[i].task[t].worker
#define OPEN_ATTEMPT(i, t) ATTEMPT(t, owner[i].task[t].attempt)
#define OPEN_MESSAGE(i, t) MESSAGE(t, owner[i].task[t].attempt, owner[i].epoch, owner[i].task[t].worker)

/* True if owner i knows that the end of attempt a is journaled. */
#define IS_CLOSED(i, t, a) \
    (owner[i].task[t].attempt > (a) || (owner[i].task[t].attempt == (a) && !owner[i].task[t].open))
#define HAS_STOPPED(t, a, w) (!worker[w].lost && worker[w].state[ATTEMPT(t, a)] == ENDED)

/* True if the attempt that owner i appends follows the last journaled one, and that one has ended. */
#ifdef UNCHECKED_ORDER
#define IS_NEXT_ATTEMPT(i) (1)
#else
#define IS_NEXT_ATTEMPT(i) \
    (!task[owner[i].pendingTask].open \
     && task[owner[i].pendingTask].attempt == owner[i].task[owner[i].pendingTask].attempt)
#endif

/* True if owner i may regard the open attempt of task t as ended. */
#ifdef FREE_AT_STOP
#define HAS_ENDED(i, t) (1)
#endif
#ifdef FREE_ON_UNKNOWN
#define HAS_ENDED(i, t) (worker[OPEN_WORKER(i, t)].state[OPEN_ATTEMPT(i, t)] != RUNNING)
#endif
#ifndef HAS_ENDED
#define HAS_ENDED(i, t) \
    (worker[OPEN_WORKER(i, t)].lost || worker[OPEN_WORKER(i, t)].state[OPEN_ATTEMPT(i, t)] == ENDED)
#endif

/* Sets committed to the number of tasks that hold capacity on worker w according to owner i. */
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

/* Asserts that the journal does not commit more than the capacity of worker w. */
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

/* Asserts that no task runs twice and that the load of worker w does not exceed its capacity. */
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
    owner[i].pending = NONE;
    owner[i].pendingTask = 0;
    owner[i].pendingWorker = 0;
    owner[i].written = 0
}

inline stepDown(i)
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
        owner[i].contacted[n] = 0;
        n++
    :: else -> break
    od;
    n = 0
}

/* Steps of owners. */

/* Owner i takes over, at any time and regardless of its own pending append. */
#define TAKE_OVER(i) :: d_step { epoch < EPOCHS -> takeOver(i) }
inline takeOver(i)
{
    epoch++;
    stepDown(i);
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

/* The pending append of owner i is executed. */
#define APPEND(i) :: d_step { owner[i].pending != NONE && !owner[i].written && MAY_APPEND(i) -> append(i) }
inline append(i)
{
    if
    :: owner[i].pending == ASSIGNMENT ->
        assert(IS_NEXT_ATTEMPT(i));
        task[owner[i].pendingTask].attempt = owner[i].task[owner[i].pendingTask].attempt + 1;
        task[owner[i].pendingTask].worker = owner[i].pendingWorker;
        task[owner[i].pendingTask].open = 1;
        checkLedger(owner[i].pendingWorker)
    :: else -> task[owner[i].pendingTask].open = 0
    fi;
    owner[i].written = 1
}

/* Owner i learns from the reply, or by reading the journal, that its append was executed. */
#define CONFIRM_APPEND(i) :: d_step { owner[i].written -> confirmAppend(i) }
inline confirmAppend(i)
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

/* The store rejects the append (REJECT_APPEND), or another owner has taken over (FENCE). */
#define REJECT_APPEND(i) :: d_step { owner[i].pending != NONE && !owner[i].written -> dropPending(i) }
#define FENCE(i) :: d_step { owner[i].pending != NONE && !owner[i].written && owner[i].epoch < epoch -> stepDown(i) }

/* Owner i sends its epoch to worker w and reads the worker's list of attempts. The platform reports lost workers. */
#define CONTACT(i, w) \
    :: d_step { IS_IDLE_OWNER(i) && !owner[i].contacted[w] && (ACCEPTS_EPOCH(w, owner[i].epoch) || worker[w].lost) -> \
        contact(i, w) }
inline contact(i, w)
{
    worker[w].epoch = (worker[w].lost -> 0 : owner[i].epoch);
    owner[i].contacted[w] = 1
}

/* Owner i decides to run task t on worker w. */
#define PLACE(i, t, w) \
    :: d_step { IS_IDLE_OWNER(i) && HAS_CONTACTED(i, w) && MAY_RESUME(i, t) && owner[i].task[t].attempt < ATTEMPTS -> \
        place(i, t, w) }
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

/* Owner i sends or resends the start message of the open attempt of task t. */
#define SEND_START(i, t) \
    :: d_step { IS_IDLE_OWNER(i) && owner[i].task[t].open && !IS_START_SENT(i, t) -> \
        startMessage[OPEN_MESSAGE(i, t)] = 1 }
/* Also true if the worker is lost, because the start need not be sent then. */
#define IS_START_SENT(i, t) (startMessage[OPEN_MESSAGE(i, t)] || worker[OPEN_WORKER(i, t)].lost)

/* The worker or the platform reports to owner i that the open attempt of task t has ended. */
#define OBSERVE_END(i, t) \
    :: d_step { IS_IDLE_OWNER(i) && owner[i].task[t].open && HAS_CONTACTED(i, OPEN_WORKER(i, t)) && HAS_ENDED(i, t) -> \
        observeEnd(i, t) }
inline observeEnd(i, t)
{
    owner[i].pending = END;
    owner[i].pendingTask = t
}

/* Owner i tells worker w to forget attempt a of task t, whose end is durable. */
#define FORGET(i, t, a, w) \
    :: d_step { IS_IDLE_OWNER(i) && HAS_CONTACTED(i, w) && IS_CLOSED(i, t, a) && HAS_STOPPED(t, a, w) && \
                NO_START_IN_FLIGHT(i, t, a, w) -> \
        worker[w].state[ATTEMPT(t, a)] = UNKNOWN }

/* Steps of the network and of workers. */

/* The start message that the owner of epoch e sent for an attempt is delivered to worker w. */
#define DELIVER_START(t, a, w, e) \
    :: d_step { startMessage[MESSAGE(t, a, e, w)] && ACCEPTS_EPOCH(w, e) && \
                worker[w].state[ATTEMPT(t, a)] == UNKNOWN -> \
        deliverStart(t, a, w, e) }
inline deliverStart(t, a, w, e)
{
    worker[w].epoch = (worker[w].epoch < e -> e : worker[w].epoch);
    worker[w].state[ATTEMPT(t, a)] = RUNNING;
    starts[ATTEMPT(t, a)]++;
#ifdef SEEN_RESUME
    assert(a < 2);
#endif
    assert(starts[ATTEMPT(t, a)] == 1); /* an attempt starts at most once */
    checkRunning(w)
}

/* The start message is lost or expires. */
#define EXPIRE_START(t, a, w, e) \
    :: d_step { startMessage[MESSAGE(t, a, e, w)] -> startMessage[MESSAGE(t, a, e, w)] = 0 }

/* A journaled attempt ends on worker w, or the worker refuses its start, for any reason. */
#define END_ATTEMPT(t, a, w) \
    :: d_step { task[t].attempt >= a && worker[w].state[ATTEMPT(t, a)] != ENDED -> \
        worker[w].state[ATTEMPT(t, a)] = ENDED }

/* Worker w is lost together with its VM, and the platform reports it. */
#define LOSE_WORKER(w) :: d_step { !worker[w].lost -> loseWorker(w) }
inline loseWorker(w)
{
#ifdef SEEN_LOSS
    assert(!(worker[w].state[1] == RUNNING && epoch > 1));
#endif
    worker[w].lost = 1;
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

/* All steps in any order. */

/* EACH_WORKER(step, ...) expands step for each worker, with the worker as its last argument after the others.
 * EACH_WORKER_ONLY(step) does so for a step without other arguments. The macros for tasks are alike. */
#define EACH_OWNER(step) step(0) step(1)
#if WORKERS > 1
#define EACH_WORKER(step, ...) step(__VA_ARGS__, 0) step(__VA_ARGS__, 1)
#define EACH_WORKER_ONLY(step) step(0) step(1)
#else
#define EACH_WORKER(step, ...) step(__VA_ARGS__, 0)
#define EACH_WORKER_ONLY(step) step(0)
#endif
#if TASKS > 1
#define EACH_TASK(step, ...) step(__VA_ARGS__, 0) step(__VA_ARGS__, 1)
#define EACH_TASK_ONLY(step) step(0) step(1)
#else
#define EACH_TASK(step, ...) step(__VA_ARGS__, 0)
#define EACH_TASK_ONLY(step) step(0)
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

#define OWNER_STEPS(i) \
    TAKE_OVER(i) APPEND(i) CONFIRM_APPEND(i) REJECT_APPEND(i) FENCE(i) EACH_WORKER(CONTACT, i) \
    EACH_TASK(OWNER_TASK_STEPS, i)
#define OWNER_TASK_STEPS(i, t) \
    SEND_START(i, t) OBSERVE_END(i, t) EACH_WORKER(PLACE, i, t) EACH_ATTEMPT(OWNER_ATTEMPT_STEPS, i, t)
#define OWNER_ATTEMPT_STEPS(i, t, a) FORGET(i, t, a, 0) FORGET_ON_WORKER_1(i, t, a)
#define TASK_STEPS(t) ATTEMPT_STEPS(t, 1) ATTEMPT_STEPS(t, 2) ATTEMPT_3_STEPS(t)
#define ATTEMPT_STEPS(t, a) ATTEMPT_ON_WORKER(t, a, 0) ATTEMPT_ON_WORKER_1(t, a)
#define ATTEMPT_ON_WORKER(t, a, w) END_ATTEMPT(t, a, w) EACH_EPOCH(MESSAGE_STEPS, t, a, w)
#define MESSAGE_STEPS(t, a, w, e) DELIVER_START(t, a, w, e) EXPIRE_START(t, a, w, e)
#if WORKERS > 1
#define FORGET_ON_WORKER_1(i, t, a) FORGET(i, t, a, 1)
#define ATTEMPT_ON_WORKER_1(t, a) ATTEMPT_ON_WORKER(t, a, 1)
#else
#define FORGET_ON_WORKER_1(i, t, a)
#define ATTEMPT_ON_WORKER_1(t, a)
#endif
#if ATTEMPTS > 2
#define ATTEMPT_3_STEPS(t) ATTEMPT_STEPS(t, 3)
#else
#define ATTEMPT_3_STEPS(t)
#endif

active proctype System()
{
end:
    do
    EACH_OWNER(OWNER_STEPS)
    EACH_TASK_ONLY(TASK_STEPS)
    EACH_WORKER_ONLY(LOSE_WORKER)
    od
}
