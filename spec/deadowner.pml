/*
 * Credit of VMs after the death of the owner of an account (core/ratelimit,
 * Requester.limitToFill).
 *
 * Each VM requests tokens from the owner, which has BURST of them; none are added. With
 * each answer the owner says how many it has left. Requests and answers may be lost. The
 * owner dies at any time. A VM then admits, on credit, its equal share of what was left
 * when the owner last answered it; a VM that never got an answer has its share of the
 * burst, and is left out here by an answer at the start.
 *
 * Property: all VMs together admit at most the burst and STALE more. What a VM knows may
 * be older than what the others have used since.
 */

// MUTATION: SHARE_OF_THE_WHOLE_BURST
// MUTATION: FILL_BEFORE_THE_OTHERS

#define VMS 2
#define BURST 4
/* While a VM knows of 3 tokens, its share of which is 1, the other may use them. */
#define STALE 1

short tokens = BURST;
bool dead;
byte admitted;
byte known[VMS];
bool answered[VMS];

/* The message in flight for each VM. */
#define NONE 0
#define REQUEST 1
#define ANSWER 2
byte message[VMS];
byte messageTokens[VMS];
byte messageLeft[VMS];
bool silent[VMS];
byte credit[VMS];

inline admit()
{
  admitted++;
  assert(admitted <= BURST + STALE)
}

inline clearMessage(i)
{
  message[i] = NONE; messageTokens[i] = 0; messageLeft[i] = 0
}

proctype VM(byte i)
{
end:
  do
  :: atomic { message[i] == NONE && !silent[i] -> message[i] = REQUEST }
  :: atomic { message[i] != NONE && answered[i] -> clearMessage(i) }
  :: atomic {
      message[i] == ANSWER && !silent[i] ->
        known[i] = messageLeft[i];
        answered[i] = true;
        if :: messageTokens[i] > 0 -> admit() :: else fi;
        clearMessage(i)
    }
  /* The owner has been silent for long. */
  :: atomic {
      dead && !silent[i] && answered[i] ->
        silent[i] = true;
        clearMessage(i);
#ifdef SHARE_OF_THE_WHOLE_BURST
        credit[i] = BURST / VMS
#else
        credit[i] = known[i] / VMS
#endif
    }
  :: atomic { silent[i] && credit[i] > 0 -> credit[i]--; admit() }
  od
}

proctype Owner()
{
  byte i;
  do
  :: atomic {
      i < VMS && message[i] == REQUEST ->
        message[i] = ANSWER;
#ifdef FILL_BEFORE_THE_OTHERS
        messageLeft[i] = BURST;
#endif
        if
        :: tokens > 0 -> tokens--; messageTokens[i] = 1
        :: else
        fi;
#ifndef FILL_BEFORE_THE_OTHERS
        messageLeft[i] = tokens;
#endif
        i = 0
    }
  :: atomic { i < VMS && message[i] != REQUEST -> i = (i + 1) % VMS }
  :: atomic { dead = true; i = 0; break }
  od
}

init
{
  atomic {
    run Owner();
    run VM(0);
    run VM(1)
  }
}
