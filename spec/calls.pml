/*
 * Model of the claims of one idempotency key, for a call that must not run twice.
 *
 * Attempts 0 and 1 carry the same content through two entry VMs. Attempt 2
 * carries other content under the same key, or the same content if ONE_CONTENT
 * is defined. Each attempt reads the log with its own cursor and decides only by
 * what it has read. Appends may take effect late, twice or never. Attempts may
 * pause between any two steps, and may crash and lose their state. The log may
 * drop its oldest entries at any time. An attempt that misses dropped entries
 * can't tell whether the key was claimed in them, and ends without dispatching.
 */
#define ATTEMPTS 3
#define LOG      6	/* maximum number of log entries, repeated deliveries included */
#define COPIES   2	/* maximum number of deliveries of one record */
#define SENDS    2	/* maximum number of requests that one attempt sends to the upstream */

/* A record is encoded as kind * 3 + attempt. */
#define CLAIM   0
#define RELEASE 1
#define OUTCOME 2
#define RECORD(k, a) ((k) * 3 + (a))
#define KIND(r)      ((r) / 3)
#define BY(r)        ((r) % 3)

#define NOBODY 3
#define OTHER_HOLDS(a) (holder[a] != NOBODY && holder[a] != a)
#ifdef MUTANT_NO_CONTENT_CHECK
#define SAME_CONTENT(a) true
#else
#define SAME_CONTENT(a) (CONTENT(holder[a]) == CONTENT(a))
#endif
#ifdef ONE_CONTENT
#define CONTENT(a) 0
#else
#define CONTENT(a) ((a) / 2)
#endif

/* Steps of an attempt. */
#define IDLE      0
#define FOLLOWING 1	/* reads the log, has not claimed the key */
#define CLAIMED   2	/* has written a claim and waits to read it back */
#define OWNER     3	/* has the key, may dispatch */
#define SENT      4	/* has dispatched and waits for the upstream */
#define ENDED     5

/* Answers to callers and from the upstream. */
#define NOTHING  0
#define NOT_RUN  1
#define IN_DOUBT 2
#define RAN      3

/* The log and the records that were written. */
byte entry[LOG];
byte logSize;
byte firstEntry;	/* oldest entry that the log still holds */
bool written[9];
byte copies[9];

/*
 * State of each attempt. Element ATTEMPTS of the last three arrays is the ledger
 * of a reader of the whole log.
 */
byte step[ATTEMPTS];
byte callerAnswer[ATTEMPTS];	/* answer that the caller got, or NOTHING */
byte cursor[ATTEMPTS];
byte sends[ATTEMPTS];
byte upstreamAnswer[ATTEMPTS];	/* unhandled answer of the upstream, or NOTHING */
byte inFlight[ATTEMPTS];	/* requests on their way to the upstream */
byte holder[ATTEMPTS + 1];	/* attempt whose claim is in effect, or NOBODY */
byte seenClaims[ATTEMPTS + 1];	/* claims read, one bit for each attempt */
bool hasOutcome[ATTEMPTS + 1];	/* an outcome is recorded for the key */

/* Ghost variables. */
byte ran[ATTEMPTS];	/* times that the call ran for an attempt */
byte acceptedClaims[ATTEMPTS];	/* times that a claim of an attempt took effect */

/* Properties. Each is false in every state of the correct protocol. */
bool ranTwice;
bool ranAfterNotRun;
bool doubtTakenForNotRun;
bool wrongOutcome;
bool recordTookEffectTwice;
bool lateCopyTookEffect;	/* a repeated claim took effect although its first delivery did not */

#ifdef MUTANT_NO_DEDUPE
#define FIRST_COPY(l, r) true
#else
#define FIRST_COPY(l, r) ((seenClaims[l] & (1 << BY(r))) == 0)
#endif

/*
 * Claims whose repeated deliveries a ledger recognizes: all claims, also those
 * without effect.
 */
#ifdef MUTANT_LOST_CLAIMS_FORGOTTEN
#define REMEMBERED(l, r) (holder[l] == BY(r))
#else
#define REMEMBERED(l, r) true
#endif

#ifdef MUTANT_LAST_CLAIM_WINS
#define FREE(l) true
#else
#define FREE(l) (holder[l] == NOBODY)
#endif

/* Applies record r to ledger l. */
inline apply(l, r) {
	if
	:: KIND(r) == CLAIM && FIRST_COPY(l, r) && FREE(l) -> holder[l] = BY(r)
	:: KIND(r) == RELEASE && holder[l] == BY(r) && !hasOutcome[l] -> holder[l] = NOBODY
	:: KIND(r) == OUTCOME && holder[l] == BY(r) -> hasOutcome[l] = true
	:: else
	fi;
	if
	:: KIND(r) == CLAIM && REMEMBERED(l, r) -> seenClaims[l] = seenClaims[l] | (1 << BY(r))
	:: else
	fi
}

/* Whether attempt b ran the call with the content of attempt a. */
#define RAN_AS(a, b) (ran[b] > 0 && CONTENT(a) == CONTENT(b))

/* Answers the caller of attempt a, checks the answer and ends the attempt. */
inline answerCaller(a, what) {
	callerAnswer[a] = what;
	ranAfterNotRun = what == NOT_RUN && ran[a] > 0;
	doubtTakenForNotRun = what == NOT_RUN && OTHER_HOLDS(a) && CONTENT(holder[a]) == CONTENT(a);
	wrongOutcome = what == RAN && !RAN_AS(a, 0) && !RAN_AS(a, 1) && !RAN_AS(a, 2);
	assert(!ranAfterNotRun);
	assert(!doubtTakenForNotRun);
	assert(!wrongOutcome);
	endAttempt(a)
}

/* Ends attempt a and resets its state. */
inline endAttempt(a) {
	step[a] = ENDED;
	cursor[a] = 0;
	sends[a] = 0;
	upstreamAnswer[a] = NOTHING;
	holder[a] = NOBODY;
	seenClaims[a] = 0;
	hasOutcome[a] = false
}

/*
 * Answers the caller of attempt a by what the attempt has read from the log. The
 * attempt must have no dispatched request that may run.
 */
inline answerByLedger(a) {
	if
	:: !OTHER_HOLDS(a) -> answerCaller(a, NOT_RUN)
	:: OTHER_HOLDS(a) && !SAME_CONTENT(a) -> answerCaller(a, NOT_RUN)	/* the key is in use for other content */
	:: OTHER_HOLDS(a) && SAME_CONTENT(a) && hasOutcome[a] -> answerCaller(a, RAN)
#ifdef MUTANT_IN_DOUBT_AS_NOT_RUN
	:: OTHER_HOLDS(a) && SAME_CONTENT(a) && !hasOutcome[a] -> answerCaller(a, NOT_RUN)
#else
	:: OTHER_HOLDS(a) && SAME_CONTENT(a) && !hasOutcome[a] -> answerCaller(a, IN_DOUBT)
#endif
	fi
}

#define READING(a) (step[a] == FOLLOWING || step[a] == CLAIMED)

inline arrive(a) {
	d_step {
		step[a] == IDLE && (a != 1 || step[0] != IDLE) ->	/* symmetry reduction: attempts 0 and 1 are interchangeable */
		holder[a] = NOBODY;
#ifdef MUTANT_TRUNCATED_READ_AS_EMPTY
		cursor[a] = firstEntry;
		step[a] = FOLLOWING
#else
		if
		:: firstEntry == 0 -> step[a] = FOLLOWING
		:: else -> answerCaller(a, NOT_RUN)
		fi
#endif
	}
}

inline read(a) {
	d_step {
		READING(a) && cursor[a] < logSize && cursor[a] >= firstEntry ->
		apply(a, entry[cursor[a]]);
		cursor[a]++;
		if
		:: step[a] == CLAIMED && entry[cursor[a] - 1] == RECORD(CLAIM, a) ->
			if
			:: holder[a] == a -> step[a] = OWNER
			:: else -> answerByLedger(a)
			fi
		:: else
		fi
	}
}

/* Ends attempt a if the log has dropped entries that the attempt had not read. */
inline readPastGap(a) {
	d_step {
		READING(a) && cursor[a] < firstEntry ->
#ifdef MUTANT_GAP_SKIPPED
		cursor[a] = firstEntry
#else
		answerByLedger(a)
#endif
	}
}

inline claim(a) {
	d_step { step[a] == FOLLOWING && holder[a] == NOBODY -> written[RECORD(CLAIM, a)] = true; step[a] = CLAIMED }
}

/*
 * Ends attempt a while nothing is dispatched: the log is unavailable, the
 * deadline has passed or the ledger shows that the attempt can't have the key.
 */
inline giveUp(a) {
	d_step { READING(a) || step[a] == OWNER -> answerByLedger(a) }
}

inline dispatch(a) {
	d_step { step[a] == OWNER && sends[a] < SENDS -> sends[a]++; inFlight[a]++; step[a] = SENT }
}

/* Releases the key: attempt a owns it and has proof that its call did not run. */
inline release(a) {
	d_step {
		step[a] == OWNER ->
		written[RECORD(RELEASE, a)] = true;
#ifdef MUTANT_DISPATCH_AFTER_RELEASE
		callerAnswer[a] = NOT_RUN
#else
		answerCaller(a, NOT_RUN)
#endif
	}
}

inline handleResult(a) {
	d_step { step[a] == SENT && upstreamAnswer[a] == RAN -> written[RECORD(OUTCOME, a)] = true; answerCaller(a, RAN) }
}

inline handleRefusal(a) {
	d_step { step[a] == SENT && upstreamAnswer[a] == NOT_RUN -> upstreamAnswer[a] = NOTHING; step[a] = OWNER }
}

/* Attempt a loses its connection to the upstream, which may still run the call. */
inline loseConnection(a) {
	d_step {
		step[a] == SENT ->
#ifdef MUTANT_RETRY_AFTER_LOST
		step[a] = OWNER
#elif defined(MUTANT_RELEASE_AFTER_LOST)
		written[RECORD(RELEASE, a)] = true;
		answerCaller(a, NOT_RUN)
#else
		answerCaller(a, IN_DOUBT)
#endif
	}
}

inline crash(a) {
	d_step { step[a] != IDLE && step[a] != ENDED -> endAttempt(a) }
}

active [ATTEMPTS] proctype Attempt() {
	do
	:: arrive(_pid)
	:: read(_pid)
	:: readPastGap(_pid)
	:: claim(_pid)
	:: giveUp(_pid)
	:: dispatch(_pid)
	:: release(_pid)
	:: handleResult(_pid)
	:: handleRefusal(_pid)
	:: loseConnection(_pid)
	:: crash(_pid)
#ifdef MUTANT_DECIDE_BY_ANSWER
	:: d_step { step[_pid] == CLAIMED && copies[RECORD(CLAIM, _pid)] > 0 -> step[_pid] = OWNER }
#endif
#ifdef MUTANT_RELEASE_BY_OTHER
	:: d_step { step[_pid] == FOLLOWING && OTHER_HOLDS(_pid) && !hasOutcome[_pid] -> written[RECORD(RELEASE, holder[_pid])] = true }
#endif
	od
}

inline runCall(a) {
	d_step {
		inFlight[a] > 0 ->
		inFlight[a]--;
		ran[a]++;
		ranTwice = ran[0] + ran[1] + ran[2] > 1;
		ranAfterNotRun = callerAnswer[a] == NOT_RUN;
		assert(!ranTwice);
		assert(!ranAfterNotRun);
		if
		:: step[a] == SENT -> upstreamAnswer[a] = RAN
		:: else
		fi
	}
}

inline refuseCall(a) {
	d_step {
		inFlight[a] > 0 ->
		inFlight[a]--;
		if
		:: step[a] == SENT -> upstreamAnswer[a] = NOT_RUN
		:: else
		fi
	}
}

/* The upstream runs or refuses calls; loseConnection() models a lost answer. */
active proctype Upstream() {
	do
	:: runCall(0)
	:: runCall(1)
	:: runCall(2)
	:: refuseCall(0)
	:: refuseCall(1)
	:: refuseCall(2)
	od
}

inline deliver(r) {
	d_step {
		written[r] && copies[r] < COPIES && logSize < LOG ->
		copies[r]++;
		entry[logSize] = r;
		logSize++;
		if
		:: KIND(r) == CLAIM && FIRST_COPY(ATTEMPTS, r) && FREE(ATTEMPTS) ->
			acceptedClaims[BY(r)]++;
			recordTookEffectTwice = acceptedClaims[BY(r)] > 1;
			lateCopyTookEffect = acceptedClaims[BY(r)] == 1 && copies[r] > 1
		:: else
		fi;
		apply(ATTEMPTS, r);
		assert(!recordTookEffectTwice);
		assert(!lateCopyTookEffect)
	}
}

active proctype Log() {
	holder[ATTEMPTS] = NOBODY;
	do
	:: deliver(0)
	:: deliver(1)
	:: deliver(2)
	:: deliver(3)
	:: deliver(4)
	:: deliver(5)
	:: deliver(6)
	:: deliver(7)
	:: deliver(8)
	:: d_step { firstEntry < logSize -> firstEntry++ }	/* the log drops its oldest entry */
	od
}
