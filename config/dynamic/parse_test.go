package dynamic_test

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
)

const valid = `deployment: agency
classes:
  - name: drafting
    kind: generate
    model: draft-70b
    largest_request: 64KiB
    longest_answer: 4000 tokens
    targets:
      first_token_within: 430ms
      between_tokens_within: 53ms
      answered_within: 3m
      for: 95 in 100
  - name: confirm
    kind: call
    service: bookings
    targets:
      answered_within: 5s
      for: 99.5 in 100
`

// targetsUpToAnswer is a part of the constant valid, in its first class: the text
// between the value of longest_answer and the value of answered_within.
const targetsUpToAnswer = `
    targets:
      first_token_within: 430ms
      between_tokens_within: 53ms
      answered_within: `

// problems returns the problems of a document that Parse must reject.
func problems(doc string) []dynamic.Problem {
	GinkgoHelper()
	_, err := dynamic.Parse("doc.yaml", []byte(doc))
	var refused *dynamic.ParseError
	Expect(err).To(BeAssignableToTypeOf(refused))
	return err.(*dynamic.ParseError).Problems
}

var _ = Describe("Parse", func() {
	It("decodes values with their units", func() {
		d, err := dynamic.Parse("doc.yaml", []byte(valid))
		Expect(err).NotTo(HaveOccurred())
		c, ok := d.Class("drafting")
		Expect(ok).To(BeTrue())
		Expect(c.LargestRequest).To(Equal(dynamic.Size(64 << 10)))
		Expect(c.LongestAnswer).To(Equal(dynamic.Tokens(4000)))
		Expect(c.Targets.FirstTokenWithin).To(Equal(dynamic.Duration(430 * time.Millisecond)))
		Expect(d.Classes[1].Targets.RequestShare).To(Equal(dynamic.Share(99.5)))
		Expect(d.Classes[1].Repeatable).To(BeFalse())
	})

	DescribeTable("accepts the examples", func(path string) {
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		_, err = dynamic.Parse(path, data)
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("agency", "../../examples/agency.yaml"),
		Entry("jhalmuri", "../../examples/jhalmuri.yaml"),
	)

	It("restores an equal document from its YAML and JSON forms", func() {
		d, err := dynamic.Parse("doc.yaml", []byte(valid))
		Expect(err).NotTo(HaveOccurred())
		text, err := dynamic.Marshal(d)
		Expect(err).NotTo(HaveOccurred())
		Expect(dynamic.Parse("doc.yaml", text)).To(Equal(d))
		encoded, err := json.Marshal(d)
		Expect(err).NotTo(HaveOccurred())
		var decoded dynamic.Document
		Expect(json.Unmarshal(encoded, &decoded)).To(Succeed())
		Expect(&decoded).To(Equal(d))
	})

	DescribeTable("rejects an invalid document with the position of the problem and a remedy",
		func(from, to, place, field, message, instead string) {
			Expect(valid).To(ContainSubstring(from))
			p := problems(strings.Replace(valid, from, to, 1))
			Expect(p).To(HaveLen(1))
			Expect(p[0].String()).To(HavePrefix("doc.yaml:" + place + ": "))
			Expect(p[0].Field).To(Equal(field))
			Expect(p[0].Message).To(ContainSubstring(message))
			Expect(p[0].Remedy).To(ContainSubstring(instead))
		},
		Entry("an unknown field", "model:", "modell:", "5:5", "classes[0].modell", "not known", "model"),
		Entry("a weight, which classes don't have", "    model:", "    weight: 3\n    model:", "5:5", "classes[0].weight", "not known", "remove it"),
		Entry("a time without unit", "430ms", "430", "9:7", "classes[0].targets.first_token_within", "its unit", "430ms"),
		Entry("a time of zero", "430ms", "0ms", "9:7", "classes[0].targets.first_token_within", "zero", "430ms"),
		Entry("a negative time", "430ms", "-430ms", "9:7", "classes[0].targets.first_token_within", "its unit", "430ms"),
		Entry("too short a time", "430ms", "430us", "9:7", "classes[0].targets.first_token_within", "shorter", "1ms"),
		Entry("too long a time", "answered_within: 3m", "answered_within: 48h", "11:7", "classes[0].targets.answered_within", "longest target", "24h"),
		Entry("a time that overflows a duration", "answered_within: 3m", "answered_within: 99999999999h", "11:7", "classes[0].targets.answered_within", "too long", "30s"),
		Entry("a first token later than the answer", "430ms", "4m", "9:7", "classes[0].targets.first_token_within", "contradicts", "less than 3m"),
		Entry("a time between tokens longer than the answer", "53ms", "4m", "10:7", "classes[0].targets.between_tokens_within", "contradicts", "less than 3m"),
		Entry("an answer that no engine can generate in time", "4000 tokens"+targetsUpToAnswer+"3m", "1000000 tokens"+targetsUpToAnswer+"90s", "11:7", "classes[0].targets.answered_within", "no engine", "1m40s"),
		Entry("a missing target", "      answered_within: 5s\n", "", "16:5", "classes[1].targets.answered_within", "missing", "30s"),
		Entry("a missing share", "      for: 95 in 100\n", "", "8:5", "classes[0].targets.for", "missing", "95 in 100"),
		Entry("a share over 100", "95 in 100", "101 in 100", "12:7", "classes[0].targets.for", "more than all", "95 in 100"),
		Entry("a share of zero", "95 in 100", "0 in 100", "12:7", "classes[0].targets.for", "zero", "95 in 100"),
		Entry("a share as a bare number", "95 in 100", "0.95", "12:7", "classes[0].targets.for", "not a share", "95 in 100"),
		Entry("a size without unit", "64KiB", "64", "6:5", "classes[0].largest_request", "its unit", "64KiB"),
		Entry("too large a size", "64KiB", "1GiB", "6:5", "classes[0].largest_request", "larger", "64KiB"),
		Entry("tokens without unit", "4000 tokens", "4000", "7:5", "classes[0].longest_answer", "unit tokens", "4000 tokens"),
		Entry("a class declared twice", "confirm", "drafting", "13:5", "classes[1].name", "twice", "another name"),
		Entry("a name with spaces", "name: drafting", "name: Long Drafts", "3:5", "classes[0].name", "small letters", "drafting"),
		Entry("a name that is a number", "name: drafting", "name: 70", "3:5", "classes[0].name", "text was expected", "drafting"),
		Entry("an unknown kind", "kind: call", "kind: payment", "14:5", "classes[1].kind", "none of", "generate"),
		Entry("a call with a model", "    service:", "    model: draft-70b\n    service:", "15:5", "classes[1].model", "can't have", "kind: generate"),
		Entry("a call with a target for the first token", "answered_within: 5s", "answered_within: 5s\n      first_token_within: 1s", "18:7", "classes[1].targets.first_token_within", "can't have", "answered_within"),
		Entry("a call without a service", "    service: bookings\n", "", "13:5", "classes[1].service", "needs", "service: bookings"),
		Entry("generation without a model", "    model: draft-70b\n", "", "3:5", "classes[0].model", "needs", "model: draft-70b"),
		Entry("generation with a service", "    model:", "    service: bookings\n    model:", "5:5", "classes[0].service", "can't have", "kind: call"),
		Entry("generation with the field repeatable", "    model:", "    repeatable: false\n    model:", "5:5", "classes[0].repeatable", "can't have", "remove it"),
		Entry("a field that occurs twice", "    model:", "    kind: generate\n    model:", "5:5", "", "already defined", "syntax"),
		Entry("a null name", "name: drafting", "name: null", "3:5", "classes[0].name", "text was expected", "drafting"),
		Entry("an anchor", "name: drafting", "name: &a drafting", "3:11", "", "anchors", "plain YAML"),
		Entry("a tag", "name: drafting", "name: !!str drafting", "3:11", "", "tags", "plain YAML"),
		Entry("invalid YAML syntax", "name: drafting", "name: [drafting", "4:5", "", "must be specified", "syntax"),
		Entry("a list in place of fields", "    targets:\n      answered_within: 5s\n      for: 99.5 in 100\n", "    targets: [5s]\n", "16:5", "classes[1].targets", "fields were expected", "answered_within"),
	)

	It("reports all problems together in the order of their positions", func() {
		doc := strings.NewReplacer("430ms", "soon", "64KiB", "big", "99.5 in 100", "most").Replace(valid)
		Expect(problems(doc)).To(HaveExactElements(
			HaveField("Line", 6), HaveField("Line", 9), HaveField("Line", 18)))
	})

	DescribeTable("rejects a document as a whole", func(doc, message string) {
		Expect(problems(doc)).To(ContainElement(HaveField("Message", ContainSubstring(message))))
	},
		Entry("an empty file", "", "empty"),
		Entry("only a comment", "# nothing\n", "empty"),
		Entry("a scalar", "5", "fields were expected"),
		Entry("two documents", valid+"---\n"+valid, "several documents"),
		Entry("no classes", "deployment: agency\nclasses: []\n", "shorter than 1"),
		Entry("too many bytes", strings.Repeat("# comment\n", 30000), "more than"),
		Entry("too long a line", "deployment: "+strings.Repeat("a", 2000), "the line has"),
		Entry("brackets nested too deep", "deployment: "+strings.Repeat("[", 900), "nested"),
		Entry("too many tokens", strings.Repeat("- - - - - - - -\n", 8000), "words and signs"),
		Entry("invalid UTF-8", "deployment: \xff\n", "UTF-8"),
	)

	It("rejects more than 64 classes", func() {
		class := valid[strings.Index(valid, "  - name: confirm"):]
		doc := "deployment: agency\nclasses:\n"
		for i := range 65 {
			doc += strings.Replace(class, "confirm", "confirm-"+string(rune('a'+i/26))+string(rune('a'+i%26)), 1)
		}
		Expect(problems(doc)).To(ConsistOf(HaveField("Message", ContainSubstring("larger or longer than 64"))))
	})
})

var _ = Describe("Diff", func() {
	It("lists the changes of each class", func() {
		a, err := dynamic.Parse("a", []byte(valid))
		Expect(err).NotTo(HaveOccurred())
		b, err := dynamic.Parse("b", []byte(strings.NewReplacer("430ms", "1s", "confirm", "reserve").Replace(valid)))
		Expect(err).NotTo(HaveOccurred())
		var lines []string
		for _, c := range dynamic.Diff(a, b) {
			lines = append(lines, c.String())
		}
		Expect(lines).To(Equal([]string{
			"~ class drafting targets.first_token_within: 430ms -> 1s",
			"- class confirm: call by service bookings, not repeatable; answered within 5s for 99.5 in 100",
			"+ class reserve: call by service bookings, not repeatable; answered within 5s for 99.5 in 100",
		}))
		Expect(dynamic.Diff(a, a)).To(BeEmpty())
		Expect(dynamic.Diff(nil, a)).To(HaveLen(3))
	})
})
