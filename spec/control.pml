/*
 * Control lease and formation of replicas over the control stream.
 *
 * Controllers write records; the log orders them. A record may be delivered
 * late, twice or never, whatever its writer believes. The ledger judges each
 * record by the prefix before it and by nothing else, so one ledger stands for
 * every reader. A second ledger starts from a checkpoint at any position and
 * has to agree with the first from then on.
 *
 * Replica 0 spans VMs 0 and 1, replica 1 spans VMs 1 and 2: they share VM 1.
 * Positions start at 1; 0 means none.
 */
#define CONTROLLERS 2
#define RECORDS     5	/* records that may be written */
#define LOG         6	/* entries that the log may hold, copies included */
#define COPIES      2	/* deliveries of one record */

#define CLAIM    1
#define FORM     2
#define DISSOLVE 3

typedef Record {
	byte kind;
	byte writer;
	byte term;	/* claim: the term it replaces; others: the writer's term */
	byte replica;	/* form and dissolve */
	byte generation;	/* dissolve */
	byte copies;	/* delivered so far */
}

typedef Ledger {
	byte term;
	byte live[2];	/* generation of each replica; 0 if it is not live */
	byte seen;	/* identifiers met, one bit each */
}

Record rec[RECORDS];
byte made;
byte size;
Ledger whole;	/* reader of the whole log */
Ledger late;	/* reader that started from a checkpoint */
bool lateStarted;
byte held[CONTROLLERS];	/* term that each controller believes it holds */
byte won[CONTROLLERS];	/* term that a read-back would show it */

/* Ghosts: facts that no reader uses. */
byte owner;	/* controller that claimed the current term, plus 1 */
byte ended;	/* terms that were replaced, one bit each */
byte effective;	/* records that took effect, one bit each */

/* Properties. Each is false in every state of the correct protocol. */
bool vmInTwoReplicas;
bool formerHolderDecided;
bool termEndedTwice;
bool recordTookEffectTwice;
bool otherGenerationDissolved;
bool readersDisagree;

hidden byte ok;

/* Judges record r at position size against a ledger; the verdict is in ok. */
inline judge(l, r) {
	ok = true;
#ifndef MUTANT_NO_DEDUPE
	if
	:: l.seen & (1 << r) -> ok = false
	:: else
	fi;
#endif
	if
	:: rec[r].kind == CLAIM ->
#ifndef MUTANT_NO_REPLACES_CHECK
		ok = ok && rec[r].term == l.term
#endif
	:: else ->
#ifndef MUTANT_NO_TERM_CHECK
		ok = ok && rec[r].term == l.term
#endif
	fi;
	if
	:: rec[r].kind == FORM ->
		ok = ok && l.live[rec[r].replica] == 0;
#ifndef MUTANT_NO_VM_CHECK
		ok = ok && l.live[1 - rec[r].replica] == 0
#endif
	:: rec[r].kind == DISSOLVE ->
		ok = ok && l.live[rec[r].replica] != 0;
#ifndef MUTANT_NO_GENERATION_ON_DISSOLVE
		ok = ok && l.live[rec[r].replica] == rec[r].generation
#endif
	:: else
	fi
}

/* Applies record r, judged ok, at position size. */
inline apply(l, r) {
	if
	:: ok && rec[r].kind == CLAIM -> l.term = size
	:: ok && rec[r].kind == FORM -> l.live[rec[r].replica] = size
	:: ok && rec[r].kind == DISSOLVE -> l.live[rec[r].replica] = 0
	:: else
	fi;
	l.seen = l.seen | (1 << r)
}

/* Notes the ghosts of an accepted record before it is applied. */
inline observe(r) {
	if
	:: ok && rec[r].kind == CLAIM ->
		termEndedTwice = termEndedTwice || (ended & (1 << rec[r].term));
		ended = ended | (1 << rec[r].term);
		owner = rec[r].writer + 1;
		won[rec[r].writer] = size
	:: ok && rec[r].kind != CLAIM ->
		formerHolderDecided = formerHolderDecided || owner != rec[r].writer + 1
	:: else
	fi;
	if
	:: ok && rec[r].kind == DISSOLVE && whole.live[rec[r].replica] != rec[r].generation ->
		otherGenerationDissolved = true
	:: else
	fi;
	if
	:: ok && (effective & (1 << r)) -> recordTookEffectTwice = true
	:: ok -> effective = effective | (1 << r)
	:: else
	fi
}

/* Delivers one copy of record r. */
inline deliver(r) {
	d_step {
		r < made && rec[r].copies < COPIES && size < LOG ->
		rec[r].copies++;
		size++;
		judge(whole, r);
		observe(r);
		apply(whole, r);
		if
		:: lateStarted -> judge(late, r); apply(late, r)
		:: else
		fi;
		vmInTwoReplicas = whole.live[0] != 0 && whole.live[1] != 0;
		readersDisagree = lateStarted &&
			(whole.term != late.term || whole.live[0] != late.live[0] || whole.live[1] != late.live[1]);
		assert(!vmInTwoReplicas);
		assert(!formerHolderDecided);
		assert(!termEndedTwice);
		assert(!recordTookEffectTwice);
		assert(!otherGenerationDissolved);
		assert(!readersDisagree)
	}
}

/* Writes a record. What its writer read may be out of date at delivery. */
#define WRITE(k, t, r, g) \
	rec[made].kind = k; \
	rec[made].writer = _pid; \
	rec[made].term = t; \
	rec[made].replica = r; \
	rec[made].generation = g; \
	made++

/*
 * Symmetry: controllers and replicas are interchangeable, so controller 0
 * writes the first record and replica 0 is the first to be formed.
 */
#define FORMED_BEFORE (rec[1].kind == FORM || rec[2].kind == FORM || rec[3].kind == FORM)

active [CONTROLLERS] proctype Controller() {
	do
	:: d_step { made < RECORDS && held[_pid] == 0 && (made > 0 || _pid == 0) -> WRITE(CLAIM, whole.term, 0, 0) }
	:: d_step { held[_pid] == 0 && won[_pid] != 0 -> held[_pid] = won[_pid] }	/* read back */
	:: d_step { made < RECORDS && held[_pid] != 0 -> WRITE(FORM, held[_pid], 0, 0) }
	:: d_step { made < RECORDS && held[_pid] != 0 && FORMED_BEFORE -> WRITE(FORM, held[_pid], 1, 0) }
	:: d_step { made < RECORDS && held[_pid] != 0 && whole.live[0] != 0 -> WRITE(DISSOLVE, held[_pid], 0, whole.live[0]) }
	:: d_step { made < RECORDS && held[_pid] != 0 && whole.live[1] != 0 -> WRITE(DISSOLVE, held[_pid], 1, whole.live[1]) }
	:: d_step { held[_pid] != 0 -> held[_pid] = 0; won[_pid] = 0 }	/* crash or step down */
	od
}

active proctype Log() {
	do
	:: deliver(0)
	:: deliver(1)
	:: deliver(2)
	:: deliver(3)
	:: deliver(4)
	:: d_step {
		!lateStarted && size > 0 ->
		lateStarted = true;
#ifndef MUTANT_CHECKPOINT_WITHOUT_IDS
		late.seen = whole.seen;
#endif
		late.term = whole.term;
		late.live[0] = whole.live[0];
		late.live[1] = whole.live[1]
	}
	od
}
