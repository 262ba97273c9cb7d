/*
 * Giving a job its shard once: callers register it at any node, leaders of the first shard give it one of two shards, a
 * caller cancels it. Writes may be executed late, after their sender was succeeded.
 *
 * Checked      once       the job lies in the inbox of one shard at most, and never beside the list of those that wait
 *              cancelled  a cancel that was acknowledged lies with the shard that has the job
 * Taken out by NO_REVISION    the write that gives a shard does not depend on the registration
 *              NO_REGISTER    an acceptance does not depend on the job's being new
 *              CANCEL_EARLY   a cancel is written although the job has no shard yet
 * Reached      SEEN_CANCEL: fails where the model gets as far as that
 */

#define NONE 0
#define WAITING 3 /* 1 and 2 are shards */

byte registration = NONE;
byte revision = 0; /* of the registration */
bool inWaiting = false;
bool inShard[3];  /* by shard; 0 is not used */
bool cancel[3];   /* by shard */
bool acknowledged = false;

/* Hands the job in; several may, with the same key. The write may come late. */
proctype Caller()
{
    if
    :: skip;
    :: skip -> goto end; /* never sent */
    fi;
    atomic {
#ifdef NO_REGISTER
        if
        :: true ->
#else
        if
        :: registration == NONE ->
#endif
            registration = WAITING;
            revision++;
            inWaiting = true;
        :: else;
        fi;
    }
end:
    skip;
}

/* A term of the first shard's leader. It reads, and writes at any time later. */
proctype Spreader(byte shard)
{
    byte seen;
    atomic {
        (registration == WAITING && inWaiting) || timeout;
        if
        :: registration == WAITING -> seen = revision;
        :: else -> goto end;
        fi;
    }
    atomic {
#ifdef NO_REVISION
        if
        :: true ->
#else
        if
        :: registration == WAITING && revision == seen ->
#endif
            registration = shard;
            revision++;
            inWaiting = false;
            inShard[shard] = true;
        :: else;
        fi;
    }
end:
    skip;
}

proctype Canceller()
{
    byte shard;
    byte seen;
    atomic {
        registration != NONE || timeout;
        shard = registration;
        seen = revision;
    }
    if
    :: shard == NONE -> goto end;
#ifdef CANCEL_EARLY
    :: shard == WAITING -> shard = 1;
#else
    :: shard == WAITING ->
        /* asks again later */
        atomic {
            (registration == 1 || registration == 2) || timeout;
            shard = registration;
            seen = revision;
        }
        if
        :: shard == 1 || shard == 2;
        :: else -> goto end;
        fi;
#endif
    :: else;
    fi;
    atomic {
        if
#ifdef CANCEL_EARLY
        :: true ->
#else
        :: revision == seen ->
#endif
            cancel[shard] = true;
            acknowledged = true;
        :: else;
        fi;
    }
end:
    skip;
}

active proctype Watch()
{
    do
    :: atomic {
        assert(!(inShard[1] && inShard[2]) && !(inWaiting && (inShard[1] || inShard[2]))); /* once */
        assert(!acknowledged || (inShard[1] && cancel[1]) || (inShard[2] && cancel[2])); /* cancelled */
#ifdef SEEN_CANCEL
        assert(!acknowledged);
#endif
    }
    od;
}

init
{
    atomic {
        run Caller();
        run Caller();
        run Spreader(1);
        run Spreader(2);
        run Canceller();
    }
}
