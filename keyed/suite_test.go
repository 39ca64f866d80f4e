package keyed_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestKeyed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Keyed Suite")
}
