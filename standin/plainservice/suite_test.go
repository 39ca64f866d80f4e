package plainservice_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlainService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plainservice")
}
