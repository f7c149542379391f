/* Control lease, recorded assignment, dispatch lease and grant of one partition.
 *
 * Two control processes (P[0], P[1]) may hold the cell's lease, two dispatchers
 * may hold a dispatch lease, two backend servers may own the partition. Time is
 * discrete and advances for all processes at once; every timer counts down.
 * Processes may be arbitrarily slow; only their timers constrain them. The
 * names of the phases are those of src/control.
 *
 * Each variant (-DNO_...) removes one guard and must have a counterexample:
 *   NO_TAKE_WAIT     a standby takes over without waiting for TAKEOVER_DELAY
 *   NO_PROMISE       a standby takes over despite its promise
 *   NO_HOLD_LIMIT    a holder acts after its authority has expired
 *   NO_ROW_CHECK     rows are written without a check of their version
 *   NO_RELEASE_WAIT  the new owner starts before the previous owner's right has
 *                    ended
 *   NO_RUN_BOUND     an expired dispatch lease does not wait for requests that
 *                    are still running
 *   NO_CONFIG_READ   a new holder publishes the configuration that it read
 *                    before its lease
 *   NO_RECORD_FIRST  a move is finished before the assignment is recorded
 */

#define LEASE_TTL 2          /* holder acts this long after it sent a renewal */
#define TAKEOVER_DELAY 3     /* standby waits this long on an unchanged row */
#define PROMISE_TTL 3        /* TTL of a promise, at the standby */
#define DISPATCH_LEASE_TTL 2 /* TTL of a dispatch lease */
#define MAX_RUN 2            /* maximum time a request runs at a server */
#define NONE 9

#ifndef CHECKS_FENCE
#define CHECKS_FENCE 0
#endif
#ifndef MOVES
#define MOVES 1
#endif
#ifndef CONFIRMS
#define CONFIRMS 0
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif

mtype = { watching, acquiring, holding };

typedef Control {
  mtype phase = watching;
  byte authority;       /* ticks for which it may still act */
  byte watched;         /* ticks for which the lease row was unchanged */
  byte seen;            /* version of the lease row last read */
  byte promised;        /* ticks for which it must not take over */
  byte config;          /* configuration version it publishes */
  bit config_fresh;     /* configuration read under this lease */
  byte owner;           /* owner as last read or written */
  byte row = NONE;      /* version of the assignment row last read */
  bit moving;           /* a move is recorded but not finished */
  byte wait_lease;      /* ticks until older dispatch leases have expired */
  byte wait_run;        /* ticks until older requests have ended */
  byte pending_base = NONE; /* version that a takeover without a response
                               requires, or NONE */
};

typedef Dispatcher {
  byte lease;           /* ticks for which it may still send */
  byte server = NONE;   /* server to which it sends */
};

typedef Server {
  byte running;         /* ticks for which a request may still run; 0: none */
};

Control P[2];
Dispatcher D[2];
Server S[2];

bit platform = 1;       /* the platform responds */
byte lease_row;         /* version of the lease row */
byte lease_holder = NONE;
byte assign_row;        /* version of the assignment row */
byte assign_owner;      /* recorded owner */
byte config_row;        /* confirmed configuration version */
byte published;         /* latest configuration version that an entry uses */
byte outages = OUTAGES;
byte confirms = CONFIRMS;
byte moves = MOVES;

/* Limits of the search: maximum versions of the two rows. */
#define LEASE_LIMIT 4
#define ASSIGN_LIMIT 4
#define MAY_ACT(i) \
  (P[i].phase == holding && (P[i].authority > 0 || AUTHORITY_IGNORED))
#ifdef NO_HOLD_LIMIT
#define AUTHORITY_IGNORED 1
#else
#define AUTHORITY_IGNORED 0
#endif

#ifdef NO_ROW_CHECK
#define ROW_MATCHES(a, b) (1)
#else
#define ROW_MATCHES(a, b) ((a) == (b))
#endif

inline safety() {
  /* At most one server runs requests for the partition. */
  assert(!(S[0].running > 0 && S[1].running > 0));
}

/* Advances time by one tick. */
active proctype Time() {
  do
  :: atomic {
       byte i;
       for (i : 0 .. 1) {
         if :: P[i].authority > 0 -> P[i].authority-- :: else fi;
         if :: P[i].promised > 0 -> P[i].promised-- :: else fi;
         if :: P[i].watched < TAKEOVER_DELAY -> P[i].watched++ :: else fi;
         if :: P[i].wait_lease > 0 -> P[i].wait_lease-- :: else fi;
         if :: P[i].wait_run > 0 -> P[i].wait_run-- :: else fi;
         if :: D[i].lease > 0 -> D[i].lease-- :: else fi;
         if :: S[i].running > 0 -> S[i].running-- :: else fi;
       }
       i = 0;
     }
  od
}

/* Begins and ends outages of the platform. */
active proctype Platform() {
  do
  :: atomic { platform == 1 && outages > 0 -> platform = 0; outages-- }
  :: atomic { platform == 0 -> platform = 1 }
  od
}

/* Confirms configurations by a conditional write, as operators do. */
active proctype Operator() {
  do
  :: atomic { platform && confirms > 0 -> config_row++; confirms-- }
  od
}

inline begin_holding(i, remaining) {
  P[i].phase = holding;
  P[i].authority = remaining;
  P[i].pending_base = NONE;
#ifndef NO_CONFIG_READ
  P[i].config_fresh = 0;
#else
  P[i].config_fresh = 1;
#endif
  P[i].moving = 0;
  P[i].row = NONE;
  P[i].wait_lease = DISPATCH_LEASE_TTL;
  P[i].wait_run = DISPATCH_LEASE_TTL + MAX_RUN;
}

proctype Controller(byte i) {
  do
  /* kWatching: reads the row; a changed row restarts the wait. */
  :: atomic {
       P[i].phase == watching && platform && P[i].seen != lease_row ->
       P[i].seen = lease_row;
       P[i].watched = 0
     }
  /* kWatching to kAcquiring: the row was unchanged for the takeover delay. */
  :: atomic {
       P[i].phase == watching && lease_row < LEASE_LIMIT &&
       P[i].seen == lease_row &&
#ifndef NO_TAKE_WAIT
       P[i].watched >= TAKEOVER_DELAY &&
#endif
#ifndef NO_PROMISE
       P[i].promised == 0 &&
#endif
       P[i].pending_base == NONE && lease_holder != i ->
       P[i].phase = acquiring
     }
  /* kAcquiring: the conditional write, whose response may be lost. */
  :: atomic {
       P[i].phase == acquiring && P[i].pending_base == NONE && platform ->
       if
       :: ROW_MATCHES(lease_row, P[i].seen) ->
            lease_row++;
            lease_holder = i;
            if
            :: P[i].seen = lease_row; begin_holding(i, LEASE_TTL)
            :: P[i].pending_base = P[i].seen /* written, response lost */
            fi
       :: else -> P[i].phase = watching; P[i].seen = lease_row; P[i].watched = 0
       fi
     }
  /* kAcquiring after a lost response: reads the row. The lease counts from when
     the write was sent, so no authority remains for certain before the first
     renewal. */
  :: atomic {
       P[i].phase == acquiring && P[i].pending_base != NONE && platform ->
       if
       :: lease_row == P[i].pending_base + 1 && lease_holder == i ->
            P[i].seen = lease_row;
            begin_holding(i, 0)
       :: else ->
            P[i].pending_base = NONE; P[i].phase = watching;
            P[i].seen = lease_row; P[i].watched = 0
       fi
     }
  /* kHolding: renews the lease. */
  :: atomic {
       P[i].phase == holding && platform && lease_row < LEASE_LIMIT &&
       lease_holder == i && ROW_MATCHES(lease_row, P[i].seen) ->
       lease_row++;
       P[i].seen = lease_row;
       P[i].authority = LEASE_TTL
     }
  /* kHolding: the platform is unavailable and the only standby promises. The
     standby refuses while it takes over and while it can read the row. */
  :: atomic {
       P[i].phase == holding && P[i].authority > 0 && platform == 0 &&
       P[1 - i].phase == watching && P[1 - i].pending_base == NONE &&
       P[1 - i].seen == lease_row && lease_holder == i ->
       P[1 - i].promised = PROMISE_TTL;
       P[i].authority = PROMISE_TTL - 1
     }
  /* kHolding to kWatching: the authority has expired, or the row names another
     holder. */
  :: atomic {
       P[i].phase == holding &&
       ((P[i].authority == 0 && !AUTHORITY_IGNORED) ||
        (platform && lease_holder != i)) ->
       P[i].phase = watching;
       P[i].authority = 0;
       P[i].seen = NONE
     }
  /* Reads the assignment row and writes it once, which fences older writers. */
  :: atomic {
       MAY_ACT(i) && P[i].row == NONE && platform &&
       assign_row < ASSIGN_LIMIT ->
       assign_row++;
       P[i].row = assign_row;
       P[i].owner = assign_owner;
       P[i].moving = 1 /* a move may be unfinished: older rights must end */
     }
#if CONFIRMS > 0
  /* Reads the configuration under this lease. */
  :: atomic {
       MAY_ACT(i) && platform && P[i].config != config_row ->
       P[i].config = config_row;
       P[i].config_fresh = 1
     }
  :: atomic {
       MAY_ACT(i) && platform && P[i].config == config_row &&
       P[i].config_fresh == 0 ->
       P[i].config_fresh = 1
     }
  /* Publishes the configuration to an entry that may have just started. */
  :: atomic {
       MAY_ACT(i) && P[i].config_fresh ->
       assert(P[i].config >= published); /* versions never decrease */
       published = P[i].config
     }
#endif
  /* kRecording: the new owner is written before any process acts on it. */
  :: atomic {
       MAY_ACT(i) && P[i].row != NONE && P[i].moving == 0 && moves > 0 &&
       platform && assign_row < ASSIGN_LIMIT &&
       ROW_MATCHES(assign_row, P[i].row) ->
       moves--;
#ifndef NO_RECORD_FIRST
       assign_row++;
       P[i].row = assign_row;
       assign_owner = 1 - P[i].owner;
#endif
       P[i].owner = 1 - P[i].owner;
       P[i].moving = 1;
       /* Dispatchers must release the previous owner or their leases must
          expire, and requests that they sent must end. */
       P[i].wait_lease = DISPATCH_LEASE_TTL;
       P[i].wait_run = DISPATCH_LEASE_TTL + MAX_RUN
     }
  /* The dispatchers have released the previous owner and have no request in
     flight, so no wait is needed. */
  :: atomic {
       MAY_ACT(i) && P[i].moving && P[i].row != NONE &&
       D[0].lease == 0 && D[1].lease == 0 &&
       S[0].running == 0 && S[1].running == 0 &&
       P[i].wait_lease > 0 ->
       P[i].wait_lease = 0;
       P[i].wait_run = 0
     }
  /* kGranting to kStable: older rights have ended; the move is finished. */
  :: atomic {
#ifndef NO_RELEASE_WAIT
       P[i].wait_lease == 0 &&
#ifndef NO_RUN_BOUND
       P[i].wait_run == 0 &&
#endif
#endif
       MAY_ACT(i) && P[i].moving && P[i].row != NONE ->
       P[i].moving = 0;
       /* A finished assignment is not lost. */
       assert(assign_owner == P[i].owner || assign_row != P[i].row)
     }
  /* Grants a dispatch lease for the stable owner. The dispatcher counts from
     when it sent the request, so its lease ends no later than the controller
     assumes. */
  :: atomic {
       MAY_ACT(i) && P[i].moving == 0 && P[i].row != NONE ->
       byte d;
       if :: d = 0 :: d = 1 fi;
       if
       :: D[1 - d].lease == 0 || D[1 - d].server == P[i].owner ->
            D[d].server = P[i].owner;
            D[d].lease = DISPATCH_LEASE_TTL
       :: else
       fi;
       d = 0
     }
  od
}

/* A dispatcher sends while its lease is valid; the server runs the request for
   at most MAX_RUN. A server that checks the fence rejects older epochs. */
proctype Sender(byte d) {
  do
  :: atomic {
       D[d].lease > 0 && D[d].server != NONE &&
       (CHECKS_FENCE == 0 || D[d].server == assign_owner) ->
       S[D[d].server].running = MAX_RUN;
       safety()
     }
  od
}

init {
  atomic {
    run Controller(0);
    run Controller(1);
    run Sender(0);
    run Sender(1)
  }
}
