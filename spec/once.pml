/*
 * At-most-once execution of one Idempotency-Key (core/once).
 *
 * Three attempts at different VMs work on one table row. Table calls may be
 * refused, lose their answer, or arrive late. An attempt may stop at any step,
 * which stands for a killed or paused VM. Time passes in units of the dispatch
 * window; after the retention time, which begins at the dispatch deadline, the
 * row is deleted and the key is new.
 *
 * Checked: no key is executed twice while its record is kept, and an answer
 * "not run" is true.
 */

// MUTATION: RETRY_AFTER_UNKNOWN
// MUTATION: NO_DEADLINE_CHECK
// MUTATION: BACKEND_IGNORES_DEADLINE
// MUTATION: DISPATCH_WITHOUT_READ_BACK
// MUTATION: TAKE_OVER_CLAIM
// MUTATION: RELEASE_AFTER_UNKNOWN

#define ATTEMPTS 3
#define MAX_TIME 1
#define RETENTION 0

mtype = { absent, claimed, done, released };

byte now;

/* The row. Versions grow with each write; version 0 means that it is absent. */
mtype rowState = absent;
byte rowOwner;
byte rowVersion;
byte rowDeadline;
byte lastVersion;

/* Claims that are still on their way. Outcomes and releases that arrive late are
 * covered by an attempt that makes its last step late. */
bool late[ATTEMPTS];
byte lateBase[ATTEMPTS];

byte started;
byte deadline[ATTEMPTS];
bool ran[ATTEMPTS];
bool saidNotRun[ATTEMPTS];

/* Executions since the row was last deleted. */
byte runs;

#define IN_TIME (now <= deadline[id])

/* Transact: write the row if it still has the version base. */
inline transact(newState, base, ok)
{
  if
  :: rowVersion == base ->
    lastVersion++;
    rowVersion = lastVersion;
    rowState = newState;
    rowOwner = id;
    rowDeadline = deadline[id];
    ok = true
  :: else -> ok = false
  fi
}

inline answerNotRun()
{
  assert(!ran[id]);
  saidNotRun[id] = true
}

/* A backend server executes the request. */
inline execute()
{
  runs++;
  assert(runs <= 1);
  ran[id] = true;
  assert(!saidNotRun[id])
}

proctype Attempt(byte id)
{
  byte base;
  byte version;
  bool unsure;
  bool ok;

  /* Start. The order of the starts is fixed, because the attempts are alike. */
  atomic {
    started == id -> started++;
    deadline[id] = now
  }

writeClaim:
  atomic {
    if
    :: !IN_TIME -> goto giveUp
    :: IN_TIME ->
      if
      :: true -> transact(claimed, base, ok);
        if
        :: ok -> version = rowVersion; goto dispatch
        :: !ok -> goto resolve
        fi
      :: !unsure -> /* ErrUnavailable: known to have no effect */
        answerNotRun();
        goto end
      :: true -> transact(claimed, base, ok); /* ErrOutcomeUnknown: the answer was lost */
        unsure = true;
        goto resolve
      :: !late[id] -> /* ErrOutcomeUnknown: the write arrives later */
        late[id] = true;
        lateBase[id] = base;
        unsure = true;
        goto resolve
      fi
    fi
  }

resolve: /* read the row back */
  atomic {
#ifdef DISPATCH_WITHOUT_READ_BACK
    if
    :: unsure -> goto dispatch
    :: else
    fi;
#endif
    if
    :: goto giveUp /* GiveUp: the store does not answer, or the caller left */
    :: rowState == absent -> base = 0; goto writeClaim
    :: rowState == claimed && rowOwner == id -> version = rowVersion; unsure = false; goto dispatch
#ifdef TAKE_OVER_CLAIM
    :: rowState == claimed && rowOwner != id && now > rowDeadline -> base = rowVersion; goto writeClaim
#endif
    :: rowState == claimed && rowOwner != id -> goto end /* InProgress: may have run */
    :: rowState == done -> goto end /* Stored */
    :: rowState == released -> base = rowVersion; goto writeClaim
    fi
  }

dispatch: /* MayDispatch */
  atomic {
    unsure = false;
    if
#ifdef NO_DEADLINE_CHECK
    :: true
#else
    :: IN_TIME
#endif
    :: !IN_TIME -> answerNotRun(); goto release /* TooLate */
    fi
  }

  /* The VM may be paused here. The backend server compares the deadline too. */
  atomic {
    if
#ifdef NO_DEADLINE_CHECK
    :: true -> execute()
#elif defined(BACKEND_IGNORES_DEADLINE)
    :: true -> execute()
#else
    :: IN_TIME -> execute()
    :: !IN_TIME -> answerNotRun(); goto release
#endif
    :: goto dispatch /* not run: retry on another backend server */
    :: answerNotRun(); goto release /* Refused */
    fi
  }
  if
  :: goto store /* Answered */
  :: /* Unknown: answer "may have run" and keep the claim */
#ifdef RETRY_AFTER_UNKNOWN
    goto dispatch
#elif defined(RELEASE_AFTER_UNKNOWN)
    goto release
#else
    goto end
#endif
  fi;

store: /* Dispatched: write the outcome */
  atomic {
    if
    :: true -> transact(done, version, ok)
    :: true /* given up */
    fi;
    goto end
  }

giveUp:
  atomic {
    answerNotRun();
    if
    :: unsure
    :: !unsure -> goto end
    fi
  }

release: /* settleDecide: over the own claim, or over the row that a late claim needs */
  atomic {
    if
    :: rowState == claimed && rowOwner == id -> version = rowVersion
    :: unsure && rowVersion == base -> version = base
    :: else -> goto end
    fi
  }
  atomic {
    if
    :: true -> transact(released, version, ok);
      if
      :: ok -> goto end
      :: !ok -> goto release
      fi
    :: true /* given up */
    fi
  }

end:
  atomic {
    base = 0;
    version = 0;
    unsure = false;
    ok = false
  }
}

/* Claims that were delayed arrive at any time, or never. */
proctype Network()
{
  byte id;
  bool ok;
end:
  do
  :: atomic {
      late[0] -> id = 0;
      transact(claimed, lateBase[0], ok);
      late[0] = false;
      lateBase[0] = 0;
      ok = false;
      id = 0
    }
  :: atomic {
      late[1] -> id = 1;
      transact(claimed, lateBase[1], ok);
      late[1] = false;
      lateBase[1] = 0;
      ok = false;
      id = 0
    }
  :: atomic {
      late[2] -> id = 2;
      transact(claimed, lateBase[2], ok);
      late[2] = false;
      lateBase[2] = 0;
      ok = false;
      id = 0
    }
  od
}

proctype Clock()
{
end:
  do
  :: now < MAX_TIME -> now++
  :: atomic {
      /* Expired: the record is deleted and the key is new. */
      rowState != absent && now > rowDeadline + RETENTION ->
      rowState = absent;
      rowVersion = 0;
      rowOwner = 0;
      rowDeadline = 0;
      runs = 0
    }
  od
}

init
{
  atomic {
    run Attempt(0);
    run Attempt(1);
    run Attempt(2);
    run Network();
    run Clock()
  }
}
