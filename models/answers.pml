/* Answers to forwarded submissions.
 *
 * Two callers submit to entry P, which forwards both to the owner O. The answers come back late,
 * repeated and out of order. P may restart between: its request numbers then begin again, and the
 * second incarnation serves other callers.
 *
 * Guards, each removed by defining its macro:
 *   NO_MATCH        an answer goes to the request whose number it carries
 *   NO_INCARNATION  an answer for another incarnation is dropped
 */

#ifdef NO_INCARNATION
#define FOR_THIS(i) true
#else
#define FOR_THIS(i) ((i) == incarnation)
#endif
#ifdef NO_MATCH
#define ANY_WAITING(r) waiting[1 - (r)]
#else
#define ANY_WAITING(r) false
#endif

#define REQUESTS 2
#define INCARNATIONS 2

/* Answer to request r of incarnation i, sent and deliverable any number of times. */
bit forwarded[4];
bit answer_sent[4];
bit waiting[REQUESTS];
bit answered[4];
byte incarnation;

#define I(i, r) ((i) * REQUESTS + (r))

/* Gives the waiting request `to` the answer made for request `number` of incarnation `made_for`. */
inline deliver(to, made_for, number) {
  waiting[to] = 0;
  answered[I(incarnation, to)] = 1;
  assert(number == to && made_for == incarnation)   /* the whole answer to its own request */
}

active proctype Entry() {
  byte r;
  byte i;
  byte target;
  do
  :: atomic {
       select(r : 0 .. (REQUESTS - 1));
       if
       :: !forwarded[I(incarnation, r)] -> forwarded[I(incarnation, r)] = 1; waiting[r] = 1
       :: else
       fi
     }
  :: atomic {
       incarnation + 1 < INCARNATIONS ->
       incarnation++;
       waiting[0] = 0;
       waiting[1] = 0
     }
  :: atomic {
       select(r : 0 .. (REQUESTS - 1));
       select(i : 0 .. (INCARNATIONS - 1));
       if
       :: answer_sent[I(i, r)] && FOR_THIS(i) ->
          if
          :: waiting[r] -> target = r; deliver(target, i, r)
          :: ANY_WAITING(r) -> target = 1 - r; deliver(target, i, r)
          :: else
          fi
       :: else
       fi
     }
  :: incarnation == 1 && answered[I(1, 0)] && answered[I(1, 1)] -> break
  od
}

active proctype Owner() {
  byte r;
  byte i;
  do
  :: atomic {
       select(r : 0 .. (REQUESTS - 1));
       select(i : 0 .. (INCARNATIONS - 1));
       if
       :: forwarded[I(i, r)] -> answer_sent[I(i, r)] = 1
       :: else
       fi
     }
  :: answer_sent[I(1, 0)] && answer_sent[I(1, 1)] -> break
  od
}
