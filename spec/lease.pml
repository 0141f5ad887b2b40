/* Lease, fencing numbers and late orders.
 *
 * Two hosts compete for one lease. A holder may be paused between looking at
 * its lease and sending, and an order may arrive late within its life. One
 * engine checks fencing numbers, the other ignores them. No engine may take an
 * order of an older holder after it has taken one of a newer holder, since the
 * newer one has counted memory without it.
 *
 * Time is a bounded counter that all share; the length of a lease and the life
 * of an order are small numbers. Guards can be removed one by one:
 *   -DNO_WAIT      a new holder does not wait for late orders
 *   -DNO_FENCE     the checking engine takes every order
 *   -DNO_EXPIRY    a holder sends without looking at its lease
 *   -DNO_LAPSE     a host takes a lease that has not lapsed
 */

#define HOSTS 2
#define LEASE 2
#define LIFE 2
#define END 8

byte now = 0;

/* The lease in the platform: holder (HOSTS means none), fencing number, and
 * the time of its last write. */
byte holder = HOSTS;
byte fence = 0;
byte written = 0;

/* What each host believes. */
byte own_fence[HOSTS];
byte valid_until[HOSTS];
byte ready_at[HOSTS];

/* At most one order of each host under way to each engine: its fencing number
 * (zero means none) and the last time at which it may arrive. Engine 0 checks
 * fencing numbers, engine 1 does not. */
byte order_fence[4];
byte order_end[4];
byte taken[2];
byte fenced = 0;

#define SLOT(host, engine) ((host) * 2 + (engine))

/* Time passes only when no order has to arrive or be lost first: engine 1
 * never applies one after its life, engine 0 may apply one at any time. */
proctype Clock() {
    do
    :: atomic {
        now < END &&
        (order_fence[1] == 0 || now < order_end[1]) &&
        (order_fence[3] == 0 || now < order_end[3]) -> now++
    }
    :: now == END -> break
    od
}

proctype Host(byte me) {
    byte engine;
    do
    :: now == END -> break
    /* Takes the lease if it is free or has lapsed. */
    :: atomic {
        own_fence[me] == 0 && fence < 3 &&
#ifdef NO_LAPSE
        holder != me ->
#else
        (holder == HOSTS || now > written + LEASE) ->
#endif
        fence++;
        holder = me;
        written = now;
        own_fence[me] = fence;
        valid_until[me] = now + LEASE;
#ifdef NO_WAIT
        ready_at[me] = now;
#else
        ready_at[me] = now + LIFE + 1;
#endif
    }
    /* Renews while it still holds the lease. */
    :: atomic {
        own_fence[me] != 0 && holder == me && fence == own_fence[me] ->
        written = now;
        valid_until[me] = now + LEASE
    }
    /* Notices that it has lost the lease. */
    :: atomic { own_fence[me] != 0 && fence != own_fence[me] -> own_fence[me] = 0 }
    /* Sends an order; a pause before this step is any number of other steps. */
    :: atomic {
        own_fence[me] != 0 &&
#ifndef NO_EXPIRY
        now < valid_until[me] &&
#endif
        now >= ready_at[me] ->
        if
        :: engine = 0; fenced = (own_fence[me] > fenced -> own_fence[me] : fenced)
        :: engine = 1
        fi;
        if
        :: order_fence[SLOT(me, engine)] == 0 ->
            order_fence[SLOT(me, engine)] = own_fence[me];
            order_end[SLOT(me, engine)] = now + LIFE
        :: else
        fi
    }
    od
}

/* An order arrives, late or not, or is lost. */
proctype Network() {
    byte slot;
    do
    :: now == END -> break
    :: atomic {
        if
        :: slot = 0
        :: slot = 1
        :: slot = 2
        :: slot = 3
        fi;
        if
        :: order_fence[slot] != 0 ->
            if
            :: true -> skip /* lost */
#ifdef NO_FENCE
            :: true ->
#else
            :: slot % 2 == 1 || order_fence[slot] >= fenced ->
#endif
                assert(order_fence[slot] >= taken[slot % 2]);
                taken[slot % 2] = order_fence[slot]
            fi;
            order_fence[slot] = 0
        :: else
        fi
    }
    od
}

init {
    atomic {
        run Clock();
        run Host(0);
        run Host(1);
        run Network()
    }
}
