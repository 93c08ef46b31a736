/* A cancelled repeatable job, of which a copy of the submission arrives at another entry.
 *
 * The job was cancelled at one entry at time zero. Copies may arrive at another one at any time. It
 * must start nothing of them later than CANCEL, unless it was cut off or restarted within CONTACT.
 * Time passes in steps of 250 ms, the interval of Cancellations, and all that must happen in a step
 * does.
 *
 * Guards, each removed by defining its macro:
 *   NO_TELL         an entry tells the others of cancellations
 *   NO_REPEAT       what was not confirmed is told again
 *   NO_INCARNATION  an entry that has restarted is told anew
 *   NO_AGE          cancellations are remembered for as long as copies arrive
 */

#define CANCEL 12         /* 3 s */
#define CONTACT 12
#define COPIES 40         /* copies arrive for 10 s */
#define CALL_TIMEOUT 8    /* 2 s, after which a call without an answer has failed */
#define HELLO 3           /* until an entry that has started is known to the others */
#define FAULTS 3

#ifdef NO_TELL
#define TELLS false
#else
#define TELLS true
#endif
#ifdef NO_AGE
#define KEPT 8
#else
#define KEPT 60           /* Cancellations::kMaxAge */
#endif

byte now = 0;
byte calm = CONTACT;      /* steps since the last fault at the other entry */
byte faults = 0;
bit cut = 0;              /* the entries do not reach each other */
byte remembered = 0;      /* steps until the other entry forgets the cancellation */
byte unknown = 0;         /* steps until the other entry, having started, is known */
bit told = 0;             /* it has confirmed */
byte call = 0;            /* steps until a call without an answer fails */

inline fail() {
  faults++;
  calm = 0
}

inline disturb() {
  if
  :: faults < FAULTS && !cut -> cut = 1; fail()
  :: faults < FAULTS ->                          /* killed, and started again */
     remembered = 0;
     unknown = HELLO;
#ifndef NO_INCARNATION
     told = 0;
#endif
     fail()
  :: cut -> cut = 0; calm = 0
  :: true
  fi
}

inline tell() {
  if
  :: call > 0 ->
     call--;
     if
#ifdef NO_REPEAT
     :: call == 0 -> told = 1
#endif
     :: else
     fi
  :: call == 0 && TELLS && !told && unknown == 0 ->
     if
     :: cut -> call = CALL_TIMEOUT
     :: !cut -> told = 1; remembered = KEPT
     fi
  :: else
  fi
}

active proctype Time() {
  do
  :: now < CANCEL + COPIES ->
     atomic {
       disturb();
       if
       :: cut -> calm = 0
       :: else
       fi;
       tell();
       if
       :: unknown > 0 && !cut -> unknown--
       :: else
       fi;
       /* A copy arrives. */
       assert(remembered > 0 || now <= CANCEL || calm < CONTACT);
       if
       :: remembered > 0 -> remembered--
       :: else
       fi;
       if
       :: calm < CONTACT -> calm++
       :: else
       fi;
       now++
     }
  :: else -> break
  od
}
