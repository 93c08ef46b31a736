/* Life of an attempt of a repeatable job.
 *
 * A caller that lost its entry submits the job again after RESEND, to any entry. By then the first
 * attempt must have ended, whichever of entry, agent and the way between them failed, and when. Time
 * passes in steps of 10 ms, and all that must happen in a step does. The attempt would run for ever.
 *
 * Guards, each removed by defining its macro:
 *   NO_CALLER_STOP   an entry whose caller is gone stops the attempt
 *   NO_OWNER_LEASE   an agent stops the runs of an owner that it has not heard from, before the
 *                    worker, which has one lease for all its runs, ends those of other owners too
 *   NO_WORKER_LEASE  a worker ends what is not kept by its agent
 *   NO_PAUSE         an agent does not keep the runs of an owner that is silent for long
 *   NO_STOP_REPEAT   an agent repeats the stop of a withdrawn run until the run has ended
 *   NO_STOP_PAUSE    an agent does not keep the runs of a worker on which a withdrawn run goes on
 *
 * A worker may leave stops unanswered: the first LOST_STOPS of them, or, if it is deaf, all.
 */

#define HEARTBEAT 25      /* pause between an entry's signs of life to the agent */
#define OWNER_LEASE 70    /* RunWatchdog::kMaxOwnerSilence */
#define LAST_KEEP 45      /* RunWatchdog::kMaxSilenceForRenewal */
#define WORKER_LEASE 82   /* 800 ms on a clock that is 2% slow */
#define STOP 6            /* time that a stop takes, and a tick of the agent */
#define STOP_RETRY 20     /* RunWatchdog::kStopRetryInterval */
#define STOP_GRACE 30     /* RunWatchdog::kMaxStopTimeForRenewal */
#define LOST_STOPS 2
#define RESEND 130

#ifdef NO_CALLER_STOP
#define STOPS_FOR_CALLER false
#else
#define STOPS_FOR_CALLER (lost && entry && linked)
#endif
#ifdef NO_OWNER_LEASE
#define OWNER_IS_SILENT false
#else
#define OWNER_IS_SILENT (silent >= OWNER_LEASE)
#endif
#ifdef NO_STOP_REPEAT
#define STOP_IS_DUE (!stop_sent)
#else
#define STOP_IS_DUE (next_stop == 0)
#endif
#ifdef NO_PAUSE
#define OWNER_IS_HEARD true
#else
#define OWNER_IS_HEARD (silent < LAST_KEEP)
#endif
#ifdef NO_STOP_PAUSE
#define KEEPS OWNER_IS_HEARD
#else
#define KEEPS (OWNER_IS_HEARD && withdrawn_for < STOP_GRACE)
#endif
#ifdef NO_WORKER_LEASE
#define LAPSES false
#else
#define LAPSES (kept == 0)
#endif

bit entry = 1;            /* alive */
bit agent = 1;
bit linked = 1;           /* entry and agent reach each other */
bit lost = 0;             /* the caller has lost its entry */
bit running = 1;
byte beat = HEARTBEAT;    /* steps until the next sign of life */
byte silent = 0;          /* steps since the agent heard from the entry */
byte kept = WORKER_LEASE; /* steps until the worker ends the attempt */
byte stopping = 0;        /* steps until a stop has taken effect; zero when there is none */
byte since_lost = 0;
bit withdrawn = 0;        /* the agent knows that the run has to end, from its owner */
byte withdrawn_for = 0;   /* steps since then */
bit stop_sent = 0;
byte next_stop = 0;       /* steps until a stop is repeated */
bit deaf = 0;             /* the worker answers no stop */
byte unanswered = 0;      /* stops that the worker left unanswered although it is not deaf */

inline faults() {
  if
  :: entry -> entry = 0; lost = 1               /* killed: the caller sees it at once */
  :: true
  fi;
  if
  :: agent -> agent = 0
  :: true
  fi;
  if
  :: linked -> linked = 0
  :: true
  fi;
  if
  :: lost = 1                                   /* the caller's connection is reset */
  :: true
  fi
}

inline sign_of_life() {
  if
  :: beat > 0 -> beat--
  :: else -> beat = HEARTBEAT
  fi;
  if
  :: beat == HEARTBEAT && entry && linked -> silent = 0
  :: else -> silent = (silent < RESEND -> silent + 1 : silent)
  fi
}

inline send_stop() {
  stop_sent = 1;
  next_stop = STOP_RETRY;
  if
  :: deaf || stopping > 0
  :: !deaf && stopping == 0 -> stopping = STOP
  :: !deaf && stopping == 0 && unanswered < LOST_STOPS -> unanswered++
  fi
}

inline stop_and_keep() {
  if
  :: agent && STOPS_FOR_CALLER -> withdrawn = 1
  :: else
  fi;
  if
  :: withdrawn && withdrawn_for < RESEND -> withdrawn_for++
  :: else
  fi;
  next_stop = (next_stop > 0 -> next_stop - 1 : 0);
  if
  :: agent && STOP_IS_DUE && (withdrawn || OWNER_IS_SILENT) -> send_stop()
  :: else
  fi;
  if
  :: agent && KEEPS -> kept = WORKER_LEASE
  :: else -> kept = (kept > 0 -> kept - 1 : 0)
  fi;
  if
  :: stopping > 1 -> stopping--
  :: stopping == 1 -> running = 0
  :: else
  fi;
  if
  :: LAPSES -> running = 0
  :: else
  fi
}

active proctype Time() {
  if
  :: deaf = 1
  :: true
  fi;
  do
  :: running ->
     atomic {
       faults();
       sign_of_life();
       stop_and_keep();
       since_lost = (lost -> since_lost + 1 : 0);
       assert(!running || since_lost < RESEND);  /* no second run beside the first */
       assert(!(agent && LAPSES && !deaf))       /* the runs of other owners go on */
     }
  :: else -> break
  od
}
