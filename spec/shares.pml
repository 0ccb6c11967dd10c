/*
 * Shares of a client account's rate between VMs (core/exchange, core/ratelimit).
 *
 * Each interval VMs report to the hub, and the hub answers those that it heard
 * lately with a digest. The digest divides the parts of the live VMs among them
 * by demand; here, as the worst case, one live VM gets all of it. A VM that the
 * hub does not hear keeps an equal part, which is what a VM uses whose digest has
 * expired. Reports and digests may be lost, each way on its own.
 *
 * Checked: once the hub has not counted a VM for two intervals, that VM uses no
 * more than the equal part that is kept for it; and where all live VMs have the
 * newest digest and no other VM uses an older one, the parts add up to the rate at
 * most.
 */

// MUTATION: VALID_BY_ARRIVAL
// MUTATION: NO_EXPIRY
// MUTATION: NOTHING_KEPT_FOR_SILENT

#define VMS 3
/* Intervals without a report after which the hub does not count a VM, and after
 * which a VM does not use a digest, from the report that it confirms. */
#define SILENT 4
#define VALID 6

/* At the hub: intervals since a VM's last report, and how long it has not been
 * counted. */
byte unheard[VMS];
byte uncounted[VMS];

/* At each VM: its digest's size and winner, and its age. */
byte size[VMS];
byte winner[VMS];
byte age[VMS];

byte live, won, sum, v;
bool all;


active proctype Fleet()
{
  /* The start: all VMs have the same digest. */
  v = 0;
  do
  :: v < VMS -> size[v] = VMS; winner[v] = 0; v++
  :: else -> break
  od;
  do
  :: v = 0;
    /* Reports of one interval; each may be lost. VM 0 is the hub. */
    do
    :: v < VMS ->
      if
      :: unheard[v] = 0
      :: v > 0 -> if :: unheard[v] < SILENT -> unheard[v]++ :: else fi
      fi;
      v++
    :: else -> break
    od;
    atomic {
      live = 0; v = 0;
      do
      :: v < VMS ->
        if
        :: unheard[v] < SILENT -> live++; uncounted[v] = 0
        :: else -> if :: uncounted[v] < VALID -> uncounted[v]++ :: else fi
        fi;
        v++
      :: else -> break
      od
    };
    /* Demand decides which live VM gets the parts of all. */
    if
    :: won = 0
    :: unheard[1] < SILENT -> won = 1
    :: unheard[2] < SILENT -> won = 2
    fi;
    /* Digests; each may be lost. */
    all = true; v = 0;
    do
    :: v < VMS ->
      if
      :: unheard[v] < SILENT ->
        size[v] = live; winner[v] = won;
#ifdef VALID_BY_ARRIVAL
        age[v] = 0
#else
        /* A digest is as old as the report that it confirms. */
        age[v] = unheard[v]
#endif
      :: v > 0 ->
        if :: unheard[v] < SILENT -> all = false :: else fi;
        if :: age[v] < VALID -> age[v]++ :: else fi
      fi;
      v++
    :: else -> break
    od;
    atomic {
      sum = 0; v = 0;
      do
      :: v < VMS ->
        if
#ifdef NO_EXPIRY
        :: true ->
#else
        :: age[v] < VALID ->
#endif
          if
#ifdef NOTHING_KEPT_FOR_SILENT
          :: winner[v] == v -> sum = sum + VMS
#else
          :: winner[v] == v -> sum = sum + size[v]
#endif
          :: else
          fi;
          if
          :: unheard[v] >= SILENT && uncounted[v] > 2 && winner[v] == v -> assert(size[v] <= 1)
          :: else
          fi;
          if :: unheard[v] >= SILENT -> all = false :: else fi
#ifndef NO_EXPIRY
        :: else -> sum++
#endif
        fi;
        v++
      :: else -> break
      od;
      assert(!all || sum <= VMS)
    }
  od
}
