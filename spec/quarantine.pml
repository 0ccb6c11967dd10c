/*
 * Trials of a quarantined request (core/poison, entry/gateway/poison.go).
 *
 * The request crashes each server that runs it and arrives at any VM at any time. A VM that
 * knows of two crashes rejects it, except for trials: each is due DELAY steps after the last crash
 * or claim that the VM knows of. The VM claims the trial, waits CLAIM steps, and sends the
 * request unless another VM claimed the same trial and comes first. A message arrives within MESSAGE
 * steps. All VMs may restart once; they then know what the hub wrote to the store, which is what one
 * VM knew MESSAGE steps after the last crash.
 *
 * Properties: no two VMs try the request at the same time, and it reaches servers at most TRIALS
 * times after the fleet has heard of the crashes that quarantined it.
 */

// MUTATION: NO_CLAIM
// MUTATION: CLAIM_IS_TOO_SHORT
// MUTATION: BOTH_CLAIMS_HOLD
// MUTATION: CRASHES_ARE_NOT_TOLD
// MUTATION: RESTART_FORGETS

#define VMS 2
#define MESSAGE 2
#ifdef CLAIM_IS_TOO_SHORT
#define CLAIM 1
#else
#define CLAIM (MESSAGE + 1)
#endif
#define DELAY 5
#define TRIALS 3
#define QUARANTINE 2

#define COUNT(set) ((set & 1) + ((set >> 1) & 1) + ((set >> 2) & 1) + ((set >> 3) & 1) + ((set >> 4) & 1) + ((set >> 5) & 1) + ((set >> 6) & 1))
#define MAX_CRASHES 7

/* What each VM knows: the set of crashes, the trials and who claimed the last one, the steps since the last of both. */
byte crashes[VMS];
byte trials[VMS];
byte holder[VMS];
byte since[VMS];
/* Steps until a VM that has claimed a trial sends the request; 0 if it has not. */
byte claim[VMS];
/* Steps until a message with all that a VM knows arrives at the other one; 0 if none is on its way. */
byte message[VMS];
byte sentCrashes[VMS], sentTrials[VMS], sentHolder[VMS], sentSince[VMS];

/* The crashes, the steps since there were QUARANTINE, and the requests sent later. */
byte total;
byte notice;
byte sent;
bool restarted;
byte storedCrashes, storedTrials, storedHolder;

#define NOBODY 9

inline tell(i)
{
  /* What is told before a message arrives is part of it: otherwise the second one would delay the first. */
  if :: message[i] == 0 -> message[i] = MESSAGE :: else fi;
  sentCrashes[i] = crashes[i]; sentTrials[i] = trials[i]; sentHolder[i] = holder[i]; sentSince[i] = since[i]
}

inline send(i)
{
  if
  :: notice > MESSAGE + 1 -> sent++; assert(sent <= TRIALS)
  :: else
  fi;
  crashes[i] = crashes[i] | (1 << total);
  if :: total < MAX_CRASHES - 1 -> total++ :: else fi;
  since[i] = 0;
#ifndef CRASHES_ARE_NOT_TOLD
  tell(i)
#endif
}

inline arrive(i)
{
  if
  :: claim[i] == 0 && COUNT(crashes[i]) < QUARANTINE -> send(i)
  :: claim[i] == 0 && COUNT(crashes[i]) >= QUARANTINE && trials[i] < TRIALS && since[i] >= DELAY ->
    trials[i]++; holder[i] = i; since[i] = 0;
#ifdef NO_CLAIM
    send(i)
#else
    claim[i] = CLAIM;
    tell(i)
#endif
  :: else
  fi
}

/* merge adds what VM i told to what VM j knows. */
inline merge(i, j)
{
  if
  :: (sentCrashes[i] | crashes[j]) != crashes[j] -> crashes[j] = sentCrashes[i] | crashes[j]; since[j] = sentSince[i]
  :: else
  fi;
  if
  :: sentTrials[i] > trials[j] -> trials[j] = sentTrials[i]; holder[j] = sentHolder[i]; since[j] = sentSince[i]
#ifndef BOTH_CLAIMS_HOLD
  :: sentTrials[i] == trials[j] && sentHolder[i] < holder[j] -> holder[j] = sentHolder[i]
#endif
  :: else
  fi
}

inline step(i)
{
  if :: since[i] < DELAY -> since[i]++ :: else fi;
  if
  :: message[i] > 0 ->
    message[i]--;
    if :: sentSince[i] < DELAY -> sentSince[i]++ :: else fi;
    if :: message[i] == 0 -> merge(i, 1 - i) :: else fi
  :: else
  fi
}

inline endClaim(i)
{
  if
  :: claim[i] > 0 ->
    claim[i]--;
    if
    :: claim[i] == 0 && holder[i] == i -> send(i)
    :: else
    fi
  :: else
  fi
}

inline restart(i)
{
#ifdef RESTART_FORGETS
  crashes[i] = 0; trials[i] = 0; holder[i] = NOBODY;
#else
  crashes[i] = storedCrashes; trials[i] = storedTrials; holder[i] = storedHolder;
#endif
  since[i] = 0
}

init
{
  holder[0] = NOBODY; holder[1] = NOBODY; storedHolder = NOBODY;
end:
  do
  :: atomic {
      /* A step: requests may arrive at each VM before messages do. */
      if :: arrive(0) :: true fi;
      if :: arrive(1) :: true fi;
      assert(!(claim[0] == 1 && claim[1] == 1 && holder[0] == 0 && holder[1] == 1));
      if :: total >= QUARANTINE && notice < MESSAGE + 2 -> notice++ :: else fi;
      step(0); step(1);
      endClaim(0); endClaim(1);
      if
      :: message[0] == 0 && message[1] == 0 && claim[0] == 0 && claim[1] == 0 ->
        storedCrashes = crashes[0]; storedTrials = trials[0]; storedHolder = holder[0]
      :: else
      fi
    }
  :: atomic {
      !restarted && COUNT(storedCrashes) >= QUARANTINE && claim[0] == 0 && claim[1] == 0 && message[0] == 0 && message[1] == 0 ->
      restarted = true;
      restart(0); restart(1)
    }
  od
}
