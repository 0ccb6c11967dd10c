/*
 * Publication and distribution of configuration versions (core/configsync).
 *
 * Two publishers work on the row config/current and the object store. A VM
 * reads the row, which may be served in an earlier state, and gets ConfigUpdates,
 * which may arrive late. It may restart. Its peers are at any published version,
 * which covers all states of other VMs. Version v changes the entry v modulo 2,
 * so that a difference for the wrong base shows.
 *
 * Checked: a version is published over the expected one only and is never
 * without its object; what a publisher reports as failed is not published; the VM
 * never goes back, and has the content of its version.
 */

// MUTATION: NO_EXPECTED_VERSION
// MUTATION: INSTALL_LOWER_VERSION
// MUTATION: ROW_BEFORE_OBJECT
// MUTATION: FAIL_AFTER_UNKNOWN
// MUTATION: NO_DIGEST_CHECK

#define PUBLISHERS 2
#define MAX_VERSION 3

/* The row and, for each version, who published it and whether its object is
 * stored. The author stands for the change id and the digest. */
byte rowVersion;
byte author[MAX_VERSION];
bool stored[8]; /* by author and version parity of the object name */

/* The entries of a version: entry[k] is the version that last changed it. */
#define ENTRY(v, k) (((v) > 0) * ((v) - (((v) + (k)) % 2)))

/* A write of each publisher that is still on its way. */
bool late[PUBLISHERS];
byte lateVersion[PUBLISHERS];
bool saidFailed[PUBLISHERS];
byte wanted[PUBLISHERS];

/* State of the VM. */
byte version;
byte entry0;
byte entry1;

/* The ConfigUpdate on its way to the VM, if any. */
bool update;
byte updateFrom;
byte updateVersion;

#define OBJECT(p, v) ((p) * 4 + (v) - 1)

/* Transact: change the row from version v - 1 to v. */
inline transact(p, v, ok)
{
  if
#ifdef NO_EXPECTED_VERSION
  :: true ->
#else
  :: rowVersion == v - 1 ->
#endif
    assert(rowVersion == v - 1);
    assert(!saidFailed[p] || wanted[p] != v);
    rowVersion = v;
    author[v - 1] = p;
    assert(stored[OBJECT(p, v)]);
    ok = true
#ifndef NO_EXPECTED_VERSION
  :: else -> ok = false
#endif
  fi
}

proctype Publisher(byte p)
{
  byte expected;
  byte times;
  bool ok;

again:
  if
  :: times == 2 -> goto end
  :: times < 2 -> times++
  fi;
  /* read */
  atomic { expected = rowVersion; saidFailed[p] = false; wanted[p] = expected + 1 };
  if
  :: expected + 1 > MAX_VERSION -> goto end
  :: else
  fi;
#ifndef ROW_BEFORE_OBJECT
  stored[OBJECT(p, expected + 1)] = true; /* PublishPutObject */
#endif

write:
  atomic {
    if
    :: true -> transact(p, expected + 1, ok);
      if
      :: ok -> goto again /* PublishDone */
      :: !ok -> goto readBack
      fi
    :: true -> transact(p, expected + 1, ok); goto unknown /* the answer was lost */
    :: !late[p] -> late[p] = true; lateVersion[p] = expected + 1; goto unknown
    fi
  }

unknown:
#ifdef FAIL_AFTER_UNKNOWN
  goto failed;
#endif

readBack:
  atomic {
    if
    :: goto end /* ErrPublishUnknown: the store does not answer */
    :: rowVersion > expected && author[expected] == p -> goto again /* PublishDone */
    :: rowVersion > expected && author[expected] != p -> goto failed
    :: rowVersion == expected -> goto write
    fi
  }

failed: /* VersionError */
  atomic {
    assert(!(rowVersion > expected && author[expected] == p));
    saidFailed[p] = true
  };
  goto again;

end:
  skip
}

proctype Network()
{
  bool ok;
end:
  do
  :: atomic { late[0] -> late[0] = false; transact(0, lateVersion[0], ok); lateVersion[0] = 0; ok = false }
  :: atomic { late[1] -> late[1] = false; transact(1, lateVersion[1], ok); lateVersion[1] = 0; ok = false }
  od
}

/* install: a version is installed only if it is higher. */
inline install(v, e0, e1)
{
  if
#ifdef INSTALL_LOWER_VERSION
  :: true ->
#else
  :: v > version ->
#endif
    assert(v >= version);
    version = v;
    entry0 = e0;
    entry1 = e1;
    assert(entry0 == ENTRY(v, 0) && entry1 == ENTRY(v, 1))
#ifndef INSTALL_LOWER_VERSION
  :: else
#endif
  fi
}

/* apply: the update holds the entries changed after its base. */
inline apply(k, new, present)
{
  if
  :: ENTRY(updateVersion, k) > updateFrom -> new = ENTRY(updateVersion, k)
  :: else -> new = present
  fi
}

proctype VM()
{
  byte seen;
  byte new0;
  byte new1;

end:
  do
  :: atomic { /* Tick: read the row, which may be served in an earlier state */
      rowVersion > 0 ->
      seen = 1;
      do
      :: seen < rowVersion -> seen++
      :: break
      od
    }
    /* ObjectResult */
    atomic {
      assert(stored[OBJECT(author[seen - 1], seen)]);
      new0 = ENTRY(seen, 0);
      new1 = ENTRY(seen, 1);
      install(seen, new0, new1);
      seen = 0;
      new0 = 0;
      new1 = 0
    }
  :: atomic { /* PeerVersion, ConfigRequest, and the answer ConfigUpdate */
      rowVersion > version && !update ->
      update = true;
      updateFrom = version;
      updateVersion = version + 1;
      do
      :: updateVersion < rowVersion -> updateVersion++
      :: break
      od
    }
  :: atomic { /* Receive: apply the ConfigUpdate */
      update ->
      update = false;
      if
#ifdef NO_DIGEST_CHECK
      :: true ->
#else
      :: updateFrom == version || updateFrom == 0 ->
#endif
        apply(0, new0, entry0);
        apply(1, new1, entry1);
        install(updateVersion, new0, new1)
#ifndef NO_DIGEST_CHECK
      :: else /* ErrBase: the next heartbeat leads to a request for all entries */
#endif
      fi;
      updateFrom = 0;
      updateVersion = 0;
      new0 = 0;
      new1 = 0
    }
  :: atomic { /* restart: a new incarnation without a configuration */
      version > 0 ->
      version = 0;
      entry0 = 0;
      entry1 = 0
    }
  od
}

init
{
  atomic {
    run Publisher(0);
    run Publisher(1);
    run Network();
    run VM()
  }
}
