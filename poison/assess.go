package poison

import (
	"cmp"
	"slices"
)

// candidate is a suspect with the crashes since its last start that no convicted part
// explains, and how many of them count.
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
		s.convicted, s.unexplained, s.twins = false, 0, nil
		c := &candidate{suspect: s, part: part, open: s.open()}
		c.count = s.count(c.open)
		if s.content {
			contents = append(contents, c)
		} else {
			parts = append(parts, c)
		}
	}
	for {
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
		c.unexplained, c.convicted = c.count, c.count >= convictCrashes
	}
}

// convictLikeliest convicts the part that explains the most crashes, of those against
// which the evidence suffices, and its rivals. It returns the crashes that they explain.
func convictLikeliest(parts []*candidate) []CrashID {
	likely := slices.DeleteFunc(slices.Clone(parts), func(c *candidate) bool { return c.count < convictCrashes })
	slices.SortFunc(likely, func(a, b *candidate) int { return cmp.Or(a.compare(b), cmp.Compare(a.part, b.part)) })
	for _, top := range likely {
		convicted := slices.DeleteFunc(slices.Clone(likely), func(c *candidate) bool { return !top.rivals(c) })
		need := convictCrashes
		if len(convicted) > 1 || !top.lastStart.IsZero() {
			need = convictCrashesDoubtful
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

// compare orders candidates: before others those that no answer has begun with, and then
// those that explain the most crashes. What a deadly part shares with bystanders explains
// their crashes too, but answers have begun with it.
func (c *candidate) compare(other *candidate) int {
	return cmp.Or(cmp.Compare(c.started(), other.started()), cmp.Compare(len(other.open), len(c.open)), c.lastStart.Compare(other.lastStart))
}

// started returns 1 if an answer has begun with the candidate, and else 0.
func (c *candidate) started() int {
	if c.lastStart.IsZero() {
		return 0
	}
	return 1
}

// rivals reports whether the evidence doesn't tell which of two candidates caused a crash.
// A candidate is its own rival.
func (c *candidate) rivals(other *candidate) bool {
	return c.compare(other) == 0 && slices.ContainsFunc(c.open, func(id CrashID) bool { return slices.Contains(other.open, id) })
}
