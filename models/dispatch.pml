/* Starts, withdrawal and salvage of one job.
 *
 * One owner entry, one salvaging entry, two agents, TASKS tasks. A message is a bit that stays set
 * once sent, and its receiver may handle it any number of times, at any time or never: this covers
 * loss, duplication, delay and reordering. A process that is not scheduled is frozen, for ever if it
 * crashed: for the properties here, which say what never happens, the two are the same. The salvager
 * may suspect the owner at any time, rightly or not. Local variables are cleared after each step to
 * keep the state space small.
 *
 * Guards, each removed by defining its macro:
 *   NO_WINDOW      the agent accepts each channel sequence at most once
 *   NO_MARK        a withdrawal uses up the channel sequence
 *   NO_PROOF       a task is placed again only after a proof that it did not run
 *   NO_SEAL        an agent refuses starts of a sealed ticket
 *   NO_ROSTER      "not run" after salvage needs the owner's complete list of agents
 *   NO_MEMORY      an agent remembers which tickets ran after it discarded their records
 *   NO_OWNER       only the incarnation named by the ticket starts its tasks
 *   NO_ALL         a job is complete only with the outcomes of all its tasks
 *   NO_FINAL       an answered job places no more tasks
 *   NO_LEAVE       a leaving agent refuses starts
 */

#ifdef LEAVE
#define WITH_LEAVE true
#else
#define WITH_LEAVE false
#endif
#ifndef TASKS
#define TASKS 1
#endif

#ifdef NO_WINDOW
#define IN_WINDOW(p) true
#else
#define IN_WINDOW(p) (!used[p])
#endif
#ifdef NO_MARK
#define MARK_USED(p) skip
#else
#define MARK_USED(p) used[p] = 1
#endif
#ifdef NO_PROOF
#define AFTER_TIMEOUT(p) state[t] = UNPLACED
#else
#define AFTER_TIMEOUT(p) withdraw_sent[p] = 1; state[t] = WITHDRAWING
#endif
#ifdef NO_SEAL
#define IS_SEALED(a) false
#else
#define IS_SEALED(a) sealed[a]
#endif
#ifdef NO_ROSTER
#define KNOWS_ROSTER true
#else
#define KNOWS_ROSTER knows_second_agent
#endif
#ifdef NO_MEMORY
#define REPORT_DISCARDED(a) skip
#else
#define REPORT_DISCARDED(a) seal_found_any[a] = 1
#endif
#ifdef NO_OWNER
#define START_AS_SALVAGER other_start_sent[P(0, 0)] = 1
#else
#define START_AS_SALVAGER skip
#endif
#ifdef NO_ALL
#define ENOUGH(n) ((n) > 0)
#else
#define ENOUGH(n) ((n) == TASKS)
#endif
#ifdef NO_FINAL
#define MAY_PLACE true
#else
#define MAY_PLACE (!owner_answered)
#endif
#ifdef NO_LEAVE
#define REFUSES_AS_LEAVING(a) false
#else
#define REFUSES_AS_LEAVING(a) leaving[a]
#endif
#define AGENTS 2
#define PAIRS (TASKS * AGENTS)
#define P(t, a) ((t) * AGENTS + (a))

/* Owner's view of a task. */
#define UNPLACED 0
#define SENT 1
#define ACCEPTED 2
#define WITHDRAWING 3
#define DONE 4

/* Agent's record of a task. */
#define NONE 0
#define RUNNING 1
#define FINISHED 2
#define DISCARDED 3

/* Messages, set once sent. */
bit start_sent[PAIRS];
bit accept_sent[PAIRS];
bit refuse_sent[PAIRS];
bit withdraw_sent[PAIRS];
bit not_run_sent[PAIRS];
bit running_sent[PAIRS];
bit outcome_sent[PAIRS];
bit outcome_acked[PAIRS];
bit seal_sent[AGENTS];
bit seal_replied[AGENTS];
bit seal_found_any[AGENTS];
bit seal_found_outcome[PAIRS];
bit other_start_sent[PAIRS];

/* Agents. */
bit leaving[AGENTS];
bit sealed[AGENTS];
bit used[PAIRS];
byte record[PAIRS];

/* Observations for the properties. */
byte starts[TASKS];
bit said_not_run;
bit owner_answered;
bit salvager_answered;

inline run_task(t, a) {
  starts[t]++;
  record[P(t, a)] = RUNNING;
  assert(starts[t] <= 1);        /* no task starts twice */
  assert(!said_not_run);         /* "not run" stays true */
  assert(!leaving[a]);           /* a leaving endpoint gets no new work */
}

inline say_not_run() {
  said_not_run = 1;
  t = 0;
  do
  :: t < TASKS -> assert(starts[t] == 0); t++
  :: else -> break
  od
}

proctype Agent(byte a) {
  byte t;
  do
  :: atomic { WITH_LEAVE && !leaving[a] -> leaving[a] = 1 }
  :: atomic {
       select(t : 0 .. (TASKS - 1));
       if
       :: start_sent[P(t, a)] && IN_WINDOW(P(t, a)) ->
          used[P(t, a)] = 1;
          if
          :: refuse_sent[P(t, a)] = 1          /* busy, sealed or leaving */
          :: !IS_SEALED(a) && !REFUSES_AS_LEAVING(a) ->
             accept_sent[P(t, a)] = 1;
             run_task(t, a)
          fi
       :: else
       fi;
       t = 0
     }
  :: atomic {
       select(t : 0 .. (TASKS - 1));
       if
       :: other_start_sent[P(t, a)] -> other_start_sent[P(t, a)] = 0; run_task(t, a)
       :: else
       fi;
       t = 0
     }
  :: atomic {
       select(t : 0 .. (TASKS - 1));
       if
       :: record[P(t, a)] == RUNNING -> record[P(t, a)] = FINISHED; outcome_sent[P(t, a)] = 1
       :: record[P(t, a)] == FINISHED && outcome_acked[P(t, a)] -> record[P(t, a)] = DISCARDED
       :: else
       fi;
       t = 0
     }
  :: atomic {
       select(t : 0 .. (TASKS - 1));
       if
       :: withdraw_sent[P(t, a)] ->
          if
          :: record[P(t, a)] == NONE ->
             MARK_USED(P(t, a));
             not_run_sent[P(t, a)] = 1
          :: record[P(t, a)] != NONE -> running_sent[P(t, a)] = 1
          fi
       :: else
       fi;
       t = 0
     }
  :: atomic {
       seal_sent[a] && !seal_replied[a] ->
       sealed[a] = 1;
       seal_replied[a] = 1;
       t = 0;
       do
       :: t < TASKS ->
          if
          :: record[P(t, a)] == FINISHED -> seal_found_any[a] = 1; seal_found_outcome[P(t, a)] = 1
          :: record[P(t, a)] == RUNNING -> seal_found_any[a] = 1
          :: record[P(t, a)] == DISCARDED -> REPORT_DISCARDED(a)
          :: record[P(t, a)] == NONE
          fi;
          t++
       :: else -> break
       od;
       t = 0
     }
  od
}

proctype Owner() {
  byte state[TASKS];
  byte at[TASKS];
  bit tried[PAIRS];
  byte t;
  byte a;
  byte n;
  bit partial;
  do
  :: atomic {
       MAY_PLACE ->
       select(t : 0 .. (TASKS - 1));
       select(a : 0 .. (AGENTS - 1));
       if
       :: state[t] == UNPLACED && !tried[P(t, a)] ->
          tried[P(t, a)] = 1;
          start_sent[P(t, a)] = 1;
          at[t] = a;
          state[t] = SENT
       :: else
       fi;
       t = 0;
       a = 0;
       n = 0;
       partial = 0
     }
  :: atomic {
       !owner_answered ->
       select(t : 0 .. (TASKS - 1));
       a = at[t];
       if
       :: state[t] == SENT && accept_sent[P(t, a)] -> state[t] = ACCEPTED
       :: state[t] == SENT && refuse_sent[P(t, a)] -> state[t] = UNPLACED
       :: state[t] == SENT -> AFTER_TIMEOUT(P(t, a))
       :: state[t] == WITHDRAWING && not_run_sent[P(t, a)] -> state[t] = UNPLACED
       :: state[t] == WITHDRAWING && running_sent[P(t, a)] -> state[t] = ACCEPTED
       :: state[t] != UNPLACED && state[t] != DONE && outcome_sent[P(t, a)] ->
          outcome_acked[P(t, a)] = 1;
          state[t] = DONE
       :: else
       fi;
       t = 0;
       a = 0;
       n = 0;
       partial = 0
     }
  :: atomic {
       /* Answer: complete, not run or failed. */
       !owner_answered ->
       n = 0;
       t = 0;
       partial = 0;
       do
       :: t < TASKS ->
          if
          :: state[t] == DONE -> n++
          :: state[t] != UNPLACED && state[t] != DONE -> partial = 1
          :: state[t] == UNPLACED
          fi;
          t++
       :: else -> break
       od;
       if
       :: ENOUGH(n) -> owner_answered = 1; assert(n == TASKS)   /* complete, never partial */
       :: n == 0 && !partial -> say_not_run(); owner_answered = 1
       :: else
       fi;
       t = 0;
       a = 0;
       n = 0;
       partial = 0
     }
  :: atomic { !owner_answered -> owner_answered = 1 }   /* answered failed */
  od
}

proctype Salvager() {
  bit knows_second_agent;
  byte a;
  byte t;
  byte found;
  byte outcomes;
  bit silent;
  /* Whether the owner's hello that names the second agent has arrived. */
  if
  :: knows_second_agent = 1
  :: knows_second_agent = 0
  fi;
  START_AS_SALVAGER;
  seal_sent[0] = 1;
  if
  :: knows_second_agent -> seal_sent[1] = 1
  :: else
  fi;
  do
  :: salvager_answered -> break
  :: atomic {
       !salvager_answered ->
       silent = 0;
       found = 0;
       outcomes = 0;
       a = 0;
       do
       :: a < AGENTS ->
          if
          :: a == 1 && !knows_second_agent
          :: (a == 0 || knows_second_agent) && !seal_replied[a] -> silent = 1
          :: (a == 0 || knows_second_agent) && seal_replied[a] -> found = found + seal_found_any[a]
          fi;
          a++
       :: else -> break
       od;
       t = 0;
       do
       :: t < TASKS ->
          if
          :: seal_found_outcome[P(t, 0)] || seal_found_outcome[P(t, 1)] -> outcomes++
          :: else
          fi;
          t++
       :: else -> break
       od;
       if
       :: outcomes == TASKS -> salvager_answered = 1           /* complete */
       :: !silent && found == 0 && KNOWS_ROSTER -> say_not_run(); salvager_answered = 1
       :: salvager_answered = 1                                /* failed, outcome unknown */
       :: true                                                 /* keep waiting */
       fi;
       a = 0;
       t = 0;
       silent = 0;
       found = 0;
       outcomes = 0
     }
  od
}

init {
  atomic {
    run Agent(0);
    run Agent(1);
    run Owner();
    run Salvager()
  }
}
