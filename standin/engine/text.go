package engine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Lengths of answers, in tokens. If the topic, which is the part of the prompt that
// decides the answer, sets no length, the answer has from minAnswerTokens to
// minAnswerTokens+answerTokensRange-1 tokens.
const (
	minAnswerTokens   = 16
	answerTokensRange = 48
	// defaultMaxTokens bounds the answer to a request that sets no bound.
	defaultMaxTokens = 1024
	// maxAnswerTokens bounds the length that a topic may set.
	maxAnswerTokens = 100_000
)

// Values of port.Chunk.FinishReason.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// Marks around a topic: the part of a prompt that decides the answer.
const (
	topicOpen  = "[["
	topicClose = "]]"
)

// words holds the tokens of which answers consist.
var words = strings.Fields("amber basin cedar delta ember fable grove harbor inlet " +
	"jetty kettle lantern meadow nectar orchard prairie quarry ridge saddle timber " +
	"umbra valley willow yonder zephyr anchor breeze canvas dapple estuary")

// Topic returns a text to include in a prompt. The answer then depends on this
// text, the seed and the bound on tokens only, not on the rest of the prompt,
// and has the given number of tokens unless the bound is lower. So a caller can
// compute the answer to a message without knowing how an entry node turns a chat
// into a prompt.
func Topic(id string, tokens int) string {
	return fmt.Sprintf("%s%s %d%s", topicOpen, id, tokens, topicClose)
}

// topic returns the text of the last topic in a prompt, without its marks, or
// the whole prompt if it has no topic.
func topic(prompt string) string {
	start := strings.LastIndex(prompt, topicOpen)
	if start < 0 {
		return prompt
	}
	rest := prompt[start+len(topicOpen):]
	end := strings.Index(rest, topicClose)
	if end < 0 {
		return prompt
	}
	return rest[:end]
}

// Answer is the answer that any engine gives to the same request.
type Answer struct {
	topic string
	seed  int64
	// Tokens is the length of the answer in tokens.
	Tokens int
	// FinishReason says why the answer ends: "stop", or "length" if the bound
	// on tokens shortened it.
	FinishReason string
}

// AnswerTo returns the answer to a prompt, of at most maxTokens tokens, or at
// most defaultMaxTokens if maxTokens is 0 or less. The result depends on the
// arguments only.
func AnswerTo(prompt string, seed int64, maxTokens int) Answer {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	a := Answer{topic: topic(prompt), seed: seed, FinishReason: finishStop}
	a.Tokens = a.fullLength()
	if a.Tokens > maxTokens {
		a.Tokens = maxTokens
		a.FinishReason = finishLength
	}
	return a
}

// fullLength returns the number of tokens without the request's bound: the
// number at the end of the topic, or else one derived from the topic and the
// seed.
func (a Answer) fullLength() int {
	if i := strings.LastIndexByte(a.topic, ' '); i >= 0 {
		if n, err := strconv.Atoi(a.topic[i+1:]); err == nil && n > 0 {
			return min(n, maxAnswerTokens)
		}
	}
	return minAnswerTokens + int(a.hash(-1)%answerTokensRange)
}

// Token returns the text of the token at an index, counted from 0.
func (a Answer) Token(index int) string {
	return words[a.hash(index)%uint64(len(words))] + " "
}

// Text returns the text of the answer's first tokens, as many as given.
func (a Answer) Text(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

func (a Answer) hash(index int) uint64 {
	d := xxhash.NewWithSeed(uint64(a.seed))
	_, _ = fmt.Fprintf(d, "%d %s", index, a.topic)
	return d.Sum64()
}
