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
byte silent[1];     /* time since the last heartbeat was received */
bool member[2];
byte installed[2];  /* acknowledged epoch */
bool released[2];   /* release of the bucket received in the newest epoch */
byte elections;
bool restarted;

typedef VM {
	byte epoch;      /* installed epoch */
	byte lease;      /* remaining units; 0 if there is no lease */
	byte sentAge;    /* units since the outstanding heartbeat was sent, or NONE */
	bool answered;   /* the leader has received and answered that heartbeat */
	byte steady;     /* units until the clock may lose the next unit */
	byte working     /* epoch in which running work started, or NONE */
};
VM v[2];

#define SERVES(i) (v[i].lease > 0 && v[i].epoch > 0 && owner[v[i].epoch] == i)
#ifdef START_BEFORE_RELEASE
#define MAYWORK(i) (v[i].lease > 0 && v[i].epoch > 0 && ((owner[v[i].epoch] == i && next[v[i].epoch] == NOBODY) || next[v[i].epoch] == i))
#else
#define MAYWORK(i) (SERVES(i) && next[v[i].epoch] == NOBODY)
#endif

inline check() {
	/* At most one VM runs work of the bucket. */
	assert(v[0].working == NONE || v[1].working == NONE);
	/* Once every VM has acknowledged the newest epoch or was removed, no work of
	 * an older epoch runs, except while the bucket is being handed over. */
	assert(v[0].working == NONE || !(member[0] == false || installed[0] == epoch) || !(member[1] == false || installed[1] == epoch) || v[0].working == epoch || v[0].working == epoch - 1 && next[epoch] != NOBODY);
	assert(v[1].working == NONE || !(member[0] == false || installed[0] == epoch) || !(member[1] == false || installed[1] == epoch) || v[1].working == epoch || v[1].working == epoch - 1 && next[epoch] != NOBODY)
}

/* Advances the time of VM i by one unit. counts is 0 if its clock loses the unit.
 * Work ends at its deadline, which is not after the end of the lease. */
inline pass(i, counts) {
	if
	:: v[i].sentAge < LEASE -> v[i].sentAge = v[i].sentAge + counts
	:: v[i].sentAge == LEASE -> v[i].sentAge = NONE; v[i].answered = false
	:: else
	fi;
	if
	:: v[i].lease > 0 && counts -> v[i].lease--
	:: else
	fi;
	if
	:: v[i].lease == 0 -> v[i].working = NONE
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
inline settle(i) {
	if
	:: owner[v[i].epoch] != i && next[v[i].epoch] != i -> v[i].working = NONE
	:: else
	fi;
	if
	:: v[i].working != NONE && next[v[i].epoch] == NOBODY -> v[i].working = v[i].epoch
	:: else
	fi;
	check()
}

proctype Time() {
	do
	:: atomic { true ->
		if
		:: pass(0, 1); v[0].steady = (v[0].steady > 0 -> v[0].steady - 1 : 0)
		:: v[0].steady == 0 && v[0].lease > 0 -> v[0].steady = LEASE; pass(0, 0)
		fi;
		if
		:: silent[0] < EXPIRED -> silent[0]++
		:: else
		fi }
	od
}

proctype Member(byte i) {
	do
	/* A heartbeat is sent, received and answered. A lost one expires after LEASE. */
	:: atomic { i == 0 && v[i].sentAge == NONE -> v[i].sentAge = 0; v[i].answered = false }
	:: atomic { v[i].sentAge != NONE && !v[i].answered && member[i] -> v[i].answered = true; silent[i] = 0; installed[i] = v[i].epoch }
	:: atomic { v[i].sentAge != NONE && v[i].answered ->
#ifdef LEASE_FROM_ANSWER
		v[i].lease = LEASE;
#else
		if
		:: LEASE - v[i].sentAge > v[i].lease -> v[i].lease = LEASE - v[i].sentAge
		:: else
		fi;
#endif
		v[i].sentAge = NONE; v[i].answered = false }
	:: atomic { i == 1 && installed[1] != v[1].epoch -> installed[1] = v[1].epoch }
	/* A VM installs a pushed configuration unless it is older than its own. */
#ifdef EPOCH_GOES_BACK
#define NEWER(e) (epoch >= e && v[i].epoch != e)
#else
#define NEWER(e) (epoch >= e && v[i].epoch < e)
#endif
	:: atomic { NEWER(1) -> v[i].epoch = 1; settle(i) }
	:: atomic { EPOCHS >= 2 && NEWER(2) -> v[i].epoch = 2; settle(i) }
	:: atomic { EPOCHS >= 3 && NEWER(3) -> v[i].epoch = 3; settle(i) }
	/* Work starts, or ends before its deadline. */
	:: atomic { v[i].working == NONE && MAYWORK(i) -> v[i].working = v[i].epoch; check() }
	:: atomic { v[i].working != NONE -> v[i].working = NONE }
	/* The owner releases the bucket when no work is in flight. */
	:: atomic { v[i].epoch == epoch && owner[epoch] == i && next[epoch] != NOBODY && v[i].working == NONE && !released[i] -> released[i] = true }
	/* VM 0 restarts without work and without a lease. */
	:: atomic { i == 0 && !restarted -> restarted = true; v[i].epoch = 0; v[i].lease = 0; v[i].working = NONE; v[i].sentAge = NONE; v[i].answered = false }
	od
}

proctype Leader() {
	do
	/* A ticket moves the bucket. The first step only sets the next owner. */
	:: atomic { epoch < EPOCHS && next[epoch] == NOBODY && member[1 - owner[epoch]] -> newEpoch(owner[epoch], 1 - owner[epoch]) }
	/* The release of the bucket is logged as the change of its owner. */
	:: atomic { epoch < EPOCHS && next[epoch] != NOBODY && released[owner[epoch]] -> newEpoch(next[epoch], NOBODY) }
	/* A member whose lease has expired is removed, and its bucket is reassigned. */
	:: atomic { epoch < EPOCHS && owner[epoch] == 0 && member[0] && silent[0] >= EXPIRED ->
		member[0] = false; newEpoch(1, NOBODY); check() }
	/* After a failover, the new leader has received no heartbeats and waits for a
	 * whole lease. */
	:: atomic { elections < 1 -> elections++;
#ifdef NEW_LEADER_DOES_NOT_WAIT
		silent[0] = EXPIRED
#else
		silent[0] = 0
#endif
		}
	od
}

init {
	atomic {
		epoch = 1; owner[1] = 0; next[1] = NOBODY;
		member[0] = true; member[1] = true;
		v[1].lease = LEASE;
		v[0].sentAge = NONE; v[1].sentAge = NONE; v[0].working = NONE; v[1].working = NONE;
		run Time(); run Member(0); run Member(1); run Leader()
	}
}
