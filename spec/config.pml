/*
 * Publication and distribution of configuration versions (core/configsync).
 *
 * Two publishers write the row config/current and the object store. One VM reads
 * the row, where a read may return an earlier state, and receives ConfigUpdates,
 * which may be delayed. The VM may restart. Its peers may have installed any
 * published version, which covers all states of other VMs. Version v changes
 * entry v modulo 2, so that an update applied to the wrong base version leads to
 * wrong content.
 *
 * Properties: a version is published only over the expected version, and only
 * after its object is stored; a version that its publisher reports as failed is
 * not published; the VM never installs a lower version, and its content is that
 * of its version.
 */

// MUTATION: NO_EXPECTED_VERSION
// MUTATION: INSTALL_LOWER_VERSION
// MUTATION: ROW_BEFORE_OBJECT
// MUTATION: FAIL_AFTER_UNKNOWN
// MUTATION: NO_DIGEST_CHECK

#define PUBLISHERS 2
#define MAX_VERSION 3

/* The row and, for each version, its publisher and whether its object is stored.
 * The publisher stands for the change ID and the digest. */
byte rowVersion;
byte publishedBy[MAX_VERSION];
bool objectStored[8]; /* by OBJECT_INDEX */

/* The version that last changed entry k, as of version v. */
#define ENTRY(v, k) (((v) > 0) * ((v) - (((v) + (k)) % 2)))

/* For each publisher: its delayed write, if any, the version that it attempts to
 * publish, and whether it has reported that version as failed. */
bool writeInFlight[PUBLISHERS];
byte inFlightVersion[PUBLISHERS];
bool reportedFailed[PUBLISHERS];
byte attemptedVersion[PUBLISHERS];

/* The version and the entries that the VM has installed. */
byte version;
byte entry0;
byte entry1;

/* The ConfigUpdate in flight to the VM, if any. */
bool updateInFlight;
byte updateBase;
byte updateVersion;

#define OBJECT_INDEX(p, v) ((p) * 4 + (v) - 1)

/* A conditional write that changes the row from version v - 1 to v. */
inline transact(p, v, ok)
{
  if
#ifdef NO_EXPECTED_VERSION
  :: true ->
#else
  :: rowVersion == v - 1 ->
#endif
    assert(rowVersion == v - 1);
    assert(!reportedFailed[p] || attemptedVersion[p] != v);
    rowVersion = v;
    publishedBy[v - 1] = p;
    assert(objectStored[OBJECT_INDEX(p, v)]);
    ok = true
#ifndef NO_EXPECTED_VERSION
  :: else -> ok = false
#endif
  fi
}

proctype Publisher(byte p)
{
  byte expected;
  byte publishCount;
  bool ok;

nextPublish:
  if
  :: publishCount == 2 -> goto end
  :: publishCount < 2 -> publishCount++
  fi;
  /* Read the row. */
  atomic { expected = rowVersion; reportedFailed[p] = false; attemptedVersion[p] = expected + 1 };
  if
  :: expected + 1 > MAX_VERSION -> goto end
  :: else
  fi;
#ifndef ROW_BEFORE_OBJECT
  objectStored[OBJECT_INDEX(p, expected + 1)] = true; /* PublishPutObject */
#endif

write:
  atomic {
    if
    :: true -> transact(p, expected + 1, ok);
      if
      :: ok -> goto nextPublish /* PublishDone */
      :: !ok -> goto readBack
      fi
    :: true -> transact(p, expected + 1, ok); goto unknown /* applied, but the result is lost */
    :: !writeInFlight[p] -> writeInFlight[p] = true; inFlightVersion[p] = expected + 1; goto unknown
    fi
  }

unknown:
#ifdef FAIL_AFTER_UNKNOWN
  goto failed;
#endif

readBack:
  atomic {
    if
    :: goto end /* ErrPublishUnknown: the store is unresponsive */
    :: rowVersion > expected && publishedBy[expected] == p -> goto nextPublish /* PublishDone */
    :: rowVersion > expected && publishedBy[expected] != p -> goto failed
    :: rowVersion == expected -> goto write
    fi
  }

failed: /* VersionError */
  atomic {
    assert(!(rowVersion > expected && publishedBy[expected] == p));
    reportedFailed[p] = true
  };
  goto nextPublish;

end:
  skip
}

proctype Network()
{
  bool ok;
end:
  do
  :: atomic { writeInFlight[0] -> writeInFlight[0] = false; transact(0, inFlightVersion[0], ok); inFlightVersion[0] = 0; ok = false }
  :: atomic { writeInFlight[1] -> writeInFlight[1] = false; transact(1, inFlightVersion[1], ok); inFlightVersion[1] = 0; ok = false }
  od
}

/* Installs a version if it is higher than the installed one. */
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

/* Applies an update, which contains the entries changed after its base version. */
inline apply(k, result, current)
{
  if
  :: ENTRY(updateVersion, k) > updateBase -> result = ENTRY(updateVersion, k)
  :: else -> result = current
  fi
}

proctype VM()
{
  byte readVersion;
  byte new0;
  byte new1;

end:
  do
  :: atomic { /* Tick: read the row; the read may return an earlier state */
      rowVersion > 0 ->
      readVersion = 1;
      do
      :: readVersion < rowVersion -> readVersion++
      :: break
      od
    }
    /* ObjectResult: install the fetched object */
    atomic {
      assert(objectStored[OBJECT_INDEX(publishedBy[readVersion - 1], readVersion)]);
      new0 = ENTRY(readVersion, 0);
      new1 = ENTRY(readVersion, 1);
      install(readVersion, new0, new1);
      readVersion = 0;
      new0 = 0;
      new1 = 0
    }
  :: atomic { /* PeerVersion: a ConfigRequest and the ConfigUpdate that responds to it */
      rowVersion > version && !updateInFlight ->
      updateInFlight = true;
      updateBase = version;
      updateVersion = version + 1;
      do
      :: updateVersion < rowVersion -> updateVersion++
      :: break
      od
    }
  :: atomic { /* Receive: apply the ConfigUpdate */
      updateInFlight ->
      updateInFlight = false;
      if
#ifdef NO_DIGEST_CHECK
      :: true ->
#else
      :: updateBase == version || updateBase == 0 ->
#endif
        apply(0, new0, entry0);
        apply(1, new1, entry1);
        install(updateVersion, new0, new1)
#ifndef NO_DIGEST_CHECK
      :: else /* ErrBaseVersion: all entries are requested */
#endif
      fi;
      updateBase = 0;
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
