/* Model of leases, configuration epochs and the hand-over of one bucket between
 * two VMs. docs/model.md maps each step to the code that implements it.
 *
 * Time advances in units. The lease of a VM starts when the VM sends a
 * heartbeat. The leader counts it from the receipt of the heartbeat and adds a
 * margin. The clock of a VM may lose one unit in every LEASE + 1 units, which is
 * the drift that the margin covers.
 * VM 1 always has a lease. A lease only prevents work, and safety depends on the
 * lease of the old owner, VM 0.
 *
 * A VM may install a configuration late or never, and may skip epochs.
 */
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef LEASE
#define LEASE 2
#endif
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
#define EXPIRED (LEASE + MARGIN)
#define NOBODY 2
#define NONE 9

/* Configuration of each epoch. */
byte owner[EPOCHS + 1];
byte next[EPOCHS + 1];
byte epoch; /* newest epoch in the log */

/* The leader's view of each VM. */
byte sinceHeartbeat[1]; /* time since the last heartbeat of VM 0 was received; VM 1 sends none */
bool member[2];
byte installed[2];      /* acknowledged epoch */
bool released[2];       /* release of the bucket received in the newest epoch */
byte elections;
bool restarted;

typedef VM {
	byte epoch;             /* installed epoch */
	byte lease;             /* remaining units; 0 if there is no lease */
	byte heartbeatAge;      /* units since the outstanding heartbeat was sent, or NONE */
	bool heartbeatAnswered; /* the leader has received and answered that heartbeat */
	byte driftPause;        /* units until the clock may lose the next unit */
	byte workEpoch          /* epoch in which running work started, or NONE */
};
VM v[2];

#define SERVES(i) (v[i].lease > 0 && v[i].epoch > 0 && owner[v[i].epoch] == i)
#ifdef START_BEFORE_RELEASE
#define MAYWORK(i) (v[i].lease > 0 && v[i].epoch > 0 && ((owner[v[i].epoch] == i && next[v[i].epoch] == NOBODY) || next[v[i].epoch] == i))
#else
#define MAYWORK(i) (SERVES(i) && next[v[i].epoch] == NOBODY)
#endif

inline checkSafety() {
	/* At most one VM runs work of the bucket. */
	assert(v[0].workEpoch == NONE || v[1].workEpoch == NONE);
	/* Once every VM has acknowledged the newest epoch or was removed, no work of
	 * an older epoch runs, except while the bucket is being handed over. */
	assert(v[0].workEpoch == NONE || !(member[0] == false || installed[0] == epoch) || !(member[1] == false || installed[1] == epoch) || v[0].workEpoch == epoch || v[0].workEpoch == epoch - 1 && next[epoch] != NOBODY);
	assert(v[1].workEpoch == NONE || !(member[0] == false || installed[0] == epoch) || !(member[1] == false || installed[1] == epoch) || v[1].workEpoch == epoch || v[1].workEpoch == epoch - 1 && next[epoch] != NOBODY)
}

/* Advances the time of VM i by one unit. ticks is 0 if its clock loses the unit.
 * Work ends at its deadline, which is not after the end of the lease. */
inline advance(i, ticks) {
	if
	:: v[i].heartbeatAge < LEASE -> v[i].heartbeatAge = v[i].heartbeatAge + ticks
	:: v[i].heartbeatAge == LEASE -> v[i].heartbeatAge = NONE; v[i].heartbeatAnswered = false
	:: else
	fi;
	if
	:: v[i].lease > 0 && ticks -> v[i].lease--
	:: else
	fi;
	if
	:: v[i].lease == 0 -> v[i].workEpoch = NONE
	:: else
	fi
}

inline newEpoch(o, x) {
	epoch++;
	owner[epoch] = o; next[epoch] = x;
	released[0] = false; released[1] = false
}

/* Runs after the installation of an epoch. Work stops if the VM is neither
 * the owner nor the next owner of the bucket. Otherwise, it continues, and counts
 * as work of the new epoch unless a hand-over is pending. */
inline applyInstalled(i) {
	if
	:: owner[v[i].epoch] != i && next[v[i].epoch] != i -> v[i].workEpoch = NONE
	:: else
	fi;
	if
	:: v[i].workEpoch != NONE && next[v[i].epoch] == NOBODY -> v[i].workEpoch = v[i].epoch
	:: else
	fi;
	checkSafety()
}

proctype Time() {
	do
	:: atomic { true ->
		if
		:: advance(0, 1); v[0].driftPause = (v[0].driftPause > 0 -> v[0].driftPause - 1 : 0)
		:: v[0].driftPause == 0 && v[0].lease > 0 -> v[0].driftPause = LEASE; advance(0, 0)
		fi;
		if
		:: sinceHeartbeat[0] < EXPIRED -> sinceHeartbeat[0]++
		:: else
		fi }
	od
}

proctype Member(byte i) {
	do
	/* A heartbeat is sent, received and answered. A lost one expires after LEASE. */
	:: atomic { i == 0 && v[i].heartbeatAge == NONE -> v[i].heartbeatAge = 0; v[i].heartbeatAnswered = false }
	:: atomic { v[i].heartbeatAge != NONE && !v[i].heartbeatAnswered && member[i] -> v[i].heartbeatAnswered = true; sinceHeartbeat[i] = 0; installed[i] = v[i].epoch }
	:: atomic { v[i].heartbeatAge != NONE && v[i].heartbeatAnswered ->
#ifdef LEASE_FROM_ANSWER
		v[i].lease = LEASE;
#else
		if
		:: LEASE - v[i].heartbeatAge > v[i].lease -> v[i].lease = LEASE - v[i].heartbeatAge
		:: else
		fi;
#endif
		v[i].heartbeatAge = NONE; v[i].heartbeatAnswered = false }
	:: atomic { i == 1 && installed[1] != v[1].epoch -> installed[1] = v[1].epoch }
	/* A VM installs a pushed configuration unless it is older than its own. */
#ifdef EPOCH_GOES_BACK
#define NEWER(e) (epoch >= e && v[i].epoch != e)
#else
#define NEWER(e) (epoch >= e && v[i].epoch < e)
#endif
	:: atomic { NEWER(1) -> v[i].epoch = 1; applyInstalled(i) }
	:: atomic { EPOCHS >= 2 && NEWER(2) -> v[i].epoch = 2; applyInstalled(i) }
	:: atomic { EPOCHS >= 3 && NEWER(3) -> v[i].epoch = 3; applyInstalled(i) }
	/* Work starts, or ends before its deadline. */
	:: atomic { v[i].workEpoch == NONE && MAYWORK(i) -> v[i].workEpoch = v[i].epoch; checkSafety() }
	:: atomic { v[i].workEpoch != NONE -> v[i].workEpoch = NONE }
	/* The owner releases the bucket when no work is in flight. */
	:: atomic { v[i].epoch == epoch && owner[epoch] == i && next[epoch] != NOBODY && v[i].workEpoch == NONE && !released[i] -> released[i] = true }
	/* VM 0 restarts without work and without a lease. */
	:: atomic { i == 0 && !restarted -> restarted = true; v[i].epoch = 0; v[i].lease = 0; v[i].workEpoch = NONE; v[i].heartbeatAge = NONE; v[i].heartbeatAnswered = false }
	od
}

proctype Leader() {
	do
	/* A ticket moves the bucket. The first step only sets the next owner. */
	:: atomic { epoch < EPOCHS && next[epoch] == NOBODY && member[1 - owner[epoch]] -> newEpoch(owner[epoch], 1 - owner[epoch]) }
	/* The release of the bucket is logged as the change of its owner. */
	:: atomic { epoch < EPOCHS && next[epoch] != NOBODY && released[owner[epoch]] -> newEpoch(next[epoch], NOBODY) }
	/* A member whose lease has expired is removed, and its bucket is reassigned. */
	:: atomic { epoch < EPOCHS && owner[epoch] == 0 && member[0] && sinceHeartbeat[0] >= EXPIRED ->
		member[0] = false; newEpoch(1, NOBODY); checkSafety() }
	/* After a failover, the new leader has received no heartbeats and waits for a
	 * whole lease. */
	:: atomic { elections < 1 -> elections++;
#ifdef NEW_LEADER_DOES_NOT_WAIT
		sinceHeartbeat[0] = EXPIRED
#else
		sinceHeartbeat[0] = 0
#endif
		}
	od
}

init {
	atomic {
		epoch = 1; owner[1] = 0; next[1] = NOBODY;
		member[0] = true; member[1] = true;
		v[1].lease = LEASE;
		v[0].heartbeatAge = NONE; v[1].heartbeatAge = NONE; v[0].workEpoch = NONE; v[1].workEpoch = NONE;
		run Time(); run Member(0); run Member(1); run Leader()
	}
}
