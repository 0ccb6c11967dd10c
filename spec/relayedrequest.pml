/*
 * A request that a VM without links to the backend servers relays (entry/gateway,
 * relay.go and relayserver.go).
 *
 * VM 0 sends a request that may run at most once to one relay after another. A relay has
 * lost its links as well, which may change at any time, runs the request at a server, or
 * ends. Messages and responses are delayed without a bound or lost with their connection;
 * an attempt to connect may fail.
 *
 * Properties: the request runs at most once; if the caller is told that it did not run, it
 * never does; it takes at most one hop.
 */

// MUTATION: RETRY_AFTER_LOSS
// MUTATION: LOSS_IS_NOT_RUN
// MUTATION: TIMEOUT_IS_NOT_RUN
// MUTATION: REFUSAL_AFTER_LOST_ANSWER
// MUTATION: RELAYS_RELAY

#define VMS 3
#define MAX_HOPS 1

mtype = { refused, answered, unknown };

/* What the caller was told. */
mtype outcome;
bool finished;
byte runs;

bool links[VMS];

/* Requests to each relay, with the hops that they have taken, and its responses. */
chan to[VMS] = [1] of { byte };
chan from[VMS] = [1] of { mtype };

inline finish(result)
{
  outcome = result;
  finished = true
}

active proctype caller()
{
  byte relay = 1;
  mtype response;
  do
  :: relay == VMS -> finish(refused); break
  :: relay < VMS ->
    if
    :: relay++                        /* could not connect: not sent */
    :: to[relay]!1;
      if
      :: from[relay]?response ->
        if
        :: response == refused -> relay++
        :: response == answered -> finish(answered); break
        :: response == unknown -> finish(unknown); break
        fi
      :: true ->                      /* the connection failed */
#ifdef RETRY_AFTER_LOSS
        relay++
#else
#ifdef LOSS_IS_NOT_RUN
        finish(refused); break
#else
        finish(unknown); break
#endif
#endif
      :: true ->                      /* the deadline has passed */
#ifdef TIMEOUT_IS_NOT_RUN
        finish(refused); break
#else
        finish(unknown); break
#endif
      fi
    fi
  od
}

proctype relayVM(byte self)
{
  byte hops;
end:
  do
  :: links[self] = !links[self]
  :: to[self]?hops ->
    assert(hops <= MAX_HOPS);
    if
    :: !links[self] ->
#ifdef RELAYS_RELAY
      if :: hops < 3 -> to[3 - self]!hops + 1 :: else fi
#else
      from[self]!refused
#endif
    :: links[self] ->
      if
      :: from[self]!refused           /* takes no more requests */
      :: runs++;
        assert(runs <= 1);
        if
        :: from[self]!answered
        :: true ->                    /* the answer of the server is lost */
#ifdef REFUSAL_AFTER_LOST_ANSWER
          from[self]!refused
#else
          from[self]!unknown
#endif
        :: break                      /* the relay ends */
        fi
      fi
    fi
  od
}

init
{
  atomic { run relayVM(1); run relayVM(2) }
}

active proctype monitor()
{
end:
  do
  :: atomic { finished && outcome == refused && runs > 0 -> assert(false) }
  od
}
