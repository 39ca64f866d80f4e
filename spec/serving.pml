/*
 * What a router may send to, given the control stream that control.pml proves:
 * at each prefix at most one of two overlapping replicas is live.
 *
 * Replica 0 spans VMs 0 and 1, replica 1 spans VM 1 alone. VM 0 refuses orders
 * with an old fencing number, VM 1 obeys any order. Orders may arrive late,
 * again or never. VMs crash and come back idle. Generations are positions on
 * the control stream; 0 means none.
 */
#ifndef LOG
#define LOG 4	/* records on the control stream, at most 4 */
#endif
#define VMS 2

byte size;
byte formed[5];	/* replica formed at a position, plus 1 */
byte gone[5];	/* position at which a generation was dissolved */
byte live;	/* generation that is live at the log's end */

byte joined[VMS];	/* generation that the VM works for */
byte highest[VMS];	/* highest fencing number obeyed since the VM's start */

/* The router: a prefix of the log and the newest report of each VM. */
byte cursor;
byte report[VMS];
byte age[VMS];	/* ticks since the report was asked for */
#define FRESH 1	/* oldest age that counts */
#define EXPIRED 2

/* Ghosts: generations that each VM was in during this tick and the last. */
byte current[VMS];
byte last[VMS];

/* Properties. Each is false in every state of the correct protocol. */
bool twoEligible;
bool memberMissing;
bool steppedBack;

#define HAS_VM(g, v) (formed[g] == 1 || (formed[g] == 2 && v == 1))
#define KNOWN(g) (g <= cursor && formed[g] != 0)
#ifdef MUTANT_FORMATIONS_ONLY
#define LIVE_IN_VIEW(g) KNOWN(g)
#else
#define LIVE_IN_VIEW(g) (KNOWN(g) && (gone[g] == 0 || gone[g] > cursor))
#endif

#ifdef MUTANT_NO_FRESHNESS
#define RECENT(v) true
#else
#define RECENT(v) (age[v] <= FRESH)
#endif

#if defined(MUTANT_NO_REPORT_CHECK) || defined(MUTANT_FORMATIONS_ONLY)
#define CONFIRMED(g, v) true
#elif defined(MUTANT_NO_GENERATION_COMPARE)
#define CONFIRMED(g, v) (RECENT(v) && formed[report[v]] == formed[g])
#else
#define CONFIRMED(g, v) (RECENT(v) && report[v] == g)
#endif

#if defined(MUTANT_ONE_REPORT_IS_ENOUGH)
#define COMPLETE(g) (CONFIRMED(g, 1) || (HAS_VM(g, 0) && CONFIRMED(g, 0)))
#else
#define COMPLETE(g) (CONFIRMED(g, 1) && (!HAS_VM(g, 0) || CONFIRMED(g, 0)))
#endif

#define ELIGIBLE(g) (LIVE_IN_VIEW(g) && COMPLETE(g))

/* Whether VM v was in generation g at a moment that the freshness allows. */
#define WAS_IN(g, v) (((current[v] | last[v]) >> g) & 1)
#define WAS_COMPLETE(g) (WAS_IN(g, 1) && (!HAS_VM(g, 0) || WAS_IN(g, 0)))

/* All replicas share VM 1, so any two of them overlap. */
#define OTHER_ELIGIBLE(g) ( \
	(g != 1 && ELIGIBLE(1)) || (g != 2 && ELIGIBLE(2)) || \
	(g != 3 && ELIGIBLE(3)) || (g != 4 && ELIGIBLE(4)))

inline work(v, g) {
	joined[v] = g;
	current[v] = current[v] | (1 << g)
}

#ifdef MUTANT_NO_FENCING
#define FENCED(g, v) true
#else
#define FENCED(g, v) (v == 1 || g >= highest[v])
#endif

/* An order to join generation g reaches VM v. */
inline obey(v, g) {
	d_step {
		g <= size && HAS_VM(g, v) && joined[v] != g && FENCED(g, v) ->
		steppedBack = v == 0 && g < highest[v];
		assert(!steppedBack);
		work(v, g);
		if
		:: g > highest[v] -> highest[v] = g
		:: else
		fi
	}
}

active [VMS] proctype VM() {
	do
	:: obey(_pid, 1)
	:: obey(_pid, 2)
	:: obey(_pid, 3)
	:: obey(_pid, 4)
	:: d_step { joined[_pid] != 0 -> work(_pid, 0) }	/* order to leave */
	:: d_step { highest[_pid] != 0 -> highest[_pid] = 0; work(_pid, 0) }	/* crash and restart */
	od
}

inline form(r) {
	d_step { size < LOG && live == 0 -> size++; formed[size] = r + 1; live = size }
}

active proctype Control() {
	do
	:: form(0)
	:: form(1)
	:: d_step { size < LOG && live != 0 -> size++; gone[live] = size; live = 0 }
	od
}

inline poll(v) {
	d_step { report[v] != joined[v] || age[v] != 0 -> report[v] = joined[v]; age[v] = 0 }
}

#ifdef REPORTS_TAKE_TIME
/* A report of VM 1 on its way; its age counts from when it was asked for. */
byte answer;
byte answerAge = EXPIRED;

inline askOne() {
	d_step { answerAge == EXPIRED -> answer = joined[1]; answerAge = 0 }
}

inline arrive() {
	d_step {
#ifdef MUTANT_AGE_FROM_ARRIVAL
		report[1] = answer;
		age[1] = 0;
#else
		answerAge < EXPIRED ->
		report[1] = answer;
		age[1] = answerAge;
#endif
		answer = 0;
		answerAge = EXPIRED
	}
}

inline delay() {
	if
	:: answerAge < EXPIRED -> answerAge++
	:: else
	fi;
	if
#ifndef MUTANT_AGE_FROM_ARRIVAL
	:: answerAge == EXPIRED -> answer = 0
#endif
	:: else
	fi
}
#endif

#ifdef MUTANT_JUDGED_BEFORE_THE_DECISION
/* Replicas that were eligible when the router last looked, one bit each. */
byte judged;
#define BIT(g) ((KNOWN(g) && ELIGIBLE(g)) << g)
#define MAY_SEND(g) ((judged >> g) & 1)
#else
#define MAY_SEND(g) (KNOWN(g) && ELIGIBLE(g))
#endif

inline send(g) {
	d_step {
		MAY_SEND(g) ->
		twoEligible = OTHER_ELIGIBLE(g);
		memberMissing = !WAS_COMPLETE(g);
		assert(!twoEligible);
#ifndef SKIP_MEMBER_MISSING	/* lets a mutant reach the other property */
		assert(!memberMissing)
#endif
	}
}

inline expire(v) {
	if
	:: age[v] < EXPIRED -> age[v]++
	:: else
	fi;
	if	/* an expired report means nothing; forgetting it saves states */
#ifndef MUTANT_NO_FRESHNESS
	:: age[v] == EXPIRED -> report[v] = 0
#endif
	:: else
	fi;
	last[v] = current[v];
	current[v] = 1 << joined[v]
}

active proctype Router() {
	do
	:: d_step { cursor < size -> cursor++ }
	:: poll(0)
#ifdef REPORTS_TAKE_TIME
	:: askOne()
	:: arrive()
#else
	:: poll(1)
#endif
#ifdef MUTANT_JUDGED_BEFORE_THE_DECISION
	:: d_step { judged = BIT(1) | BIT(2) | BIT(3) | BIT(4) }
#endif
	:: send(1)
	:: send(2)
	:: send(3)
	:: send(4)
	:: d_step { cursor > 0 -> cursor = 0; report[0] = 0; report[1] = 0 }	/* crash and restart */
#ifdef REPORTS_TAKE_TIME
	:: d_step { expire(0); expire(1); delay() }	/* time passes */
#else
	:: d_step { expire(0); expire(1) }	/* time passes */
#endif
	od
}
