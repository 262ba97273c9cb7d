/*
 * Model of the assignment of jobs to shards: callers submit the same job at any node, leaders of the first shard assign
 * it to one of two shards, and a caller cancels it. Writes can be executed after their sender has been succeeded.
 *
 * Invariants   once       the job is in the inbox of at most one shard, and never also in the list of unassigned jobs
 *              cancelled  an acknowledged cancel is stored at the shard that has the job
 *              none       after a cancel was answered with "no such job", the job is never accepted
 * Faults       Each flag removes one mechanism; an invariant must then fail.
 *              NO_REVISION    the assigning write does not compare the revision of the registration
 *              NO_REGISTER    a job is accepted without checking that it is not registered yet
 *              CANCEL_EARLY   a cancel is written without a condition, even before the job has a shard
 *              NO_MARK        a cancel of a job that is not registered is answered without a write
 * Reachability SEEN_CANCEL asserts that no cancel is ever acknowledged, SEEN_NONE that none is answered with "no such job";
 *              the assertions must fail.
 */

#define NONE 0
#define UNASSIGNED 3 /* 1 and 2 are the shards */
#define CANCELLED 4  /* before the job was stored */

byte registration = NONE;  /* NONE, UNASSIGNED, CANCELLED or the shard of the job */
byte revision = 0;         /* of the registration */
bool inUnassigned = false; /* the job is in the list of unassigned jobs */
bool inShard[3];           /* by shard: the job is in its inbox; 0 is not used */
bool cancel[3];            /* by shard: a cancel is stored */
bool acknowledged = false; /* the cancel was acknowledged */
bool noSuchJob = false;    /* the cancel was answered with "no such job" */

/* Submits the job; several callers may submit it under the same key. The write can be executed late or never. */
proctype Caller()
{
    if
    :: skip;
    :: skip -> goto end; /* the write is lost */
    fi;
    atomic {
#ifdef NO_REGISTER
        if
        :: true ->
#else
        if
        :: registration == NONE ->
#endif
            registration = UNASSIGNED;
            revision++;
            inUnassigned = true;
        :: else;
        fi;
    }
end:
    skip;
}

/* One term of the first shard's leader. It reads the registration, and its write is executed at any later time. */
proctype Assigner(byte shard)
{
    byte readRevision;
    atomic {
        (registration == UNASSIGNED && inUnassigned) || timeout;
        if
        :: registration == UNASSIGNED -> readRevision = revision;
        :: else -> goto end;
        fi;
    }
    atomic {
#ifdef NO_REVISION
        if
        :: true ->
#else
        if
        :: registration == UNASSIGNED && revision == readRevision ->
#endif
            registration = shard;
            revision++;
            inUnassigned = false;
            inShard[shard] = true;
        :: else;
        fi;
    }
end:
    skip;
}

/* Cancels the job. The write has the revision that was read as a condition. */
proctype Canceller()
{
    byte shard;
    byte readRevision;
read:
    atomic {
        shard = registration;
        readRevision = revision;
    }
    if
    :: shard == NONE ->
#ifdef NO_MARK
        noSuchJob = true;
        goto end;
#else
        atomic {
            if
            :: registration == NONE ->
                registration = CANCELLED;
                revision++;
                noSuchJob = true;
                goto end;
            :: else -> goto read;
            fi;
        }
#endif
    :: shard == CANCELLED -> noSuchJob = true; goto end;
#ifdef CANCEL_EARLY
    :: shard == UNASSIGNED -> shard = 1;
#else
    :: shard == UNASSIGNED ->
        /* Retries once the job has a shard. */
        atomic {
            (registration == 1 || registration == 2) || timeout;
            shard = registration;
            readRevision = revision;
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
        :: revision == readRevision ->
#endif
            cancel[shard] = true;
            acknowledged = true;
        :: else;
        fi;
    }
end:
    skip;
}

/* Checks the invariants in every state. */
active proctype Monitor()
{
    do
    :: atomic {
        assert(!(inShard[1] && inShard[2]) && !(inUnassigned && (inShard[1] || inShard[2]))); /* once */
        assert(!acknowledged || (inShard[1] && cancel[1]) || (inShard[2] && cancel[2])); /* cancelled */
        assert(!(noSuchJob && (inUnassigned || inShard[1] || inShard[2]))); /* none */
#ifdef SEEN_NONE
        assert(!noSuchJob);
#endif
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
        run Assigner(1);
        run Assigner(2);
        run Canceller();
    }
}
