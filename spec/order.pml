/* At most once: callers that retry one order at several hosts.
 *
 * A record in the platform is created before the order is sent; answers of the
 * platform may be lost, and a write may take effect late. The service counts
 * executions.
 *   -DNO_RECORD    orders are sent without a record
 *   -DNO_VERSION   writes of the record do not look at its version
 *   -DRESEND       a call whose outcome is not known is sent again
 */

#define CALLERS 3
#define NONE 0
#define INTENDED 1
#define RELEASED 2
#define ANSWERED 3

byte phase = NONE;
byte attempt = CALLERS;
byte version = 0;
byte executions = 0;

/* One late write: who claimed, and the version it expects; version 255 means
 * that none is under way. */
byte late_attempt;
byte late_expected = 255;

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
        /* The answer arrives. */
        :: true -> apply_claim(me, expected);
           if
           :: written -> held = version; goto send
           :: else -> goto check
           fi
        /* The answer is lost after the write took effect, or not. */
        :: true -> apply_claim(me, expected); goto check
        :: goto check
        /* The write takes effect late. */
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
        /* Answered. */
        :: executions++; assert(executions <= 1); write_phase(me, ANSWERED); goto finish
        /* The answer is lost. */
        :: executions++; assert(executions <= 1);
#ifdef RESEND
           goto send
#else
           goto finish
#endif
        /* No byte left. */
        :: true -> write_phase(me, RELEASED); goto finish
        /* The host dies. */
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
