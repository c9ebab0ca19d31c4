/*
 * Trials of a poison request: how many targets it ends, whatever comes back when, also as all VMs are killed.
 *
 * The request has ended two targets; that is known and recorded. Gateways have callers with it all the time, and ask the holder
 * for a trial. The holder grants one at a time, and none once MOST targets have ended. A trial always ends its target. Its
 * gateway tells of the end and then of the trial, over one link in that order. The holder records each count in the
 * log at some time. All VMs may be killed at any moment: what is recorded is known again, and a trial that was under way ends its
 * target all the same.
 *
 *   POISON  no more targets end than MOST, and two for each kill of all VMs: one by a trial that nobody tells of any more, one
 *           whose record was still on its way (assert in gateway)
 *
 * Switches that remove a safety measure, each of which must give a counterexample:
 *   TRIAL_FIRST  the end of the trial is told before the end of its target
 *   EACH_LINK    each gateway's trials are granted without regard to the others'
 *   LAPSE        the count lapses with a pause
 *   NO_RECORD    nothing is recorded
 */
#define G 2          /* gateways */
#ifndef KILLS
#define KILLS 1      /* kills of all VMs */
#endif
#define MOST 4
#define BOUND (MOST + 2 * KILLS)

mtype = { TargetEnded, TrialEnded };

byte crashes = 2;    /* targets that have ended */
byte ends = 2;       /* as the holder knows */
#ifdef NO_RECORD
byte recorded = 0;
#else
byte recorded = 2;
#endif
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
       crashes <= BOUND && IS_FREE(id) && ends < MOST ->
       running[id] = true;
       mine = life
     }
     crashes++;
     assert(crashes <= BOUND);
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
#ifndef NO_RECORD
  :: atomic { recorded < ends -> recorded = ends }
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
