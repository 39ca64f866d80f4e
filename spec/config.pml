/*
 * Configuration changes, checkpoints, retention and peers' snapshots.
 *
 * A change names the version that it was made from; its own position becomes
 * the version if it is accepted. A checkpoint is a fact about a prefix: the
 * version as of the entries below an offset, written late or twice by any
 * reader. Entry VMs crash, come back with nothing and start from the log's
 * beginning, from a checkpoint, or from a peer while the log is out.
 */
#define READERS 2
#define COPIES  2	/* deliveries of one change */

/* Bounds; check runs more than one pair, since their product is too large. */
#define MAX_CHANGES 3
#define MAX_LOG     5
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef LOG
#define LOG 5	/* entries that the log may hold, copies included */
#endif

/* Log entries: a change by its number, or a checkpoint. */
#define CHECKPOINT MAX_CHANGES

byte entry[MAX_LOG];
byte through[MAX_LOG];	/* checkpoint: first offset that it does not include */
byte size;
byte first;	/* oldest entry that the log still holds */

/* Changes, by operators who read the version at some reader. */
bool written[MAX_CHANGES];
byte base[MAX_CHANGES];
byte copies[MAX_CHANGES];

/* Version in the checkpoint at offset c; check() shows that no reader writes another. */
#define STATE(c) truth[through[c]]

/* Readers. */
#define DOWN    0
#define LOADING 1	/* follows the log, not ready */
#define READY   2	/* has a version in force */
byte mode[READERS];
byte cursor[READERS];
byte version[READERS];
byte target[READERS];	/* end of the log when the reader started */

/* Ghosts. */
byte truth[MAX_LOG + 1];	/* version as of each prefix of the log */
byte floor[READERS];	/* newest version that was in force at an entry VM */

/* Properties. Each is false in every state of the correct protocol. */
bool readersDisagree;
bool steppedBack;
bool changeLost;
bool toldWrong;

#ifdef MUTANT_NO_BASE_CHECK
#define ACCEPTS(v, c) true
#else
#define ACCEPTS(v, c) (base[c] == v)
#endif

/* Checks reader n after a step of it. */
inline check(n) {
	readersDisagree = mode[n] != DOWN && version[n] != truth[cursor[n]];
	steppedBack = mode[n] == READY && version[n] < floor[n];
	assert(!steppedBack);
	assert(!readersDisagree);
	if
	:: mode[n] == READY -> floor[n] = version[n]
	:: else
	fi
}

#ifdef MUTANT_READY_BEFORE_CAUGHT_UP
#define CAUGHT_UP(n) true
#else
#define CAUGHT_UP(n) (cursor[n] >= target[n])
#endif

inline becomeReady(n) {
	if
	:: mode[n] == LOADING && CAUGHT_UP(n) -> mode[n] = READY; target[n] = 0
	:: else
	fi
}

#ifdef MUTANT_TRUNCATED_READ_AS_EMPTY
#define START_KNOWN true
#else
#define START_KNOWN (first == 0)
#endif

/* Starts at the log's beginning, which must still be there. */
inline startFromNothing(n) {
	d_step {
		mode[n] == DOWN && START_KNOWN ->
		mode[n] = LOADING;
		target[n] = size;
		cursor[n] = first;
		version[n] = 0;
		becomeReady(n);
		check(n)
	}
}

#ifdef MUTANT_CHECKPOINT_BEHIND_RETENTION
#define COVERS(c) true
#define RESUME_AT(c) (through[c] < first -> first : through[c])
#elif defined(MUTANT_CHECKPOINT_AT_OWN_POSITION)
#define COVERS(c) true
#define RESUME_AT(c) (c + 1)
#else
#define COVERS(c) (through[c] >= first)
#define RESUME_AT(c) through[c]
#endif

/* Starts, or goes on after a gap, from the checkpoint at offset c. */
inline startFromCheckpoint(n, c) {
	d_step {
		c < size && c >= first && entry[c] == CHECKPOINT && COVERS(c) &&
		(mode[n] == DOWN || cursor[n] < first) ->
		if
		:: mode[n] == DOWN -> mode[n] = LOADING; target[n] = size
		:: else
		fi;
		cursor[n] = RESUME_AT(c);
		version[n] = STATE(c);
		becomeReady(n);
		check(n)
	}
}
/* Applies the next entry and tells the operator whose change it is. */
inline read(n) {
	d_step {
		mode[n] != DOWN && cursor[n] < size && cursor[n] >= first ->
		if
		:: entry[cursor[n]] == CHECKPOINT ->
#ifdef MUTANT_CHECKPOINT_AS_EVENT
			version[n] = STATE(cursor[n])
#endif
		:: else ->
			if
			:: ACCEPTS(version[n], entry[cursor[n]]) -> version[n] = cursor[n] + 1
			:: else
			fi;
			toldWrong = (version[n] == cursor[n] + 1) != (truth[cursor[n] + 1] == cursor[n] + 1);
			assert(!toldWrong)
		fi;
		cursor[n]++;
		becomeReady(n);
		check(n)
	}
}

#ifdef MUTANT_OLDER_SNAPSHOT
#define NEWER(n, peer) true
#else
#define NEWER(n, peer) (cursor[peer] > cursor[n])
#endif

/* Takes the ledger of a ready peer: at a start during an outage, or to close a gap. */
inline takeSnapshot(n, peer) {
	d_step {
		mode[peer] == READY && (mode[n] == DOWN || NEWER(n, peer)) ->
		if
		:: mode[n] == DOWN -> mode[n] = READY; floor[n] = 0	/* the log is out: the peer's version is all there is */
		:: else
		fi;
		cursor[n] = cursor[peer];
		version[n] = version[peer];
		becomeReady(n);
		check(n)
	}
}

inline crash(n) {
	d_step { mode[n] != DOWN -> mode[n] = DOWN; cursor[n] = 0; version[n] = 0; target[n] = 0 }
}

active [READERS] proctype Reader() {
	do
	:: startFromNothing(_pid)
	:: startFromCheckpoint(_pid, 1)
	:: startFromCheckpoint(_pid, 2)
	:: startFromCheckpoint(_pid, 3)
	:: startFromCheckpoint(_pid, 4)
	:: read(_pid)
	:: takeSnapshot(_pid, 1 - _pid)
	:: crash(_pid)
	od
}

/* An operator makes change c from what reader n has in force. */
inline publish(c, n) {
	d_step { c < CHANGES && !written[c] && (c == 0 || written[c - 1]) && mode[n] == READY -> written[c] = true; base[c] = version[n] }
}

active proctype Operators() {
	do
	:: publish(0, 0)
	:: publish(1, 0)
	:: publish(1, 1)
	:: publish(2, 0)
	:: publish(2, 1)
	od
}

inline deliverChange(c) {
	d_step {
		written[c] && copies[c] < COPIES && size < LOG ->
		copies[c]++;
		entry[size] = c;
		size++;
		if
		:: ACCEPTS(truth[size - 1], c) ->
			truth[size] = size;
			changeLost = base[c] != truth[size - 1]
		:: else -> truth[size] = truth[size - 1]
		fi;
#ifdef MUTANT_DECIDE_BY_ANSWER
		toldWrong = copies[c] == 1 && truth[size] != size;	/* the operator is told as soon as the append is answered */
#endif
		assert(!toldWrong);
		assert(!changeLost)
	}
}

/* A checkpoint of any prefix may arrive at any time: its writer may have paused. */
inline deliverCheckpoint(p) {
	d_step {
		p <= size && size < LOG ->
		entry[size] = CHECKPOINT;
		through[size] = p;
		size++;
		truth[size] = truth[size - 1]
	}
}

/* Retention; what is gone is zeroed to save states. */
inline drop() {
	d_step { first < size -> entry[first] = 0; through[first] = 0; first++ }
}

active proctype Log() {
	do
	:: deliverChange(0)
	:: deliverChange(1)
	:: deliverChange(2)
	:: deliverCheckpoint(1)
	:: deliverCheckpoint(2)
	:: deliverCheckpoint(3)
	:: deliverCheckpoint(4)
	:: drop()
	od
}
