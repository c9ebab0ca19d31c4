/*
 * A poison request: how many targets it ends, whatever comes back when, also as all VMs are killed.
 *
 * Gateways have callers with it all the time. While nothing is known against it, each of them sends it; then they ask the holder
 * for a trial. The holder grants one at a time, and none once MOST targets have ended. A send always ends its target. Its
 * gateway records the end in the log, tells the holder of it, and then of the end of the trial, over one link in that order; its caller
 * comes back after that. All VMs may be killed at any moment: what is recorded is known again, and a send that was under way
 * ends its target all the same.
 *
 *   POISON  no more targets end than MOST, and for each kill of all VMs one by each send that it broke off (assert in gateway)
 *
 * Switches that remove a safety measure, each of which must give a counterexample:
 *   TRIAL_FIRST   the end of the trial is told before the end of its target
 *   EACH_LINK     each gateway's trials are granted without regard to the others'
 *   LAPSE         the count lapses with a pause
 *   NO_RECORD     nothing is recorded
 *   SECOND_FIRST  an end is recorded by the holder once it is the second
 */
#define G 2          /* gateways */
#ifndef KILLS
#define KILLS 1      /* kills of all VMs */
#endif
#define MOST 4
#define BOUND (MOST + G * KILLS)

mtype = { TargetEnded, TrialEnded };

byte crashes = 0;    /* targets that have ended */
byte ends = 0;       /* as the holder knows */
byte recorded = 0;   /* as the log knows */
byte life = 0;       /* life of all VMs */
byte lapses = 0;
bool running[G];
chan told[G] = [4] of { mtype };

#ifdef EACH_LINK
#define IS_FREE(g) (!running[g])
#else
#define IS_FREE(g) (!running[0] && !running[1])
#endif

inline tell(what)
{
  atomic {
    if
    :: mine == life -> told[id]!what
    :: else -> skip
    fi
  }
}

proctype gateway(byte id)
{
  byte mine;
end:
  do
  :: atomic {
       crashes <= BOUND && !running[id] && (ends == 0 || (IS_FREE(id) && ends < MOST)) ->
       running[id] = true;
       mine = life
     }
     crashes++;
     assert(crashes <= BOUND);
#if !defined(NO_RECORD) && !defined(SECOND_FIRST)
     atomic {
       if
       :: mine == life -> recorded++
       :: else -> skip
       fi
     }
#endif
#ifdef TRIAL_FIRST
     tell(TrialEnded);
     tell(TargetEnded)
#else
     tell(TargetEnded);
     tell(TrialEnded)
#endif
  od
}

proctype holder()
{
end:
  do
  :: atomic { told[0]?TargetEnded -> ends++ }
  :: atomic { told[1]?TargetEnded -> ends++ }
  :: atomic { told[0]?TrialEnded -> running[0] = false }
  :: atomic { told[1]?TrialEnded -> running[1] = false }
#ifdef SECOND_FIRST
  :: atomic { ends > 1 && recorded < ends -> recorded = ends }
#endif
#ifdef LAPSE
  :: atomic { lapses < 2 && ends > 0 -> lapses++; ends = 0 }
#endif
  od
}

proctype killer()
{
  byte kills = 0;
  do
  :: atomic {
       kills < KILLS ->
       kills++;
       life++;
       ends = recorded;
       running[0] = false;
       running[1] = false;
       do
       :: told[0]?_
       :: told[1]?_
       :: empty(told[0]) && empty(told[1]) -> break
       od
     }
  :: break
  od
}

init
{
  atomic {
    run gateway(0);
    run gateway(1);
    run holder();
    run killer()
  }
}
