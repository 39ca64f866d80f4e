package decisions

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDecisions(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Decisions Suite")
}
