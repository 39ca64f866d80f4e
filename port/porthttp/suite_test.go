package porthttp_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPortHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "porthttp")
}
