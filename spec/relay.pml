/*
 * Relay of a table of the platform's store by a hub (entry/gateway: mirrors,
 * core/catalog).
 *
 * A writer changes two rows; each change has a version. A hub reads the table in
 * full, maybe as it was earlier, or follows its changes, and may start anew. A VM
 * reads from the hub what changed after the version it holds, or the table in
 * full from the store, maybe as it was earlier. An answer of the hub may arrive
 * after the VM has read elsewhere.
 *
 * Checked: the VM never holds less than before, and holds the rows as they were
 * at its version, deleted ones included.
 */

// MUTATION: CHANGES_WITHOUT_DELETIONS
// MUTATION: USE_OLD_FULL_READ
// MUTATION: USE_OLD_ROW

#define MAX_VERSION 3

/* Of each version and row: whether the row exists, and its last change. */
bool exists[12];
byte changed[12];
byte version;

#define AT(v, k) ((v) * 2 + (k))

/* The hub's copy is the table at hubVersion; what was deleted up to hubSince is
 * not known. */
bool hubLoaded;
byte hubVersion;
byte hubSince;

/* The VM's copy. */
byte vmVersion;
bool vmExists[2];
byte vmChanged[2];

/* An answer of the hub on its way: what it holds at answerVersion, all rows or
 * those that changed after answerAfter. */
bool answer;
bool answerFull;
byte answerAfter;
byte answerVersion;
byte answerSince;

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
      exists[AT(version + 1, 1 - k)] = exists[AT(version, 1 - k)];
      changed[AT(version + 1, 1 - k)] = changed[AT(version, 1 - k)];
      exists[AT(version + 1, k)] = !exists[AT(version, k)];
      changed[AT(version + 1, k)] = version + 1;
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
      /* A full read, maybe of an earlier version. */
      select(v : 0 .. MAX_VERSION);
      if
      :: v <= version && (!hubLoaded || v >= hubVersion) ->
        hubLoaded = true; hubVersion = v; hubSince = v
      :: else
      fi
    }
  :: atomic { hubLoaded && hubVersion < version -> hubVersion++ }
  :: atomic { hubLoaded -> hubLoaded = false }
  od
}

/* Row k as it was at version v. */
inline takeRow(k, v)
{
  if
#ifdef USE_OLD_ROW
  :: true ->
#else
  :: changed[AT(v, k)] > vmChanged[k] ->
#endif
    vmExists[k] = exists[AT(v, k)];
    vmChanged[k] = changed[AT(v, k)]
#ifndef USE_OLD_ROW
  :: else
#endif
  fi
}

inline takeFull(v)
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
      :: exists[AT(v, k)] -> takeRow(k, v)
#ifdef USE_OLD_FULL_READ
      :: !exists[AT(v, k)] -> vmExists[k] = false; vmChanged[k] = v
#else
      :: !exists[AT(v, k)] && vmChanged[k] <= v -> vmExists[k] = false; vmChanged[k] = v
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

inline takeChanges(after, v, since)
{
  k = 0;
  do
  :: k < 2 ->
    if
    /* Deletions up to since are not in the copy. */
    :: changed[AT(v, k)] > after && (exists[AT(v, k)] || changed[AT(v, k)] > since) -> takeRow(k, v)
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

inline check()
{
  assert(vmVersion >= before);
  assert(vmExists[0] == exists[AT(vmVersion, 0)]);
  assert(vmExists[1] == exists[AT(vmVersion, 1)])
}

proctype VM()
{
  byte k;
  byte v;
  byte before;
end:
  do
  :: atomic {
      hubLoaded && !answer && hubVersion > vmVersion ->
        answer = true; answerAfter = vmVersion; answerVersion = hubVersion; answerSince = hubSince;
#ifdef CHANGES_WITHOUT_DELETIONS
        answerFull = false
#else
        answerFull = vmVersion < hubSince
#endif
    }
  :: atomic {
      answer ->
        answer = false; before = vmVersion;
        if
        :: answerFull -> takeFull(answerVersion)
        :: else -> takeChanges(answerAfter, answerVersion, answerSince)
        fi;
        check()
    }
  :: atomic { answer -> answer = false }
  :: atomic {
      select(v : 0 .. MAX_VERSION);
      if
      :: v <= version -> before = vmVersion; takeFull(v); check()
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
