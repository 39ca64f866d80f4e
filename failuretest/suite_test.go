package failuretest

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFailures(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "services under failures")
}
