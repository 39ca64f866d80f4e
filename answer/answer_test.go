package answer_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/answer"
	"github.com/tamarackcleat/tamarackcleat/port"
)

const id = "request-1"

func TestAnswer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "answer")
}

func chunk(index int) port.Chunk {
	return port.Chunk{RequestID: id, Index: index, Text: fmt.Sprintf("t%d ", index)}
}

func final(tokens int) port.Chunk {
	return port.Chunk{RequestID: id, Index: tokens, Final: true, FinishReason: "stop"}
}

// whole returns the text of a complete answer with the given number of tokens.
func whole(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(chunk(i).Text)
	}
	return b.String()
}

var _ = Describe("Answer", func() {
	DescribeTable("delivers each chunk in order and once",
		func(chunks []port.Chunk, text string, isWhole, gap bool) {
			a := answer.New(id)
			var delivered strings.Builder
			for _, c := range chunks {
				texts, _ := a.Add(c)
				delivered.WriteString(strings.Join(texts, ""))
			}
			Expect(delivered.String()).To(Equal(text))
			Expect(a.Text()).To(Equal(text))
			Expect(a.Complete()).To(Equal(isWhole))
			Expect(a.HasGap()).To(Equal(gap))
		},
		Entry("in order", []port.Chunk{chunk(0), chunk(1), final(2)}, whole(2), true, false),
		Entry("swapped", []port.Chunk{chunk(1), chunk(0), final(2)}, whole(2), true, false),
		Entry("duplicated", []port.Chunk{chunk(0), chunk(0), chunk(1), final(2)}, whole(2), true, false),
		Entry("final chunk before the last token", []port.Chunk{chunk(0), final(2), chunk(1)}, whole(2), true, false),
		Entry("missing", []port.Chunk{chunk(0), chunk(2), final(3)}, whole(1), false, true),
		Entry("cut", []port.Chunk{chunk(0), chunk(1)}, whole(2), false, false),
		Entry("foreign", []port.Chunk{chunk(0), {RequestID: "other", Index: 1, Text: "x"}, chunk(1), final(2)}, whole(2), true, false),
		Entry("a final chunk of another request", []port.Chunk{chunk(0), {RequestID: "other", Index: 1, Final: true}}, whole(1), false, false),
		Entry("empty", []port.Chunk{final(0)}, "", true, false),
	)

	It("is complete after streams with missing, duplicate and foreign chunks, each resumed at the first missing token", func() {
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 1))
			const tokens = 60
			a := answer.New(id)
			for attempts := 0; !a.Complete(); attempts++ {
				Expect(attempts).To(BeNumerically("<", 200))
				a.DiscardPending()
				for i := a.Tokens(); i <= tokens && !a.Complete() && !a.HasGap(); i++ {
					addWithFaults(rng, a, i, tokens)
				}
			}
			Expect(a.Text()).To(Equal(whole(tokens)))
		}
	})
})

// addWithFaults adds chunk i to the answer. At random it drops the chunk, adds it
// twice or adds a chunk of another request before it.
func addWithFaults(rng *rand.Rand, a *answer.Answer, i, tokens int) {
	c := chunk(i)
	if i == tokens {
		c = final(tokens)
	}
	switch rng.IntN(12) {
	case 0:
		return
	case 1:
		a.Add(c)
	case 2:
		a.Add(port.Chunk{RequestID: "other", Index: i, Text: "foreign"})
	}
	a.Add(c)
}
