package callertest_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/standin/process"
)

// target is a process under test.
type target struct {
	*process.Process
	// limits are the bounds of the process.
	limits limits
	// address is where callers connect.
	address string
	// requestStart is the first line and the header lines of a legal POST request, without
	// those on its body and without the empty line.
	requestStart string
	// ordinaryBody is the body of an ordinary request.
	ordinaryBody string
	// listeners are the addresses of the other listeners of the process.
	listeners map[string]string
	// readyURL and metricsURL are what the balancer and operators ask.
	readyURL, metricsURL string
	// readyStatus is the status of the answer at readyURL.
	readyStatus int

	// maxDescriptors is the largest number of open descriptors that was seen.
	maxDescriptors atomic.Int64
	watched        chan struct{}
}

// requestTimeout bounds an ordinary request; the spec tries again until waitLimit.
const requestTimeout = 10 * time.Second

// ordinary sends an ordinary request on a connection of its own and returns the status of
// the answer.
func (t *target) ordinary() (int, error) {
	conn, err := net.DialTimeout("tcp", t.address, dialTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	return t.askOn(conn)
}

// crowdID is the id of all requests of a crowd, and ordinaryRequests counts the others.
const crowdID = "crowd-id"

var ordinaryRequests atomic.Int64

// askOn sends an ordinary request on a connection and returns the status of the answer.
func (t *target) askOn(conn net.Conn) (int, error) {
	if err := conn.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return 0, err
	}
	// Requests inside the limits have ids of their own; those of a crowd repeat one.
	start := strings.Replace(t.requestStart, crowdID, fmt.Sprintf("%s-%d", crowdID, ordinaryRequests.Add(1)), 1)
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", start, len(t.ordinaryBody), t.ordinaryBody); err != nil {
		return 0, err
	}
	return readAnswer(conn)
}

// residentMemory returns the present resident memory of the process in bytes.
func (t *target) residentMemory() int64 {
	GinkgoHelper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", t.PID()))
	Expect(err).NotTo(HaveOccurred())
	var total, resident int64
	_, err = fmt.Sscan(string(data), &total, &resident)
	Expect(err).NotTo(HaveOccurred())
	return resident * int64(os.Getpagesize())
}

// watch samples the open descriptors until the end of the spec.
func (t *target) watch() {
	t.watched = make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-t.watched:
				return
			case <-time.After(pollInterval):
				t.maxDescriptors.Store(max(t.maxDescriptors.Load(), int64(t.descriptors())))
			}
		}
	}()
	DeferCleanup(func() { close(t.watched); <-done })
}

// descriptors returns the number of open descriptors; 0 if the process has ended.
func (t *target) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", t.PID()))
	if err != nil {
		return 0
	}
	return len(entries)
}

// begin starts the process, has it killed at the end of the spec, and waits until it
// serves.
func (t *target) begin() *target {
	GinkgoHelper()
	Expect(t.Start()).To(Succeed())
	t.cleanUp()
	t.awaitServing()
	t.watch()
	return t
}

// cleanUp has the process reported and killed at the end of the spec.
func (t *target) cleanUp() {
	DeferCleanup(t.Kill)
	DeferCleanup(t.printLog)
	DeferCleanup(t.reportFigures)
}

// awaitServing waits until an ordinary request is answered.
func (t *target) awaitServing() {
	GinkgoHelper()
	Eventually(t.ordinary).Should(Equal(http.StatusOK), t.Name)
}

// expectSurvived checks what every spec checks.
func (t *target) expectSurvived() {
	GinkgoHelper()
	Expect(t.HasExited()).To(BeFalse(), "%s has ended", t.Name)
	t.awaitServing()
	Eventually(func() (int, error) { return get(t.readyURL) }).Should(Equal(t.readyStatus), t.readyURL)
	Eventually(func() (int, error) { return get(t.metricsURL) }).Should(Equal(http.StatusOK), t.metricsURL)
	t.expectInBounds()
}

// expectInBounds checks the memory and the descriptors.
func (t *target) expectInBounds() {
	GinkgoHelper()
	peak, err := t.PeakMemory()
	Expect(err).NotTo(HaveOccurred())
	Expect([]int64{peak, t.maxDescriptors.Load()}).To(HaveExactElements(
		BeNumerically("<=", t.limits.memoryMB<<20), BeNumerically("<=", t.limits.descriptors)), t.figures())
}

// figures describes the largest resources that the process held.
func (t *target) figures() string {
	memory := "the process has ended"
	if peak, err := t.PeakMemory(); err == nil {
		memory = fmt.Sprintf("peak memory %.1f of %d MB", float64(peak)/(1<<20), t.limits.memoryMB)
	}
	return fmt.Sprintf("%s: %s, most descriptors %d of %d", t.Name, memory, t.maxDescriptors.Load(), t.limits.descriptors)
}

// reportFigures adds the figures to the report of the spec, and to the file that the
// environment variable CALLERTEST_FIGURES names.
func (t *target) reportFigures() {
	AddReportEntry(t.figures())
	if path := os.Getenv("CALLERTEST_FIGURES"); path != "" {
		outcome := "passed"
		if CurrentSpecReport().Failed() {
			outcome = "failed"
		}
		appendLine(path, fmt.Sprintf("%s | %s | %s", CurrentSpecReport().FullText(), outcome, t.figures()))
	}
}

// appendLine appends a line to a file, which collects the figures of many specs.
func appendLine(path, line string) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	_, err = fmt.Fprintln(f, line)
	Expect(err).NotTo(HaveOccurred())
}

// terminate sends SIGTERM.
func (t *target) terminate() { Expect(t.Signal(syscall.SIGTERM)).To(Succeed()) }

// printLog adds the end of the process's log to the report of a failed spec.
func (t *target) printLog() {
	if !CurrentSpecReport().Failed() {
		return
	}
	const maxShownLogBytes = 4000
	data, _ := os.ReadFile(t.LogPath)
	AddReportEntry(t.Name, string(data[max(0, len(data)-maxShownLogBytes):]))
}

// get returns the status of a GET request.
func get(url string) (int, error) {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// writeFile writes a settings file into the directory of a spec and returns its path.
func writeFile(dir, name, text string) string {
	path := filepath.Join(dir, name)
	Expect(os.WriteFile(path, []byte(strings.TrimLeft(text, "\n")), 0o600)).To(Succeed())
	return path
}

// freeAddress returns an address on ip whose port was free when it was checked.
func freeAddress(ip string) string {
	GinkgoHelper()
	address, err := process.FreeAddress(ip)
	Expect(err).NotTo(HaveOccurred())
	return address.String()
}
