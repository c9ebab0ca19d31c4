/*
 * A version's way at the targets of one zone, and the memory of prompts that targets take from each other.
 *
 * An operator names versions of one adapter; the log tells the zone's holder of them late, and of some not at all. Each
 * target has one copy, and parts of one prompt with the versions of copy and base model that made them. The holder
 * orders loads and unloads, reads reports and places requests, with or without a source of memory. A request arrives and
 * takes memory in one step, and begins in another; a load that was taken is done later, after the copy's runs; an order
 * without an answer is lost, or carried out later. A target that starts again has the newer base model. A successor
 * knows the reports and the open requests.
 *
 * The invariants:
 *   MEMORY   no run uses memory made under other versions than it runs under (assert in begin)
 *   VERSION  no run is on an older version than its holder knew when it placed the request (assert in begin)
 *   IN USE   an order that is answered meets no request at the copy, and no loan of it (assert in give)
 *   NEWEST   once nothing more can happen, every copy has the newest version (assert in last). The check for cycles
 *            shows that no state comes back, so this end is reached whatever goes first
 *
 * A target keeps parts over a replacement and lends them by name alone, and uses none of another version that it made
 * itself. It checks the version that a request expects as the request arrives.
 *
 * Switches that remove a safety measure, each of which must give a counterexample:
 *   NO_SOURCE_SIGHT  (a) a source's copy need not be known to have the version asked for
 *   NO_BASE          (a) source and borrower need not have the same base model
 *   PARTS_BY_NAME    (b) parts count whatever version made them
 *   PARTS_AS_SENT    (b) parts count as made under the version asked for once their request is sent, not once it began
 *   NO_EXPECT        (c) a request with a source does not name the version that it expects
 *   EXPECT_NAMED     (c) a request without a source names only a version that was told; alone it is safe
 *   NO_LOAN          (d) a copy that lends may be replaced
 *   NO_LOAN_ADOPTED  (d) a successor does not learn of loans
 *   LOAN_OF_COPY     (d) a loan is forgotten once its copy is gone; with RESTARTS, or with BAR_OLD_ONLY
 *   NO_BAR           (e) a successor uses sources at once
 *   BAR_SOURCE_ONLY  (e) only sources are barred, not borrowers; safe with CHECK_AT_BEGIN
 *   BAR_NO_SIGHT     (e) the time for late orders ends the bar without a look at the target
 *   BAR_OLD_ONLY     (e) orders of the holder itself do not bar; with UNKNOWN_IS_OLD or LOAN_OF_COPY, alone it is safe
 *   NO_WAIT          (f) a replacement does not wait until nobody uses the copy
 *   NO_ADOPTED       (f) a successor does not learn of open requests
 *   LEFT_UNCOUNTED   (f) a request whose caller left counts no more, though it may go on
 *   NO_EXPECTED      (g) orders do not name how many the target has taken
 *   UNKNOWN_IS_OLD   (h) a copy of an unknown version is replaced without a look; safe with FORGETS
 *   NO_LOOK          (i) no report is read after a missing answer or a 421
 * What is called safe is checked, too. MEMORY_ONLY leaves the asserts of VERSION and IN USE out, to see what MEMORY owes
 * to a measure; SEEK_MOVE looks for a run with memory of the newest version after the takeover, so that the others
 * don't hold for want of moves.
 * CHECK_AT_BEGIN chooses a target that checks the version as a request begins, DROPS_PARTS one that drops parts with
 * the version that made them, FORGETS a holder that forgets what it noted of a target once that takes its order.
 */
#ifndef T
#define T 2        /* targets */
#endif
#ifndef V
#define V 3        /* versions; the first one is never named */
#endif
#ifndef R
#define R 3        /* requests */
#endif
#ifndef LOST
#define LOST 1     /* orders whose answer is given up */
#endif
#ifndef UNLOADS
#define UNLOADS 1
#endif
#ifndef TAKES
#define TAKES 1
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif

/* A copy's version, or what the holder takes it for. */
#define ABSENT 0
#define UNKNOWN 14
/* An order: a version to load, or one of these. */
#define NOTHING 0
#define NEWEST 14
#define UNLOAD 15
/* No source. */
#define NOWHERE 7
/* What a request expects that was sent to another life of its target: no copy has it. */
#define OTHER_LIFE 15

byte named = 1;

/* The targets. */
byte copy[T];            /* version */
bool base[T];            /* its base model is the newer one */
byte parts[T];           /* mark of what made the parts, or 0 */
byte under[T];           /* order taken and not done yet */

/* What the present holder knows. */
byte told = 0;           /* newest version named, or 0 */
byte sight[T];           /* version of the copy by the newest sight */
bool baseSight[T];       /* its base model by the newest sight */
bool behind[T];          /* the target has taken orders since that sight */
bool known[T];           /* that sight is no older than the last order */
bool barred[T];   
byte noted[T];           /* versions that made parts there, one bit each */

byte late[T];            /* an order without an answer that the target may yet get */
byte lost = 0;
byte unloads = 0;
byte takes = 0;
byte restarts = 0;

/* Requests. */
#define FREE 0
#define SENT 1
#define TOOK 2           /* it came, was checked and took memory */
#define RUNS 3
#define DONE 4           /* it ended, and the holder has not heard that it began */
#define OVER 5
byte state[R];
byte at[R];              /* target */
byte from[R];            /* source, until the holder knows that the run began */
byte expects[R];         /* version, or 0 */
byte knew[R];            /* version that the holder knew */
byte memory[R];          /* mark of what made the memory taken, or 0 */
byte says[R];            /* version proved by the answer that is on its way to the holder, UNKNOWN, or 0 */
bool uses[R];            /* counted at its target by the holder */
bool lends[R];           /* counted at its source by the holder */
byte placed = 0;

/* Requests as a target sees them, and as the holder counts them. */
#if R == 2
#define ANY(what, t) (what(0, t) || what(1, t))
#else
#define ANY(what, t) (what(0, t) || what(1, t) || what(2, t))
#endif
#define RUNS_AT(r, t) (state[r] == RUNS && at[r] == t)
#define IS_AT(r, t) ((state[r] == TOOK || state[r] == RUNS) && at[r] == t)
#define TAKES_FROM(r, t) (state[r] == SENT && from[r] == t)
#define COUNTED_AT(r, t) (uses[r] && at[r] == t)
#define LENT_BY(r, t) (lends[r] && from[r] == t)

/* What makes memory: the version of the copy and that of its base model. */
#define BASE 8
#define MARK(t) (copy[t] + BASE * base[t])

/* Guards, with the measure that a switch removes. */
#ifdef NO_SOURCE_SIGHT
#define COPY_IS(s, v) true
#else
#define COPY_IS(s, v) (sight[s] == (v))
#endif
#ifdef PARTS_BY_NAME
#define PARTS_ARE(s, v) (noted[s] != 0)
#else
#define PARTS_ARE(s, v) (noted[s] & (1 << (v)))
#endif
#ifdef NO_BASE
#define SAME_BASE(s, t) true
#else
#define SAME_BASE(s, t) (baseSight[s] == baseSight[t])
#endif
#ifdef NO_BAR
#define IS_BARRED(s) false
#else
#define IS_BARRED(s) barred[s]
#endif
#ifdef NO_LOAN
#define IS_LENT(t) false
#else
#define IS_LENT(t) ANY(LENT_BY, t)
#endif
#ifdef NO_WAIT
#define IN_USE(t) false
#else
#define IN_USE(t) ANY(COUNTED_AT, t)
#endif
#ifdef NO_EXPECTED
#define IN_TURN(t) true
#else
#define IN_TURN(t) (behind[t] == false)
#endif

#define VERSION_OF(order) (order == NEWEST -> named : order)
#define HAS_DONE(t, order) (order == UNLOAD -> copy[t] == ABSENT : copy[t] == VERSION_OF(order))
#define BELIEVED(order) (order == UNLOAD -> ABSENT : order)

/* A request may be placed here; the version that it asks for, if known. */
#define IS_FRESH(t) (told == 0 || (sight[t] != UNKNOWN && sight[t] >= told))
#define CAN_SERVE(t) (sight[t] != ABSENT && IS_FRESH(t))
#ifdef BAR_SOURCE_ONLY
#define BORROWER_BARRED(t) false
#else
#define BORROWER_BARRED(t) IS_BARRED(t)
#endif
#define CAN_BORROW(t) (CAN_SERVE(t) && sight[t] != UNKNOWN && !BORROWER_BARRED(t))
#define CAN_LEND(s, t) (COPY_IS(s, sight[t]) && PARTS_ARE(s, sight[t]) && SAME_BASE(s, t) && !IS_BARRED(s))

inline send(r, t) {
  placed++; state[r] = SENT; at[r] = t; knew[r] = told; uses[r] = true;
#ifdef EXPECT_NAMED
  expects[r] = told;
#else
  expects[r] = (sight[t] == UNKNOWN -> 0 : sight[t]);
#endif
#ifdef PARTS_AS_SENT
  if :: sight[t] != UNKNOWN -> noted[t] = noted[t] | (1 << sight[t]) :: else fi
#endif
}

inline sendWith(r, t, s) {
#ifdef NO_EXPECT
  expects[r] = 0;
#else
  expects[r] = sight[t];
#endif
  from[r] = s; lends[r] = true
}

#define MISMATCH(r) (copy[at[r]] == ABSENT || (expects[r] != 0 && expects[r] != copy[at[r]]))
#ifdef CHECK_AT_BEGIN
#define MISMATCH_AT_BEGIN(r) MISMATCH(r)
#else
#define MISMATCH_AT_BEGIN(r) (copy[at[r]] == ABSENT)
#endif

/* The holder knows of its end. */
inline ends(r) {
  state[r] = OVER; at[r] = 0; from[r] = NOWHERE; expects[r] = 0; knew[r] = 0; memory[r] = 0;
  uses[r] = false; lends[r] = false
}

inline lookAnew(t) { known[t] = false; behind[t] = false }

/* 421: the holder looks at the target anew. */
inline refuse(r) { lookAnew(at[r]); ends(r) }

inline begin(r) {
  if
  :: MISMATCH_AT_BEGIN(r) -> refuse(r)
  :: else ->
       assert(memory[r] == 0 || memory[r] == MARK(at[r]));   /* MEMORY */
#ifndef MEMORY_ONLY
       assert(copy[at[r]] >= knew[r]);                       /* VERSION */
#endif
#ifdef SEEK_MOVE
       assert(memory[r] % BASE != V || takes < TAKES);
#endif
       state[r] = RUNS; parts[at[r]] = MARK(at[r]); says[r] = (expects[r] != 0 -> expects[r] : UNKNOWN);
       expects[r] = 0; knew[r] = 0; memory[r] = 0
  fi
}

#if T == 3
#define SOME_SERVES (CAN_SERVE(0) || CAN_SERVE(1) || CAN_SERVE(2))
#else
#define SOME_SERVES (CAN_SERVE(0) || CAN_SERVE(1))
#endif
#define SOURCE(s) t != s && CAN_BORROW(t) && CAN_LEND(s, t) -> sendWith(r, t, s)

proctype request(byte r) {
  byte t;
end:
  do
  :: atomic { state[r] == FREE && placed == r && SOME_SERVES ->
       if
       :: CAN_SERVE(0) -> t = 0
       :: CAN_SERVE(1) -> t = 1
#if T == 3
       :: CAN_SERVE(2) -> t = 2
#endif
       fi;
       send(r, t);
       if
       :: SOURCE(0)
       :: SOURCE(1)
#if T == 3
       :: SOURCE(2)
#endif
       :: true -> skip
       fi;
       t = 0 }
  :: atomic { state[r] == SENT && MISMATCH(r) -> refuse(r) }
  /* It arrives, and takes what the source has of the prompt, if the target has nothing of use itself. */
  :: atomic { state[r] == SENT && !MISMATCH(r) && from[r] != NOWHERE ->
       state[r] = TOOK;
       if :: parts[at[r]] != MARK(at[r]) -> memory[r] = parts[from[r]] :: else fi }
  :: atomic { (state[r] == SENT && !MISMATCH(r) && from[r] == NOWHERE) || state[r] == TOOK -> begin(r) }
  :: atomic { state[r] == RUNS -> if :: says[r] != 0 -> state[r] = DONE :: else -> ends(r) fi }
#ifdef LEFT_UNCOUNTED
  /* Its caller leaves, and it goes on. */
  :: atomic { (state[r] == SENT || state[r] == TOOK) && uses[r] -> uses[r] = false; lends[r] = false }
#endif
  /* The holder hears that it began, and under which version. */
  :: atomic { says[r] != 0 ->
#ifndef PARTS_AS_SENT
       if :: says[r] != UNKNOWN -> noted[at[r]] = noted[at[r]] | (1 << says[r]) :: else fi;
#endif
       says[r] = 0; from[r] = NOWHERE; lends[r] = false;
       if :: state[r] == DONE -> ends(r) :: else fi }
  od
}

/* An order is taken, and a late one that did not expect it is void. */
inline take(t, what) {
  under[t] = (what == UNLOAD -> UNLOAD : VERSION_OF(what));
  behind[t] = known[t];
#ifndef NO_EXPECTED
  late[t] = NOTHING
#endif
}

proctype target(byte t) {
  byte what;
end:
  do
  /* A late order arrives, or never does. */
  :: atomic { late[t] != NOTHING ->
       what = late[t]; late[t] = NOTHING;
       if
       :: under[t] == NOTHING && !HAS_DONE(t, what) -> take(t, what)
       :: true -> skip
       fi;
       what = NOTHING }
  /* What was taken is done; it waits for the copy's runs. */
  :: atomic { under[t] != NOTHING && !ANY(RUNS_AT, t) ->
       if
       :: under[t] == UNLOAD -> copy[t] = ABSENT; parts[t] = 0
       :: else ->
#ifdef DROPS_PARTS
            parts[t] = 0;
#endif
            copy[t] = under[t]
       fi;
       under[t] = NOTHING }
  od
}

/*
 * An order is given. The holder does nothing at a target while it awaits an answer, so one that is answered takes one
 * step; one that is given up is late.
 */
inline give(t, what) {
  if
  :: IN_TURN(t) && under[t] == NOTHING && !HAS_DONE(t, what) ->
#ifndef MEMORY_ONLY
       assert(!ANY(IS_AT, t) && !ANY(TAKES_FROM, t));        /* IN USE */
#endif
       take(t, what);
#ifdef FORGETS
       noted[t] = 0;
#endif
       sight[t] = BELIEVED(what); behind[t] = false; barred[t] = false
  :: IN_TURN(t) && under[t] == NOTHING && HAS_DONE(t, what) -> sight[t] = BELIEVED(what)
  :: !IN_TURN(t) || under[t] != NOTHING -> lookAnew(t)
  :: IN_TURN(t) && lost < LOST && late[t] == NOTHING -> lost++; late[t] = what; lookAnew(t);
#ifndef BAR_OLD_ONLY
       barred[t] = true
#endif
  fi
}

#define FREE_TO_ORDER(t) (known[t] && !IN_USE(t) && !IS_LENT(t))

#ifdef UNKNOWN_IS_OLD
#define IS_OLD(t) (sight[t] < told || (sight[t] == UNKNOWN && told != 0))
#else
#define IS_OLD(t) (sight[t] < told)
#endif
#ifdef NO_LOOK
#define IS_DUE(t) (sight[t] == UNKNOWN)
#else
#define IS_DUE(t) (!known[t] || sight[t] == UNKNOWN || (barred[t] && late[t] == NOTHING))
#endif

#define HAS_ROOM_TO_MAKE(t) (sight[t] != ABSENT && unloads < UNLOADS)

/* The holder's work on one target. */
proctype holder(byte t) {
  byte what;
#ifdef LOAN_OF_COPY
  byte r;
#endif
end:
  do
  :: atomic { FREE_TO_ORDER(t) && (IS_OLD(t) || sight[t] == ABSENT || HAS_ROOM_TO_MAKE(t)) ->
       if
       :: IS_OLD(t) -> what = told                            /* replace it, or bring it in */
       :: sight[t] == ABSENT && told == 0 -> what = NEWEST
       :: HAS_ROOM_TO_MAKE(t) -> unloads++; what = UNLOAD
       fi;
       give(t, what);
       what = NOTHING }
  /* Read the report. */
  :: atomic { under[t] == NOTHING && IS_DUE(t) ->
       known[t] = true; sight[t] = copy[t]; baseSight[t] = base[t]; behind[t] = false;
#ifdef LOAN_OF_COPY
       if
       :: copy[t] == ABSENT -> for (r : 0 .. R - 1) { if :: from[r] == t -> lends[r] = false :: else fi }; r = 0
       :: else
       fi;
#endif
       if :: late[t] == NOTHING -> barred[t] = false :: else fi }
#ifdef BAR_NO_SIGHT
  :: atomic { barred[t] && late[t] == NOTHING -> barred[t] = false }
#endif
  /* Somebody asks for a copy that is not what it is taken for, and gets 421. */
  :: atomic { placed == R && told == named && known[t] && under[t] == NOTHING && sight[t] != copy[t] -> lookAnew(t) }
  od
}

proctype operator() {
end:
  do
  :: atomic { named < V -> named++ }
  od
}

/* The log tells the holder of versions, of some not at all. */
proctype platformLog() {
end:
  do
  :: atomic { told < named && named > 1 -> told = named }
  :: atomic { told < 2 && named > 2 -> told = 2 }
  od
}

/* A successor knows reports and open requests. */
proctype takeover() {
  byte t; byte r;
end:
  atomic { takes < TAKES -> takes++; told = 0;
    for (t : 0 .. T - 1) {
      sight[t] = copy[t]; baseSight[t] = base[t]; behind[t] = false; known[t] = false; barred[t] = true; noted[t] = 0
    }
    for (r : 0 .. R - 1) {
#ifdef NO_ADOPTED
      uses[r] = false;
#endif
#ifdef NO_LOAN_ADOPTED
      lends[r] = false;
#endif
      skip
    }
    t = 0; r = 0
  }
}

/* A target starts again: it has nothing, and takes neither orders nor requests that were meant for its life before. */
proctype restart(byte t) {
  byte r;
end:
  atomic { restarts < RESTARTS -> restarts++;
    copy[t] = ABSENT; base[t] = true; parts[t] = 0; under[t] = NOTHING; noted[t] = 0; lookAnew(t);
    late[t] = NOTHING;
    for (r : 0 .. R - 1) {
      if
      :: state[r] == SENT && at[r] == t -> expects[r] = OTHER_LIFE
      :: state[r] == TOOK && at[r] == t -> ends(r)
      :: state[r] == RUNS && at[r] == t -> if :: says[r] != 0 -> state[r] = DONE :: else -> ends(r) fi
      :: else
      fi
#ifdef LOAN_OF_COPY
      ; if :: from[r] == t -> lends[r] = false :: else fi
#endif
    }
    r = 0
  }
}

/* Nothing more can happen. */
proctype last() {
  byte t;
  atomic { timeout ->
    for (t : 0 .. T - 1) { assert(copy[t] == named) } }
}

init {
  byte i;
  atomic {
    for (i : 0 .. T - 1) { copy[i] = 1; sight[i] = 1; known[i] = true; run target(i); run holder(i) }
    for (i : 0 .. R - 1) { from[i] = NOWHERE; run request(i) }
    parts[0] = MARK(0); noted[0] = 1 << 1;
    run operator(); run platformLog(); run takeover(); run last();
#if RESTARTS > 0
    for (i : 0 .. T - 1) { run restart(i) }
#endif
  }
}
