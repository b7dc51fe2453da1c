/* One part of a request that a relay VM, the asker, delegates to another one. The
 * asker lends attempts; the delegate sends the part to servers, may ask for another
 * attempt, answers late or not at all, and may be lost at any time. The asker may be
 * killed and started again: the new process delegates another request under the same
 * number. The client may leave at any time.
 *
 * Verified: the part runs on at most MAX servers; an answer holds parts of its own
 * request only; when all messages have arrived, no server works for a client that has
 * left.
 *
 * COUNT_ONE: a lost delegate counts as one attempt, whatever it was lent.
 * LEND_UNCOUNTED: an attempt is counted when it is reported, not when it is lent.
 * NO_PROCESS: late parts are matched by number alone.
 * NO_CANCEL: a client that leaves does not cancel what the delegate has started.
 * NO_ORDER: a cancel that overtakes its delegation has no effect.
 */

#define MAX 2
#define REQUESTS 2 /* request 0 of the first process, 1 of the second one */

mtype = { gather, grant, cancel, ask, part };

chan to_delegate = [5] of { mtype, byte }; /* process */
chan to_asker = [5] of { mtype, byte, byte }; /* process that asked, request */

byte counted[REQUESTS]; /* attempts that the asker has counted */
byte runs[REQUESTS];    /* servers that may have run the part */
byte working[REQUESTS]; /* servers at work for the delegate */
byte process = 0;       /* the asker's process that runs */
bool waiting[REQUESTS]; /* the request waits for its part */
bool left[REQUESTS];    /* the client has left */
bool lost = false;      /* the delegate or its link is lost */
bool sent[REQUESTS];    /* the cancel was sent, or the delegate is lost */

inline send_to_server(r) {
  runs[r]++;
  assert(runs[r] <= MAX)
}

/* The delegate serves one gather request for each process of the asker. */
active proctype Delegate() {
  byte p;
  byte attempts[REQUESTS]; /* attempts that it may still use */
  bool known[REQUESTS];
  bool asked[REQUESTS];
  bool ended[REQUESTS];
  end: do
  :: lost -> break
  :: !lost && to_delegate?[gather, _] -> atomic {
      to_delegate?gather(p);
      if
      :: ended[p] -> skip
      :: else ->
        known[p] = true;
        attempts[p] = 1
      fi
    }
  :: !lost && to_delegate?[grant, _] -> atomic {
      to_delegate?grant(p);
      if
      :: ended[p] -> skip
      :: else -> attempts[p]++
      fi
    }
  :: !lost && to_delegate?[cancel, _] -> atomic {
      to_delegate?cancel(p);
#ifdef NO_ORDER
      if
      :: known[p] -> ended[p] = true
      :: else -> skip
      fi;
#else
      ended[p] = true;
#endif
      if
      :: ended[p] -> working[p] = 0; attempts[p] = 0
      :: else -> skip
      fi
    }
  :: atomic { !lost && known[0] && !ended[0] && attempts[0] > 0 -> attempts[0]--; working[0]++; send_to_server(0) }
  :: atomic { !lost && known[1] && !ended[1] && attempts[1] > 0 -> attempts[1]--; working[1]++; send_to_server(1) }
  :: atomic { !lost && working[0] > 0 && !asked[0] && nfull(to_asker) -> asked[0] = true; to_asker!ask(0, 0) }
  :: atomic { !lost && working[1] > 0 && !asked[1] && nfull(to_asker) -> asked[1] = true; to_asker!ask(1, 1) }
  :: atomic { !lost && working[0] > 0 && nfull(to_asker) -> working[0] = 0; ended[0] = true; to_asker!part(0, 0) }
  :: atomic { !lost && working[1] > 0 && nfull(to_asker) -> working[1] = 0; ended[1] = true; to_asker!part(1, 1) }
  :: atomic { !lost -> lost = true; working[0] = 0; working[1] = 0; sent[0] = true; sent[1] = true }
  od
}

/* The asker delegates the request of the process that runs. */
active proctype Asker() {
  byte p, r;
  counted[0] = 1;
  waiting[0] = true;
  to_delegate!gather(0);
  end: do
  :: atomic { to_asker?[ask, _, _] -> to_asker?ask(p, r);
      if
      :: p == process && waiting[p] && counted[p] < MAX && nfull(to_delegate) ->
#ifndef LEND_UNCOUNTED
        counted[p]++;
#endif
        to_delegate!grant(p)
      :: else -> skip
      fi
    }
  :: atomic { to_asker?[part, _, _] -> to_asker?part(p, r);
      if
#ifdef NO_PROCESS
      :: waiting[process] ->
#else
      :: p == process && waiting[process] ->
#endif
        assert(r == process);
        waiting[process] = false
      :: else -> skip
      fi
    }
  :: atomic { lost && waiting[process] -> /* sends the part itself, if it may */
      waiting[process] = false;
#ifdef COUNT_ONE
      counted[process] = 1;
#endif
      if
      :: counted[process] < MAX -> counted[process]++; send_to_server(process)
      :: else -> skip
      fi
    }
  :: atomic { waiting[process] && !left[process] && !lost && nfull(to_delegate) -> /* the client leaves */
      left[process] = true;
      waiting[process] = false;
      sent[process] = true;
#ifndef NO_CANCEL
      to_delegate!cancel(process)
#endif
    }
  :: atomic { process == 0 && !lost && nfull(to_delegate) -> /* killed and started again */
      process = 1;
      waiting[0] = false;
      counted[1] = 1;
      waiting[1] = true;
      to_delegate!gather(1)
    }
  od
}

/* Messages of two links may overtake each other: the last one goes first. */
active proctype Network() {
  byte p;
  end: do
  :: atomic { len(to_delegate) >= 2 && to_delegate??[cancel, 1] -> to_delegate??cancel(1);
      if
      :: to_delegate??[gather, 1] -> to_delegate??gather(1); to_delegate!cancel(1); to_delegate!gather(1)
      :: else -> to_delegate!cancel(1)
      fi;
      break
    }
  od
}

/* When all messages have arrived, no server works for a client that has left. */
active proctype Monitor() {
  end: do
  :: atomic { left[0] && sent[0] && empty(to_delegate) -> assert(working[0] == 0) }
  :: atomic { left[1] && sent[1] && empty(to_delegate) -> assert(working[1] == 0) }
  od
}
