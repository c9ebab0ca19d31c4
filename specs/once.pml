/*
 * At most once, with issued tokens: two daemons behind a balancer, a service, a caller that repeats its call through
 * either of them, crashes, a planned handover, and messages that arrive late.
 *
 * Daemon 0 issued the token. Incarnation 0 of it may run the request; incarnation 1 of the same VM is a later run.
 * Daemon 1 forwards to the issuer, or runs the request if the tokens were handed to it.
 *
 * The invariant: the request runs at most once (assert in the service), and one that was refused as "not run" and not
 * repeated since has not run.
 *
 * Switches that remove a safety measure, each of which must give a counterexample:
 *   ANY_DAEMON_RUNS    a daemon runs a token that it did not issue
 *   NEXT_RUN_RUNS      a later run of the issuer runs a token of the earlier
 *   NO_SPENT           a used token is forgotten when its request fails
 *   HAND_OVER_OPEN     the issuer goes on running tokens after it handed them over
 *   HAND_OVER_AS_FRESH the heir takes used tokens for fresh ones
 *   NOT_RUN_AFTER_SEND a request that was handed to a transport is called "not run"
 */
#define CALLS 3
byte ran = 0;
bool calledNotRun = false;
bool alive0 = true;
bool laterRun = false;
bool usedAt0 = false;      /* the issuer's registry */
bool handed = false;       /* the issuer handed its tokens over */
bool heirHas = false;      /* daemon 1 took them */
bool usedAt1 = false;      /* the heir's registry */
bool openAtHandOver = false;
byte inTransit = 0;        /* requests on their way to the service */
byte calls = 0;

chan toIssuer = [2] of { byte };

inline runAt0() {
  usedAt0 = true; inTransit++
}

inline serve0() {
  /* The issuer meets the token. */
  if
  :: usedAt0 -> skip                                   /* wait for, or replay, the first answer */
  :: else ->
       if
#ifdef HAND_OVER_OPEN
       :: true -> runAt0()
#else
       :: handed -> toIssuer!1                          /* forwarded to the heir */
       :: !handed -> runAt0()
#endif
       fi
  fi
}

proctype caller() {
end:
  do
  :: atomic { calls < CALLS -> calls++;
       if
       :: alive0 -> serve0()
       :: laterRun ->
#ifdef NEXT_RUN_RUNS
            inTransit++
#else
            skip                                        /* "outcome unknown" */
#endif
       :: true ->
            /* Daemon 1 is asked. */
            if
            :: heirHas -> if :: usedAt1 -> skip :: else -> usedAt1 = true; inTransit++ fi
            :: else ->
#ifdef ANY_DAEMON_RUNS
                 inTransit++
#else
                 if :: alive0 -> if :: nfull(toIssuer) -> toIssuer!0 :: else -> skip fi :: else -> skip fi
#endif
            fi
       fi }
  od
}

/* Forwarded calls arrive late: at the issuer, or at the heir. */
proctype forwarder() {
  byte to;
end:
  do
  :: atomic { toIssuer?to ->
       if
       :: to == 0 && alive0 -> if :: usedAt0 -> skip
            :: !usedAt0 && !handed -> runAt0()
#ifdef HAND_OVER_OPEN
            :: !usedAt0 && handed -> runAt0()
#else
            :: !usedAt0 && handed -> if :: heirHas && !usedAt1 -> usedAt1 = true; inTransit++ :: else -> skip fi
#endif
            fi
       :: to == 0 && !alive0 -> skip
       :: to == 1 -> if :: heirHas && !usedAt1 -> usedAt1 = true; inTransit++ :: else -> skip fi
       fi }
  od
}

proctype service() {
end:
  do
  :: atomic { inTransit > 0 -> inTransit--; ran++;
       assert(ran <= 1); assert(!calledNotRun) }
  /* The connection breaks with the request on its way: it may still arrive, or never. */
  :: atomic { inTransit > 0 ->
#ifdef NOT_RUN_AFTER_SEND
       calledNotRun = true; usedAt0 = false
#else
       skip
#endif
#ifdef NO_SPENT
       ; usedAt0 = false
#endif
     }
  :: atomic { inTransit > 0 -> inTransit-- }            /* lost for good */
  od
}

proctype faults() {
  /* A planned stop hands the tokens over in one message; what is used stays used. */
  if
  :: atomic { alive0 && !handed -> handed = true; openAtHandOver = usedAt0 };
     atomic { true ->
       heirHas = true;
#ifndef HAND_OVER_AS_FRESH
       usedAt1 = openAtHandOver
#endif
     };
     atomic { alive0 = false }
  :: atomic { alive0 -> alive0 = false }; atomic { laterRun = true }
  :: skip
  fi
}

init { atomic { run caller(); run forwarder(); run service(); run faults() } }
