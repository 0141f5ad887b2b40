/* Model of loans of allowance shares between hosts. Property: lender and
 * borrower never use the lent part at the same time, so that all hosts together
 * never exceed the allowance.
 *
 * A lender lends a part for a fixed duration. The borrower counts the duration
 * from when it sent its request, the lender from when it granted the loan, which
 * is never earlier. Messages may be lost, delayed or duplicated, and a borrower
 * may return a loan early and then request another one. Each flag removes one
 * guard:
 *   -DNO_ASKED_AT  the borrower counts from the arrival of the answer
 *   -DNO_MARGIN    the lender takes the part back one step early
 *   -DRETURN_LATE  a borrower still uses the part after returning it
 *   -DREVIVE       the borrower accepts an answer that extends a returned loan
 */

#define LENGTH 3
#define END 9

byte now = 0;
/* Whether the lender and the borrower use the part, and the end of the loan as
 * each of them computes it. */
bool lender_uses = true;
bool borrower_uses = false;
byte lent_until = 0;
byte borrowed_until = 0;

/* State of the borrower: when it sent its last request, whether it waits for the
 * answer, and whether it has returned the loan. */
byte asked_at = 0;
bool asking = false;
bool returned = false;

/* Messages in flight: a request, an answer (with the time at which its request
 * was sent), and the return of a loan (give_up). */
bool request = false;
bool answer = false;
byte answer_asked_at = 0;
bool give_up = false;

#define SAFE assert(!(lender_uses && borrower_uses))

proctype Clock() {
    do
    :: atomic {
        now < END -> now++;
        /* At the end of the loan, the borrower stops and the lender resumes using
         * the part in the step in which the time changes, before any other step
         * at the new time. */
        if
        :: borrower_uses && now >= borrowed_until -> borrower_uses = false
        :: else
        fi;
        if
#ifdef NO_MARGIN
        :: !lender_uses && now + 1 >= lent_until -> lender_uses = true
#else
        :: !lender_uses && now >= lent_until -> lender_uses = true
#endif
        :: else
        fi;
        SAFE
    }
    :: now == END -> break
    od
}

proctype Borrower() {
    do
    :: now == END -> break
    /* Requests a loan, or an extension of the current one. */
    :: atomic {
        !asking && !returned -> asking = true; asked_at = now; request = true
    }
    /* Accepts the answer to its outstanding request. */
    :: atomic {
#ifdef REVIVE
        answer ->
#else
        answer && asking && answer_asked_at == asked_at ->
#endif
        asking = false;
#ifdef NO_ASKED_AT
        borrowed_until = now + LENGTH;
        borrower_uses = true;
#else
        if
        :: answer_asked_at + LENGTH > now ->
            borrowed_until = answer_asked_at + LENGTH;
            borrower_uses = true
        :: else
        fi;
#endif
        SAFE
    }
    /* Returns the loan and drops its outstanding request. */
    :: atomic {
        borrower_uses ->
#ifndef RETURN_LATE
        borrower_uses = false;
#endif
        asking = false;
        returned = true;
        give_up = true
    }
    /* May request another loan once no message of the last one is in flight. */
    :: atomic { returned && !give_up && !request && !answer -> returned = false }
    od
}

proctype Lender() {
    do
    :: now == END -> break
    /* Grants or extends a loan. A request may arrive more than once. */
    :: atomic {
        request ->
        lender_uses = false;
        lent_until = now + LENGTH;
        answer = true;
        answer_asked_at = asked_at;
        if
        :: request = false
        :: skip
        fi;
        SAFE
    }
    /* Takes the part back when the borrower returns it. */
    :: atomic {
        give_up ->
        give_up = false;
        lender_uses = true;
        SAFE
    }
    od
}

/* Loses messages. */
proctype Network() {
    do
    :: now == END -> break
    :: atomic { request -> request = false }
    :: atomic { answer -> answer = false }
    :: atomic { give_up -> give_up = false }
    od
}

init {
    atomic {
        run Clock();
        run Borrower();
        run Lender();
        run Network()
    }
}
