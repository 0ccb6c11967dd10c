/*
 * Units of one limit: transfer, loss and duplication of messages, crashes, pauses
 * that outlast the lease, epochs written by compare-and-swap whose results may be
 * lost, and reconciliation. Actions have the names of the messages and methods of
 * core/quota.
 *
 * The model has two VMs, two units, three epochs and two faults: 670,393 states.
 * With three VMs the check does not end within a minute.
 *
 * A reconciliation round within an epoch is modelled as an epoch without an
 * eviction.
 *
 * Property: the VMs that may admit requests never hold more than TOTAL units. Units
 * in flight are covered, since the property is checked at each delivery.
 */

// MUTATION: NO_SUBTRACT
// MUTATION: ACCEPT_OLD_EPOCH
// MUTATION: NO_FENCE
// MUTATION: CREDIT_BEFORE_ALL_REPORTED
// MUTATION: CREDIT_TWICE
// MUTATION: REPORT_CHANGES

#define VMS 2
#define TOTAL 2
#define MAX_EPOCH 3
#define MESSAGE_SLOTS 1
#define NO_VM 255

/* The fleet row: epoch, members (a bit set) and writer. It is changed by
   compare-and-swap. */
byte rowEpoch = 1;
byte rowMembers = 3;
byte rowWriter = 0;
/* The members of each epoch, which report to the writer of the epoch, and the
   writer. */
byte membersOf[MAX_EPOCH + 1] = 3;
byte writerOf[MAX_EPOCH + 1] = NO_VM;

/* The state of each VM. */
byte units[VMS] = 1;         /* the holding */
byte epoch[VMS] = 1;         /* the epoch entered */
bool paused[VMS];            /* for longer than its lease: it may not admit requests */
bool crashed[VMS];
byte recordedUnits[VMS] = 1; /* the holding at the entry into the epoch */
bool credited[VMS];          /* it has accepted a ReconcileCredit of the epoch */

/* The reconciliation at each VM that wrote the epoch it has entered. */
byte reporters[VMS];     /* the members that have reported (a bit set) */
byte reportedUnits[VMS];
bool creditSent[VMS];

/* Transfers in flight. A message stays in its slot until it is lost, so that it
   may be delivered more than once and in any order. */
bool inFlight[MESSAGE_SLOTS];
byte transferEpoch[MESSAGE_SLOTS];
byte transferTo[MESSAGE_SLOTS];
bool received[MESSAGE_SLOTS]; /* the receiver has recorded the sequence number */

/* The ReconcileCredit in flight to each VM: its epoch and units, 0: none. */
byte creditEpoch[VMS];
byte creditUnits[VMS];

byte faultCount;
#define MAX_FAULTS 2

/* The rules that the mutations break. */
#ifdef NO_SUBTRACT
#define subtractUnit(v) skip
#else
#define subtractUnit(v) units[v]--
#endif
#ifdef ACCEPT_OLD_EPOCH
#define mayAcceptTransfer(e, v) ((e) <= epoch[v])
#else
#define mayAcceptTransfer(e, v) ((e) == epoch[v])
#endif
#ifdef NO_FENCE
#define mayAdmit(v) (!crashed[v] && !paused[v])
#else
#define mayAdmit(v) isRunningMember(v)
#endif
#ifdef CREDIT_BEFORE_ALL_REPORTED
#define reportsComplete(v) (reporters[v] != 0)
#else
#define reportsComplete(v) (reporters[v] == membersOf[epoch[v]])
#endif
#ifdef CREDIT_TWICE
#define mayAcceptCredit(v) true
#else
#define mayAcceptCredit(v) (!credited[v])
#endif
#ifdef REPORT_CHANGES
#define reportedHolding(v) units[v]
#else
#define reportedHolding(v) recordedUnits[v]
#endif

#define isMember(set, v) (((set) >> (v)) & 1)
#define isRunning(v) (!crashed[v] && !paused[v])
#define isRunningMember(v) (isRunning(v) && isMember(rowMembers, v))

/* Checks the units with which requests may be admitted, which are those of the
   running members of the fleet row. A VM that is not a member holds no lease: it
   was evicted after its lease had ended. */
inline checkTotal() {
	byte unitsInUse, w;
	unitsInUse = 0;
	for (w : 0 .. VMS - 1) {
		if :: mayAdmit(w) -> unitsInUse = unitsInUse + units[w] :: else fi
	}
	assert(unitsInUse <= TOTAL);
	unitsInUse = 0; w = 0
}

/* QuotaTransfer: the sender subtracts the units before it sends them. */
inline quotaTransfer(v) {
	byte s, to;
	select(to : 0 .. VMS - 1);
	s = 0;
	do
	:: s < MESSAGE_SLOTS && inFlight[s] -> s++
	:: else -> break
	od;
	if
	:: s < MESSAGE_SLOTS && to != v && isMember(membersOf[epoch[v]], to) ->
		subtractUnit(v);
		inFlight[s] = true; transferEpoch[s] = epoch[v]; transferTo[s] = to; received[s] = false
	:: else
	fi;
	s = 0; to = 0
}

/* Delivery of a QuotaTransfer. The message stays in flight as a duplicate. */
inline receiveTransfer(v) {
	byte s;
	for (s : 0 .. MESSAGE_SLOTS - 1) {
		if
		:: inFlight[s] && transferTo[s] == v && !received[s] && mayAcceptTransfer(transferEpoch[s], v) ->
			received[s] = true; units[v]++; checkTotal()
		:: inFlight[s] && transferTo[s] == v && received[s] -> inFlight[s] = false
		:: true
		fi
	}
	s = 0
}

inline resetReconciliation(v) {
	reporters[v] = 0; reportedUnits[v] = 0; creditSent[v] = false; credited[v] = false
}

/* EnterEpoch: the VM learns of the fleet row and records its holding. If it is not
   a member, it drops its holding. */
inline enterEpoch(v) {
	if
	:: isMember(rowMembers, v) ->
		epoch[v] = rowEpoch; recordedUnits[v] = units[v]; resetReconciliation(v)
	:: else -> units[v] = 0; epoch[v] = rowEpoch; recordedUnits[v] = 0; resetReconciliation(v)
	fi
}

/* A member writes the next epoch. The VM that it evicts has crashed or is paused
   for longer than its lease. If the result of the write is lost, the writer enters
   the epoch when it reads the row later. */
inline writeEpoch(v) {
	byte evictedVM;
	select(evictedVM : 0 .. VMS - 1);
	if
	:: rowEpoch < MAX_EPOCH && isRunningMember(v) && epoch[v] == rowEpoch && (crashed[evictedVM] || paused[evictedVM]) && isMember(rowMembers, evictedVM) ->
		rowEpoch++; rowMembers = rowMembers & ~(1 << evictedVM); rowWriter = v;
		membersOf[rowEpoch] = rowMembers; writerOf[rowEpoch] = v;
		if
		:: enterEpoch(v)
		:: true /* the result is lost */
		fi
	:: rowEpoch < MAX_EPOCH && isRunningMember(v) && epoch[v] == rowEpoch -> /* a change without an eviction */
		rowEpoch++; rowWriter = v;
		membersOf[rowEpoch] = rowMembers; writerOf[rowEpoch] = v;
		if
		:: enterEpoch(v)
		:: true
		fi
	:: else
	fi;
	evictedVM = 0
}

/* ReconcileRequest and ReconcileReport: a member that has entered the writer's
   epoch reports its recorded holding. This may happen repeatedly or never. */
inline reconcileReport(v) {
	byte w;
	w = writerOf[epoch[v]];
	if
	:: w != NO_VM && isRunning(w) && epoch[w] == epoch[v] && !isMember(reporters[w], v) ->
		reporters[w] = reporters[w] | (1 << v);
		reportedUnits[w] = reportedUnits[w] + reportedHolding(v)
	:: else
	fi;
	w = 0
}

/* ReconcileCredit: sent when all members of the epoch have reported. The missing
   units go to any one member. The message may be lost. */
inline reconcileCredit(v) {
	byte to;
	select(to : 0 .. VMS - 1);
	if
	:: writerOf[epoch[v]] == v && !creditSent[v] && isMember(membersOf[epoch[v]], to) && reportedUnits[v] < TOTAL && reportsComplete(v) ->
		creditSent[v] = true; creditEpoch[to] = epoch[v]; creditUnits[to] = TOTAL - reportedUnits[v]
	:: else
	fi;
	to = 0
}

/* Delivery of a ReconcileCredit. The message stays in flight as a duplicate. */
inline receiveCredit(v) {
	if
	:: creditUnits[v] > 0 && creditEpoch[v] == epoch[v] && mayAcceptCredit(v) ->
		credited[v] = true; units[v] = units[v] + creditUnits[v]; checkTotal()
	:: else
	fi
}

active [VMS] proctype VM() {
	byte v = _pid;
end:
	do
	:: atomic { isRunning(v) && units[v] > 0 -> quotaTransfer(v) }
	:: atomic { isRunning(v) -> receiveTransfer(v) }
	:: atomic { isRunning(v) && epoch[v] < rowEpoch -> enterEpoch(v); checkTotal() }
	:: atomic { isRunningMember(v) && epoch[v] == rowEpoch && rowEpoch < MAX_EPOCH -> writeEpoch(v); checkTotal() }
	:: atomic { isRunning(v) && isMember(membersOf[epoch[v]], v) -> reconcileReport(v) }
	:: atomic { isRunning(v) -> reconcileCredit(v) }
	:: atomic { isRunning(v) && creditUnits[v] > 0 -> receiveCredit(v) }
	od
}

/* Faults: crashes, pauses that outlast the lease, and lost messages. */
active proctype Faults() {
	byte v, s;
end:
	do
	:: atomic { faultCount < MAX_FAULTS -> faultCount++; select(v : 0 .. VMS - 1); crashed[v] = true; units[v] = 0; v = 0 }
	:: atomic { faultCount < MAX_FAULTS -> faultCount++; select(v : 0 .. VMS - 1); if :: !crashed[v] -> paused[v] = true :: else fi; v = 0 }
	:: atomic { select(v : 0 .. VMS - 1); if :: paused[v] -> paused[v] = false; checkTotal() :: else fi; v = 0 }
	:: atomic { select(s : 0 .. MESSAGE_SLOTS - 1); inFlight[s] = false; received[s] = false; transferEpoch[s] = 0; transferTo[s] = 0; s = 0 }
	:: atomic { select(v : 0 .. VMS - 1); creditUnits[v] = 0; creditEpoch[v] = 0; v = 0 }
	od
}
