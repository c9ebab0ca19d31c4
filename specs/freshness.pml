/*
 * The proof that no key was taken away, from the log over a zone's holder to a gateway.
 *
 * An operator takes a key away at some time, or never. The holder reads the operators' records: the log looks at what it
 * has once the read has come, and its answer may take any time; a read that waits is not woken. The gateway sends a sign
 * of life, the holder answers it with the age of its proof, and either message may be under way for any time, also as
 * one side stands still. Records go to the gateway on their own, late or never. The gateway lets a call through while
 * its proof is younger than the bound and it does not know that the key is gone.
 *
 *   REVOKED  no call is let through later than the bound after the key was taken away (assert in call)
 *
 * Switches that remove a safety measure, each of which must give a counterexample:
 *   PROOF_AT_ANSWER  a proof counts from when its answer came, not from when its read was sent
 *   AGE_AT_RECEIPT   a proof that is passed on counts from when the message came, not from the sign of life it answers
 *   ANY_OFFSET       a proof is taken over though the configuration that it is about is not known
 *   LOOK_AT_HEAD     a call is looked at when it comes, and not again right before it is sent
 */
#ifndef T
#define T 6        /* moments */
#endif
#define B 3        /* the bound */
#ifndef READS
#define READS 2    /* reads of the holder */
#endif
#ifndef BEATS
#define BEATS 1    /* signs of life of the gateway */
#endif
#define NEVER 99

byte now = 0;
byte gone = NEVER;       /* when the key was taken away */

bool holderKnows;        /* that it is gone */
bool holderHasProof;
byte holderProof;

bool gatewayKnows;
bool gatewayHasProof;
byte gatewayProof;

active proctype clock()
{
  do
  :: now < T -> now++
  :: now == T -> break
  od
}

active proctype operator()
{
  if
  :: gone = now
  :: skip
  fi
}

active proctype holder()
{
  byte sent, reads = 0;
  bool saw;
  do
  :: reads < READS ->
     reads++;
     sent = now;
     saw = (gone <= now);
     d_step {
       holderKnows = holderKnows || saw;
#ifdef PROOF_AT_ANSWER
       sent = now;
#endif
       holderProof = (holderHasProof && holderProof > sent -> holderProof : sent);
       holderHasProof = true
     }
  :: reads == READS -> break
  od
}

/* Records go to the gateway apart from signs of life. */
active proctype records()
{
  if
  :: holderKnows -> gatewayKnows = true
  :: skip
  fi
}

active proctype link()
{
  byte beats = 0, asked, came, held, age, proven;
  bool isGone;
end:
  do
  :: beats < BEATS && holderHasProof ->
     beats++;
     asked = now;
     came = now;
     d_step {
       held = now - came;
       age = now - holderProof;
       isGone = holderKnows
     }
     d_step {
#ifdef AGE_AT_RECEIPT
       proven = (now >= age -> now - age : 0);
#else
       proven = (asked + held >= age -> asked + held - age : 0);
#endif
#ifdef ANY_OFFSET
       isGone = false;
#endif
       if
       :: isGone && !gatewayKnows -> skip
       :: else ->
          gatewayProof = (gatewayHasProof && gatewayProof > proven -> gatewayProof : proven);
          gatewayHasProof = true
       fi
     }
  :: beats == BEATS -> break
  :: now == T -> break
  od
}

#define LET_THROUGH (gatewayHasProof && !gatewayKnows && now - gatewayProof < B)

active proctype call()
{
end:
  do
#ifdef LOOK_AT_HEAD
  :: LET_THROUGH ->
     assert(gone == NEVER || now <= gone + B)
#else
  :: atomic {
       LET_THROUGH ->
       assert(gone == NEVER || now <= gone + B)
     }
#endif
  :: now == T -> break
  od
}
