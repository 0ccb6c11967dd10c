/*
 * Leases, eviction votes and epoch changes of core/lease and core/fleet.
 *
 * Property: once member 0 has been evicted from the fleet row, it holds no
 * lease. Epoch 1 has member 0, and epochs 2 and 3 add members 1 and 2. Member 0
 * can be evicted from epoch 2 or 3. The table has weight 0, 1 and 2 in epochs of
 * 1, 2 and 3 members.
 *
 * Time is discrete. A grant is valid for GRANT_TTL ticks of member 0's clock,
 * counted from the sending of the heartbeat. A voter does not vote for the
 * eviction for VOTE_DELAY ticks after its last grant. Member 0's clock may lose
 * one tick in VOTE_DELAY, which is more drift than the implementation allows. Ages
 * are counted up to a limit, which keeps the state space finite. A pause of member
 * 0 stops its actions but not its clock; other VMs pause by taking no step.
 *
 * Where the implementation learns of a fact with a delay (acknowledgements, the
 * age of an epoch), the model uses the fact itself, which allows more behaviour.
 */

// MUTATION: VOTER_IGNORES_PROMISE
// MUTATION: QUORUM_WITHOUT_TABLE_WEIGHT
// MUTATION: GRANT_AFTER_VOTE
// MUTATION: VOTES_OF_CURRENT_EPOCH_ONLY
// MUTATION: NO_EPOCH_ACKS
// MUTATION: RENEWAL_IGNORES_FLEET_ROW

#define GRANT_TTL 2
#define VOTE_DELAY 3
#define NONE 7 /* there is no message, grant or settled epoch */
#define VMS 3
#define LAST_EPOCH 3

/* The fleet row and the lease row of member 0. */
byte fleet_row_epoch = 1;
bool evicted = false;
byte fleet_row_age = VOTE_DELAY; /* ticks since the current epoch was written */
byte settled_age = NONE;    /* ticks since the current epoch was settled, NONE: it is not */
byte lease_row_age = VOTE_DELAY; /* ticks since the lease row was written */

/* The voters; index 0 is member 0 itself. */
byte epoch[VMS];            /* the epoch entered, 0: none */
byte last_grant_age[VMS];   /* ticks since the last grant to member 0 */
bool voted[VMS];            /* whether it voted, in this epoch, for the eviction of member 0 */

/* Member 0; ages are in ticks of its clock. */
byte heartbeat_age[VMS];    /* age of the heartbeat in flight to a voter */
byte grant_age[VMS];        /* age of the heartbeat that the voter granted */
byte grant_epoch[VMS];
byte renewal_age = NONE;    /* age of the renewal of the lease row in flight */
byte renewal_epoch = 0;
byte table_grant_age = NONE;
byte table_grant_epoch = 0;
byte lease_ticks_left = 0;
bool paused = false;
byte lost_tick_age = VOTE_DELAY;

byte i, ticks, weight;

/* Epoch e has the members 0 to e-1. */
#define TABLE_WEIGHT(e) ((e) - 1)
#ifdef QUORUM_WITHOUT_TABLE_WEIGHT
#define QUORUM(e) ((e) / 2 + 1)
#else
#define QUORUM(e) (((e) + TABLE_WEIGHT(e)) / 2 + 1)
#endif

#define ACKED(v) (epoch[v] >= fleet_row_epoch)
#define ACK_WEIGHT(e) (TABLE_WEIGHT(e) + ACKED(0) + ((e) > 1 && ACKED(1)) + ((e) > 2 && ACKED(2)))
#ifdef NO_EPOCH_ACKS
#define SETTLED true
#else
#define SETTLED (ACK_WEIGHT(fleet_row_epoch) >= QUORUM(fleet_row_epoch) && \
                 (fleet_row_epoch == 1 || ACK_WEIGHT(fleet_row_epoch - 1) >= QUORUM(fleet_row_epoch - 1)))
#endif

#define VOTES_IN_ROW_EPOCH(v) (voted[v] && epoch[v] == fleet_row_epoch)
#define TABLE_VOTE (lease_row_age >= VOTE_DELAY)
#define VOTE_WEIGHT(e) (TABLE_VOTE * TABLE_WEIGHT(e) + ((e) > 1 && VOTES_IN_ROW_EPOCH(1)) + ((e) > 2 && VOTES_IN_ROW_EPOCH(2)))
#define VOTES_ARE_QUORUM(e) (VOTE_WEIGHT(e) >= QUORUM(e))
#ifdef VOTES_OF_CURRENT_EPOCH_ONLY
#define EVICTION_ALLOWED VOTES_ARE_QUORUM(fleet_row_epoch)
#else
#define EVICTION_ALLOWED (VOTES_ARE_QUORUM(fleet_row_epoch) && \
	((settled_age != NONE && settled_age >= VOTE_DELAY) || VOTES_ARE_QUORUM(fleet_row_epoch - 1)) && \
	(fleet_row_epoch < 3 || fleet_row_age >= VOTE_DELAY || VOTES_ARE_QUORUM(fleet_row_epoch - 2)))
#endif

/* Resets the work variables, which would otherwise distinguish states. */
inline reset_work_variables() {
	i = 0;
	ticks = 0;
	weight = 0
}

inline increment_up_to(counter, limit) {
	if
	:: counter < limit -> counter++
	:: else
	fi
}

/* A message or grant of age GRANT_TTL has no effect any more and is dropped. */
inline expire(counter) {
	if
	:: counter == NONE
	:: counter < GRANT_TTL - 1 -> counter++
	:: counter == GRANT_TTL - 1 -> counter = NONE
	fi
}

/* Clears the epoch of an expired grant, which would otherwise distinguish states. */
inline clear_expired_epoch(counter, of_epoch) {
	if
	:: counter == NONE -> of_epoch = 0
	:: else
	fi
}

inline update_settled() {
	if
	:: settled_age == NONE && SETTLED -> settled_age = 0
	:: else
	fi
}

/* Extends the lease to the longest time for which the grants form a quorum of
 * member 0's epoch. */
inline update_lease() {
	for (ticks : 1 .. GRANT_TTL) {
		weight = 0;
		for (i : 0 .. VMS - 1) {
			if
			:: i < epoch[0] && grant_age[i] != NONE && grant_epoch[i] <= epoch[0] &&
			   grant_age[i] + ticks <= GRANT_TTL -> weight++
			:: else
			fi
		}
		if
		:: table_grant_age != NONE && table_grant_epoch <= epoch[0] &&
		   table_grant_age + ticks <= GRANT_TTL -> weight = weight + TABLE_WEIGHT(epoch[0])
		:: else
		fi;
		if
		:: weight >= QUORUM(epoch[0]) && ticks > lease_ticks_left -> lease_ticks_left = ticks
		:: else
		fi
	}
}

/* EpochAnnounce: a VM enters the next epoch. */
inline enter_epoch(v) {
	epoch[v]++;
	voted[v] = false;
	update_settled();
	if
	:: v == 0 -> update_lease()
	:: else
	fi
}

inline write_fleet_row(next) {
	fleet_row_epoch = next;
	fleet_row_age = 0;
	settled_age = NONE;
	update_settled()
}

inline tick() {
	for (i : 1 .. VMS - 1) {
		increment_up_to(last_grant_age[i], VOTE_DELAY)
	}
	increment_up_to(fleet_row_age, VOTE_DELAY);
	increment_up_to(lease_row_age, VOTE_DELAY);
	if
	:: settled_age != NONE -> increment_up_to(settled_age, VOTE_DELAY)
	:: else
	fi
}

inline holder_tick() {
	for (i : 0 .. VMS - 1) {
		expire(heartbeat_age[i]);
		expire(grant_age[i]);
		clear_expired_epoch(grant_age[i], grant_epoch[i])
	}
	expire(renewal_age);
	clear_expired_epoch(renewal_age, renewal_epoch);
	expire(table_grant_age);
	clear_expired_epoch(table_grant_age, table_grant_epoch);
	if
	:: lease_ticks_left > 0 -> lease_ticks_left--
	:: else
	fi
}

#define IS_MEMBER(v) (epoch[v] > v)
#ifdef GRANT_AFTER_VOTE
#define REFUSES(v) false
#else
#define REFUSES(v) voted[v]
#endif
#ifdef VOTER_IGNORES_PROMISE
#define VOTE_DELAY_PASSED(v) true
#else
#define VOTE_DELAY_PASSED(v) (last_grant_age[v] >= VOTE_DELAY)
#endif
#ifdef RENEWAL_IGNORES_FLEET_ROW
#define FLEET_ROW_UNCHANGED true
#else
#define FLEET_ROW_UNCHANGED (renewal_epoch == fleet_row_epoch && !evicted)
#endif

init {
	d_step {
		for (i : 0 .. VMS - 1) {
			last_grant_age[i] = VOTE_DELAY;
			heartbeat_age[i] = NONE;
			grant_age[i] = NONE
		}
		epoch[0] = 1;
		update_settled();
		reset_work_variables()
	}
	do
	/* Time. Member 0's clock may lose a tick. */
	:: d_step { tick(); holder_tick(); increment_up_to(lost_tick_age, VOTE_DELAY); reset_work_variables() }
	:: d_step { lost_tick_age >= VOTE_DELAY -> tick(); lost_tick_age = 0; reset_work_variables() }

	/* Member 0 is paused or resumes. */
	:: d_step { !paused -> paused = true }
	:: d_step { paused -> paused = false }

	/* Heartbeat: member 0 grants its own at once; those to the others are in flight. */
	:: d_step {
		!paused && (grant_age[0] != 0 || heartbeat_age[1] == NONE || heartbeat_age[2] == NONE) ->
		grant_age[0] = 0; grant_epoch[0] = epoch[0];
		for (i : 1 .. VMS - 1) {
			if
			:: i < epoch[0] && heartbeat_age[i] == NONE -> heartbeat_age[i] = 0
			:: else
			fi
		}
		update_lease(); reset_work_variables()
	   }

	/* HeartbeatAck: a voter grants. The delay of the ack only shortens the lease
	 * and is not modelled. */
	:: d_step {
		heartbeat_age[1] != NONE && IS_MEMBER(1) && !REFUSES(1) ->
		last_grant_age[1] = 0; grant_age[1] = heartbeat_age[1]; grant_epoch[1] = epoch[1];
		heartbeat_age[1] = NONE; update_lease(); reset_work_variables()
	   }
	:: d_step {
		heartbeat_age[2] != NONE && IS_MEMBER(2) && !REFUSES(2) ->
		last_grant_age[2] = 0; grant_age[2] = heartbeat_age[2]; grant_epoch[2] = epoch[2];
		heartbeat_age[2] = NONE; update_lease(); reset_work_variables()
	   }

	/* Renewal of the lease row, conditional on the fleet row that member 0 knows. */
	:: d_step { !paused && renewal_age == NONE && epoch[0] > 1 -> renewal_age = 0; renewal_epoch = epoch[0] }
	:: d_step {
		renewal_age != NONE && FLEET_ROW_UNCHANGED ->
		lease_row_age = 0; table_grant_age = renewal_age; table_grant_epoch = renewal_epoch;
		renewal_age = NONE; renewal_epoch = 0; update_lease(); reset_work_variables()
	   }

	/* EpochAnnounce and EpochAck. The first epoch that member 1 or 2 enters is the
	 * one that adds it. */
	:: d_step { !paused && epoch[0] < fleet_row_epoch -> enter_epoch(0); reset_work_variables() }
	:: d_step { !evicted && epoch[1] < fleet_row_epoch && fleet_row_epoch >= 2 ->
		if
		:: epoch[1] == 0 -> epoch[1] = 1
		:: else
		fi;
		enter_epoch(1); reset_work_variables()
	   }
	:: d_step { !evicted && epoch[2] < fleet_row_epoch && fleet_row_epoch >= 3 ->
		if
		:: epoch[2] == 0 -> epoch[2] = 2
		:: else
		fi;
		enter_epoch(2); reset_work_variables()
	   }

	/* EvictionVoteRequest and EvictionVote. */
	:: d_step { IS_MEMBER(1) && !voted[1] && VOTE_DELAY_PASSED(1) -> voted[1] = true }
	:: d_step { IS_MEMBER(2) && !voted[2] && VOTE_DELAY_PASSED(2) -> voted[2] = true }

	/* A member is added by compare-and-swap. */
	:: d_step { !evicted && fleet_row_epoch < LAST_EPOCH && settled_age != NONE -> write_fleet_row(fleet_row_epoch + 1) }

	/* Member 0 is evicted by compare-and-swap. The table's vote counts if it has one. */
	:: atomic {
		!evicted && fleet_row_epoch > 1 && settled_age != NONE && EVICTION_ALLOWED ->
		evicted = true;
		assert(lease_ticks_left == 0)
	   }
	:: evicted && lease_ticks_left > 0 -> assert(false)
	od
}
