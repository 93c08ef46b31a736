/* Graceful departure of an entry with a job in progress, and hand-over to a successor.
 *
 * Guards, each removed by defining its macro:
 *   NO_DRAIN       the entry leaves only after every request in progress is answered
 *   NO_HAND_OVER   the entry leaves only after a successor acknowledged its ledger
 *   NO_LAST        the ledger is handed over after the last job ended, and no job is taken afterwards
 */

#ifdef NO_DRAIN
#define DRAINED true
#else
#define DRAINED (!caller_waiting)
#endif
#ifdef NO_HAND_OVER
#define HANDED_OVER true
#else
#define HANDED_OVER acknowledged
#endif
#ifdef NO_LAST
#define TAKES_JOBS true
#define LEDGER_FINAL true
#else
#define TAKES_JOBS (!leaving)
#define LEDGER_FINAL (!caller_waiting && (!ticket_used || task_ran))
#endif

bit ticket_used;          /* owner's ledger */
bit task_ran;
bit caller_waiting;
bit caller_answered;
bit leaving;
bit departed;
bit ledger_sent;
bit ledger_sent_used;     /* content of the ledger message */
bit successor_has_ledger;
bit successor_says_used;
bit acknowledged;

active proctype Caller() {
  /* Submits once, at any time before the entry is gone. */
  if
  :: atomic { !departed -> caller_waiting = 1 }
  :: 1
  fi
}

active proctype Leaver() {
  do
  :: atomic {
       caller_waiting && !ticket_used && !caller_answered && !departed ->
       if
       :: !TAKES_JOBS -> caller_answered = 1; caller_waiting = 0      /* refused, not run */
       :: TAKES_JOBS -> ticket_used = 1
       fi
     }
  :: atomic { ticket_used && !task_ran && !departed -> task_ran = 1 }
  :: atomic {
       task_ran && caller_waiting && !departed ->
       caller_answered = 1;
       caller_waiting = 0
     }
  :: atomic { !leaving -> leaving = 1 }
  :: atomic {
       leaving && !ledger_sent && !departed && LEDGER_FINAL ->
       ledger_sent = 1; ledger_sent_used = ticket_used
     }
  :: atomic {
       leaving && !departed && DRAINED && HANDED_OVER ->
       departed = 1;
       assert(!caller_waiting);                 /* a planned stop cuts off no request */
       assert(successor_has_ledger)             /* a departure loses no used ticket */
     }
  :: departed -> break
  od
}

active proctype Successor() {
  do
  :: atomic {
       ledger_sent && !successor_has_ledger ->
       successor_has_ledger = 1;
       successor_says_used = ledger_sent_used;
       acknowledged = 1
     }
  :: atomic {
       departed && successor_has_ledger ->
       /* A resubmission arrives: an unused ticket is refused as not run. */
       if
       :: !successor_says_used -> assert(!task_ran)
       :: else
       fi;
       break
     }
  :: departed && !successor_has_ledger -> break
  od
}
