package gateway

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// streamLength is the number of events of a whole stream.
const streamLength = 6

// spoilStream returns the events of a stream after the one with the number last, with one
// thing wrong that shows in the numbers of the events.
func spoilStream(rng *rand.Rand, last int) string {
	var out []string
	for n := last + 1; n <= streamLength; n++ {
		out = append(out, event(n))
	}
	if len(out) == 0 {
		return ""
	}
	at := rng.IntN(len(out))
	switch rng.IntN(6) {
	case 0:
		out[at] += out[at]
	case 1:
		out[at] = strings.Replace(out[at], fmt.Sprintf("id: %d", last+1+at), fmt.Sprintf("id: %d", rng.IntN(2*streamLength)), 1)
	case 2:
		out[at] = strings.Replace(out[at], "id:", "ix:", 1)
	case 3:
		other := rng.IntN(len(out))
		out[at], out[other] = out[other], out[at]
	case 4:
		out[at] += out[rng.IntN(len(out))]
	case 5:
		if at > 0 && at < len(out)-1 {
			out[at] = ": nothing\n\n"
		}
	}
	return strings.Join(out, "")
}

// playStream plays one answer, of up to a number of attempts, and returns what the caller
// gets and whether it ends as complete. All attempts but the last are spoiled. The caller
// has the events up to first; if there are none, only one attempt is spoiled, because two
// that begin with the same wrong event can't be told from a service that has changed.
func playStream(rng *rand.Rand, first, attempts int) (string, bool) {
	b := &eventBuffer{expectedFirst: "1"}
	if first > 0 {
		b.lastID = fmt.Sprint(first)
	}
	var got strings.Builder
	for i := range attempts {
		last := 0
		_, _ = fmt.Sscan(b.lastID, &last)
		stream := spoilStream(rng, last)
		if i == attempts-1 {
			stream = ""
			for n := last + 1; n <= streamLength; n++ {
				stream += event(n)
			}
		}
		b.discardPending()
		b.mayRefuseFirst = i < attempts-1
		cut := len(stream)
		if rng.IntN(3) == 0 {
			cut = rng.IntN(cut + 1)
		}
		whole := true
		for rest := stream[:cut]; rest != "" && whole; {
			n := 1 + rng.IntN(len(rest))
			out, err := b.add([]byte(rest[:n]))
			got.Write(out)
			rest, whole = rest[n:], err == nil
		}
		if whole && cut == len(stream) && b.checkEnd(true) == nil {
			return got.String(), true
		}
		if b.unresumable {
			break
		}
	}
	return got.String(), false
}

// Guards against a stream that ends as complete although an event is missing, comes twice or
// is out of order, whatever its upstreams got wrong and however the bytes come.
var _ = Describe("Streams that upstreams spoil at random", func() {
	It("end as complete only if they are whole", func() {
		const plays = 100_000
		complete := 0
		for seed := range uint64(plays) {
			rng := rand.New(rand.NewPCG(seed, 1))
			first := rng.IntN(streamLength)
			attempts := 1 + rng.IntN(3)
			if first == 0 {
				attempts = min(attempts, 2)
			}
			got, ended := playStream(rng, first, attempts)
			if !ended {
				continue
			}
			complete++
			want := ""
			for n := first + 1; n <= streamLength; n++ {
				want += event(n)
			}
			// A comment may come anywhere.
			Expect(strings.ReplaceAll(got, ": nothing\n\n", "")).To(Equal(want), "seed %d, after event %d", seed, first)
		}
		Expect(complete).To(BeNumerically(">", plays/10))
	})
})
