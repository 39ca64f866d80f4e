// Package processtest runs the daemon and the stand-ins for the outside systems as
// separate processes on loopback. Its specs kill and pause processes and cut their
// connections, and check what callers and operators get meanwhile and afterwards.
package processtest_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

const (
	// waitLimit bounds every wait for a condition. It does not say how long
	// anything is expected to take.
	waitLimit = 60 * time.Second
	// pollInterval is the time between two checks of a condition, and between two
	// requests for a VM's report.
	pollInterval = 50 * time.Millisecond
)

// logsDir is the directory in which the settings and logs of all processes are kept;
// if it is empty, they are removed at the end of each spec.
var logsDir = flag.String("processtest.logs", "", "directory in which to keep the logs of all processes")

// binaries holds the paths of the built commands.
var binaries struct{ daemon, standin string }

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "processtest")
}

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(waitLimit)
	SetDefaultEventuallyPollingInterval(pollInterval)
	binaries.daemon = build("tamarackcleatd")
	binaries.standin = build("standin")
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// build compiles a command of this module and returns the path of the binary.
func build(command string) string {
	path, err := gexec.Build("github.com/tamarackcleat/tamarackcleat/cmd/" + command)
	Expect(err).NotTo(HaveOccurred())
	return path
}
