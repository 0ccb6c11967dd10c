/*
 * Leases, eviction votes and epoch changes of core/lease and core/fleet.
 *
 * Property: once member 0 has been evicted from the fleet row, it holds no
 * lease. Epoch 1 has member 0, epochs 2 and 3 add members 1 and 2; member 0 can
 * be evicted from epoch 2 or 3. The table has weight 0, 1 and 2
 * in epochs of 1, 2 and 3 members.
 *
 * Time is discrete. A grant lasts DURATION ticks of member 0's clock from the
 * sending of the heartbeat; a voter keeps its promise for PROMISE ticks. Member
 * 0's clock may lose one tick in PROMISE, which is more drift than the
 * implementation allows. Ages are counted up to a limit, so the state space is
 * finite. A pause of member 0 stops its actions but not its clock; other VMs
 * pause by taking no step.
 *
 * Where the implementation learns a fact late (acknowledgements, the age of an
 * epoch), the model uses the fact itself, which allows more behaviour.
 */

// MUTATION: VOTER_IGNORES_PROMISE
// MUTATION: QUORUM_WITHOUT_TABLE_WEIGHT
// MUTATION: GRANT_AFTER_VOTE
// MUTATION: VOTES_OF_CURRENT_EPOCH_ONLY
// MUTATION: NO_EPOCH_ACKS
// MUTATION: RENEWAL_IGNORES_FLEET_ROW

#define DURATION 2
#define PROMISE 3
#define NONE 7 /* no message, no grant */
#define VMS 3
#define LAST_EPOCH 3

/* The fleet row. */
byte row_epoch = 1;
bool evicted = false;
byte epoch_age = PROMISE;   /* ticks since row_epoch was written */
byte settled_age = NONE;    /* ticks since row_epoch was settled, NONE: it is not */
byte lease_row_age = PROMISE; /* ticks since member 0's lease row was written */

/* Voters; index 0 is member 0 itself. */
byte epoch[VMS];            /* epoch entered; 0: none */
byte granted_age[VMS];      /* ticks since the last grant to member 0 */
bool voted[VMS];            /* for the eviction of member 0, in epoch[] */

/* Member 0, by its own clock. */
byte heartbeat_age[VMS];    /* heartbeat in flight to a voter */
byte grant_age[VMS];        /* heartbeat that the voter granted */
byte grant_epoch[VMS];
byte renew_age = NONE;      /* renewal of the lease row in flight */
byte renew_epoch = 0;
byte table_grant_age = NONE;
byte table_grant_epoch = 0;
byte lease_left = 0;        /* ticks for which the lease is valid */
bool paused = false;
byte since_lost_tick = PROMISE;

byte i, r, weight;

/* Epoch e has the members 0 to e-1. */
#define TABLE_WEIGHT(e) ((e) - 1)
#ifdef QUORUM_WITHOUT_TABLE_WEIGHT
#define QUORUM(e) ((e) / 2 + 1)
#else
#define QUORUM(e) (((e) + TABLE_WEIGHT(e)) / 2 + 1)
#endif

#define ACKED(v) (epoch[v] >= row_epoch)
#define ACK_WEIGHT(e) (TABLE_WEIGHT(e) + ACKED(0) + ((e) > 1 && ACKED(1)) + ((e) > 2 && ACKED(2)))
#ifdef NO_EPOCH_ACKS
#define SETTLED true
#else
#define SETTLED (ACK_WEIGHT(row_epoch) >= QUORUM(row_epoch) && \
                 (row_epoch == 1 || ACK_WEIGHT(row_epoch - 1) >= QUORUM(row_epoch - 1)))
#endif

#define VOTES(v) (voted[v] && epoch[v] == row_epoch)
#define TABLE_VOTES (lease_row_age >= PROMISE)
#define VOTE_WEIGHT(e) (TABLE_VOTES * TABLE_WEIGHT(e) + ((e) > 1 && VOTES(1)) + ((e) > 2 && VOTES(2)))
#define VOTED_OUT(e) (VOTE_WEIGHT(e) >= QUORUM(e))
#ifdef VOTES_OF_CURRENT_EPOCH_ONLY
#define EVICTION_SETS VOTED_OUT(row_epoch)
#else
#define EVICTION_SETS (VOTED_OUT(row_epoch) && \
	((settled_age != NONE && settled_age >= PROMISE) || VOTED_OUT(row_epoch - 1)) && \
	(row_epoch < 3 || epoch_age >= PROMISE || VOTED_OUT(row_epoch - 2)))
#endif

/* Resets work variables, so that they do not distinguish states. */
inline done() {
	i = 0;
	r = 0;
	weight = 0
}

inline older(age, limit) {
	if
	:: age < limit -> age++
	:: else
	fi
}

/* Messages and grants of age DURATION have no effect. */
inline expire(age) {
	if
	:: age == NONE
	:: age < DURATION - 1 -> age++
	:: age == DURATION - 1 -> age = NONE
	fi
}

/* The epoch of an expired grant does not distinguish states. */
inline forget(age, of_epoch) {
	if
	:: age == NONE -> of_epoch = 0
	:: else
	fi
}

inline note_settled() {
	if
	:: settled_age == NONE && SETTLED -> settled_age = 0
	:: else
	fi
}

/* The longest time for which grants form a quorum of member 0's epoch. */
inline update_lease() {
	for (r : 1 .. DURATION) {
		weight = 0;
		for (i : 0 .. VMS - 1) {
			if
			:: i < epoch[0] && grant_age[i] != NONE && grant_epoch[i] <= epoch[0] &&
			   grant_age[i] + r <= DURATION -> weight++
			:: else
			fi
		}
		if
		:: table_grant_age != NONE && table_grant_epoch <= epoch[0] &&
		   table_grant_age + r <= DURATION -> weight = weight + TABLE_WEIGHT(epoch[0])
		:: else
		fi;
		if
		:: weight >= QUORUM(epoch[0]) && r > lease_left -> lease_left = r
		:: else
		fi
	}
}

/* EpochAnnounce: a VM enters an epoch that the row has had. */
inline enter(v) {
	epoch[v]++;
	voted[v] = false;
	note_settled();
	if
	:: v == 0 -> update_lease()
	:: else
	fi
}

inline write_row(next) {
	row_epoch = next;
	epoch_age = 0;
	settled_age = NONE;
	note_settled()
}

inline tick() {
	for (i : 1 .. VMS - 1) {
		older(granted_age[i], PROMISE)
	}
	older(epoch_age, PROMISE);
	older(lease_row_age, PROMISE);
	if
	:: settled_age != NONE -> older(settled_age, PROMISE)
	:: else
	fi
}

inline holder_tick() {
	for (i : 0 .. VMS - 1) {
		expire(heartbeat_age[i]);
		expire(grant_age[i]);
		forget(grant_age[i], grant_epoch[i])
	}
	expire(renew_age);
	forget(renew_age, renew_epoch);
	expire(table_grant_age);
	forget(table_grant_age, table_grant_epoch);
	if
	:: lease_left > 0 -> lease_left--
	:: else
	fi
}

#define MAY_GRANT(v) (epoch[v] > v)
#ifdef GRANT_AFTER_VOTE
#define REFUSES(v) false
#else
#define REFUSES(v) voted[v]
#endif
#ifdef VOTER_IGNORES_PROMISE
#define PROMISE_KEPT(v) true
#else
#define PROMISE_KEPT(v) (granted_age[v] >= PROMISE)
#endif
#ifdef RENEWAL_IGNORES_FLEET_ROW
#define ROW_AS_KNOWN true
#else
#define ROW_AS_KNOWN (renew_epoch == row_epoch && !evicted)
#endif

init {
	d_step {
		for (i : 0 .. VMS - 1) {
			granted_age[i] = PROMISE;
			heartbeat_age[i] = NONE;
			grant_age[i] = NONE
		}
		epoch[0] = 1;
		note_settled();
		done()
	}
	do
	/* Time. Member 0's clock may lose a tick now and then. */
	:: d_step { tick(); holder_tick(); older(since_lost_tick, PROMISE); done() }
	:: d_step { since_lost_tick >= PROMISE -> tick(); since_lost_tick = 0; done() }

	/* Pause and resume of member 0. */
	:: d_step { !paused -> paused = true }
	:: d_step { paused -> paused = false }

	/* Heartbeat: to itself at once, to the others in flight. */
	:: d_step {
		!paused && (grant_age[0] != 0 || heartbeat_age[1] == NONE || heartbeat_age[2] == NONE) ->
		grant_age[0] = 0; grant_epoch[0] = epoch[0];
		for (i : 1 .. VMS - 1) {
			if
			:: i < epoch[0] && heartbeat_age[i] == NONE -> heartbeat_age[i] = 0
			:: else
			fi
		}
		update_lease(); done()
	   }

	/* HeartbeatAck: a voter grants. Delay of the answer only shortens the lease. */
	:: d_step {
		heartbeat_age[1] != NONE && MAY_GRANT(1) && !REFUSES(1) ->
		granted_age[1] = 0; grant_age[1] = heartbeat_age[1]; grant_epoch[1] = epoch[1];
		heartbeat_age[1] = NONE; update_lease(); done()
	   }
	:: d_step {
		heartbeat_age[2] != NONE && MAY_GRANT(2) && !REFUSES(2) ->
		granted_age[2] = 0; grant_age[2] = heartbeat_age[2]; grant_epoch[2] = epoch[2];
		heartbeat_age[2] = NONE; update_lease(); done()
	   }

	/* Renewal of the lease row, conditional on the fleet row as known. */
	:: d_step { !paused && renew_age == NONE && epoch[0] > 1 -> renew_age = 0; renew_epoch = epoch[0] }
	:: d_step {
		renew_age != NONE && ROW_AS_KNOWN ->
		lease_row_age = 0; table_grant_age = renew_age; table_grant_epoch = renew_epoch;
		renew_age = NONE; renew_epoch = 0; update_lease(); done()
	   }

	/* EpochAnnounce and EpochAck. Members 1 and 2 enter first the epoch that adds them. */
	:: d_step { !paused && epoch[0] < row_epoch -> enter(0); done() }
	:: d_step { !evicted && epoch[1] < row_epoch && row_epoch >= 2 ->
		if
		:: epoch[1] == 0 -> epoch[1] = 1
		:: else
		fi;
		enter(1); done()
	   }
	:: d_step { !evicted && epoch[2] < row_epoch && row_epoch >= 3 ->
		if
		:: epoch[2] == 0 -> epoch[2] = 2
		:: else
		fi;
		enter(2); done()
	   }

	/* EvictionVoteRequest and EvictionVote. */
	:: d_step { MAY_GRANT(1) && !voted[1] && PROMISE_KEPT(1) -> voted[1] = true }
	:: d_step { MAY_GRANT(2) && !voted[2] && PROMISE_KEPT(2) -> voted[2] = true }

	/* Compare-and-swap that adds a member. */
	:: d_step { !evicted && row_epoch < LAST_EPOCH && settled_age != NONE -> write_row(row_epoch + 1) }

	/* Compare-and-swap that evicts member 0, with the table's vote if it has one. */
	:: atomic {
		!evicted && row_epoch > 1 && settled_age != NONE && EVICTION_SETS ->
		evicted = true;
		assert(lease_left == 0)
	   }
	:: evicted && lease_left > 0 -> assert(false)
	od
}
