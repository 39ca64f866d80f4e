/*
 * Claims of one key of a call that may not be repeated.
 *
 * Attempts 0 and 1 carry the same content through two entry VMs; attempt 2
 * carries other content under the same key, or the same with ONE_CONTENT. Each
 * attempt follows the log with a cursor of its own and decides only by what it
 * reads there. Appends may take effect late, twice or never. Attempts pause
 * between any two steps and crash without a trace. The log may drop its oldest
 * entries at any moment; an attempt that finds it cut since the key was made
 * can't judge the key.
 */
#define ATTEMPTS 3
#define LOG      6	/* entries that the log may hold, copies included */
#define COPIES   2	/* deliveries of one record */
#define SENDS    2	/* tries of one attempt at an upstream */

/* A record is kind * 3 + attempt. */
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
#define FOLLOWING 1	/* reads the log, has not claimed */
#define CLAIMED   2	/* waits to read its claim back */
#define OWNER     3	/* may dispatch */
#define SENT      4	/* waits for the upstream */
#define ENDED     5

/* Answers, to callers and from upstreams. */
#define NOTHING  0
#define NOT_RUN  1
#define IN_DOUBT 2
#define RAN      3

/* The log and the records that were written. */
byte entry[LOG];
byte size;
byte first;	/* oldest entry that the log still holds */
bool written[9];
byte copies[9];

/* Attempts. The last ledger is that of a reader of the whole log. */
byte step[ATTEMPTS];
byte told[ATTEMPTS];
byte cursor[ATTEMPTS];
byte sends[ATTEMPTS];
byte answer[ATTEMPTS];	/* from the upstream */
byte flying[ATTEMPTS];	/* requests on their way to an upstream */
byte holder[ATTEMPTS + 1];	/* whose claim stands */
byte seen[ATTEMPTS + 1];	/* claims met, one bit for each attempt */
bool done[ATTEMPTS + 1];	/* an outcome stands */

/* Ghosts. */
byte ran[ATTEMPTS];
byte wins[ATTEMPTS];	/* times that the claim of an attempt stood */

/* Properties. Each is false in every state of the correct protocol. */
bool ranTwice;
bool ranAfterNotRun;
bool doubtTakenForNotRun;
bool wrongOutcome;
bool recordTookEffectTwice;
bool lateCopyTookEffect;	/* after the first copy of the record had none */

#ifdef MUTANT_NO_DEDUPE
#define FIRST_COPY(l, r) true
#else
#define FIRST_COPY(l, r) ((seen[l] & (1 << BY(r))) == 0)
#endif

/* Claims whose copies are told apart: all of them, also those that lost. */
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
	:: KIND(r) == RELEASE && holder[l] == BY(r) && !done[l] -> holder[l] = NOBODY
	:: KIND(r) == OUTCOME && holder[l] == BY(r) -> done[l] = true
	:: else
	fi;
	if
	:: KIND(r) == CLAIM && REMEMBERED(l, r) -> seen[l] = seen[l] | (1 << BY(r))
	:: else
	fi
}

/* Whether attempt b ran the call with the content of attempt a. */
#define RAN_AS(a, b) (ran[b] > 0 && CONTENT(a) == CONTENT(b))

/* Ends attempt a with an answer to its caller and forgets its memory. */
inline tell(a, what) {
	told[a] = what;
	ranAfterNotRun = what == NOT_RUN && ran[a] > 0;
	doubtTakenForNotRun = what == NOT_RUN && OTHER_HOLDS(a) && CONTENT(holder[a]) == CONTENT(a);
	wrongOutcome = what == RAN && !RAN_AS(a, 0) && !RAN_AS(a, 1) && !RAN_AS(a, 2);
	assert(!ranAfterNotRun);
	assert(!doubtTakenForNotRun);
	assert(!wrongOutcome);
	stop(a)
}

inline stop(a) {
	step[a] = ENDED;
	cursor[a] = 0;
	sends[a] = 0;
	answer[a] = NOTHING;
	holder[a] = NOBODY;
	seen[a] = 0;
	done[a] = false
}

/* Answers attempt a by its ledger, without having dispatched. */
inline answerByLedger(a) {
	if
	:: !OTHER_HOLDS(a) -> tell(a, NOT_RUN)
	:: OTHER_HOLDS(a) && !SAME_CONTENT(a) -> tell(a, NOT_RUN)	/* key reused */
	:: OTHER_HOLDS(a) && SAME_CONTENT(a) && done[a] -> tell(a, RAN)
#ifdef MUTANT_IN_DOUBT_AS_NOT_RUN
	:: OTHER_HOLDS(a) && SAME_CONTENT(a) && !done[a] -> tell(a, NOT_RUN)
#else
	:: OTHER_HOLDS(a) && SAME_CONTENT(a) && !done[a] -> tell(a, IN_DOUBT)
#endif
	fi
}

#define READING(a) (step[a] == FOLLOWING || step[a] == CLAIMED)

inline arrive(a) {
	d_step {
		step[a] == IDLE && (a != 1 || step[0] != IDLE) ->	/* 0 and 1 are interchangeable */
		holder[a] = NOBODY;
#ifdef MUTANT_TRUNCATED_READ_AS_EMPTY
		cursor[a] = first;
		step[a] = FOLLOWING
#else
		if
		:: first == 0 -> step[a] = FOLLOWING
		:: else -> tell(a, NOT_RUN)
		fi
#endif
	}
}

inline read(a) {
	d_step {
		READING(a) && cursor[a] < size && cursor[a] >= first ->
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

/* The log dropped entries that attempt a had not read. */
inline meetGap(a) {
	d_step {
		READING(a) && cursor[a] < first ->
#ifdef MUTANT_GAP_SKIPPED
		cursor[a] = first
#else
		answerByLedger(a)
#endif
	}
}

inline claim(a) {
	d_step { step[a] == FOLLOWING && holder[a] == NOBODY -> written[RECORD(CLAIM, a)] = true; step[a] = CLAIMED }
}

/* Gives up before any dispatch: log outage, deadline or a decision by the ledger. */
inline giveUp(a) {
	d_step { READING(a) || step[a] == OWNER -> answerByLedger(a) }
}

inline dispatch(a) {
	d_step { step[a] == OWNER && sends[a] < SENDS -> sends[a]++; flying[a]++; step[a] = SENT }
}

/* An owner that is proved not to have run the call frees the key. */
inline release(a) {
	d_step {
		step[a] == OWNER ->
		written[RECORD(RELEASE, a)] = true;
#ifdef MUTANT_DISPATCH_AFTER_RELEASE
		told[a] = NOT_RUN
#else
		tell(a, NOT_RUN)
#endif
	}
}

inline finish(a) {
	d_step { step[a] == SENT && answer[a] == RAN -> written[RECORD(OUTCOME, a)] = true; tell(a, RAN) }
}

inline refused(a) {
	d_step { step[a] == SENT && answer[a] == NOT_RUN -> answer[a] = NOTHING; step[a] = OWNER }
}

/* The connection is lost; the request may still run later. */
inline lose(a) {
	d_step {
		step[a] == SENT ->
#ifdef MUTANT_RETRY_AFTER_LOST
		step[a] = OWNER
#elif defined(MUTANT_RELEASE_AFTER_LOST)
		written[RECORD(RELEASE, a)] = true;
		tell(a, NOT_RUN)
#else
		tell(a, IN_DOUBT)
#endif
	}
}

inline crash(a) {
	d_step { step[a] != IDLE && step[a] != ENDED -> stop(a) }
}

active [ATTEMPTS] proctype Attempt() {
	do
	:: arrive(_pid)
	:: read(_pid)
	:: meetGap(_pid)
	:: claim(_pid)
	:: giveUp(_pid)
	:: dispatch(_pid)
	:: release(_pid)
	:: finish(_pid)
	:: refused(_pid)
	:: lose(_pid)
	:: crash(_pid)
#ifdef MUTANT_DECIDE_BY_ANSWER
	:: d_step { step[_pid] == CLAIMED && copies[RECORD(CLAIM, _pid)] > 0 -> step[_pid] = OWNER }
#endif
#ifdef MUTANT_RELEASE_BY_OTHER
	:: d_step { step[_pid] == FOLLOWING && OTHER_HOLDS(_pid) && !done[_pid] -> written[RECORD(RELEASE, holder[_pid])] = true }
#endif
	od
}

inline runCall(a) {
	d_step {
		flying[a] > 0 ->
		flying[a]--;
		ran[a]++;
		ranTwice = ran[0] + ran[1] + ran[2] > 1;
		ranAfterNotRun = told[a] == NOT_RUN;
		assert(!ranTwice);
		assert(!ranAfterNotRun);
		if
		:: step[a] == SENT -> answer[a] = RAN
		:: else
		fi
	}
}

inline refuseCall(a) {
	d_step {
		flying[a] > 0 ->
		flying[a]--;
		if
		:: step[a] == SENT -> answer[a] = NOT_RUN
		:: else
		fi
	}
}

/* Upstreams; an answer that is lost shows as lose() above. */
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
		written[r] && copies[r] < COPIES && size < LOG ->
		copies[r]++;
		entry[size] = r;
		size++;
		if
		:: KIND(r) == CLAIM && FIRST_COPY(ATTEMPTS, r) && FREE(ATTEMPTS) ->
			wins[BY(r)]++;
			recordTookEffectTwice = wins[BY(r)] > 1;
			lateCopyTookEffect = wins[BY(r)] == 1 && copies[r] > 1
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
	:: d_step { first < size -> first++ }	/* retention */
	od
}
