/*
 * Model of the replicas that a router may send requests to. It assumes what
 * control.pml proves of the control stream: after each entry at most one of two
 * overlapping replicas is live.
 *
 * Replica 0 spans VMs 0 and 1, replica 1 spans VM 1 alone. VM 0 refuses orders
 * with an old fencing number, VM 1 obeys any order. Orders may arrive late,
 * repeatedly or never. VMs crash and restart idle. A generation is the position
 * of a replica's formation on the control stream; 0 means none.
 */
#ifndef LOG
#define LOG 4	/* maximum number of records on the control stream, at most 4 */
#endif
#define VMS 2

byte logSize;
byte formedReplica[5];	/* for each generation: its replica, plus 1; 0 for other positions */
byte dissolvedAt[5];	/* for each generation: position at which it was dissolved; 0 if it was not */
byte liveGeneration;	/* generation that is live at the end of the log */

byte joined[VMS];	/* generation that each VM is a member of */
byte highestFence[VMS];	/* highest fencing number that each VM has obeyed since its start */

/* The router knows a prefix of the log and the newest report of each VM. */
byte cursor;
byte report[VMS];
byte age[VMS];	/* ticks since the router requested the report */
#define FRESH 1	/* oldest age of a report that the router uses */
#define EXPIRED 2	/* age of a report that is not used any more */

/*
 * Ghost variables: generations that each VM was a member of during the current
 * tick and during the tick before, one bit for each generation.
 */
byte thisTick[VMS];
byte lastTick[VMS];

/* Properties. Each is false in every state of the correct protocol. */
bool twoEligible;
bool memberMissing;
bool steppedBack;

#define HAS_VM(g, v) (formedReplica[g] == 1 || (formedReplica[g] == 2 && v == 1))
#define KNOWN(g) (g <= cursor && formedReplica[g] != 0)
#ifdef MUTANT_FORMATIONS_ONLY
#define LIVE_IN_VIEW(g) KNOWN(g)
#else
#define LIVE_IN_VIEW(g) (KNOWN(g) && (dissolvedAt[g] == 0 || dissolvedAt[g] > cursor))
#endif

#ifdef MUTANT_NO_FRESHNESS
#define RECENT(v) true
#else
#define RECENT(v) (age[v] <= FRESH)
#endif

#if defined(MUTANT_NO_REPORT_CHECK) || defined(MUTANT_FORMATIONS_ONLY)
#define CONFIRMED(g, v) true
#elif defined(MUTANT_NO_GENERATION_COMPARE)
#define CONFIRMED(g, v) (RECENT(v) && formedReplica[report[v]] == formedReplica[g])
#else
#define CONFIRMED(g, v) (RECENT(v) && report[v] == g)
#endif

#if defined(MUTANT_ONE_REPORT_IS_ENOUGH)
#define COMPLETE(g) (CONFIRMED(g, 1) || (HAS_VM(g, 0) && CONFIRMED(g, 0)))
#else
#define COMPLETE(g) (CONFIRMED(g, 1) && (!HAS_VM(g, 0) || CONFIRMED(g, 0)))
#endif

#define ELIGIBLE(g) (LIVE_IN_VIEW(g) && COMPLETE(g))

/* Whether VM v was a member of generation g at a time that a fresh report covers. */
#define WAS_IN(g, v) (((thisTick[v] | lastTick[v]) >> g) & 1)
#define WAS_COMPLETE(g) (WAS_IN(g, 1) && (!HAS_VM(g, 0) || WAS_IN(g, 0)))

/* All replicas share VM 1, so any two of them overlap. */
#define OTHER_ELIGIBLE(g) ( \
	(g != 1 && ELIGIBLE(1)) || (g != 2 && ELIGIBLE(2)) || \
	(g != 3 && ELIGIBLE(3)) || (g != 4 && ELIGIBLE(4)))

/* Makes VM v a member of generation g, or of none if g is 0. */
inline setMembership(v, g) {
	joined[v] = g;
	thisTick[v] = thisTick[v] | (1 << g)
}

#ifdef MUTANT_NO_FENCING
#define FENCED(g, v) true
#else
#define FENCED(g, v) (v == 1 || g >= highestFence[v])
#endif

/* VM v obeys an order to join generation g. */
inline joinOrder(v, g) {
	d_step {
		g <= logSize && HAS_VM(g, v) && joined[v] != g && FENCED(g, v) ->
		steppedBack = v == 0 && g < highestFence[v];
		assert(!steppedBack);
		setMembership(v, g);
		if
		:: g > highestFence[v] -> highestFence[v] = g
		:: else
		fi
	}
}

active [VMS] proctype VM() {
	do
	:: joinOrder(_pid, 1)
	:: joinOrder(_pid, 2)
	:: joinOrder(_pid, 3)
	:: joinOrder(_pid, 4)
	:: d_step { joined[_pid] != 0 -> setMembership(_pid, 0) }	/* the VM obeys an order to leave */
	:: d_step { highestFence[_pid] != 0 -> highestFence[_pid] = 0; setMembership(_pid, 0) }	/* the VM crashes and restarts */
	od
}

inline form(r) {
	d_step { logSize < LOG && liveGeneration == 0 -> logSize++; formedReplica[logSize] = r + 1; liveGeneration = logSize }
}

active proctype Control() {
	do
	:: form(0)
	:: form(1)
	:: d_step { logSize < LOG && liveGeneration != 0 -> logSize++; dissolvedAt[liveGeneration] = logSize; liveGeneration = 0 }
	od
}

/* The router requests a report of VM v and receives it at once. */
inline poll(v) {
	d_step { report[v] != joined[v] || age[v] != 0 -> report[v] = joined[v]; age[v] = 0 }
}

#ifdef REPORTS_TAKE_TIME
/*
 * A report of VM 1 that the router has requested and not yet received. Its age
 * counts from the request.
 */
byte sentReport;
byte sentReportAge = EXPIRED;

inline sendReport() {
	d_step { sentReportAge == EXPIRED -> sentReport = joined[1]; sentReportAge = 0 }
}

inline receiveReport() {
	d_step {
#ifdef MUTANT_AGE_FROM_ARRIVAL
		report[1] = sentReport;
		age[1] = 0;
#else
		sentReportAge < EXPIRED ->
		report[1] = sentReport;
		age[1] = sentReportAge;
#endif
		sentReport = 0;
		sentReportAge = EXPIRED
	}
}

inline ageSentReport() {
	if
	:: sentReportAge < EXPIRED -> sentReportAge++
	:: else
	fi;
	if
#ifndef MUTANT_AGE_FROM_ARRIVAL
	:: sentReportAge == EXPIRED -> sentReport = 0
#endif
	:: else
	fi
}
#endif

#ifdef MUTANT_JUDGED_BEFORE_THE_DECISION
/* Generations that were eligible at the router's last check, one bit for each. */
byte eligibleEarlier;
#define BIT(g) ((KNOWN(g) && ELIGIBLE(g)) << g)
#define MAY_SEND(g) ((eligibleEarlier >> g) & 1)
#else
#define MAY_SEND(g) (KNOWN(g) && ELIGIBLE(g))
#endif

/* The router sends a request to generation g if it considers the generation eligible. */
inline send(g) {
	d_step {
		MAY_SEND(g) ->
		twoEligible = OTHER_ELIGIBLE(g);
		memberMissing = !WAS_COMPLETE(g);
		assert(!twoEligible);
#ifndef SKIP_MEMBER_MISSING	/* lets a mutant violate twoEligible instead */
		assert(!memberMissing)
#endif
	}
}

/* Advances the age of the report of VM v and its ghost variables by one tick. */
inline advanceTick(v) {
	if
	:: age[v] < EXPIRED -> age[v]++
	:: else
	fi;
	if	/* an expired report is not used; resetting it reduces the number of states */
#ifndef MUTANT_NO_FRESHNESS
	:: age[v] == EXPIRED -> report[v] = 0
#endif
	:: else
	fi;
	lastTick[v] = thisTick[v];
	thisTick[v] = 1 << joined[v]
}

active proctype Router() {
	do
	:: d_step { cursor < logSize -> cursor++ }
	:: poll(0)
#ifdef REPORTS_TAKE_TIME
	:: sendReport()
	:: receiveReport()
#else
	:: poll(1)
#endif
#ifdef MUTANT_JUDGED_BEFORE_THE_DECISION
	:: d_step { eligibleEarlier = BIT(1) | BIT(2) | BIT(3) | BIT(4) }
#endif
	:: send(1)
	:: send(2)
	:: send(3)
	:: send(4)
	:: d_step { cursor > 0 -> cursor = 0; report[0] = 0; report[1] = 0 }	/* the router crashes and restarts */
#ifdef REPORTS_TAKE_TIME
	:: d_step { advanceTick(0); advanceTick(1); ageSentReport() }	/* time passes */
#else
	:: d_step { advanceTick(0); advanceTick(1) }	/* time passes */
#endif
	od
}
