/*
 * Evacuation of a failure domain (packages/workflow/evacuation.h): an operator requests it and takes it back; a leader
 * learns of both late, by its mirror and by reads beside it, and starts tasks in the domain by orders that are valid for a
 * while. Checks that no task starts later than BOUND after a request, until it is taken back.
 *
 * Time runs in steps. A request binds BOUND steps after the store has acknowledged it.
 *
 * Without a mechanism the check fails:
 *   -DANY_AGE       starts rest on a view of any age
 *   -DNO_VALIDITY   orders are carried out however late they arrive
 *   -DLONG_AGE      the view may be as old as the bound: an order in flight is not allowed for
 *   -DNO_REVISION   a read that was overtaken by the mirror replaces newer news
 */
#define BOUND 5
#define VALIDITY 2
#ifdef LONG_AGE
#define MAX_AGE BOUND
#else
#define MAX_AGE (BOUND - VALIDITY)
#endif
#define END 11

byte now = 0;
bool isRequested = false;  /* in the store */
byte requestedAt = 0;
byte revision = 0;         /* of the request's key */

bool view = false;         /* the leader's: evacuated */
byte viewRevision = 0;
byte viewAt = 0;           /* all changes before this time are known */
bool hasView = false;

bool isReading = false;    /* a read beside the mirror is in flight */
bool readValue = false;
byte readRevision = 0;
byte readAt = 0;

bool isOrderInFlight = false;
byte orderUntil = 0;

#define MAX(a, b) ((a) > (b) -> (a) : (b))

active proctype Operator()
{
    do
    :: revision < 3 ->
        atomic {
            isRequested = !isRequested;
            revision++;
            requestedAt = now;
        }
    :: now >= END -> break
    od
}

active proctype Leader()
{
    do
    :: atomic { /* the mirror reports, and confirms the time at which the store read */
        now < END ->
        view = isRequested;
        viewRevision = revision;
        viewAt = MAX(viewAt, now);
        hasView = true;
    }
    :: atomic { /* the store executes a read; its answer takes time */
        now < END && !isReading ->
        isReading = true;
        readValue = isRequested;
        readRevision = revision;
        readAt = now;
    }
    :: atomic {
        isReading ->
        isReading = false;
        if
#ifdef NO_REVISION
        :: true ->
#else
        :: readRevision >= viewRevision ->
#endif
            view = readValue;
            viewRevision = readRevision;
        :: else -> skip
        fi;
        viewAt = MAX(viewAt, readAt);
        hasView = true;
    }
    :: atomic { /* the guard */
#ifdef ANY_AGE
        !isOrderInFlight && hasView && !view && now < END ->
#else
        !isOrderInFlight && hasView && !view && now <= viewAt + MAX_AGE && now < END ->
#endif
        isOrderInFlight = true;
        orderUntil = now + VALIDITY;
    }
    :: now >= END -> break
    od
}

active proctype Worker()
{
    do
    :: atomic {
        isOrderInFlight ->
        isOrderInFlight = false;
        if
#ifdef NO_VALIDITY
        :: true ->
#else
        :: now <= orderUntil ->
#endif
            assert(!isRequested || now <= requestedAt + BOUND);
        :: else -> skip
        fi;
    }
    :: now >= END -> break
    od
}

active proctype Time()
{
    do
    :: now < END -> now++
    :: now >= END -> break
    od
}
