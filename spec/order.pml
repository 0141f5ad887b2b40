/* Model of orders that clients retry with one idempotency key at several hosts.
 * Property: the service executes the order at most once.
 *
 * A host creates a record in the platform before it sends the order. Responses
 * of the platform may be lost, and a write may take effect late. The service
 * counts executions. Each Caller process models one host that handles one call of
 * a client. Each flag removes one guard:
 *   -DNO_RECORD    orders are sent without a record
 *   -DNO_VERSION   writes of the record do not check its version
 *   -DRESEND       an order whose outcome is unknown is sent again
 */

#define CALLERS 3
#define NONE 0
#define INTENDED 1
#define RELEASED 2
#define ANSWERED 3

/* The record: its phase, the caller that claimed it (CALLERS means none), and its
 * version. */
byte phase = NONE;
byte attempt = CALLERS;
byte version = 0;
/* Number of times that the service has executed the order. */
byte executions = 0;

/* At most one delayed write: the caller that claims, and the version that the
 * write expects (255 means that no write is delayed). */
byte late_attempt;
byte late_expected = 255;

/* Claims the record if its version is the expected one, and sets `written` to
 * whether it did. */
inline apply_claim(me, expected) {
    if
#ifdef NO_VERSION
    :: true ->
#else
    :: version == expected ->
#endif
        phase = INTENDED;
        attempt = me;
        version++;
        written = true
    :: else -> written = false
    fi
}

/* Sets the phase of the record if its version is the one that the caller holds. */
inline write_phase(me, next) {
    if
    :: version == held ->
        phase = next;
        version++
    :: else
    fi
}

proctype Caller(byte me) {
    byte tries = 0;
    byte expected = 0;
    byte held = 0;
    bool written = false;

claim:
    atomic {
        tries++;
#ifdef NO_RECORD
        goto send;
#endif
        if
        /* The response arrives. */
        :: true -> apply_claim(me, expected);
           if
           :: written -> held = version; goto send
           :: else -> goto check
           fi
        /* The response is lost, after the write took effect or without it. */
        :: true -> apply_claim(me, expected); goto check
        :: goto check
        /* The write is delayed and its response is lost. */
        :: late_expected == 255 ->
            late_attempt = me;
            late_expected = expected;
            goto check
        fi
    }
check:
    atomic {
        if
        :: phase == INTENDED && attempt == me -> held = version; goto send
        :: phase == INTENDED && attempt != me -> goto finish
        :: phase == ANSWERED -> goto finish
        :: (phase == NONE || phase == RELEASED) && tries < 3 ->
            expected = version;
            goto claim
        :: (phase == NONE || phase == RELEASED) && tries >= 3 -> goto finish
        fi
    }
send:
    atomic {
        if
        /* The service responds. */
        :: executions++; assert(executions <= 1); write_phase(me, ANSWERED); goto finish
        /* The service executes the order, but its response is lost. */
        :: executions++; assert(executions <= 1);
#ifdef RESEND
           goto send
#else
           goto finish
#endif
        /* No byte of the order was sent. */
        :: true -> write_phase(me, RELEASED); goto finish
        /* The host crashes, and the service does not execute the order. */
        :: goto finish
        fi
    }
finish:
    skip
}

proctype LateWrite() {
    bool written;
    do
    :: atomic {
        late_expected != 255 ->
        apply_claim(late_attempt, late_expected);
        late_expected = 255
    }
    :: break
    od
}

init {
    atomic {
        run Caller(0);
        run Caller(1);
        run Caller(2);
        run LateWrite()
    }
}
