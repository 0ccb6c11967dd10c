/*
 * At-most-once execution of one Idempotency-Key (core/once).
 *
 * Three attempts at different VMs use one table row. A table call may be refused,
 * its result may be lost, or it may be delayed. An attempt may stop at any step,
 * which models a killed or paused VM. The unit of time is the dispatch window.
 * The row is deleted after the retention time, which starts at the dispatch
 * deadline; the key then counts as unused.
 *
 * Properties: no key is executed twice while its record is kept, and the attempt
 * that answers "not run" was not executed and is not executed later.
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

/* The row. Each write increases the version; version 0 means that the row is absent. */
mtype rowState = absent;
byte rowOwner;
byte rowVersion;
byte rowDeadline;
byte lastVersion;

/* Delayed claims, and the row version on which each depends. Delayed outcomes and
 * releases are covered by an attempt that takes its last step later. */
bool claimInFlight[ATTEMPTS];
byte claimBase[ATTEMPTS];

byte started;
byte deadline[ATTEMPTS];
bool executed[ATTEMPTS];
bool answeredNotRun[ATTEMPTS];

/* Executions since the row was last deleted. */
byte executions;

#define IN_TIME (now <= deadline[id])

/* A conditional write: writes the row if its version is still base. */
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
  assert(!executed[id]);
  answeredNotRun[id] = true
}

/* A backend server executes the request. */
inline execute()
{
  executions++;
  assert(executions <= 1);
  executed[id] = true;
  assert(!answeredNotRun[id])
}

proctype Attempt(byte id)
{
  byte base;
  byte version;
  bool claimUnknown;
  bool ok;

  /* Start. The attempts are symmetric, so they start in a fixed order. */
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
      :: !claimUnknown -> /* ErrUnavailable: the claim was not written */
        answerNotRun();
        goto end
      :: true -> transact(claimed, base, ok); /* ErrOutcomeUnknown: written, but the result is lost */
        claimUnknown = true;
        goto resolve
      :: !claimInFlight[id] -> /* ErrOutcomeUnknown: the write is delayed */
        claimInFlight[id] = true;
        claimBase[id] = base;
        claimUnknown = true;
        goto resolve
      fi
    fi
  }

resolve: /* read the row to learn whether the claim was written */
  atomic {
#ifdef DISPATCH_WITHOUT_READ_BACK
    if
    :: claimUnknown -> goto dispatch
    :: else
    fi;
#endif
    if
    :: goto giveUp /* GiveUp: the store is unresponsive, or the caller disconnected */
    :: rowState == absent -> base = 0; goto writeClaim
    :: rowState == claimed && rowOwner == id -> version = rowVersion; claimUnknown = false; goto dispatch
#ifdef TAKE_OVER_CLAIM
    :: rowState == claimed && rowOwner != id && now > rowDeadline -> base = rowVersion; goto writeClaim
#endif
    :: rowState == claimed && rowOwner != id -> goto end /* InProgress: may have run */
    :: rowState == done -> goto end /* Stored: the recorded outcome */
    :: rowState == released -> base = rowVersion; goto writeClaim
    fi
  }

dispatch: /* MayDispatch */
  atomic {
    claimUnknown = false;
    if
#ifdef NO_DEADLINE_CHECK
    :: true
#else
    :: IN_TIME
#endif
    :: !IN_TIME -> answerNotRun(); goto release /* DeadlinePassed */
    fi
  }

  /* The VM may be paused here, so the backend server checks the deadline as well. */
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
    :: goto dispatch /* did not run: retry at another backend server */
    :: answerNotRun(); goto release /* NotRun: no backend server ran the request */
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
    :: true /* the write fails until its timeout */
    fi;
    goto end
  }

giveUp:
  atomic {
    answerNotRun();
    if
    :: claimUnknown
    :: !claimUnknown -> goto end
    fi
  }

release: /* settleAfterRead: over the own claim, or over the row on which a delayed claim depends */
  atomic {
    if
    :: rowState == claimed && rowOwner == id -> version = rowVersion
    :: claimUnknown && rowVersion == base -> version = base
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
    :: true /* the write fails until its timeout */
    fi
  }

end:
  atomic {
    base = 0;
    version = 0;
    claimUnknown = false;
    ok = false
  }
}

/* Delayed claims arrive at any time, or never. */
proctype Network()
{
  byte id;
  bool ok;
end:
  do
  :: atomic {
      claimInFlight[0] -> id = 0;
      transact(claimed, claimBase[0], ok);
      claimInFlight[0] = false;
      claimBase[0] = 0;
      ok = false;
      id = 0
    }
  :: atomic {
      claimInFlight[1] -> id = 1;
      transact(claimed, claimBase[1], ok);
      claimInFlight[1] = false;
      claimBase[1] = 0;
      ok = false;
      id = 0
    }
  :: atomic {
      claimInFlight[2] -> id = 2;
      transact(claimed, claimBase[2], ok);
      claimInFlight[2] = false;
      claimBase[2] = 0;
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
      /* Expired: the record is deleted, and the key counts as unused. */
      rowState != absent && now > rowDeadline + RETENTION ->
      rowState = absent;
      rowVersion = 0;
      rowOwner = 0;
      rowDeadline = 0;
      executions = 0
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
