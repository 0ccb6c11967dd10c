/*
 * Division of a client account's rate among VMs (core/exchange, core/ratelimit).
 *
 * In each interval the VMs report to the hub, and the hub answers the VMs that are
 * alive with a digest. The digest divides the shares of these VMs by demand; the
 * model takes the worst case, in which one VM gets all of them. An equal share is
 * kept for each silent VM, and a VM whose digest has expired uses an equal share.
 * Reports and digests may be lost, independently of each other.
 *
 * Properties: a VM that the hub has counted as silent for more than two intervals
 * uses at most the equal share that is kept for it. If all alive VMs have the
 * newest digest and no silent VM uses an earlier one, the shares add up to at most
 * the rate.
 */

// MUTATION: VALID_BY_ARRIVAL
// MUTATION: NO_EXPIRY
// MUTATION: NOTHING_KEPT_FOR_SILENT

#define VMS 3
/* The number of intervals without a report after which the hub takes a VM to be
 * silent, and the age of the acknowledged report at which a VM stops using a
 * digest. */
#define SILENCE_TIMEOUT 4
#define SHARE_VALIDITY 6

/* At the hub: intervals since the last report of a VM, and intervals for which the
 * VM has been silent. */
byte reportAge[VMS];
byte silentFor[VMS];

/* At each VM: the number of alive VMs in its digest, the VM that gets all of their
 * shares, and the age of the report that the digest acknowledges. */
byte digestAlive[VMS];
byte recipient[VMS];
byte digestAge[VMS];

byte aliveCount, newRecipient, sharesInUse, v;
bool allCurrent;


active proctype Fleet()
{
  /* Initially, all VMs have the same digest. */
  v = 0;
  do
  :: v < VMS -> digestAlive[v] = VMS; recipient[v] = 0; v++
  :: else -> break
  od;
  do
  :: v = 0;
    /* The reports of one interval; each may be lost. VM 0 is the hub. */
    do
    :: v < VMS ->
      if
      :: reportAge[v] = 0
      :: v > 0 -> if :: reportAge[v] < SILENCE_TIMEOUT -> reportAge[v]++ :: else fi
      fi;
      v++
    :: else -> break
    od;
    atomic {
      aliveCount = 0; v = 0;
      do
      :: v < VMS ->
        if
        :: reportAge[v] < SILENCE_TIMEOUT -> aliveCount++; silentFor[v] = 0
        :: else -> if :: silentFor[v] < SHARE_VALIDITY -> silentFor[v]++ :: else fi
        fi;
        v++
      :: else -> break
      od
    };
    /* The demand decides which alive VM gets the shares of all alive VMs. */
    if
    :: newRecipient = 0
    :: reportAge[1] < SILENCE_TIMEOUT -> newRecipient = 1
    :: reportAge[2] < SILENCE_TIMEOUT -> newRecipient = 2
    fi;
    /* The digests; each may be lost. */
    allCurrent = true; v = 0;
    do
    :: v < VMS ->
      if
      :: reportAge[v] < SILENCE_TIMEOUT ->
        digestAlive[v] = aliveCount; recipient[v] = newRecipient;
#ifdef VALID_BY_ARRIVAL
        digestAge[v] = 0
#else
        /* The age of a digest is that of the report that it acknowledges. */
        digestAge[v] = reportAge[v]
#endif
      :: v > 0 ->
        if :: reportAge[v] < SILENCE_TIMEOUT -> allCurrent = false :: else fi;
        if :: digestAge[v] < SHARE_VALIDITY -> digestAge[v]++ :: else fi
      fi;
      v++
    :: else -> break
    od;
    atomic {
      sharesInUse = 0; v = 0;
      do
      :: v < VMS ->
        if
#ifdef NO_EXPIRY
        :: true ->
#else
        :: digestAge[v] < SHARE_VALIDITY ->
#endif
          if
#ifdef NOTHING_KEPT_FOR_SILENT
          :: recipient[v] == v -> sharesInUse = sharesInUse + VMS
#else
          :: recipient[v] == v -> sharesInUse = sharesInUse + digestAlive[v]
#endif
          :: else
          fi;
          if
          :: reportAge[v] >= SILENCE_TIMEOUT && silentFor[v] > 2 && recipient[v] == v -> assert(digestAlive[v] <= 1)
          :: else
          fi;
          if :: reportAge[v] >= SILENCE_TIMEOUT -> allCurrent = false :: else fi
#ifndef NO_EXPIRY
        :: else -> sharesInUse++
#endif
        fi;
        v++
      :: else -> break
      od;
      assert(!allCurrent || sharesInUse <= VMS)
    }
  od
}
