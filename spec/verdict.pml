/*
 * Model of the others that wait while a suspect of their crash is being tried. N tasks were started together on a worker that
 * crashed; at most one of them is deadly. Trials end with a start-up, a crash whose worker comes back, or never, if the worker
 * is lost: then only a timeout ends them. At most half of the suspects of the crash are tried at a time, and no more
 * workers than LIMIT are down by trials, of which one that is lost for longer than a lease is not.
 *
 * Invariant    waits      while trials are under way only on workers that are lost, some waiting suspect can be tried
 *              down       no more workers than LIMIT are down by trials at a time, apart from one that is lost by itself
 * Faults       Each flag removes one mechanism; the invariant must then fail.
 *              COUNT_SILENT  trials on silent workers count as those of which an outcome is awaited
 *              KEEP_LOST     a worker that is lost counts against the limit until the timeout
 * Reachability SEEN_BESIDE asserts that nobody is tried beside a silent trial; it must fail.
 */

#ifndef N
#define N 4
#endif
#ifndef LIMIT
#define LIMIT 1
#endif

mtype = { Waiting, Running, Silent, Lost, Cleared, Convicted };

mtype phase[N];
byte deadly = 255;  /* index of the deadly task; 255: none */
byte lost;          /* workers that were lost for good so far, which may be of innocent tasks */
byte i, n, tried, suspects, down;
bool mayTry;

/* Sets mayTry: one more may be tried. */
inline checkTurn()
{
    tried = 0;
    suspects = 0;
    down = 0;
    for (i : 0 .. N - 1) {
        if :: phase[i] != Cleared && phase[i] != Convicted -> suspects++ :: else fi;
        if
        :: phase[i] == Running -> tried++
#ifdef COUNT_SILENT
        :: phase[i] == Silent || phase[i] == Lost -> tried++
#endif
        :: else
        fi;
        if
        :: phase[i] == Silent -> down++
#ifdef KEEP_LOST
        :: phase[i] == Lost -> down++
#endif
        :: else
        fi
    }
    /* a trial of one of several suspects costs a part of a worker, of the last one a whole one */
    mayTry = (2 * (tried + 1) <= suspects || tried == 0) && down < LIMIT && (tried == 0 || down + 1 < LIMIT || suspects > 1)
}

inline countDown() /* n: workers that are down by trials */
{
    n = 0;
    for (i : 0 .. N - 1) { if :: phase[i] == Silent -> n++ :: else fi }
}

active proctype System()
{
    byte t;
    for (t : 0 .. N - 1) { phase[t] = Waiting }
    if :: deadly = 0 :: skip fi;
    t = 0;
end:
    do
    :: atomic {
        select(t : 0 .. N - 1);
        checkTurn();
        if
        :: phase[t] == Waiting && mayTry ->
#ifdef SEEN_BESIDE
            for (i : 0 .. N - 1) { assert(phase[i] != Silent && phase[i] != Lost) }
#endif
            phase[t] = Running
        :: else
        fi;
        t = 0; tried = 0; suspects = 0; down = 0; i = 0; mayTry = false
      }
    :: atomic { /* the task starts up, or its worker falls silent */
        select(t : 0 .. N - 1);
        if
        :: phase[t] == Running && t != deadly -> phase[t] = Cleared
        :: phase[t] == Running && t == deadly -> phase[t] = Silent
        :: phase[t] == Running && lost == 0 -> phase[t] = Silent; lost++
        :: else
        fi;
        countDown();
        assert(n <= LIMIT + lost); /* down */
        t = 0; n = 0; i = 0
      }
    :: atomic { /* the worker comes back, or is lost; a lost one ends its trial by the timeout */
        select(t : 0 .. N - 1);
        if
        :: phase[t] == Silent && t == deadly -> phase[t] = Convicted
        :: phase[t] == Silent -> phase[t] = Lost
        :: else
        fi;
        t = 0
      }
    :: atomic { /* while nothing but lost workers is awaited, others go on */
        n = 0;
        for (i : 0 .. N - 1) {
            if :: phase[i] == Running || phase[i] == Silent -> n = 1 :: else fi
        }
        for (i : 0 .. N - 1) {
            if :: n == 0 && phase[i] == Waiting -> n = 2 :: else fi
        }
        if
        :: n == 2 -> checkTurn(); assert(mayTry) /* waits */
        :: else
        fi;
        n = 0; tried = 0; suspects = 0; down = 0; i = 0; mayTry = false
      }
    od
}
