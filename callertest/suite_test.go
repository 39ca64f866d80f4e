package callertest_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

// limits are the limits in the settings of a process under test, which are the bounds that
// it must keep.
type limits struct{ memoryMB, descriptors int }

var (
	// lowered are small enough that a crowd of crowdSize connections meets them.
	lowered = limits{64, 300}
	// smallest are those of the smallest entry VM.
	smallest = limits{184, 4100}
)

const (
	// crowdSize is the number of connections that a crowd keeps open or opens again.
	crowdSize = 400
	// attackTime is how long a crowd opens connections again that were closed.
	attackTime = 4 * time.Second
	// waitLimit bounds every wait for a condition. It does not say how long anything is
	// expected to take.
	waitLimit = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
)

// binaries holds the paths of the built commands.
var binaries struct{ gateway, daemon, standin string }

func TestCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callertest")
}

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(waitLimit)
	SetDefaultEventuallyPollingInterval(pollInterval)
	binaries.gateway = build("tamarackcleat-gateway")
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
