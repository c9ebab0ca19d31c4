/*
 * The proof that no key was revoked, while the log is restored from copies.
 *
 * Operators revoke a key at some time, or never. The log may be restored at any time, under the next era, from a copy that lacks the
 * revocation, the record of the era, or both. Operators then write the revocation again within W after the last return. Two VMs read the log at
 * any time; answers may take any time. A VM learns an era from its own reads and from messages of the other, and is then guarded for W: no
 * read that is sent before the guard's end counts. Who knows the era records it in the log; a VM that reads a record older than W ends its
 * guard. The first VM forwards its proof to the second, with its age, in messages that may take any time. VMs may restart, without
 * configuration, proof and era. A VM lets a call through while its proof is younger than the bound and it does not know that the key is revoked.
 * Time has no end: the model holds ages and remaining times, none above the value from which on it makes no difference.
 * What is left out: differences of clocks, outages within an era, and configurations that VMs send to each other (they may take for ever). How the age of a forwarded
 * proof is found is in freshness.pml.
 *
 *   REVOKED  no call is let through later than the bound after the revocation was first acknowledged (assert in call)
 *
 * Switches that remove a safeguard, each of which must give a counterexample:
 *   EXCUSED            a VM whose last proof is not older than W is not guarded
 *   END_AT_WRITE       any configuration that operators write in the new era ends the guard, also an older one that has the key
 *   SENT_IN_GUARD      a read counts if its answer comes after the guard's end
 *   NO_GUARD_AT_START  a VM is not guarded in the first era that it learns after a restart
 *   COUNT_FROM_FIRST   a second restoration does not start the guard again
 *   ONLY_OWN_READS     a VM that learns the era from a message is not guarded
 *   READ_BEFORE_ERA    a read counts before its era is learnt
 *   OLD_RECORD         the record of an earlier era ends the guard
 *   RECORD_FOR_PAST    the record of the era ends the guard also for reads that were sent before
 *
 * Switches that search for a state, each of which must find it:
 *   SEEK_OLD_PROOF     a call is let through in the guard
 *   SEEK_FORWARDED     the same, by a proof that came from the other VM in the guard
 *   SEEK_AFTER_GUARD   a call is let through by a proof from a restored log
 *   SEEK_RECORD        a record ends a guard
 *   SEEK_LOST_TWICE    a call is let through in the guard of a log that has lost the revocation twice
 */
#ifndef B
#define B 2          /* the bound */
#endif
#ifndef W
#define W 2          /* time to write again what a copy lacks */
#endif
#ifndef RESTORES
#define RESTORES 1
#endif
#define NEVER 99

byte gone = NEVER;       /* age of the first acknowledgement of the revocation, at most B */
byte due = NEVER;        /* time left to write it again */

/* The log */
byte era = 1;
bool inLog;              /* it has the revocation */
byte recordEra = 1;      /* record of an era, and its age, at most W */
byte recordAge;
#ifdef END_AT_WRITE
bool older;              /* operators have written an older configuration since the return */
#endif
#ifdef SEEK_LOST_TWICE
bool lost, lostTwice;
#endif

/* Each VM */
byte seenEra[2];
byte guard[2];           /* time left */
bool knows[2];
byte proof[2];           /* age, or NEVER */
#ifdef SEEK_FORWARDED
bool cameInGuard;
#endif
#ifdef SEEK_AFTER_GUARD
bool isNew[2];           /* the proof is from a restored log */
#endif

/* Read under way of each VM */
bool reads[2];
byte sent[2];            /* age, or NEVER if it is too old to count */
bool inGuard[2];         /* the VM was guarded at some time since the read was sent */
bool saw[2];
byte sawEra[2];
#ifdef END_AT_WRITE
bool sawOlder[2];
#endif

/* Forwarded proof under way */
byte forwarded = NEVER;  /* age */
bool forwardedKnows;

/* From this age on, a proof makes no difference. */
#ifdef EXCUSED
#define MOST (W + 1)
#else
#define MOST B
#endif

#define GROW(age, most) age = (age + 1 >= most -> NEVER : age + 1)

active proctype clock()
{
  byte id;
end:
  do
  :: d_step {
       due != 1 ->
       gone = (gone < B -> gone + 1 : gone);
       due = (due == NEVER -> NEVER : due - 1);
       recordAge = (recordEra > 1 && recordAge < W -> recordAge + 1 : recordAge);
       for (id : 0 .. 1) {
         guard[id] = (guard[id] > 0 -> guard[id] - 1 : 0);
         GROW(proof[id], MOST);
         GROW(sent[id], MOST)
       }
       GROW(forwarded, B);
       forwardedKnows = forwardedKnows && forwarded != NEVER;
       id = 0
     }
  od
}

active proctype operators()
{
end:
  do
  :: d_step { gone == NEVER -> gone = 0; inLog = true }
  :: d_step { due != NEVER -> due = NEVER; inLog = true }
#ifdef END_AT_WRITE
  :: d_step { due != NEVER && !older -> older = true }
#endif
  od
}

active proctype store()
{
end:
  do
  :: atomic {
       era <= RESTORES ->
       era++;
#ifdef END_AT_WRITE
       older = false;
#endif
       if
       :: inLog ->
          inLog = false;
#ifdef SEEK_LOST_TWICE
          lostTwice = lost;
          lost = true;
#endif
          due = W
       :: due != NEVER -> due = W
       :: inLog || due == NEVER
       fi;
       if
       :: recordEra > 1 -> recordEra = 1; recordAge = 0
       :: true
       fi
     }
  od
}

inline learn(id, newEra, byMessage)
{
  if
  :: newEra > seenEra[id] ->
     if
     :: newEra == 1
#ifdef EXCUSED
     :: newEra > 1 && proof[id] <= W
#endif
#ifdef NO_GUARD_AT_START
     :: newEra > 1 && seenEra[id] == 0
#endif
#ifdef COUNT_FROM_FIRST
     :: newEra > 1 && seenEra[id] > 1
#endif
#ifdef ONLY_OWN_READS
     :: newEra > 1 && byMessage
#endif
     :: else ->
        guard[id] = W;
        inGuard[id] = reads[id]
     fi;
     seenEra[id] = newEra
  :: else
  fi
}

inline end_read(id)
{
  reads[id] = false;
  sent[id] = NEVER;
  inGuard[id] = false;
  saw[id] = false;
#ifdef END_AT_WRITE
  sawOlder[id] = false;
#endif
  sawEra[id] = 0
}

#ifdef SENT_IN_GUARD
#define COUNTS(id) (guard[id] == 0)
#else
#define COUNTS(id) (!inGuard[id])
#endif
#ifdef OLD_RECORD
#define IS_RECORD_FOR(id) (recordEra > 1)
#else
#define IS_RECORD_FOR(id) (recordEra > 1 && recordEra == seenEra[id])
#endif

proctype vm(byte id)
{
  bool counts;
end:
  do
  /* A read that the log looks at later proves no more than one that is sent then. */
  :: d_step {
       !reads[id] ->
       reads[id] = true;
       sent[id] = 0;
       inGuard[id] = guard[id] > 0;
       saw[id] = inLog;
#ifdef END_AT_WRITE
       sawOlder[id] = older;
#endif
       sawEra[id] = era
     }
  :: d_step {
       reads[id] ->
       if
       :: sawEra[id] >= seenEra[id] ->
#ifdef READ_BEFORE_ERA
          counts = COUNTS(id);
          learn(id, sawEra[id], false);
#else
          learn(id, sawEra[id], false);
          counts = COUNTS(id);
#endif
#ifdef END_AT_WRITE
          guard[id] = (sawOlder[id] -> 0 : guard[id]);
#endif
          /* A log that is older than the configuration in force proves nothing. */
          if
          :: counts && (saw[id] || !knows[id]) && sent[id] < proof[id] ->
             proof[id] = sent[id];
#ifdef SEEK_AFTER_GUARD
             isNew[id] = sawEra[id] > 1
#endif
          :: else
          fi;
          knows[id] = knows[id] || saw[id]
       :: else
       fi;
       counts = false;
       end_read(id)
     }
  :: d_step {
       era > 1 && seenEra[id] == era && recordEra != era ->
       recordEra = era;
       recordAge = 0
     }
  :: d_step {
       IS_RECORD_FOR(id) && recordAge == W && guard[id] > 0 ->
#ifdef SEEK_RECORD
       assert(false);
#endif
#ifdef RECORD_FOR_PAST
       inGuard[id] = false;
#endif
       guard[id] = 0
     }
  :: d_step {
       seenEra[id] > 0 ->
       seenEra[id] = 0;
       guard[id] = 0;
       knows[id] = false;
       proof[id] = NEVER;
       end_read(id)
     }
  od
}

/* Messages tell the era that the sender knows. */
active proctype messages()
{
end:
  do
  :: d_step { seenEra[0] > seenEra[1] -> learn(1, seenEra[0], true) }
  :: d_step { seenEra[1] > seenEra[0] -> learn(0, seenEra[1], true) }
  od
}

active proctype link()
{
end:
  do
  :: d_step {
       forwarded == NEVER && proof[0] < B ->
       forwarded = proof[0];
       forwardedKnows = knows[0]
     }
  :: d_step {
       forwarded != NEVER ->
       if
       :: (!forwardedKnows || knows[1]) && forwarded < proof[1] ->
          proof[1] = forwarded;
#ifdef SEEK_FORWARDED
          cameInGuard = guard[1] > 0
#endif
       :: else
       fi;
       forwarded = NEVER;
       forwardedKnows = false
     }
  od
}

#define LETS_THROUGH(id) (proof[id] < B && !knows[id])

inline check(id)
{
#if defined(SEEK_OLD_PROOF)
  assert(guard[id] == 0)
#elif defined(SEEK_FORWARDED)
  assert(id == 0 || guard[id] == 0 || !cameInGuard)
#elif defined(SEEK_AFTER_GUARD)
  assert(!isNew[id])
#elif defined(SEEK_LOST_TWICE)
  assert(!lostTwice || guard[id] == 0)
#elif defined(SEEK_RECORD)
  skip
#else
  assert(gone == NEVER || gone < B)
#endif
}

active proctype call()
{
end:
  do
  :: atomic { LETS_THROUGH(0) -> check(0) }
  :: atomic { LETS_THROUGH(1) -> check(1) }
  od
}

init
{
  atomic {
    seenEra[0] = 1;
    seenEra[1] = 1;
    proof[0] = NEVER;
    proof[1] = NEVER;
    sent[0] = NEVER;
    sent[1] = NEVER;
    run vm(0);
    run vm(1)
  }
}
