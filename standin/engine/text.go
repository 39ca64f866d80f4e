package engine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of an answer's own length in tokens.
const (
	minAnswerTokens    = 16
	answerTokensSpread = 48
	// defaultMaxTokens bounds the answer of a request without a bound.
	defaultMaxTokens = 1024
	// maxAnswerTokens bounds the length that a topic may ask for.
	maxAnswerTokens = 100_000
)

// Values of port.Chunk.Finish.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// A topic is the part of a prompt between these marks.
const (
	topicOpen  = "[["
	topicClose = "]]"
)

// words are the tokens that answers consist of.
var words = strings.Fields("amber basin cedar delta ember fable grove harbor inlet " +
	"jetty kettle lantern meadow nectar orchard prairie quarry ridge saddle timber " +
	"umbra valley willow yonder zephyr anchor breeze canvas dapple estuary")

// Topic returns a text that, within a prompt, decides the answer alone: its
// own text and its length. It lets callers compute the answer to a prompt that
// is embedded in a chat.
func Topic(id string, tokens int) string {
	return fmt.Sprintf("%s%s %d%s", topicOpen, id, tokens, topicClose)
}

// topic returns the last topic of a prompt, or the prompt if there is none.
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

// Answer is the answer that any engine gives to a prompt with a seed.
type Answer struct {
	topic string
	seed  int64
	// Tokens is the length of the answer.
	Tokens int
	// Finish says why it ends.
	Finish string
}

// AnswerTo returns the answer to a request. It is a pure function.
func AnswerTo(prompt string, seed int64, maxTokens int) Answer {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	a := Answer{topic: topic(prompt), seed: seed, Finish: finishStop}
	a.Tokens = a.naturalLength()
	if a.Tokens > maxTokens {
		a.Tokens = maxTokens
		a.Finish = finishLength
	}
	return a
}

// naturalLength is the length that the topic names or that follows from it.
func (a Answer) naturalLength() int {
	if i := strings.LastIndexByte(a.topic, ' '); i >= 0 {
		if n, err := strconv.Atoi(a.topic[i+1:]); err == nil && n > 0 {
			return min(n, maxAnswerTokens)
		}
	}
	return minAnswerTokens + int(a.hash(-1)%answerTokensSpread)
}

// Token returns the text of the token at an index.
func (a Answer) Token(index int) string {
	return words[a.hash(index)%uint64(len(words))] + " "
}

// Text returns the text of the first tokens.
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
