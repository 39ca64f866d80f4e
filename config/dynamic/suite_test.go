package dynamic_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDynamic(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config/dynamic")
}
