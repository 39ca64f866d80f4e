// Package failuretest runs the services that use the log on simulated nodes, with
// a log in memory and simulated time, and checks their guarantees while the log
// fails and nodes pause and crash. A seed determines the whole run.
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
