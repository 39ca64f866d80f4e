package operator_test

import (
	"os"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("docs/OPERATORS.md", func() {
	It("has a table row for every reason of a refusal", func() {
		source, err := os.ReadFile("../verdict/verdict.go")
		Expect(err).NotTo(HaveOccurred())
		page, err := os.ReadFile("../docs/OPERATORS.md")
		Expect(err).NotTo(HaveOccurred())
		reasons := regexp.MustCompile(`Reason = "(\w+)"`).FindAllSubmatch(source, -1)
		Expect(reasons).NotTo(BeEmpty())
		for _, reason := range reasons {
			Expect(string(page)).To(ContainSubstring("\n| `"+string(reason[1])+"` |"), "reason %s", reason[1])
		}
	})
})
