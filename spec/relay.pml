/*
 * Relay of a table of the platform's store by a hub (replicas of entry/gateway,
 * core/catalog).
 *
 * A writer changes two rows, and each change increases the version of the table.
 * The hub reads the whole table, possibly in an earlier state, or follows its
 * changes, and may restart. The VM reads from the hub what changed after the
 * version of its replica, or reads the whole table from the store, possibly in an
 * earlier state. An answer of the hub may arrive after a later read of the VM.
 *
 * Properties: the version of the VM's replica never decreases, and the replica
 * has exactly the rows of its version; deleted rows are absent.
 */

// MUTATION: CHANGES_WITHOUT_DELETIONS
// MUTATION: USE_OLD_FULL_READ
// MUTATION: USE_OLD_ROW

#define MAX_VERSION 3

/* For each version and row: whether the row exists, and the version of its last
 * change. */
bool exists[12];
byte changedAt[12];
byte version;

#define ROW_AT(v, k) ((v) * 2 + (k))

/* The hub's replica has the state of hubVersion. Deletions up to hubHistoryStart
 * are not known to it. */
bool hubLoaded;
byte hubVersion;
byte hubHistoryStart;

/* The VM's replica. */
byte vmVersion;
bool vmExists[2];
byte vmChangedAt[2];

/* The answer of the hub in flight, if any: the rows of its replica at
 * answerVersion, either all of them or those that changed after answerAfter. */
bool answerInFlight;
bool answerFull;
byte answerAfter;
byte answerVersion;
byte answerHistoryStart;

proctype Writer()
{
  byte k;
  do
  :: version < MAX_VERSION ->
    atomic {
      if
      :: k = 0
      :: k = 1
      fi;
      exists[ROW_AT(version + 1, 1 - k)] = exists[ROW_AT(version, 1 - k)];
      changedAt[ROW_AT(version + 1, 1 - k)] = changedAt[ROW_AT(version, 1 - k)];
      exists[ROW_AT(version + 1, k)] = !exists[ROW_AT(version, k)];
      changedAt[ROW_AT(version + 1, k)] = version + 1;
      version++
    }
  :: else -> break
  od
}

proctype Hub()
{
  byte v;
end:
  do
  :: atomic {
      /* A read of the whole table, possibly of an earlier version. */
      select(v : 0 .. MAX_VERSION);
      if
      :: v <= version && (!hubLoaded || v >= hubVersion) ->
        hubLoaded = true; hubVersion = v; hubHistoryStart = v
      :: else
      fi
    }
  :: atomic { hubLoaded && hubVersion < version -> hubVersion++ }
  :: atomic { hubLoaded -> hubLoaded = false }
  od
}

/* Applies row k of version v, unless the replica has a later change of it. */
inline applyRow(k, v)
{
  if
#ifdef USE_OLD_ROW
  :: true ->
#else
  :: changedAt[ROW_AT(v, k)] > vmChangedAt[k] ->
#endif
    vmExists[k] = exists[ROW_AT(v, k)];
    vmChangedAt[k] = changedAt[ROW_AT(v, k)]
#ifndef USE_OLD_ROW
  :: else
#endif
  fi
}

inline applyFull(v)
{
  if
#ifdef USE_OLD_FULL_READ
  :: true ->
#else
  :: v >= vmVersion ->
#endif
    k = 0;
    do
    :: k < 2 ->
      if
      :: exists[ROW_AT(v, k)] -> applyRow(k, v)
#ifdef USE_OLD_FULL_READ
      :: !exists[ROW_AT(v, k)] -> vmExists[k] = false; vmChangedAt[k] = v
#else
      :: !exists[ROW_AT(v, k)] && vmChangedAt[k] <= v -> vmExists[k] = false; vmChangedAt[k] = v
#endif
      :: else
      fi;
      k++
    :: else -> break
    od;
    if
    :: v > vmVersion -> vmVersion = v
    :: else
    fi
#ifndef USE_OLD_FULL_READ
  :: else
#endif
  fi
}

inline applyChanges(after, v, historyStart)
{
  k = 0;
  do
  :: k < 2 ->
    if
    /* Deletions up to historyStart are not in the replica of the hub. */
    :: changedAt[ROW_AT(v, k)] > after && (exists[ROW_AT(v, k)] || changedAt[ROW_AT(v, k)] > historyStart) -> applyRow(k, v)
    :: else
    fi;
    k++
  :: else -> break
  od;
  if
  :: v > vmVersion -> vmVersion = v
  :: else
  fi
}

inline checkReplica()
{
  assert(vmVersion >= versionBefore);
  assert(vmExists[0] == exists[ROW_AT(vmVersion, 0)]);
  assert(vmExists[1] == exists[ROW_AT(vmVersion, 1)])
}

proctype VM()
{
  byte k;
  byte v;
  byte versionBefore;
end:
  do
  :: atomic {
      hubLoaded && !answerInFlight && hubVersion > vmVersion ->
        answerInFlight = true; answerAfter = vmVersion; answerVersion = hubVersion; answerHistoryStart = hubHistoryStart;
#ifdef CHANGES_WITHOUT_DELETIONS
        answerFull = false
#else
        answerFull = vmVersion < hubHistoryStart
#endif
    }
  :: atomic {
      answerInFlight ->
        answerInFlight = false; versionBefore = vmVersion;
        if
        :: answerFull -> applyFull(answerVersion)
        :: else -> applyChanges(answerAfter, answerVersion, answerHistoryStart)
        fi;
        checkReplica()
    }
  :: atomic { answerInFlight -> answerInFlight = false }
  :: atomic {
      select(v : 0 .. MAX_VERSION);
      if
      :: v <= version -> versionBefore = vmVersion; applyFull(v); checkReplica()
      :: else
      fi
    }
  od
}

init
{
  atomic {
    run Writer();
    run Hub();
    run VM()
  }
}
