/*
 * Model of the end of a leader's grace period. Leader A has lost the store. It goes on sending orders while at least half of the
 * workers that it has in use answer it: each answer counts from when A sent its call, for WAIT ticks. Its successor C reads
 * workers, which reject A's calls from then on, and concludes WAIT ticks after most of A's workers have been read that A
 * sends no order any more. Workers restart and forget which tokens they have seen. A counts only incarnations that it has
 * read under full authority, which it may believe to hold for FULL ticks after C was elected.
 *
 * Invariant    gone       A sends no order once C has concluded that it is gone
 * Faults       Each flag removes one mechanism; the invariant must then fail.
 *              FROM_REPLY   an answer counts from when A gets it
 *              ANY_LIFE     A counts incarnations that it has not read under full authority
 *              TIE          C concludes once half of the workers have been read
 *              NO_WAIT      C concludes at once
 *              NEW_WORKERS  C counts workers that were added after A's term as A's
 *              NO_SECOND    C does not read workers again after A's full authority has ended
 * Reachability SEEN_GONE asserts that C never concludes anything, SEEN_KEPT that A never sends an order after C has read a
 *              worker, both of which must fail.
 */

#ifndef N
#define N 2 /* workers that A has in use */
#endif
#ifdef NEW_WORKERS
#define EXTRA 1 /* added to the list after A's term */
#else
#define EXTRA 0
#endif
#define WAIT 2
#define FULL 1
#ifndef MAX_LIFE
#define MAX_LIFE 1
#endif

byte fence[N + EXTRA];     /* highest token seen: 1 is A's, 2 is C's */
byte life[N + EXTRA];      /* incarnation of the worker */

byte callState[N];         /* of A's last call: 0 none, 1 sent, 2 accepted, 3 rejected */
byte callAge[N];           /* ticks since A has sent it */
byte callLife[N];          /* the incarnation that has accepted it */
byte answerAge[N];         /* ticks that count against WAIT */
byte confirmed[N];         /* incarnation that A has read under full authority */
byte fullTicks = FULL;          /* ticks for which A believes to have full authority */
bool isDeposed;            /* A was told of a higher token */

bool isRead[N + EXTRA];    /* by C, in the incarnation known[] */
bool isReadAgain[N + EXTRA]; /* the same incarnation has answered a call that C sent after A's full authority */
byte known[N + EXTRA];
byte since = 255;          /* ticks since most workers have been read; 255: they have not */
bool isGone;               /* C's conclusion */
byte i, n, m, most;

#define TICKED(x) ((x) < WAIT -> (x) + 1 : (x))

inline forgetCall(w)
{
    callState[w] = 0;
    callAge[w] = 0;
    callLife[w] = 0
}

inline countAnswers() /* n: workers that count for A */
{
    n = 0;
    for (i : 0 .. N - 1) { if :: answerAge[i] < WAIT -> n++ :: else fi }
    i = 0
}

inline countRead() /* n: workers that count against A, of most; m: of these, those read again */
{
    n = 0;
    m = 0;
#ifdef NEW_WORKERS
    most = N + EXTRA;
#else
    most = N;
#endif
    for (i : 0 .. most - 1) {
        if :: isRead[i] -> n++ :: else fi;
        if :: isRead[i] && isReadAgain[i] -> m++ :: else fi
    }
    i = 0
}

#ifdef TIE
#define IS_MOST(x) (2 * (x) >= most)
#else
#define IS_MOST(x) (2 * (x) > most)
#endif

active proctype System()
{
    byte w;
end:
    do
    :: atomic { /* A sends a call */
        select(w : 0 .. N - 1);
        if :: !isDeposed && callState[w] == 0 -> callState[w] = 1; callAge[w] = 0 :: else fi;
        w = 0
      }
    :: atomic { /* a call of A reaches its worker */
        select(w : 0 .. N - 1);
        if
        :: callState[w] == 1 && fence[w] <= 1 -> fence[w] = 1; callState[w] = 2; callLife[w] = life[w]
        :: callState[w] == 1 && fence[w] > 1 -> callState[w] = 3
        :: else
        fi;
        w = 0
      }
    :: atomic { /* A gets an answer */
        select(w : 0 .. N - 1);
        if
        :: callState[w] == 2 ->
            if :: fullTicks > 0 -> confirmed[w] = callLife[w] :: else fi;
            if
#ifdef ANY_LIFE
            :: true ->
#else
            :: callLife[w] == confirmed[w] ->
#endif
#ifdef FROM_REPLY
                answerAge[w] = 0
#else
                answerAge[w] = (callAge[w] < answerAge[w] -> callAge[w] : answerAge[w])
#endif
            :: else
            fi;
            forgetCall(w)
        :: callState[w] == 3 -> isDeposed = true; forgetCall(w)
        :: callState[w] == 1 -> forgetCall(w) /* lost */
        :: else
        fi;
        w = 0
      }
    :: atomic { /* A sends an order that extends a lease, or starts a task */
        countAnswers();
        if
        :: !isDeposed && (fullTicks > 0 || 2 * n >= N) ->
            assert(!isGone); /* gone */
#ifdef SEEN_KEPT
            assert(!isRead[0] && !isRead[1]);
#endif
        :: else
        fi;
        n = 0
      }
    :: atomic { /* C reads a worker, and may find that it has restarted */
        select(w : 0 .. N + EXTRA - 1);
        fence[w] = 2;
        if
        :: isRead[w] && known[w] == life[w] -> isReadAgain[w] = isReadAgain[w] || fullTicks == 0
        :: else ->
            if :: isRead[w] -> since = 255 :: else fi;
            isRead[w] = true;
            isReadAgain[w] = fullTicks == 0;
            known[w] = life[w]
        fi;
        countRead();
        if :: IS_MOST(n) && since == 255 -> since = 0 :: else fi;
        n = 0;
        m = 0;
        w = 0
      }
    :: atomic { /* a worker restarts */
        select(w : 0 .. N + EXTRA - 1);
        if :: life[w] < MAX_LIFE -> life[w]++; fence[w] = 0 :: else fi;
        w = 0
      }
    :: atomic { /* C concludes */
        countRead();
        if
#ifdef NO_WAIT
        :: since != 255 && IS_MOST(m) -> isGone = true
#else
#ifdef NO_SECOND
        :: since != 255 && since >= WAIT -> isGone = true
#else
        :: since != 255 && since >= WAIT && IS_MOST(m) -> isGone = true
#endif
#endif
        :: else
        fi;
#ifdef SEEN_GONE
        assert(!isGone);
#endif
        n = 0;
        m = 0
      }
    :: atomic { /* time passes */
        for (i : 0 .. N - 1) {
            callAge[i] = (callState[i] == 0 -> 0 : TICKED(callAge[i]));
            answerAge[i] = TICKED(answerAge[i])
        }
        since = (since == 255 -> 255 : TICKED(since));
        fullTicks = (fullTicks > 0 -> fullTicks - 1 : 0);
        i = 0
      }
    od
}
