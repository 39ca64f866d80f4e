package twochoice_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTwoChoice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "balance/twochoice")
}
