/* Idempotency keys: one key submitted through two entries.
 *
 * Each entry claims the key with a ticket of its own by one insert-if-absent row. The answer may be
 * lost after the write took effect. An entry starts the job only under its own ticket.
 *
 * Guards, each removed by defining its macro:
 *   NO_INSERT_IF_ABSENT  the row is written only when there is none
 *   NO_READ_BACK         a lost answer is resolved by reading the row
 *   NO_FORWARD           a key claimed by another entry is forwarded, not run here
 */

#ifdef NO_INSERT_IF_ABSENT
#define ROW_ABSENT true
#else
#define ROW_ABSENT (row == NOBODY)
#endif
#ifdef NO_READ_BACK
#define READ_BACK e            /* assumes that the claim succeeded */
#else
#define READ_BACK row
#endif
#ifdef NO_FORWARD
#define RUN_FOR(holder) start_own(e)
#else
#define RUN_FOR(holder) forwarded_to[holder] = 1
#endif

#define ENTRIES 2
#define NOBODY 2

byte row = NOBODY;
byte starts;
bit forwarded_to[ENTRIES];
bit started_ticket[ENTRIES];
bit said_not_run[ENTRIES];

inline start_own(e) {
  if
  :: !started_ticket[e] ->
     started_ticket[e] = 1;
     starts++;
     assert(starts <= 1)        /* the order runs at most once */
  :: else                       /* the ledger knows the ticket as used */
  fi
}

proctype Entry(byte e) {
  bit unknown;
  byte holder = NOBODY;
  atomic {
    if
    :: said_not_run[e] = 1                                   /* platform out */
    :: ROW_ABSENT ->
       row = e;
       if
       :: holder = e
       :: unknown = 1                                        /* answer lost after the effect */
       fi
    :: unknown = 1                                           /* lost before the effect */
    :: row != NOBODY -> holder = row
    fi
  };
  if
  :: unknown ->
     atomic {
       if
       :: holder = READ_BACK
       :: said_not_run[e] = 1                                /* platform out: refused, not started */
       fi
     }
  :: else
  fi;
  atomic {
    if
    :: holder == e -> start_own(e)
    :: holder != e && holder != NOBODY ->
       RUN_FOR(holder)
    :: else
    fi
  };
  /* Serves what the other entry forwards. */
  if
  :: atomic { forwarded_to[e] -> start_own(e) }
  :: 1
  fi;
  assert(!(said_not_run[e] && started_ticket[e] && !forwarded_to[e]))
}

init {
  atomic {
    run Entry(0);
    run Entry(1)
  }
}
