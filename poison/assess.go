package poison

import (
	"cmp"
	"slices"
)

// candidate is a suspect with the open crashes that no convicted part explains, and how many
// of them count.
type candidate struct {
	*suspect
	part  string
	open  []CrashID
	count int
}

// assess derives the convictions from the evidence: the part that explains the most
// crashes comes first, and the crashes that it explains don't count against others.
func (t *Table) assess() {
	if !t.stale {
		return
	}
	t.stale = false
	var parts, contents []*candidate
	for part, s := range t.suspects {
		s.convicted, s.unexplained, s.needed, s.twins = false, 0, convictCrashesDoubtful, nil
		c := &candidate{suspect: s, part: part, open: s.open()}
		c.count = s.count(c.open)
		if s.content {
			contents = append(contents, c)
		} else {
			parts = append(parts, c)
		}
	}
	for {
		t.weigh(parts)
		explained := convictLikeliest(parts)
		if len(explained) == 0 {
			break
		}
		parts = slices.DeleteFunc(parts, func(c *candidate) bool { return c.convicted })
		for _, c := range slices.Concat(parts, contents) {
			c.open = slices.DeleteFunc(c.open, func(id CrashID) bool { return slices.Contains(explained, id) })
			c.count = c.suspect.count(c.open)
		}
	}
	for _, c := range parts {
		c.unexplained = c.count
	}
	for _, c := range contents {
		c.needed = t.neededForContent(c)
		c.unexplained, c.convicted = c.count, c.count >= c.needed
	}
}

// weigh sets how many crashes convict each part.
func (t *Table) weigh(parts []*candidate) {
	// unproved holds the crashes that a part may explain whose answers were never whole.
	unproved := map[CrashID]bool{}
	for _, c := range parts {
		if c.proof() == startProof {
			for _, id := range c.open {
				unproved[id] = true
			}
		}
	}
	for _, c := range parts {
		c.needed = t.needed(c, unproved)
	}
}

// needed returns how many crashes convict a part. unproved holds the crashes that a part
// with less proof may explain.
func (t *Table) needed(c *candidate, unproved map[CrashID]bool) int {
	if !c.cutsOff() {
		if c.proof() == noProof {
			return convictCrashes
		}
		return convictCrashesDoubtful
	}
	shared := slices.ContainsFunc(c.open, func(id CrashID) bool { return unproved[id] })
	if t.untold(c) || c.proof() == partProof || c.proof() == wholeProof && shared {
		return convictCrashesUntold
	}
	return convictCrashesDoubtful
}

// neededForContent returns how many crashes convict a content.
func (t *Table) neededForContent(c *candidate) int {
	switch {
	case !c.cutsOff():
		return convictCrashes
	case t.untold(c), c.proof() == partProof:
		return convictCrashesUntold
	}
	return convictCrashesDoubtful
}

// untold reports whether no answer to any request has ended whole since the first crash of a
// candidate: a part that all requests share can't be told from a deadly one then.
func (t *Table) untold(c *candidate) bool {
	return !slices.ContainsFunc(c.open, func(id CrashID) bool { return t.lastEnd.After(c.crashes[id].at) })
}

// convictLikeliest convicts the part that explains the most crashes, of those against
// which the evidence suffices, and its rivals. It returns the crashes that they explain.
func convictLikeliest(parts []*candidate) []CrashID {
	likely := slices.DeleteFunc(slices.Clone(parts), func(c *candidate) bool { return c.count < convictCrashes })
	slices.SortFunc(likely, func(a, b *candidate) int { return cmp.Or(a.compare(b), cmp.Compare(a.part, b.part)) })
	for _, top := range likely {
		convicted := slices.DeleteFunc(slices.Clone(likely), func(c *candidate) bool { return !top.rivals(c) })
		need := top.needed
		if len(convicted) > 1 {
			need = max(need, convictCrashesDoubtful)
		}
		if top.count < need {
			continue
		}
		var explained []CrashID
		for _, c := range convicted {
			c.convicted, c.unexplained, c.twins = true, c.count, otherParts(convicted, c)
			explained = append(explained, c.open...)
		}
		return explained
	}
	return nil
}

// otherParts returns the parts of all candidates but one.
func otherParts(candidates []*candidate, c *candidate) []string {
	var out []string
	for _, other := range candidates {
		if other != c {
			out = append(out, other.part)
		}
	}
	return out
}

// compare orders candidates: before others those with the least proof of being sound, and
// then those that explain the most crashes. What a deadly part shares with bystanders
// explains their crashes too, but answers have cleared it.
func (c *candidate) compare(other *candidate) int {
	return cmp.Or(cmp.Compare(c.proof(), other.proof()), cmp.Compare(len(other.open), len(c.open)), c.cleared().Compare(other.cleared()))
}

// rivals reports whether the evidence doesn't tell which of two candidates caused a crash.
// A candidate is its own rival. An answer that a crash has cut off may be resumed on the next
// upstream that the deadly one crashes, so one crash more or less tells nothing of parts that
// were never in a whole answer and share others, until there are many.
func (c *candidate) rivals(other *candidate) bool {
	shared := 0
	for _, id := range c.open {
		if slices.Contains(other.open, id) {
			shared++
		}
	}
	if c.proof() != startProof || other.proof() != startProof {
		return c.compare(other) == 0 && shared > 0
	}
	fewer, more := min(len(c.open), len(other.open)), max(len(c.open), len(other.open))
	return shared == more || shared > 1 && more-fewer <= 1 && more < convictCrashesUntold
}
