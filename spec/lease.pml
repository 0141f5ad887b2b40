/* Model of a lease, its fencing tokens and delayed orders.
 *
 * Two hosts compete for one lease. A holder may be paused between checking its
 * lease and sending an order, and an order may be delayed up to its lifetime.
 * Engine 0 checks fencing tokens, engine 1 ignores them. Property: no engine
 * applies an order of an older holder after one of a newer holder, because the
 * newer holder has planned the engine's memory without the older order.
 *
 * Time is a bounded counter that all processes share. The duration of a lease
 * and the lifetime of an order are small numbers to bound the state space. Each
 * flag removes one guard:
 *   -DNO_WAIT      a new holder does not wait until delayed orders have expired
 *   -DNO_FENCE     the engine that checks fencing tokens accepts every order
 *   -DNO_EXPIRY    a holder sends orders without checking its lease
 *   -DNO_LAPSE     a host takes a lease that has not expired
 */

#define HOSTS 2
#define LEASE 2
#define LIFE 2
#define END 8

byte now = 0;

/* The lease as the platform stores it: holder (HOSTS means none), fencing token
 * and time of the last write. */
byte holder = HOSTS;
byte fence = 0;
byte written = 0;

/* State of each host: its fencing token (zero means that it does not hold the
 * lease), the time at which its lease expires, and the time from which it may
 * send orders. */
byte own_fence[HOSTS];
byte valid_until[HOSTS];
byte ready_at[HOSTS];

/* Orders in flight, at most one from each host to each engine: fencing token
 * (zero means none) and the last time at which the order may arrive. */
byte order_fence[4];
byte order_end[4];
/* Fencing token of the last order that each engine applied. */
byte taken[2];
/* Highest fencing token that has been sent to engine 0, which rejects orders with
 * a lower one. */
byte fenced = 0;

#define SLOT(host, engine) ((host) * 2 + (engine))

/* Time does not advance past the expiry of an order in flight to engine 1, which
 * never applies an expired order. Engine 0 may apply an order at any time, as it
 * relies on fencing tokens. */
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
    /* Takes the lease if it is free or has expired. */
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
    /* Renews the lease while it still holds it. */
    :: atomic {
        own_fence[me] != 0 && holder == me && fence == own_fence[me] ->
        written = now;
        valid_until[me] = now + LEASE
    }
    /* Detects that it has lost the lease. */
    :: atomic { own_fence[me] != 0 && fence != own_fence[me] -> own_fence[me] = 0 }
    /* Sends an order. A pause of the host is modelled by any number of steps of
     * other processes before this one. */
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

/* Delivers an order, delayed or not, or loses it. */
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
