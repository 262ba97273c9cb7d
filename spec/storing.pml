/*
 * How progress is stored with several writes in flight (packages/workflow/storing.cpp, transfer.cpp, jobmove.cpp). Leaders
 * of one shard follow each other; the former one may go on until a conflict or its end. Each job has one record in the
 * store. A write takes some jobs that are not stored; it is executed, all of it, if the leader key and the revision of each
 * of its records are as the leader knew them. It may be executed at any time, also after its leader has given it up or has
 * ended, or never, and any answer may be lost. A write that was given up is not awaited any more: its jobs are written
 * again. Answers arrive in any order. Content is a set of facts, one bit each, so that a write that undoes another shows.
 *
 * A transfer changes a record and another shard's in one write, and may meet a cancel. It is sent again, unchanged, until its
 * outcome is known. With MOVES it moves the whole job: from then on the other shard's leader writes the record.
 *
 * Only the newest revision of a record fulfils a condition, and none returns: one bit for each known revision tells
 * whether it is the newest one. Removals are left out: after one, the condition that a record does not exist holds again.
 *
 * Parameters   JOBS, SLOTS (writes on their way, also those given up), IN_FLIGHT (awaited by a leader), CHANGES (of a job
 *              in the first term; one in the last), MOVES, NO_TRANSFERS
 * Invariants   kept       what a leader believes stored is stored, whoever leads now: for this it tells workers to forget ends
 *                         and starts prepared trials, and a successor reads it
 *              newer      no write undoes what is in the record that it replaces
 *              owner      the record says that a task is given away if and only if the other shard has it
 *              runs       a task that the other shard has is not started here
 *              queued     what is not stored is queued, in flight, or held by a transfer that is not decided
 *              bounded    a job meets a bounded number of conflicts between two answers that were lost or writes not executed
 *              settled    when no step is possible but a change or an election, all is stored
 * Faults       Each flag changes one mechanism; an invariant must then fail.
 *              NO_REVISION     writes compare no revisions of records
 *              NO_LEADER_KEY   writes do not compare the leader key
 *              ASSUME_EXECUTED a write without an answer counts as executed
 *              ASSUME_FAILED   a transfer without an answer counts as not executed
 *              NO_COMPARISON   a conflict counts as stored, whatever the record contains
 *              NO_REFRESH      a conflict's revisions are not taken
 *              NO_REQUEUE      a job that changes while it is in flight is not queued
 *              WRITE_GIVEN     a job is written while its transfer is not decided
 *              GIVE_IN_FLIGHT  a transfer begins while a write of its job is in flight
 *              NEW_CONDITIONS  a transfer is sent again with the revision known by then
 *              KEEP_RESERVED   a transfer's job stays reserved after the outcome
 *              These hold: what they do is safe, and of no use.
 *              TWO_IN_FLIGHT   a job may be in two writes in flight
 *              TAKE_LATE       the answer of a write that was given up is taken all the same
 * Reachability SEEN_LATE      a write that was given up is executed after its retry was answered
 *              SEEN_OWN       a conflict is caused by an earlier write of the same leader
 *              SEEN_READ      a successor reads what no leader believed stored
 *              SEEN_ORDER     of two writes in flight the later one is answered first
 *              SEEN_AFTER     a write of a former leader arrives after the election
 */
#ifndef JOBS
#define JOBS 2
#endif
#ifndef SLOTS
#define SLOTS 3
#endif
#ifndef IN_FLIGHT
#define IN_FLIGHT 2
#endif
#ifndef CHANGES
#define CHANGES 1
#endif
#ifndef TERMS
#define TERMS 2
#endif
#ifndef MAX_CONFLICTS
#define MAX_CONFLICTS SLOTS
#endif
#define NO_LEADER TERMS

#define LATER(l) (8 << (l)) /* the fact learned in a later term */
#define FOREIGN 64      /* written by the other shard's leader after a move */
#define GIVEN 128       /* the task is given away, or the job has moved */

/* State of a write */
#define None 0
#define OnItsWay 1
#define Executed 2
#define Conflicting 3   /* answered with the current items */

/* Steps */
#define Learn 0
#define Give 1
#define SendWrite 2
#define SendTransfer 3
#define Execute 4
#define Answer 5
#define GiveUp 6
#define Drop 7
#define Cancel 8
#define Change 9        /* by the other shard's leader */
#define Elect 10
#define End 11

#define AT(l, j) ((l) * JOBS + (j))
#define BIT(n) (1 << (n))

/* The store */
byte office;            /* the leader in the leader key */
byte value[JOBS];
bool isElsewhere[JOBS]; /* the other shard has the task, or the job */
bool isCancelled[JOBS];

/* Leaders */
bool leads[TERMS];
byte current[TERMS * JOBS];
byte stored[TERMS * JOBS];   /* the facts that it believes stored */
bool isNewest[TERMS * JOBS]; /* the known revision of the record */
bool isQueued[TERMS * JOBS];
byte conflicts[TERMS * JOBS];
byte giving[TERMS];          /* job whose transfer is not decided, plus 1 */
byte givenContent[TERMS];
bool isGivenNewest[TERMS];   /* the revision among the transfer's conditions */
bool mayBeGiven[TERMS];      /* a copy of the transfer may have been executed */

/* Writes, in the order in which they were sent */
byte state[SLOTS];
byte term[SLOTS];
bool isAwaited[SLOTS];
bool isTransfer[SLOTS];
bool hasJob[SLOTS * JOBS];
byte content[SLOTS * JOBS];
bool holds[SLOTS * JOBS];    /* the revision of the condition, later that of the answer, is the newest */
bool isEqual[SLOTS * JOBS];  /* the record had this content when the write arrived */
bool isDeposed[SLOTS];       /* the answer shows another leader */

byte forgotten[JOBS];        /* facts that a leader has believed stored */
#ifdef KEEP_RESERVED
bool isReserved[TERMS * JOBS];
#endif
#ifdef SEEN_LATE
bool hasRetry[SLOTS];        /* a later write of one of its jobs has arrived */
#endif

/* Of the step; zero between steps */
byte step = 0;
byte l = 0;
byte j = 0;
byte s = 0;
byte mask = 0;

hidden byte i, k, n, m, place, fact;
hidden byte isStep, mayExecute, isFound; /* 0 or 1 */

#ifdef NO_REVISION
#define IS_UNCHANGED(s, j) true
#else
#define IS_UNCHANGED(s, j) holds[AT(s, j)]
#endif
#ifdef NO_LEADER_KEY
#define IS_IN_OFFICE(s) true
#else
#define IS_IN_OFFICE(s) (term[s] == office)
#endif

/* Sets isFound: a write that the leader awaits has the job */
inline findInFlight(l, j)
{
    isFound = false;
    for (k : 0 .. SLOTS - 1) {
        if :: state[k] != None && isAwaited[k] && term[k] == l && hasJob[AT(k, j)] -> isFound = true :: else fi
    }
}

/* Sets place to the first unused place, and n to the number of writes that the leader awaits */
inline findPlace(l)
{
    place = SLOTS;
    n = 0;
    for (k : 0 .. SLOTS - 1) {
        if
        :: state[k] == None -> if :: place == SLOTS -> place = k :: else fi
        :: else -> if :: isAwaited[k] && term[k] == l -> n++ :: else fi
        fi
    }
}

/* The record of the job gets another revision: no other write's condition holds any more */
inline replace(j, newValue)
{
    value[j] = newValue;
    for (k : 0 .. SLOTS - 1) { holds[AT(k, j)] = false }
    for (k : 0 .. TERMS - 1) {
        isNewest[AT(k, j)] = false;
        if :: giving[k] == j + 1 -> isGivenNewest[k] = false :: else fi
    }
}

inline clear(s)
{
    state[s] = None;
    term[s] = 0;
    isAwaited[s] = false;
    isTransfer[s] = false;
    isDeposed[s] = false;
#ifdef SEEN_LATE
    hasRetry[s] = false;
#endif
    for (i : 0 .. JOBS - 1) {
        hasJob[AT(s, i)] = false;
        content[AT(s, i)] = 0;
        holds[AT(s, i)] = false;
        isEqual[AT(s, i)] = false
    }
}

/* Puts the job of a leader that is not stored into the queue */
inline queue(l, j)
{
    isQueued[AT(l, j)] = isQueued[AT(l, j)] || current[AT(l, j)] != stored[AT(l, j)]
}

inline believe(l, j, facts)
{
    stored[AT(l, j)] = stored[AT(l, j)] | (facts);
    forgotten[j] = forgotten[j] | (facts);
    conflicts[AT(l, j)] = 0
}

inline endTransfer(l, isExecuted)
{
    j = giving[l] - 1;
    if
    :: isExecuted ->
        current[AT(l, j)] = current[AT(l, j)] | GIVEN;
        believe(l, j, givenContent[l])
#ifdef MOVES
        ;
        current[AT(l, j)] = stored[AT(l, j)]; /* the job is forgotten here; its ends are held elsewhere */
        isQueued[AT(l, j)] = false
#endif
    :: else
    fi;
    giving[l] = 0;
    givenContent[l] = 0;
    isGivenNewest[l] = false;
    mayBeGiven[l] = false;
    queue(l, j)
}

inline endLeader(l)
{
    leads[l] = false;
    giving[l] = 0;
    givenContent[l] = 0;
    isGivenNewest[l] = false;
    mayBeGiven[l] = false;
    for (i : 0 .. JOBS - 1) {
        current[AT(l, i)] = 0;
        stored[AT(l, i)] = 0;
        isNewest[AT(l, i)] = false;
        isQueued[AT(l, i)] = false;
        conflicts[AT(l, i)] = 0
    }
    for (m : 0 .. SLOTS - 1) {
        if
        :: state[m] != None && term[m] == l ->
            isAwaited[m] = false;
            if :: state[m] != OnItsWay -> clear(m) :: else fi
        :: else
        fi
    }
}

inline execute(s)
{
    mayExecute = IS_IN_OFFICE(s);
    for (i : 0 .. JOBS - 1) {
        if
        :: hasJob[AT(s, i)] -> mayExecute = mayExecute && IS_UNCHANGED(s, i) && !(isTransfer[s] && isCancelled[i])
        :: else
        fi
    }
#ifdef SEEN_AFTER
    assert(term[s] == office);
#endif
    isDeposed[s] = term[s] != office;
    if
    :: mayExecute ->
        state[s] = Executed;
        for (i : 0 .. JOBS - 1) {
            if
            :: hasJob[AT(s, i)] ->
                assert((value[i] & ~content[AT(s, i)]) == 0); /* newer */
#ifdef SEEN_LATE
                assert(isAwaited[s] || !hasRetry[s]);
#endif
                replace(i, content[AT(s, i)]);
                isElsewhere[i] = isElsewhere[i] || isTransfer[s];
                holds[AT(s, i)] = true;
                isEqual[AT(s, i)] = true
            :: else
            fi
        }
    :: else ->
        state[s] = Conflicting;
        for (i : 0 .. JOBS - 1) {
            if
            :: hasJob[AT(s, i)] ->
                isEqual[AT(s, i)] = value[i] == content[AT(s, i)];
#ifdef MOVES
                if :: isTransfer[s] -> isEqual[AT(s, i)] = isElsewhere[i] :: else fi;
#endif
#ifdef SEEN_OWN
                assert(!(isAwaited[s] && !holds[AT(s, i)] && term[s] == office));
#endif
                holds[AT(s, i)] = true
            :: else
            fi
        }
    fi;
#ifdef SEEN_LATE
    for (k : 0 .. SLOTS - 1) {
        for (i : 0 .. JOBS - 1) {
            if :: k < s && term[k] == term[s] && hasJob[AT(k, i)] && hasJob[AT(s, i)] -> hasRetry[k] = true :: else fi
        }
    }
#endif
#ifndef TAKE_LATE
    if :: !isAwaited[s] -> clear(s) :: else fi
#endif
}

/* The leader gets the answer. */
inline answer(s)
{
    l = term[s];
#ifdef SEEN_ORDER
    for (k : 0 .. SLOTS - 1) { assert(!(k < s && state[k] != None && isAwaited[k] && term[k] == l)) }
#endif
    n = state[s];
    for (i : 0 .. JOBS - 1) {
        if
        :: hasJob[AT(s, i)] ->
            if
            :: n == Conflicting && !isTransfer[s] ->
                conflicts[AT(l, i)]++;
                assert(conflicts[AT(l, i)] <= MAX_CONFLICTS || l != office); /* bounded */
                if :: conflicts[AT(l, i)] > MAX_CONFLICTS -> conflicts[AT(l, i)] = MAX_CONFLICTS :: else fi
            :: else
            fi;
#ifdef NO_REFRESH
            if :: n == Executed -> isNewest[AT(l, i)] = holds[AT(s, i)] :: else fi;
#else
            isNewest[AT(l, i)] = holds[AT(s, i)];
#endif
            if
            :: isTransfer[s] -> skip
#ifdef NO_COMPARISON
            :: !isTransfer[s] -> believe(l, i, content[AT(s, i)])
#else
            :: !isTransfer[s] && isEqual[AT(s, i)] -> believe(l, i, content[AT(s, i)])
            :: !isTransfer[s] && !isEqual[AT(s, i)] -> skip
#endif
            fi
        :: else
        fi
    }
    m = isDeposed[s];
    if
    :: isTransfer[s] ->
        isFound = false;
        for (i : 0 .. JOBS - 1) { isFound = isFound || (hasJob[AT(s, i)] && isEqual[AT(s, i)]) }
        clear(s);
        endTransfer(l, isFound)
    :: else ->
        for (i : 0 .. JOBS - 1) {
            if :: hasJob[AT(s, i)] && n == Conflicting -> queue(l, i) :: else fi
        }
        clear(s)
    fi;
    if :: m == 1 -> endLeader(l) :: else fi
}

/* No answer, or the word that the write was not executed */
inline giveUp(s, mayBeExecuted)
{
    l = term[s];
    isAwaited[s] = false;
    if
    :: isTransfer[s] ->
        mayBeGiven[l] = mayBeGiven[l] || (mayBeExecuted);
#ifdef ASSUME_FAILED
        endTransfer(l, false)
#else
        if :: !mayBeGiven[l] -> endTransfer(l, false) :: else fi
#endif
    :: else ->
        for (i : 0 .. JOBS - 1) {
            if
            :: hasJob[AT(s, i)] ->
#ifdef ASSUME_EXECUTED
                if :: mayBeExecuted -> believe(l, i, content[AT(s, i)]) :: else fi;
#endif
                queue(l, i)
            :: else
            fi
        }
    fi;
    for (i : 0 .. JOBS - 1) { conflicts[AT(l, i)] = 0 }
#ifdef TAKE_LATE
    if :: !(mayBeExecuted) -> clear(s) :: else fi
#else
    if :: state[s] != OnItsWay || !(mayBeExecuted) -> clear(s) :: else fi
#endif
}

/* Whether the leader may write the job now */
#ifdef WRITE_GIVEN
#define MAY_WRITE(l, j) (isQueued[AT(l, j)])
#elif defined(KEEP_RESERVED)
#define MAY_WRITE(l, j) (isQueued[AT(l, j)] && !isReserved[AT(l, j)])
#else
#define MAY_WRITE(l, j) (isQueued[AT(l, j)] && giving[l] != (j) + 1)
#endif
/* The content of a write while a transfer is under way has the task as given away. */
#ifdef MOVES
#define CONTENT(l, j) current[AT(l, j)]
#else
#define CONTENT(l, j) (current[AT(l, j)] | ((giving[l] == (j) + 1) * (givenContent[l] & GIVEN)))
#endif

inline finishStep()
{
    for (i : 0 .. JOBS - 1) {
        assert((forgotten[i] & ~value[i]) == 0); /* kept */
#ifndef MOVES
        assert(((value[i] & GIVEN) != 0) == isElsewhere[i]); /* owner */
#endif
        for (m : 0 .. TERMS - 1) {
            if :: stored[AT(m, i)] == current[AT(m, i)] -> isQueued[AT(m, i)] = false :: else fi;
            if
            :: leads[m] && m == office ->
                assert(!isElsewhere[i] || (current[AT(m, i)] & GIVEN) || giving[m] == i + 1); /* runs */
                findInFlight(m, i);
                isFound = isFound || isQueued[AT(m, i)] || giving[m] == i + 1;
                assert(stored[AT(m, i)] == current[AT(m, i)] || isFound) /* queued */
            :: else
            fi
        }
    }
    isFound = false;
    for (s : 0 .. SLOTS - 1) { isFound = isFound || state[s] != None }
    for (i : 0 .. JOBS - 1) {
        if
        :: !isFound && leads[office] && stored[AT(office, i)] != current[AT(office, i)] ->
            assert(giving[office] == i + 1 || MAY_WRITE(office, i)) /* settled */
        :: else
        fi
    }
    /* What is certain to have no effect is forgotten; the others move up. */
    for (s : 0 .. SLOTS - 1) {
        if
        :: state[s] == OnItsWay && !isAwaited[s] ->
            mayExecute = IS_IN_OFFICE(s);
            for (i : 0 .. JOBS - 1) {
                if
                :: hasJob[AT(s, i)] -> mayExecute = mayExecute && IS_UNCHANGED(s, i) && !(isTransfer[s] && isCancelled[i])
                :: else
                fi
            }
#ifndef TAKE_LATE
            if :: !mayExecute -> clear(s) :: else fi
#endif
        :: else
        fi
    }
    place = 0;
    for (s : 0 .. SLOTS - 1) {
        if
        :: state[s] != None && place < s ->
            state[place] = state[s];
            term[place] = term[s];
            isAwaited[place] = isAwaited[s];
            isTransfer[place] = isTransfer[s];
            isDeposed[place] = isDeposed[s];
#ifdef SEEN_LATE
            hasRetry[place] = hasRetry[s];
#endif
            for (m : 0 .. JOBS - 1) {
                hasJob[AT(place, m)] = hasJob[AT(s, m)];
                content[AT(place, m)] = content[AT(s, m)];
                holds[AT(place, m)] = holds[AT(s, m)];
                isEqual[AT(place, m)] = isEqual[AT(s, m)]
            }
            clear(s);
            place++
        :: state[s] != None && place == s -> place++
        :: else
        fi
    }
    s = 0
}

inline sendWrite(l)
{
    findPlace(l);
    isStep = place < SLOTS && n < IN_FLIGHT;
    for (j : 0 .. JOBS - 1) {
        if
        :: mask & BIT(j) ->
            findInFlight(l, j);
#ifdef TWO_IN_FLIGHT
            isFound = false;
#endif
            isStep = isStep && MAY_WRITE(l, j) && !isFound
        :: else
        fi
    }
    if
    :: isStep ->
        state[place] = OnItsWay;
        term[place] = l;
        isAwaited[place] = true;
        for (j : 0 .. JOBS - 1) {
            if
            :: mask & BIT(j) ->
                hasJob[AT(place, j)] = true;
                content[AT(place, j)] = CONTENT(l, j);
                holds[AT(place, j)] = isNewest[AT(l, j)];
                isQueued[AT(l, j)] = false
            :: else
            fi
        }
    :: else
    fi;
    j = 0
}

inline sendTransfer(l)
{
    findPlace(l);
    isStep = giving[l] != 0 && place < SLOTS;
    for (k : 0 .. SLOTS - 1) {
        if :: state[k] != None && isAwaited[k] && term[k] == l && isTransfer[k] -> isStep = false :: else fi
    }
    if
    :: isStep ->
        j = giving[l] - 1;
        state[place] = OnItsWay;
        term[place] = l;
        isAwaited[place] = true;
        isTransfer[place] = true;
        hasJob[AT(place, j)] = true;
        content[AT(place, j)] = givenContent[l];
#ifdef NEW_CONDITIONS
        isGivenNewest[l] = isNewest[AT(l, j)];
#endif
        holds[AT(place, j)] = isGivenNewest[l];
        j = 0
    :: else
    fi
}

active proctype System()
{
    d_step {
        leads[0] = true;
        for (i : 0 .. JOBS - 1) { isNewest[AT(0, i)] = true }
    }
end:
    do
    :: atomic {
        select(step : Learn .. End);
        if
        :: step <= SendTransfer || step == End -> select(l : 0 .. TERMS - 1)
        :: else
        fi;
        if
        :: step <= Give || step == Cancel || step == Change -> select(j : 0 .. JOBS - 1)
        :: step == SendWrite -> select(mask : 1 .. BIT(JOBS) - 1)
        :: step >= Execute && step <= Drop -> select(s : 0 .. SLOTS - 1)
        :: else
        fi;
        d_step {
            isStep = true;
            if
            :: step == Learn && leads[l] ->
                fact = (l > 0 -> LATER(l) : 0);
                if
                :: l == 0 ->
                    for (i : 0 .. CHANGES - 1) {
                        if :: fact == 0 && !(current[AT(l, j)] & BIT(i)) -> fact = BIT(i) :: else fi
                    }
                :: else
                fi;
                isStep = fact != 0 && !(current[AT(l, j)] & fact);
#ifdef MOVES
                isStep = isStep && !(current[AT(l, j)] & GIVEN);
#endif
                findInFlight(l, j);
                if
                :: isStep ->
                    current[AT(l, j)] = current[AT(l, j)] | fact;
#ifdef NO_REQUEUE
                    isQueued[AT(l, j)] = isQueued[AT(l, j)] || !isFound
#else
                    isQueued[AT(l, j)] = true
#endif
                :: else
                fi
#ifndef NO_TRANSFERS
            :: step == Give && j == 0 && leads[l] && giving[l] == 0 && !(current[AT(l, j)] & GIVEN) && !isCancelled[j] ->
                findInFlight(l, j);
#ifdef GIVE_IN_FLIGHT
                isFound = false;
#endif
                findPlace(l);
                isStep = !isFound && place < SLOTS;
#ifdef MOVES
                isStep = isStep && current[AT(l, j)] == stored[AT(l, j)];
#endif
                if
                :: isStep ->
                    giving[l] = j + 1;
#ifdef KEEP_RESERVED
                    isReserved[AT(l, j)] = true;
#endif
                    givenContent[l] = current[AT(l, j)] | GIVEN;
                    isGivenNewest[l] = isNewest[AT(l, j)];
                    sendTransfer(l)
                :: else
                fi
#endif
            :: step == SendWrite && leads[l] -> sendWrite(l)
            :: step == SendTransfer && leads[l] -> sendTransfer(l)
            :: step == Execute && state[s] == OnItsWay -> execute(s)
#ifdef TAKE_LATE
            :: step == Answer && state[s] >= Executed -> answer(s)
            :: step == Drop && state[s] >= Executed && !isAwaited[s] -> clear(s)
#else
            :: step == Answer && state[s] >= Executed && isAwaited[s] -> answer(s)
#endif
            :: step == GiveUp && state[s] != None && isAwaited[s] -> giveUp(s, true)
            :: step == Drop && state[s] == OnItsWay ->
                if
                :: isAwaited[s] -> giveUp(s, false)
                :: else -> clear(s)
                fi
#ifndef NO_TRANSFERS
            :: step == Cancel && !isCancelled[j] && (giving[0] == j + 1 || giving[1] == j + 1) -> isCancelled[j] = true
#endif
#ifdef MOVES
            :: step == Change && isElsewhere[j] && !(value[j] & FOREIGN) -> n = value[j] | FOREIGN; replace(j, n)
#endif
            :: step == Elect && office + 1 < TERMS ->
                office++;
                leads[office] = true;
                for (i : 0 .. JOBS - 1) {
#ifdef SEEN_READ
                    assert((value[i] & ~forgotten[i]) == 0);
#endif
                    current[AT(office, i)] = value[i];
                    stored[AT(office, i)] = value[i];
                    forgotten[i] = forgotten[i] | value[i];
                    isNewest[AT(office, i)] = true
                }
            :: step == End && leads[l] && l < office -> endLeader(l)
            :: else -> isStep = false
            fi;
            if :: isStep -> finishStep() :: else fi;
            step = 0;
            l = 0;
            j = 0;
            s = 0;
            mask = 0
        }
      }
    od
}
