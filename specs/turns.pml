/*
 * Claims of a zone in series: who may give orders while a holder that stands still may wake and go on.
 *
 * Holder 0 stands still and may give orders until TURN ticks after the first claim, by when it knows of it. Claimants 1 to N take the
 * zone one after the other: each sees that the one before has ended, or gives the zone up itself. A claim says whether its claimant
 * waits. Who takes over from one that waited waits what is left of the turn as far as it has seen it, and a whole turn where it has
 * just started.
 *
 *   TURNS  nobody gives an order while holder 0 may (assert in order())
 *
 * Switches that remove a safety measure, each of which must give a counterexample:
 *   NOT_TOLD    claims do not say that their claimants wait
 *   RELEASED    a claimant that gives the zone up within its turn does not say so
 */
#define TURN 3
#define LAST ((N + 1) * TURN)
#ifndef N
#define N 3          /* claimants */
#endif

byte now = 0;        /* ticks since the first claim */
byte holder = 1;     /* claimant by the newest record */
bool waits = true;   /* what that record says */
byte recorded = 0;   /* when that record was written */
byte begins = TURN;  /* when its claimant gives its first order */

inline order()
{
  assert(now >= TURN)
}

/* The next claimant, which has seen the newest record for `seen` ticks. */
inline claim(seen)
{
  holder++;
  recorded = now;
  if
  :: waits ->
     begins = now + TURN - seen;
     waits = begins > now
  :: else -> begins = now
  fi
}

init
{
  byte seen;
  do
  :: now < LAST + TURN -> now++
  :: now >= begins -> atomic { order(); break }
  :: holder < N && now < LAST ->
     atomic {
       /* Whoever takes over saw the record when it was written, or later. */
       seen = 0;
       do
       :: seen < TURN && seen < now - recorded -> seen++
       :: break
       od;
#ifdef NOT_TOLD
       waits = false;
#endif
       claim(seen)
     }
  :: holder < N && now < LAST && now < begins ->
     atomic {
       /* The claimant gives the zone up, and the next one claims it at once. */
#ifdef RELEASED
       waits = false;
#endif
       claim(0)
     }
  od
}
