/*
 * Claims of a zone in a log that comes back from a copy: who gives orders, and by which token.
 *
 * Two VMs claim a zone by records that name the era in which they were made; a claim is appended only where the log ends as its claimant
 * read it. The log may come back without its last record at any time, under the next era. A read brings all that the log holds. A VM may
 * lose the log (cut) and find it again, when it reads first. A turn is as long as every VM in touch needs to read once, so a claimant that
 * waits a turn begins no sooner than the other has read or is cut. A cut VM that gives orders already goes on. A cut claimant may learn what
 * the other VM has read. What is left out: ends of processes, claims that are done late, and releases.
 *
 *   LEAD   a VM gives its first order by a claim only while the other gives none, unless the other is cut (assert in lead)
 *   TOKEN  tokens of first orders only rise (assert in lead)
 *   STANDS a VM gives its first order after a wait only by a claim that is the newest in the log (assert in lead_after_wait)
 *
 * Switches that remove a safety measure, each of which must give a counterexample:
 *   BY_OFFSET      claims are ordered by their offset, and tokens made of it
 *   AS_READ        a claim of an earlier era counts as made where it is read
 *   NO_TURN        who claims a zone whose lease is of an earlier era does not wait
 *   BEGIN_UNREAD   a claimant begins after its turn without another read
 *   BEGIN_CUT      a claimant that is cut begins after its turn, as the log acknowledged its claim
 *   ANY_ERA        what the other VM has read counts though it read an earlier era
 */
#define VMS 2
#ifndef RESTORES
#define RESTORES 2
#endif
#define MOST 6       /* records */
#define OFFSETS 8    /* offsets of an era, in a position */

byte era = 1;
byte ends = 1;       /* end of the log */
byte claimant[MOST];
byte made[MOST];     /* era of each claim */

byte known[VMS];     /* position of the newest claim that is known */
byte holder[VMS];    /* whose it is */
byte seenEra[VMS];   /* history that was read last, and its end */
byte seenEnd[VMS];
bool leads[VMS];     /* gives orders */
bool waits[VMS];     /* has claimed the zone, and waits */
bool hasRead[VMS];   /* the other has read since this one's claim */
bool cut[VMS];       /* has lost the log, and has not read since */
#ifndef CUTS
#define CUTS 2
#endif
byte cuts = CUTS;      /* times that VMs may still lose the log */
byte used = 0;       /* highest token of a first order */

#ifdef BY_OFFSET
#define POSITION(i) (i + 1)
#define IS_OUTDATED(id) false
#else
#ifdef AS_READ
#define POSITION(i) (era * OFFSETS + i)
#else
#define POSITION(i) (made[i] * OFFSETS + i)
#endif
#define IS_OUTDATED(id) (known[id] / OFFSETS < era)
#endif

byte i;

inline read(id)
{
  seenEra[id] = era;
  seenEnd[id] = ends;
  i = 0;
  do
  :: i < ends ->
     if
     :: POSITION(i) > known[id] ->
        known[id] = POSITION(i);
        holder[id] = claimant[i]
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0;
  if
  :: holder[id] != id ->
     leads[id] = false;
     waits[id] = false
  :: else
  fi;
  hasRead[1 - id] = true
}

inline lead(id)
{
  assert(!leads[1 - id] || cut[1 - id]);
  assert(known[id] > used);
  used = known[id];
  waits[id] = false;
  leads[id] = true
}

inline lead_after_wait(id)
{
  assert(claimant[ends - 1] == id && POSITION(ends - 1) == known[id] && !IS_OUTDATED(id));
  lead(id)
}

inline append(id)
{
  claimant[ends] = id;
  made[ends] = era;
  known[id] = POSITION(ends);
  holder[id] = id;
  ends++;
  seenEnd[id] = ends;
  hasRead[id] = false
}

#define CAN_CLAIM(id) (!cut[id] && seenEra[id] == era && seenEnd[id] == ends && ends < MOST)

#define IS_TURN_OVER(id) (hasRead[id] || cut[1 - id])

proctype vm(byte id)
{
  byte other = 1 - id;
end:
  do
  :: atomic { !cut[id] && (seenEra[id] != era || seenEnd[id] != ends) -> read(id) }
  :: atomic { !cut[id] && cuts > 0 -> cuts--; cut[id] = true }
  :: atomic { cut[id] -> read(id); cut[id] = false }
  /* The holder that it can't hear: it waits a turn. */
  :: atomic {
       CAN_CLAIM(id) && holder[id] != id ->
       append(id);
       waits[id] = true
     }
  /* Its own claim is of an earlier era. It has led since it read the log last, and nobody else has had a turn since. */
  :: atomic {
       CAN_CLAIM(id) && holder[id] == id && IS_OUTDATED(id) && leads[id] && !leads[1 - id] ->
       append(id);
       lead(id)
     }
  /* The same, and another may have led: it stops and waits. */
  :: atomic {
       CAN_CLAIM(id) && holder[id] == id && IS_OUTDATED(id) ->
       append(id);
       leads[id] = false;
       waits[id] = true;
#ifdef NO_TURN
       lead(id)
#endif
     }
  :: atomic {
       !cut[id] && waits[id] && IS_TURN_OVER(id) ->
#ifndef BEGIN_UNREAD
       read(id);
#endif
       if
#ifdef BEGIN_UNREAD
       :: waits[id] -> lead_after_wait(id)
#else
       :: waits[id] && !IS_OUTDATED(id) -> lead_after_wait(id)
#endif
       :: else
       fi
     }
  /* The other VM reads for it after its turn. */
  :: atomic {
       cut[id] && !cut[1 - id] && waits[id] && IS_TURN_OVER(id) ->
#ifndef ANY_ERA
       read(other);
#endif
       if
       :: known[other] == known[id] && !IS_OUTDATED(other) -> lead_after_wait(id)
#ifdef ANY_ERA
       :: known[other] == known[id] -> lead_after_wait(id)
#endif
       :: else
       fi
     }
#ifdef BEGIN_CUT
  :: atomic { cut[id] && waits[id] && IS_TURN_OVER(id) -> lead_after_wait(id) }
#endif
  od
}

proctype store()
{
  do
  :: atomic {
       era <= RESTORES ->
       era++;
       if
       :: ends > 1 -> ends--
       :: skip
       fi
     }
  :: break
  od
}

init
{
  atomic {
    made[0] = 1;
    known[0] = POSITION(0);
    known[1] = POSITION(0);
    seenEra[0] = 1;
    seenEra[1] = 1;
    seenEnd[0] = 1;
    seenEnd[1] = 1;
    leads[0] = true;
    used = POSITION(0);
    run vm(0);
    run vm(1);
    run store()
  }
}
