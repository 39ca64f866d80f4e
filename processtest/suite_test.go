// Package processtest runs the daemon and the stand-ins as separate processes
// on loopback, and kills, pauses and cuts them off.
package processtest_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

const (
	// waitLimit bounds every wait for a condition; it is no expectation of
	// how long anything takes.
	waitLimit = 60 * time.Second
	// pollEvery is the time between two looks at a condition.
	pollEvery = 50 * time.Millisecond
)

// binaries holds the paths of the built commands.
var binaries struct{ daemon, standin string }

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "processtest")
}

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(waitLimit)
	SetDefaultEventuallyPollingInterval(pollEvery)
	binaries.daemon = build("tamarackcleatd")
	binaries.standin = build("standin")
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// build compiles a command of this module.
func build(command string) string {
	path, err := gexec.Build("github.com/tamarackcleat/tamarackcleat/cmd/" + command)
	Expect(err).NotTo(HaveOccurred())
	return path
}
