/*
 * Units of one limit: transfer, loss, duplication, crash, pause past the lease,
 * epochs written by compare-and-swap with lost answers, and reconciliation.
 * Actions carry the names of the Go messages and methods of core/quota.
 *
 * Two VMs, two units, three epochs and two faults: 670,393 states. Three VMs do
 * not end within a minute.
 *
 * Property: the units of the VMs that may serve never exceed TOTAL, counting
 * what they hold. A unit in flight is covered, since its delivery is checked.
 */

// MUTATION: NO_SUBTRACT
// MUTATION: ACCEPT_OLD_EPOCH
// MUTATION: NO_FENCE
// MUTATION: CREDIT_BEFORE_ALL_REPORTED
// MUTATION: CREDIT_TWICE
// MUTATION: REPORT_CHANGES

#define N 2
#define TOTAL 2
#define MAXEPOCH 3
#define SLOTS 1
#define NOBODY 255

/* The fleet row: epoch, members (bit set) and writer, changed by
   compare-and-swap. */
byte rowEpoch = 1;
byte rowMembers = 3;
byte rowWriter = 0;
/* Members of each epoch, to know whom the writer of an epoch asks. */
byte membersOf[MAXEPOCH + 1] = 3;
byte writerOf[MAXEPOCH + 1] = NOBODY;

/* State of a VM. */
byte units[N] = 1;
byte epoch[N] = 1;   /* epoch entered */
bool paused[N];      /* paused past the lease: may not serve */
bool dead[N];
byte recorded[N] = 1; /* holding at the entry into the epoch */
bool credited[N];    /* ReconcileCredit of the epoch accepted */

/* Reconciliation at the writer of the epoch that it has entered. */
byte reports[N];     /* bit set of reporters */
byte sum[N];
bool closed[N];

/* Messages on their way; a slot is a message that stays until it is lost, so
   that it may be delivered more than once and in any order. */
bool used[SLOTS];
byte tEpoch[SLOTS];
byte tTo[SLOTS];
bool seen[SLOTS];    /* the receiver has seen the sequence number */

/* ReconcileCredit on its way to a VM: its epoch and units, 0: none. */
byte cEpoch[N];
byte cUnits[N];

byte inserted;       /* number of faults used */
#define FAULTS 2

/* The rules that the mutations break. */
#ifdef NO_SUBTRACT
#define subtract(v) skip
#else
#define subtract(v) units[v]--
#endif
#ifdef ACCEPT_OLD_EPOCH
#define acceptable(e, v) ((e) <= epoch[v])
#else
#define acceptable(e, v) ((e) == epoch[v])
#endif
#ifdef NO_FENCE
#define serves(v) (!dead[v] && !paused[v])
#else
#define serves(v) live(v)
#endif
#ifdef CREDIT_BEFORE_ALL_REPORTED
#define complete(v) (reports[v] != 0)
#else
#define complete(v) (reports[v] == membersOf[epoch[v]])
#endif
#ifdef CREDIT_TWICE
#define creditable(v) true
#else
#define creditable(v) (!credited[v])
#endif
#ifdef REPORT_CHANGES
#define holding(v) units[v]
#else
#define holding(v) recorded[v]
#endif

#define isMember(set, v) (((set) >> (v)) & 1)
#define runs(v) (!dead[v] && !paused[v])
#define live(v) (runs(v) && isMember(rowMembers, v))

/* Units that may admit requests: those of the running members of the row. A
   VM outside the row is fenced: it was evicted after its lease had ended. */
inline check() {
	byte held, w;
	held = 0;
	for (w : 0 .. N - 1) {
		if :: serves(w) -> held = held + units[w] :: else fi
	}
	assert(held <= TOTAL);
	held = 0; w = 0
}

/* QuotaTransfer: the giver subtracts before it sends. */
inline quotaTransfer(v) {
	byte s, to;
	select(to : 0 .. N - 1);
	s = 0;
	do
	:: s < SLOTS && used[s] -> s++
	:: else -> break
	od;
	if
	:: s < SLOTS && to != v && isMember(membersOf[epoch[v]], to) ->
		subtract(v);
		used[s] = true; tEpoch[s] = epoch[v]; tTo[s] = to; seen[s] = false
	:: else
	fi;
	s = 0; to = 0
}

/* Delivery of a QuotaTransfer. The message stays, as a duplicate. */
inline receiveTransfer(v) {
	byte s;
	for (s : 0 .. SLOTS - 1) {
		if
		:: used[s] && tTo[s] == v && !seen[s] && acceptable(tEpoch[s], v) ->
			seen[s] = true; units[v]++; check()
		:: used[s] && tTo[s] == v && seen[s] -> used[s] = false
		:: true
		fi
	}
	s = 0
}

inline resetReconciliation(v) {
	reports[v] = 0; sum[v] = 0; closed[v] = false; credited[v] = false
}

/* EnterEpoch: the VM learns the row and records its holding; with a row that
   does not name it, it holds nothing. */
inline enterEpoch(v) {
	if
	:: isMember(rowMembers, v) ->
		epoch[v] = rowEpoch; recorded[v] = units[v]; resetReconciliation(v)
	:: else -> units[v] = 0; epoch[v] = rowEpoch; recorded[v] = 0; resetReconciliation(v)
	fi
}

/* A member writes the next epoch. The evicted VM is dead or paused past its
   lease. The writer may lose the table's answer; it then enters the epoch
   later, when it reads the row back. */
inline writeEpoch(v) {
	byte out;
	select(out : 0 .. N - 1);
	if
	:: rowEpoch < MAXEPOCH && live(v) && epoch[v] == rowEpoch && (dead[out] || paused[out]) && isMember(rowMembers, out) ->
		rowEpoch++; rowMembers = rowMembers & ~(1 << out); rowWriter = v;
		membersOf[rowEpoch] = rowMembers; writerOf[rowEpoch] = v;
		if
		:: enterEpoch(v)
		:: true /* the answer is lost */
		fi
	:: rowEpoch < MAXEPOCH && live(v) && epoch[v] == rowEpoch -> /* a change without eviction */
		rowEpoch++; rowWriter = v;
		membersOf[rowEpoch] = rowMembers; writerOf[rowEpoch] = v;
		if
		:: enterEpoch(v)
		:: true
		fi
	:: else
	fi;
	out = 0
}

/* ReconcileRequest and ReconcileReport: a member in the writer's epoch tells
   what it recorded; the exchange may be repeated or not happen. */
inline reconcileReport(v) {
	byte w;
	w = writerOf[epoch[v]];
	if
	:: w != NOBODY && runs(w) && epoch[w] == epoch[v] && !isMember(reports[w], v) ->
		reports[w] = reports[w] | (1 << v);
		sum[w] = sum[w] + holding(v)
	:: else
	fi;
	w = 0
}

/* ReconcileCredit: sent when all members of the epoch have reported. The
   missing units go to one member of any choice; the message may be lost. */
inline reconcileCredit(v) {
	byte to;
	select(to : 0 .. N - 1);
	if
	:: writerOf[epoch[v]] == v && !closed[v] && isMember(membersOf[epoch[v]], to) && sum[v] < TOTAL && complete(v) ->
		closed[v] = true; cEpoch[to] = epoch[v]; cUnits[to] = TOTAL - sum[v]
	:: else
	fi;
	to = 0
}

/* Delivery of a ReconcileCredit; a copy stays on its way. */
inline receiveCredit(v) {
	if
	:: cUnits[v] > 0 && cEpoch[v] == epoch[v] && creditable(v) ->
		credited[v] = true; units[v] = units[v] + cUnits[v]; check()
	:: else
	fi
}

active [N] proctype VM() {
	byte v = _pid;
end:
	do
	:: atomic { runs(v) && units[v] > 0 -> quotaTransfer(v) }
	:: atomic { runs(v) -> receiveTransfer(v) }
	:: atomic { runs(v) && epoch[v] < rowEpoch -> enterEpoch(v); check() }
	:: atomic { live(v) && epoch[v] == rowEpoch && rowEpoch < MAXEPOCH -> writeEpoch(v); check() }
	:: atomic { runs(v) && isMember(membersOf[epoch[v]], v) -> reconcileReport(v) }
	:: atomic { runs(v) -> reconcileCredit(v) }
	:: atomic { runs(v) && cUnits[v] > 0 -> receiveCredit(v) }
	od
}

/* Faults: crash, pause past the lease and resume, loss of messages. */
active proctype Faults() {
	byte v, s;
end:
	do
	:: atomic { inserted < FAULTS -> inserted++; select(v : 0 .. N - 1); dead[v] = true; units[v] = 0; v = 0 }
	:: atomic { inserted < FAULTS -> inserted++; select(v : 0 .. N - 1); if :: !dead[v] -> paused[v] = true :: else fi; v = 0 }
	:: atomic { select(v : 0 .. N - 1); if :: paused[v] -> paused[v] = false; check() :: else fi; v = 0 }
	:: atomic { select(s : 0 .. SLOTS - 1); used[s] = false; seen[s] = false; tEpoch[s] = 0; tTo[s] = 0; s = 0 }
	:: atomic { select(v : 0 .. N - 1); cUnits[v] = 0; cEpoch[v] = 0; v = 0 }
	od
}
