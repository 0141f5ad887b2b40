/* Loans of shares: what all hosts use together never exceeds the whole.
 *
 * A lender gives a part away for a time; the borrower counts from when it
 * asked, the lender from when it granted. Messages are lost, late and doubled,
 * and a loan can be given up or lent on.
 *   -DNO_ASKED_AT  the borrower counts from when the answer arrives
 *   -DNO_MARGIN    the lender takes the part back one step early
 *   -DRETURN_LATE  a borrower goes on for a while after giving a loan up
 *   -DREVIVE       an answer that extends a loan given up is taken
 */

#define LENGTH 3
#define END 9

byte now = 0;
/* Who uses the one part that changes hands. */
bool lender_uses = true;
bool borrower_uses = false;
byte lent_until = 0;
byte borrowed_until = 0;

byte asked_at = 0;
bool asking = false;
bool returned = false;

/* Messages under way: a request, an answer (with the time of asking that it
 * belongs to), a return. */
bool request = false;
bool answer = false;
byte answer_asked_at = 0;
bool give_up = false;

#define SAFE assert(!(lender_uses && borrower_uses))

proctype Clock() {
    do
    :: atomic {
        now < END -> now++;
        /* Both ends of a loan are noticed before anything is spent. */
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
    /* Asks for a loan, or to extend the one that it has. */
    :: atomic {
        !asking && !returned -> asking = true; asked_at = now; request = true
    }
    /* Takes the answer to the request that it waits for. */
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
    /* Gives the loan up and forgets what it has asked for. */
    :: atomic {
        borrower_uses ->
#ifndef RETURN_LATE
        borrower_uses = false;
#endif
        asking = false;
        returned = true;
        give_up = true
    }
    /* Starts anew with another loan once the last return is out of the way. */
    :: atomic { returned && !give_up && !request && !answer -> returned = false }
    od
}

proctype Lender() {
    do
    :: now == END -> break
    /* Grants or extends; a request may arrive twice. */
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
    /* Takes the part back when it is given up. */
    :: atomic {
        give_up ->
        give_up = false;
        lender_uses = true;
        SAFE
    }
    od
}

/* Messages get lost. */
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
