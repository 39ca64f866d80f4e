/*
 * Model of the control lease and of the formation of replicas on the control
 * stream.
 *
 * Controllers write records, and the log orders them. A record may be delivered
 * late, twice or never, whatever its writer believes. A ledger accepts or
 * rejects each record only by the entries before it, so one ledger stands for
 * every reader of the whole log. A second ledger starts from a checkpoint at any
 * position and has to agree with the first ledger from then on.
 *
 * Replica 0 spans VMs 0 and 1, replica 1 spans VMs 1 and 2: they share VM 1.
 * Positions in the log start at 1; 0 means none.
 */
#define CONTROLLERS 2
#define RECORDS     5	/* maximum number of records written */
#define LOG         6	/* maximum number of log entries, repeated deliveries included */
#define COPIES      2	/* maximum number of deliveries of one record */

#define CLAIM    1
#define FORM     2
#define DISSOLVE 3

typedef Record {
	byte kind;
	byte writer;
	byte term;	/* claim: the term that it replaces; other records: the writer's term */
	byte replica;	/* form and dissolve: the replica */
	byte generation;	/* dissolve: the generation to dissolve */
	byte copies;	/* number of deliveries so far */
}

typedef Ledger {
	byte term;
	byte live[2];	/* generation of each replica; 0 if it is not live */
	byte seenIds;	/* records read so far, one bit for each record */
}

Record rec[RECORDS];
byte recordCount;
byte logSize;
Ledger fullLedger;	/* ledger of a reader of the whole log */
Ledger checkpointLedger;	/* ledger of a reader that started from a checkpoint */
bool checkpointRead;
byte believedTerm[CONTROLLERS];	/* term that each controller believes it holds; 0 if none */
byte claimedTerm[CONTROLLERS];	/* newest term that each controller has won and may not have read yet */

/* Ghost variables: only the properties use them, no reader or writer does. */
byte termHolder;	/* controller that claimed the current term, plus 1; 0 if none */
byte replacedTerms;	/* terms that were replaced, one bit for each term */
byte effective;	/* records that took effect, one bit for each record */

/* Properties. Each is false in every state of the correct protocol. */
bool vmInTwoReplicas;
bool formerHolderDecided;
bool termEndedTwice;
bool recordTookEffectTwice;
bool otherGenerationDissolved;
bool readersDisagree;

hidden byte accepted;

/* Sets accepted to whether ledger l accepts record r as its next entry. */
inline judge(l, r) {
	accepted = true;
#ifndef MUTANT_NO_DEDUPE
	if
	:: l.seenIds & (1 << r) -> accepted = false
	:: else
	fi;
#endif
	if
	:: rec[r].kind == CLAIM ->
#ifndef MUTANT_NO_REPLACES_CHECK
		accepted = accepted && rec[r].term == l.term
#endif
	:: else ->
#ifndef MUTANT_NO_TERM_CHECK
		accepted = accepted && rec[r].term == l.term
#endif
	fi;
	if
	:: rec[r].kind == FORM ->
		accepted = accepted && l.live[rec[r].replica] == 0;
#ifndef MUTANT_NO_VM_CHECK
		accepted = accepted && l.live[1 - rec[r].replica] == 0
#endif
	:: rec[r].kind == DISSOLVE ->
		accepted = accepted && l.live[rec[r].replica] != 0;
#ifndef MUTANT_NO_GENERATION_ON_DISSOLVE
		accepted = accepted && l.live[rec[r].replica] == rec[r].generation
#endif
	:: else
	fi
}

/* Applies record r at position logSize to ledger l if the record was accepted. */
inline apply(l, r) {
	if
	:: accepted && rec[r].kind == CLAIM -> l.term = logSize
	:: accepted && rec[r].kind == FORM -> l.live[rec[r].replica] = logSize
	:: accepted && rec[r].kind == DISSOLVE -> l.live[rec[r].replica] = 0
	:: else
	fi;
	l.seenIds = l.seenIds | (1 << r)
}

/* Updates the ghost variables and properties for record r before it is applied. */
inline updateProperties(r) {
	if
	:: accepted && rec[r].kind == CLAIM ->
		termEndedTwice = termEndedTwice || (replacedTerms & (1 << rec[r].term));
		replacedTerms = replacedTerms | (1 << rec[r].term);
		termHolder = rec[r].writer + 1;
		claimedTerm[rec[r].writer] = logSize
	:: accepted && rec[r].kind != CLAIM ->
		formerHolderDecided = formerHolderDecided || termHolder != rec[r].writer + 1
	:: else
	fi;
	if
	:: accepted && rec[r].kind == DISSOLVE && fullLedger.live[rec[r].replica] != rec[r].generation ->
		otherGenerationDissolved = true
	:: else
	fi;
	if
	:: accepted && (effective & (1 << r)) -> recordTookEffectTwice = true
	:: accepted -> effective = effective | (1 << r)
	:: else
	fi
}

/* Appends record r to the log and checks the properties. */
inline deliver(r) {
	d_step {
		r < recordCount && rec[r].copies < COPIES && logSize < LOG ->
		rec[r].copies++;
		logSize++;
		judge(fullLedger, r);
		updateProperties(r);
		apply(fullLedger, r);
		if
		:: checkpointRead -> judge(checkpointLedger, r); apply(checkpointLedger, r)
		:: else
		fi;
		vmInTwoReplicas = fullLedger.live[0] != 0 && fullLedger.live[1] != 0;
		readersDisagree = checkpointRead &&
			(fullLedger.term != checkpointLedger.term || fullLedger.live[0] != checkpointLedger.live[0] || fullLedger.live[1] != checkpointLedger.live[1]);
		assert(!vmInTwoReplicas);
		assert(!formerHolderDecided);
		assert(!termEndedTwice);
		assert(!recordTookEffectTwice);
		assert(!otherGenerationDissolved);
		assert(!readersDisagree)
	}
}

/* Writes a record. What its writer has read may be out of date at the delivery. */
#define WRITE(k, t, r, g) \
	rec[recordCount].kind = k; \
	rec[recordCount].writer = _pid; \
	rec[recordCount].term = t; \
	rec[recordCount].replica = r; \
	rec[recordCount].generation = g; \
	recordCount++

/*
 * Symmetry reduction: controllers and replicas are interchangeable, so
 * controller 0 writes the first record and replica 0 is the first to be formed.
 */
#define FORMED_BEFORE (rec[1].kind == FORM || rec[2].kind == FORM || rec[3].kind == FORM)

active [CONTROLLERS] proctype Controller() {
	do
	:: d_step { recordCount < RECORDS && believedTerm[_pid] == 0 && (recordCount > 0 || _pid == 0) -> WRITE(CLAIM, fullLedger.term, 0, 0) }
	:: d_step { believedTerm[_pid] == 0 && claimedTerm[_pid] != 0 -> believedTerm[_pid] = claimedTerm[_pid] }	/* the controller reads its claim back */
	:: d_step { recordCount < RECORDS && believedTerm[_pid] != 0 -> WRITE(FORM, believedTerm[_pid], 0, 0) }
	:: d_step { recordCount < RECORDS && believedTerm[_pid] != 0 && FORMED_BEFORE -> WRITE(FORM, believedTerm[_pid], 1, 0) }
	:: d_step { recordCount < RECORDS && believedTerm[_pid] != 0 && fullLedger.live[0] != 0 -> WRITE(DISSOLVE, believedTerm[_pid], 0, fullLedger.live[0]) }
	:: d_step { recordCount < RECORDS && believedTerm[_pid] != 0 && fullLedger.live[1] != 0 -> WRITE(DISSOLVE, believedTerm[_pid], 1, fullLedger.live[1]) }
	:: d_step { believedTerm[_pid] != 0 -> believedTerm[_pid] = 0; claimedTerm[_pid] = 0 }	/* the controller crashes or gives up the lease */
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
		!checkpointRead && logSize > 0 ->
		checkpointRead = true;
#ifndef MUTANT_CHECKPOINT_WITHOUT_IDS
		checkpointLedger.seenIds = fullLedger.seenIds;
#endif
		checkpointLedger.term = fullLedger.term;
		checkpointLedger.live[0] = fullLedger.live[0];
		checkpointLedger.live[1] = fullLedger.live[1]
	}
	od
}
