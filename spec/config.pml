/*
 * Model of configuration changes, checkpoints, log retention and snapshots from
 * peers.
 *
 * A change names its base, the version that it was made from. If the change is
 * accepted, its own position in the log becomes the version. A checkpoint holds
 * the version that results from the entries below an offset; any reader may write
 * it, late or twice. Entry VMs crash, lose their state and start from the
 * beginning of the log, from a checkpoint, or from a peer while the log is
 * unavailable.
 */
#define READERS 2
#define COPIES  2	/* maximum number of deliveries of one change */

/*
 * Bounds of changes and log entries. The script check runs two pairs of bounds,
 * because the model with both maximums has too many states.
 */
#define MAX_CHANGES 3
#define MAX_LOG     5
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef LOG
#define LOG 5	/* maximum number of log entries, repeated deliveries included */
#endif

/* A log entry is the number of a change, or CHECKPOINT. */
#define CHECKPOINT MAX_CHANGES

byte entry[MAX_LOG];
byte nextOffset[MAX_LOG];	/* for each checkpoint: first offset that it does not include */
byte logSize;
byte firstEntry;	/* oldest entry that the log still holds */

/* Changes, which operators make from the version that a reader has. */
bool written[MAX_CHANGES];
byte baseVersion[MAX_CHANGES];
byte copies[MAX_CHANGES];

/*
 * Version in the checkpoint at offset c. checkReader() shows that every reader has
 * this version at that offset and so can't write another one into a checkpoint.
 */
#define STATE(c) versionAt[nextOffset[c]]

/* Readers. */
#define DOWN    0
#define LOADING 1	/* reads the log, not ready */
#define READY   2	/* has caught up, its version is in force */
byte mode[READERS];
byte cursor[READERS];
byte version[READERS];
byte endAtStart[READERS];	/* end of the log when the reader started; reset to 0 once it is ready */

/* Ghost variables. */
byte versionAt[MAX_LOG + 1];	/* correct version after each number of log entries */
byte lastInForce[READERS];	/* newest version that was in force at each reader */

/* Properties. Each is false in every state of the correct protocol. */
bool readersDisagree;
bool steppedBack;
bool changeLost;
bool toldWrong;

#ifdef MUTANT_NO_BASE_CHECK
#define ACCEPTS(v, c) true
#else
#define ACCEPTS(v, c) (baseVersion[c] == v)
#endif

/* Checks the properties of reader n after one of its steps. */
inline checkReader(n) {
	readersDisagree = mode[n] != DOWN && version[n] != versionAt[cursor[n]];
	steppedBack = mode[n] == READY && version[n] < lastInForce[n];
	assert(!steppedBack);
	assert(!readersDisagree);
	if
	:: mode[n] == READY -> lastInForce[n] = version[n]
	:: else
	fi
}

#ifdef MUTANT_READY_BEFORE_CAUGHT_UP
#define CAUGHT_UP(n) true
#else
#define CAUGHT_UP(n) (cursor[n] >= endAtStart[n])
#endif

/* Makes reader n ready if it has caught up. */
inline becomeReady(n) {
	if
	:: mode[n] == LOADING && CAUGHT_UP(n) -> mode[n] = READY; endAtStart[n] = 0
	:: else
	fi
}

#ifdef MUTANT_TRUNCATED_READ_AS_EMPTY
#define START_KNOWN true
#else
#define START_KNOWN (firstEntry == 0)
#endif

/* Starts reader n at the beginning of the log, which must not have been dropped. */
inline startFromNothing(n) {
	d_step {
		mode[n] == DOWN && START_KNOWN ->
		mode[n] = LOADING;
		endAtStart[n] = logSize;
		cursor[n] = firstEntry;
		version[n] = 0;
		becomeReady(n);
		checkReader(n)
	}
}

#ifdef MUTANT_CHECKPOINT_BEHIND_RETENTION
#define COVERS(c) true
#define RESUME_AT(c) (nextOffset[c] < firstEntry -> firstEntry : nextOffset[c])
#elif defined(MUTANT_CHECKPOINT_AT_OWN_POSITION)
#define COVERS(c) true
#define RESUME_AT(c) (c + 1)
#else
#define COVERS(c) (nextOffset[c] >= firstEntry)
#define RESUME_AT(c) nextOffset[c]
#endif

/*
 * Starts reader n from the checkpoint at offset c, or continues there if the log
 * has dropped entries that the reader had not read.
 */
inline startFromCheckpoint(n, c) {
	d_step {
		c < logSize && c >= firstEntry && entry[c] == CHECKPOINT && COVERS(c) &&
		(mode[n] == DOWN || cursor[n] < firstEntry) ->
		if
		:: mode[n] == DOWN -> mode[n] = LOADING; endAtStart[n] = logSize
		:: else
		fi;
		cursor[n] = RESUME_AT(c);
		version[n] = STATE(c);
		becomeReady(n);
		checkReader(n)
	}
}
/*
 * Reader n applies the next entry. If it is a change, the reader tells the
 * operator whether the change was accepted.
 */
inline read(n) {
	d_step {
		mode[n] != DOWN && cursor[n] < logSize && cursor[n] >= firstEntry ->
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
			toldWrong = (version[n] == cursor[n] + 1) != (versionAt[cursor[n] + 1] == cursor[n] + 1);
			assert(!toldWrong)
		fi;
		cursor[n]++;
		becomeReady(n);
		checkReader(n)
	}
}

#ifdef MUTANT_OLDER_SNAPSHOT
#define NEWER(n, peer) true
#else
#define NEWER(n, peer) (cursor[peer] > cursor[n])
#endif

/*
 * Reader n takes the ledger of a ready peer: to start during a log outage, or to
 * replace entries that it has not read.
 */
inline takeSnapshot(n, peer) {
	d_step {
		mode[peer] == READY && (mode[n] == DOWN || NEWER(n, peer)) ->
		if
		:: mode[n] == DOWN -> mode[n] = READY; lastInForce[n] = 0	/* the log is unavailable, so the peer's version is the newest that can be had */
		:: else
		fi;
		cursor[n] = cursor[peer];
		version[n] = version[peer];
		becomeReady(n);
		checkReader(n)
	}
}

inline crash(n) {
	d_step { mode[n] != DOWN -> mode[n] = DOWN; cursor[n] = 0; version[n] = 0; endAtStart[n] = 0 }
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

/* An operator makes change c from the version that is in force at reader n. */
inline publish(c, n) {
	d_step { c < CHANGES && !written[c] && (c == 0 || written[c - 1]) && mode[n] == READY -> written[c] = true; baseVersion[c] = version[n] }
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
		written[c] && copies[c] < COPIES && logSize < LOG ->
		copies[c]++;
		entry[logSize] = c;
		logSize++;
		if
		:: ACCEPTS(versionAt[logSize - 1], c) ->
			versionAt[logSize] = logSize;
			changeLost = baseVersion[c] != versionAt[logSize - 1]
		:: else -> versionAt[logSize] = versionAt[logSize - 1]
		fi;
#ifdef MUTANT_DECIDE_BY_ANSWER
		toldWrong = copies[c] == 1 && versionAt[logSize] != logSize;	/* the operator is told that the change was accepted once the append succeeds */
#endif
		assert(!toldWrong);
		assert(!changeLost)
	}
}

/*
 * Appends a checkpoint of the entries below offset p. It may arrive late, because
 * its writer may have paused.
 */
inline deliverCheckpoint(p) {
	d_step {
		p <= logSize && logSize < LOG ->
		entry[logSize] = CHECKPOINT;
		nextOffset[logSize] = p;
		logSize++;
		versionAt[logSize] = versionAt[logSize - 1]
	}
}

/* The log drops its oldest entry. Resetting the entry reduces the number of states. */
inline dropOldest() {
	d_step { firstEntry < logSize -> entry[firstEntry] = 0; nextOffset[firstEntry] = 0; firstEntry++ }
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
	:: dropOldest()
	od
}
