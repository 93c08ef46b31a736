/* Configuration: two operators change one document, two processes follow it.
 *
 * The platform's answer may be lost after the write took effect. Reads may be answered late, so that
 * a process sees an older version after a newer one, from the table or from a peer.
 *
 * Guards, each removed by defining its macro:
 *   NO_CAS        a change is written only on the version it was based on
 *   NO_MONOTONE   a process never moves to a lower version
 *   NO_READ_BACK  after a lost answer the operator reads the audit row of its change
 */

#ifdef NO_CAS
#define ON_BASE true
#else
#define ON_BASE (version == base)
#endif
#ifdef NO_MONOTONE
#define MAY_ADOPT(v) true
#else
#define MAY_ADOPT(v) ((v) > in_force[p])
#endif
#ifdef NO_READ_BACK
#define AUDIT_ROW_FOUND false
#else
#define AUDIT_ROW_FOUND applied[o]
#endif

#define OPERATORS 2
#define PROCESSES 2

byte version = 1;
bit applied[OPERATORS];      /* audit row of the operator's change */
byte applied_at[OPERATORS];
byte in_force[PROCESSES];
bit seen[4];                 /* versions that some read answered; late answers repeat them */
bit told_applied[OPERATORS];
bit told_not_applied[OPERATORS];

proctype Operator(byte o) {
  byte base;
  atomic { base = version };
  atomic {
    if
    :: told_not_applied[o] = 1                              /* platform out before the write */
    :: ON_BASE ->
       version = base + 1;
       applied[o] = 1;
       applied_at[o] = version;
       if
       :: told_applied[o] = 1
       :: 1                                                 /* answer lost after the effect */
       fi
    :: version != base -> told_not_applied[o] = 1           /* conflict */
    fi
  };
  atomic {
    if
    :: !told_applied[o] && !told_not_applied[o] ->
       if
       :: AUDIT_ROW_FOUND -> told_applied[o] = 1
       :: else -> told_not_applied[o] = 1
       fi
    :: else
    fi
  };
  assert(told_not_applied[o] != applied[o]);
  /* Two accepted changes never share a version: neither overwrote the other unseen. */
  assert(!(applied[0] && applied[1] && applied_at[0] == applied_at[1]))
}

proctype Process(byte p) {
  byte v;
  byte steps;
  do
  :: atomic { steps < 4 -> seen[version] = 1; steps++ }     /* a read is answered */
  :: atomic {
       steps < 4 ->
       steps++;
       select(v : 1 .. 3);
       if
       :: seen[v] && MAY_ADOPT(v) ->
          assert(v >= in_force[p]);                         /* never reverts */
          in_force[p] = v
       :: else
       fi
     }
  :: steps >= 4 -> break
  od
}

init {
  atomic {
    run Operator(0);
    run Operator(1);
    run Process(0);
    run Process(1)
  }
}
