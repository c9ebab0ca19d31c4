/*
 * Ownership of one target, its unloads and dispatches.
 *
 * Three daemon incarnations (0 holds at first; 1 is on another VM; 2 is a later run on VM 0), one target with A
 * adapters that may restart, and the platform's log as one ordered list of records. A daemon may be
 * paused between any two steps: every step is an independent choice, so a step may come arbitrarily late. Requests and
 * orders travel on their own: they are sent in one step and arrive in another, in any order.
 *
 * The invariant: an adapter that serves a request is never unloaded (assert in target()).
 *
 * Switches that remove a safety measure, each of which must give a counterexample:
 *   NO_READ_BACK      the unload is sent without reading the intent back
 *   NO_VOID           a late intent is acted on after its author gave it up
 *   NO_INTENT_BAR     a successor dispatches to an adapter with an open intent
 *   NO_SETTLE         a successor unloads before its predecessor is settled
 *   SETTLE_NO_DELIVERY  settling does not wait until nothing of the dead VM can still arrive
 *   SETTLE_NO_IDLE    settling does not ask the target
 *   SETTLE_ON_RESTART a restart of the target counts as settling
 *   NO_FENCE_ACK      (checking target) dispatch before the token was acknowledged; needed with ORDERS_ONLY
 *   ORDERS_ONLY       (checking target) dispatches do not carry the token; RESTARTS=0 makes that safe again
 * CHECKS chooses a target that checks fencing tokens.
 */
#ifndef LOG
#define LOG 6
#endif
#ifndef N
#define N 3        /* daemon incarnations */
#endif
#ifndef A
#define A 1        /* adapters */
#endif
#ifndef SENDS
#define SENDS 2
#endif
#ifndef UNLOADS
#define UNLOADS 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef TAKES
#define TAKES 2
#endif
#define NONE 255

/* Records: who, what. */
#define TAKE 1
#define INTENT 2
#define CLOSE 3
#define SETTLE 4
byte logKind[LOG];
byte logWho[LOG];
byte logArg[LOG];
byte logLen = 0;

/* Each daemon's fold. */
byte applied[N];
byte holder[N];          /* by its fold; a token is the number of takeovers so far */
byte token[N];           /* token of that holder */
byte unsettled[N];       /* unsettled predecessors, by its fold: one bit each */
byte intentBy[N];        /* author of the open intent by its fold, or NONE */
byte intentFor[N];       /* its adapter */

/* Each daemon's own state. */
bool alive[N];
bool holds[N];           /* believes to hold the target */
byte myToken[N];
bool acked[N];           /* the target acknowledged its token */
byte inFlight[N * A];    /* its own requests, sent or running */
byte waitsFor[N];        /* adapter whose intent it appended and waits for, or NONE */
bool gaveUp[N];          /* it gave that intent up */
bool mayUnload[N];       /* it read the intent back */
bool orderOut[N];        /* its unload is on its way */
byte orderFor[N];
byte orderToken[N];
bool settledDone[N];

/* The target. */
bool loaded[A];
byte serving[N * A];
byte onWay[N * A];       /* requests on their way */
byte onWayToken[N];
byte known = 0;          /* highest token it has seen */
byte restarts = 0;
byte takes = 0;
byte sends = 0;
byte unloads = 0;

inline append(k, w, a) {
  if :: logLen < LOG -> logKind[logLen] = k; logWho[logLen] = w; logArg[logLen] = a; logLen++ :: else fi
}

/* Folding one record, at daemon d. */
inline fold(d) {
  if
  :: logKind[applied[d]] == TAKE && holder[d] == logArg[applied[d]] ->
       unsettled[d] = unsettled[d] | (1 << holder[d]);
       holder[d] = logWho[applied[d]]; token[d] = token[d] + 1;
       if :: holder[d] == d -> holds[d] = true; myToken[d] = token[d]; acked[d] = false
          :: else -> holds[d] = false
       fi
  :: logKind[applied[d]] == INTENT && holder[d] == logWho[applied[d]] && intentBy[d] == NONE ->
       intentBy[d] = logWho[applied[d]]; intentFor[d] = logArg[applied[d]];
       if :: intentBy[d] == d && waitsFor[d] == intentFor[d] && holds[d] ->
#ifdef NO_VOID
             mayUnload[d] = true
#else
             if :: !gaveUp[d] -> mayUnload[d] = true :: else -> skip fi
#endif
          :: else -> skip
       fi
  :: logKind[applied[d]] == CLOSE && intentBy[d] == logWho[applied[d]] -> intentBy[d] = NONE
  :: logKind[applied[d]] == SETTLE ->
       unsettled[d] = unsettled[d] & ~(1 << logWho[applied[d]]);
       if :: intentBy[d] == logWho[applied[d]] -> intentBy[d] = NONE :: else -> skip fi
  :: else -> skip
  fi;
  applied[d] = applied[d] + 1
}

/* Guards, with the measure that a switch removes. */
#if defined(CHECKS) && !defined(NO_FENCE_ACK)
#define MAY_SEND(d) acked[d]
#else
#define MAY_SEND(d) true
#endif
#ifdef NO_SETTLE
#define MAY_EVICT(d) true
#else
#define MAY_EVICT(d) (unsettled[d] == 0)
#endif
#ifdef NO_VOID
#define UNUSED(d) true
#else
#define UNUSED(d) (inFlight[(d) * A + waitsFor[d]] == 0)
#endif
#ifdef SETTLE_NO_DELIVERY
#define DELIVERED true
#else
#define DELIVERED (NO(onWay, 0) && !orderOut[0])
#endif
#ifdef SETTLE_NO_IDLE
#define TARGET_IDLE true
#else
#define TARGET_IDLE NO(serving, 0)
#endif
#ifdef NO_INTENT_BAR
#define NOT_BARRED(d, a) (!(intentBy[d] == d && mayUnload[d]) && !(orderOut[d] && orderFor[d] == a))
#else
#define NOT_BARRED(d, a) (!(intentBy[d] != NONE && intentFor[d] == a) && !(orderOut[d] && orderFor[d] == a) && !(waitsFor[d] == a && !gaveUp[d]))
#endif
#if defined(CHECKS) && !defined(ORDERS_ONLY)
#define DISPATCH_CHECKED true
#else
#define DISPATCH_CHECKED false
#endif
#ifdef CHECKS
#define ORDER_CHECKED true
#else
#define ORDER_CHECKED false
#endif
#if A == 2
#define PICK(a) if :: a = 0 :: a = 1 fi
#define NO(list, d) (list[(d) * A] == 0 && list[(d) * A + 1] == 0)
#else
#define PICK(a) a = 0
#define NO(list, d) (list[d] == 0)
#endif
#define IDLE(d) NO(inFlight, d)

proctype daemon(byte d) {
  byte a;
end:
  do
  /* Read one record. */
  :: atomic { alive[d] && applied[d] < logLen -> fold(d) }

  /* Take over from the holder that is named; nobody can tell a dead one from a paused one. */
  :: atomic { alive[d] && !holds[d] && holder[d] != d && takes < TAKES && d != 0 && !(unsettled[d] & (1 << d)) ->
       takes++; append(TAKE, d, holder[d]) }

#ifdef CHECKS
  /* Present the token; the target acknowledges it. */
  :: atomic { alive[d] && holds[d] && !acked[d] && myToken[d] >= known -> known = myToken[d]; acked[d] = true }
#endif

  /* Dispatch to an adapter. */
  :: atomic { alive[d] && holds[d] && sends < SENDS && MAY_SEND(d) ->
       PICK(a);
       if
       :: NOT_BARRED(d, a) -> sends++; inFlight[d * A + a]++; onWay[d * A + a]++; onWayToken[d] = myToken[d]
       :: else -> skip
       fi }

#ifndef CHECKS
  /* Announce an unload of an adapter with nothing in flight here. */
  :: atomic { alive[d] && holds[d] && waitsFor[d] == NONE && intentBy[d] == NONE && unloads < UNLOADS && MAY_EVICT(d) ->
       PICK(a); if :: inFlight[d * A + a] == 0 -> skip :: else -> a = NONE fi;
       if
       :: a != NONE -> unloads++; waitsFor[d] = a; gaveUp[d] = false; append(INTENT, d, a)
#ifdef NO_READ_BACK
            ; mayUnload[d] = true
#endif
       :: else -> skip
       fi }
  /* The answer to the append is lost, or the record does not turn up: give the unload up and dispatch again. */
  :: atomic { alive[d] && waitsFor[d] != NONE && !mayUnload[d] && !gaveUp[d] && !orderOut[d] -> gaveUp[d] = true }
  /* The late intent turned up: close it. */
  :: atomic { alive[d] && gaveUp[d] && intentBy[d] == d && !mayUnload[d] && !orderOut[d] ->
       append(CLOSE, d, 0); gaveUp[d] = false; waitsFor[d] = NONE }
  /* Read back as holder: send the unload. */
  :: atomic { alive[d] && holds[d] && mayUnload[d] && !orderOut[d] && UNUSED(d) ->
       mayUnload[d] = false; orderOut[d] = true; orderFor[d] = waitsFor[d]; orderToken[d] = myToken[d] }
#else
  /* A checking target needs no intent: its token guards the order. */
  :: atomic { alive[d] && holds[d] && acked[d] && !orderOut[d] && unloads < UNLOADS && MAY_EVICT(d) ->
       PICK(a); if :: inFlight[d * A + a] == 0 -> skip :: else -> a = NONE fi;
       if :: a != NONE -> unloads++; orderOut[d] = true; orderFor[d] = a; orderToken[d] = myToken[d] :: else -> skip fi }
#endif

  /* As a former holder that has read the takeover, with nothing sent or running: settled. */
  :: atomic { alive[d] && !holds[d] && (unsettled[d] & (1 << d)) && IDLE(d) && !orderOut[d] && !settledDone[d] ->
       settledDone[d] = true; append(SETTLE, d, 0) }
  /* As a successor: the predecessor's VM is gone, nothing of it can arrive, the target runs nothing of it. */
  :: atomic { alive[d] && holds[d] && (unsettled[d] & 1) && !alive[0] && !settledDone[0] && DELIVERED && TARGET_IDLE ->
       settledDone[0] = true; append(SETTLE, 0, 0) }
#ifdef SETTLE_ON_RESTART
  :: atomic { alive[d] && holds[d] && (unsettled[d] & 1) && restarts > 0 && !settledDone[0] ->
       settledDone[0] = true; append(SETTLE, 0, 0) }
#endif
  od
}

/* A VM may die once; a later run on it knows nothing. */
proctype crash() {
  atomic { alive[0] -> alive[0] = false };
#if N == 3
  atomic { true -> alive[2] = true }
#endif
}

proctype target() {
  byte d; byte a;
end:
  do
  /* A request arrives. */
  :: atomic { d = 0; do :: d < N - 1 -> d++ :: break od; PICK(a);
       if :: onWay[d * A + a] > 0 ->
            onWay[d * A + a]--;
            if
            :: DISPATCH_CHECKED && onWayToken[d] < known -> inFlight[d * A + a]--
            :: else ->
                 if :: DISPATCH_CHECKED -> known = onWayToken[d] :: else -> skip fi;
                 if :: loaded[a] -> serving[d * A + a]++ :: else -> inFlight[d * A + a]-- fi
            fi
          :: else -> skip fi }
  /* A request ends. */
  :: atomic { d = 0; do :: d < N - 1 -> d++ :: break od; PICK(a);
       if :: serving[d * A + a] > 0 -> serving[d * A + a]--; inFlight[d * A + a]-- :: else -> skip fi }
  /* An unload arrives. */
  :: atomic { d = 0; do :: d < N - 1 -> d++ :: break od;
       if :: orderOut[d] ->
            if
            :: ORDER_CHECKED && orderToken[d] < known -> skip
            :: else ->
                 if :: ORDER_CHECKED -> known = orderToken[d] :: else -> skip fi;
                 assert(serving[orderFor[d]] == 0 && serving[A + orderFor[d]] == 0);
#if N == 3
                 assert(serving[2 * A + orderFor[d]] == 0);
#endif
                 loaded[orderFor[d]] = false
            fi;
            orderOut[d] = false; waitsFor[d] = NONE;
            if :: alive[d] && intentBy[d] == d -> append(CLOSE, d, 0) :: else -> skip fi
          :: else -> skip fi }
  /* Somebody loads an adapter: orders to load are idempotent and harm nobody, so any time will do. */
  :: atomic { PICK(a); loaded[a] = true }
  /* The target restarts: nothing is loaded, nothing runs, and it has forgotten the token. */
  :: atomic { restarts < RESTARTS -> restarts++; known = 0;
       for (d : 0 .. N - 1) { for (a : 0 .. A - 1) {
         inFlight[d * A + a] = inFlight[d * A + a] - serving[d * A + a]; serving[d * A + a] = 0 } } }
  od
}

init {
  byte d;
  atomic {
    for (d : 0 .. N - 1) { intentBy[d] = NONE; waitsFor[d] = NONE; holder[d] = 0 }
    alive[0] = true; alive[1] = true; holds[0] = true; acked[0] = true;
    loaded[0] = true;
    run daemon(0); run daemon(1); run target(); run crash();
#if N == 3
    run daemon(2)
#endif
  }
}
