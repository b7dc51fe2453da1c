/* Model of the replicated log: elections, replication, commitment by quorum, a
 * replaced disk, and tickets that are decided when they are applied.
 * docs/model.md maps each step to the code that implements it.
 *
 * Identities 0, 1 and 2 are the voters. Identity 3 is the VM of identity 2 after
 * its disk was replaced. A receiver reads the state of the sender directly. Delay
 * and loss of a message are modelled by taking that step later or never. A
 * receiver changes its state and syncs it in one step, because until the sync, the
 * change cannot be distinguished from a message that has not arrived. Only the own
 * entries of a leader are visible to others before they are synced.
 *
 * Initially, identity 0 is the leader of term 1, elected by 0 and 1, and its log
 * is empty.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define N 4
#define NOBODY 7

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* A log entry is encoded as its term times 8 plus one of these values. Tickets A
 * and B have the same number and different content. */
#define NOOP 0
#define TICKET_A 1
#define TICKET_B 2
#define ADD_3 4
#define REMOVE_2 5
#define VALUE(e) ((e) & 7)
#define TERM(e) ((e) >> 3)

typedef Node {
	byte term; byte vote; byte size; byte log[5];
	byte syncedTerm; byte syncedVote; byte syncedSize; /* durable state, which survives a crash */
	byte role; byte granted;           /* bit set of voters that granted their vote */
	byte match[N]; byte commit; byte firstOwn;
	bool inUse /* false before identity 3 exists and after the disk of identity 2 was replaced */
};
Node n[N];
byte crashes;
bool replaced;

/* Variables used only by assertions. */
byte committed[5];
byte committedTerm[5]; /* term of the leader that committed it */
byte committedSize;
byte leaderOf[TERMS + 1];
byte acceptedTicket; /* the ticket that was accepted under the number of A and B */
bool numberApplied; /* whether a ticket with the number of A and B was applied */

#define BIT(x) (1 << (x))
#define HAS(set, x) (((set) >> (x)) & 1)
#define POPCOUNT(s) (HAS(s, 0) + HAS(s, 1) + HAS(s, 2) + HAS(s, 3))
#define LASTTERM(i) (n[i].size == 0 -> 0 : TERM(n[i].log[n[i].size]))
#define HASENTRY(i, v) ((n[i].size >= 4 && VALUE(n[i].log[4]) == v) || (n[i].size >= 1 && VALUE(n[i].log[1]) == v) || (n[i].size >= 2 && VALUE(n[i].log[2]) == v) || (n[i].size >= 3 && VALUE(n[i].log[3]) == v))
/* Voters as a bit set: 7 is {0, 1, 2}, 15 is {0, 1, 2, 3}, 11 is {0, 1, 3}. The
 * newest membership entry in the log defines them. */
#define VOTERS(i) (HASENTRY(i, REMOVE_2) -> 11 : (HASENTRY(i, ADD_3) -> 15 : 7))
#define QUORUM(set, voters) (POPCOUNT((set) & (voters)) * 2 > POPCOUNT(voters))

inline becomeFollower(me, to) {
	if
	:: n[me].term < to -> n[me].term = to; n[me].vote = NOBODY
	:: else
	fi;
	resetLeader(me)
}

inline resetLeader(me2) {
	n[me2].role = FOLLOWER; n[me2].granted = 0; n[me2].commit = 0; n[me2].firstOwn = 0;
	n[me2].match[0] = 0; n[me2].match[1] = 0; n[me2].match[2] = 0; n[me2].match[3] = 0
}

/* Sends the vote and the acknowledgement of a node, which depend on its synced
 * state. */
inline sendReplies(who) {
	if
	:: n[who].vote != NOBODY && n[n[who].vote].role == CANDIDATE && n[n[who].vote].term == n[who].term && n[n[who].vote].inUse ->
		n[n[who].vote].granted = n[n[who].vote].granted | BIT(who)
	:: else
	fi;
	k = 0;
	do
	:: k < N ->
		if
		:: k != who && n[k].inUse && n[k].role == LEADER && n[k].term == n[who].term && sharedSize[who] > n[k].match[who] ->
			n[k].match[who] = sharedSize[who]
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}
/* Length of the log prefix that a node shares with the leader of its term. */
byte sharedSize[N];

#ifdef FORGET_VOTE
#define STOREDVOTE(i) NOBODY
#else
#define STOREDVOTE(i) n[i].vote
#endif

inline sync(node) {
	n[node].syncedTerm = n[node].term; n[node].syncedVote = STOREDVOTE(node); n[node].syncedSize = n[node].size;
	sendReplies(node)
}

#define SYNCED(i) (n[i].syncedTerm == n[i].term && n[i].syncedVote == STOREDVOTE(i) && n[i].syncedSize == n[i].size)

inline append(ldr, val) {
	n[ldr].size++;
	n[ldr].log[n[ldr].size] = n[ldr].term * 8 + val
}

/* A node receives the next missing entry from a leader and first truncates
 * conflicting entries. */
inline receive(src, dst) {
	if
	:: n[dst].term < n[src].term || n[dst].role != FOLLOWER -> becomeFollower(dst, n[src].term); sharedSize[dst] = 0
	:: else
	fi;
	k = 0; /* length of the common prefix */
	do
	:: k < n[src].size && k < n[dst].size && n[src].log[k + 1] == n[dst].log[k + 1] -> k++
	:: else -> break
	od;
	if
	:: k < n[src].size && k < n[dst].size ->
		do
		:: n[dst].size > k -> n[dst].log[n[dst].size] = 0; n[dst].size--
		:: else -> break
		od;
		n[dst].syncedSize = k;
		n[dst].size++; n[dst].log[n[dst].size] = n[src].log[n[dst].size];
		sharedSize[dst] = n[dst].size; k = 0
	:: k < n[src].size && k == n[dst].size ->
		n[dst].size++; n[dst].log[n[dst].size] = n[src].log[n[dst].size];
		sharedSize[dst] = n[dst].size; k = 0
	:: k == n[src].size -> sharedSize[dst] = k; k = 0
	fi;
#ifdef ACK_UNSYNCED
	sendReplies(dst)
#else
	sync(dst)
#endif
}

/* Applies a committed entry. Tickets are decided in log order. */
inline apply(e) {
	if
	:: VALUE(e) == TICKET_A || VALUE(e) == TICKET_B ->
#ifdef TICKET_AT_PROPOSAL
		assert(acceptedTicket == 0 || acceptedTicket == VALUE(e));
		acceptedTicket = VALUE(e)
#else
		if
		:: !numberApplied -> numberApplied = true; assert(acceptedTicket == 0); acceptedTicket = VALUE(e)
		:: else /* same result as before, or a conflict */
		fi
#endif
	:: else
	fi
}

inline commitUpTo(ldr2, upto) {
	n[ldr2].commit = upto;
	k = 1;
	do
	:: k <= upto ->
		if
		:: k > committedSize -> committed[k] = n[ldr2].log[k]; committedTerm[k] = n[ldr2].term; committedSize = k; apply(n[ldr2].log[k])
		:: else -> assert(committed[k] == n[ldr2].log[k])
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

#ifdef COUNT_UNSYNCED
#define OWNSIZE(i) n[i].size
#else
#define OWNSIZE(i) n[i].syncedSize
#endif
#define HOLDS(i, x, c) (x == i -> OWNSIZE(i) >= c : n[i].match[x] >= c)
#define HOLDERS(i, c) (HOLDS(i, 0, c) + HOLDS(i, 1, c) * 2 + HOLDS(i, 2, c) * 4 + HOLDS(i, 3, c) * 8)
#ifdef COMMIT_OLD_TERM
#define OWNTERM(i, c) true
#else
#define OWNTERM(i, c) (TERM(n[i].log[c]) == n[i].term)
#endif
#define MAYCOMMIT(i, c) (c <= n[i].size && c > n[i].commit && OWNTERM(i, c) && QUORUM(HOLDERS(i, c), VOTERS(i)))

#define UPTODATE(i, j) (LASTTERM(i) > LASTTERM(j) || (LASTTERM(i) == LASTTERM(j) && n[i].size >= n[j].size))
#define MAYVOTE(i, j) (n[i].role == CANDIDATE && n[i].inUse && HAS(VOTERS(i), j) && \
	(n[j].term < n[i].term || (n[j].term == n[i].term && n[j].role == FOLLOWER && n[j].vote == NOBODY)) && UPTODATE(i, j))
#define MAYRECEIVE(i, j) (n[i].role == LEADER && n[i].inUse && n[j].term <= n[i].term && (n[j].term < n[i].term || n[j].role != LEADER))
#define MAYPROPOSE(i) (n[i].role == LEADER && n[i].size < ENTRIES)

inline grantVote(cand, voter) {
	if
	:: n[voter].term < n[cand].term -> becomeFollower(voter, n[cand].term); sharedSize[voter] = 0
	:: else
	fi;
	n[voter].vote = cand;
	sync(voter)
}

inline becomeLeader(win) {
	n[win].role = LEADER; n[win].granted = 0;
	assert(leaderOf[n[win].term] == NOBODY || leaderOf[n[win].term] == win);
	leaderOf[n[win].term] = win;
	k = 1;
	do /* a leader has all entries committed in earlier terms */
	:: k <= committedSize -> assert(committedTerm[k] >= n[win].term || (k <= n[win].size && n[win].log[k] == committed[k])); k++
	:: else -> break
	od;
	k = 0;
	if
	:: n[win].size < ENTRIES -> append(win, NOOP); n[win].firstOwn = n[win].size
	:: else -> n[win].firstOwn = NOBODY /* no room within the bound ENTRIES, so it cannot commit */
	fi
}

inline crash(victim) {
	crashes++;
	n[victim].term = n[victim].syncedTerm; n[victim].vote = n[victim].syncedVote;
	do
	:: n[victim].size > n[victim].syncedSize -> n[victim].log[n[victim].size] = 0; n[victim].size--
	:: else -> break
	od;
	sharedSize[victim] = 0;
	resetLeader(victim)
}

inline replaceDisk() {
	replaced = true;
#ifdef SAME_IDENTITY
	/* The VM keeps its identity although its disk is empty. */
	n[2].syncedTerm = 0; n[2].syncedVote = NOBODY; n[2].syncedSize = 0; crashes--;
	crash(2)
#else
	n[2].inUse = false; n[3].inUse = true;
	n[2].role = FOLLOWER
#endif
}

#define FIRSTCOMMITTED(i) (n[i].commit >= n[i].firstOwn)
#ifdef TWO_CHANGES
#define ADDCOMMITTED(i) true
#else
#define IFADD(i, c) (VALUE(n[i].log[c]) != ADD_3 || n[i].commit >= c)
#define ADDCOMMITTED(i) (IFADD(i, 1) && IFADD(i, 2) && IFADD(i, 3) && IFADD(i, 4))
#endif

proctype Run(byte i) {
	byte k;
	do
	/* After an election timeout, a voter becomes a candidate. */
	:: atomic { n[i].inUse && n[i].role != LEADER && n[i].term < TERMS && HAS(VOTERS(i), i) ->
		n[i].term++; resetLeader(i); n[i].role = CANDIDATE; n[i].vote = i; sharedSize[i] = 0; sync(i); n[i].granted = BIT(i) }
	/* Unsynced state is synced, then messages that depend on it are sent. */
	:: atomic { n[i].inUse && !SYNCED(i) -> sync(i) }
	/* A node grants its vote to a candidate. */
	:: atomic { n[i].inUse && i != 0 && MAYVOTE(0, i) -> grantVote(0, i) }
	:: atomic { n[i].inUse && i != 1 && MAYVOTE(1, i) -> grantVote(1, i) }
	:: atomic { n[i].inUse && i != 2 && MAYVOTE(2, i) -> grantVote(2, i) }
	:: atomic { n[i].inUse && i != 3 && MAYVOTE(3, i) -> grantVote(3, i) }
	:: atomic { n[i].inUse && n[i].role == CANDIDATE && QUORUM(n[i].granted, VOTERS(i)) -> becomeLeader(i) }
	/* A node receives entries from a leader. */
	:: atomic { n[i].inUse && i != 0 && MAYRECEIVE(0, i) -> receive(0, i) }
	:: atomic { n[i].inUse && i != 1 && MAYRECEIVE(1, i) -> receive(1, i) }
	:: atomic { n[i].inUse && i != 2 && MAYRECEIVE(2, i) -> receive(2, i) }
	:: atomic { n[i].inUse && i != 3 && MAYRECEIVE(3, i) -> receive(3, i) }
	/* A leader commits entries that a quorum holds. */
	:: atomic { n[i].inUse && n[i].role == LEADER && MAYCOMMIT(i, 1) -> commitUpTo(i, 1) }
	:: atomic { n[i].inUse && n[i].role == LEADER && MAYCOMMIT(i, 2) -> commitUpTo(i, 2) }
	:: atomic { n[i].inUse && n[i].role == LEADER && MAYCOMMIT(i, 3) -> commitUpTo(i, 3) }
	:: atomic { n[i].inUse && n[i].role == LEADER && MAYCOMMIT(i, 4) -> commitUpTo(i, 4) }
	/* Two operators file conflicting tickets. The leader of term 2 gets ticket B,
	 * leaders of other terms get ticket A. */
	:: atomic { n[i].inUse && MAYPROPOSE(i) && n[i].term != 2 && !HASENTRY(i, TICKET_A) -> append(i, TICKET_A) }
	:: atomic { n[i].inUse && MAYPROPOSE(i) && n[i].term == 2 && !HASENTRY(i, TICKET_B) -> append(i, TICKET_B) }
	/* The identity with the new disk is added once it has the committed log. Then
	 * the old identity is removed. */
	:: atomic { n[i].inUse && MAYPROPOSE(i) && replaced && n[3].inUse && FIRSTCOMMITTED(i) && !HASENTRY(i, ADD_3) && n[i].match[3] >= n[i].commit && n[i].match[3] > 0 ->
		append(i, ADD_3) }
	:: atomic { n[i].inUse && MAYPROPOSE(i) && HASENTRY(i, ADD_3) && FIRSTCOMMITTED(i) && ADDCOMMITTED(i) && !HASENTRY(i, REMOVE_2) -> append(i, REMOVE_2) }
	:: atomic { n[i].inUse && crashes < CRASHES -> crash(i) }
	:: atomic { i == 2 && !replaced -> replaceDisk() }
	od
}

init {
	byte k;
	atomic {
		do
		:: k < N -> n[k].vote = NOBODY; n[k].syncedVote = NOBODY; n[k].inUse = (k < 3); k++
		:: else -> break
		od;
		k = 0;
		do
		:: k <= TERMS -> leaderOf[k] = NOBODY; k++
		:: else -> break
		od;
		k = 0;
		n[0].term = 1; n[0].vote = 0; n[0].syncedTerm = 1; n[0].syncedVote = 0;
		n[1].term = 1; n[1].vote = 0; n[1].syncedTerm = 1; n[1].syncedVote = 0;
		becomeLeader(0);
		run Run(0); run Run(1); run Run(2); run Run(3)
	}
}
