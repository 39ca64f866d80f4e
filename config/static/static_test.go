package static_test

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/config/static"
)

const valid = `listen: 0.0.0.0:8080
advertise: 10.0.0.5:8080
zone: dakar-a
platform:
  log: http://10.0.0.2:7001
  vms: http://[fd00::2]:7002
  weights: http://10.0.0.2:7003/weights
log_level: warn
`

var _ = Describe("Settings", func() {
	It("decodes valid settings", func() {
		s, err := static.Parse("settings.yaml", []byte(valid))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Advertise).To(Equal("10.0.0.5:8080"))
		Expect(s.Platform.VMs).To(Equal("http://[fd00::2]:7002"))
		Expect(s.LogLevel.Level()).To(Equal(slog.LevelWarn))
	})

	It("uses level info if log_level is absent", func() {
		s, err := static.Parse("settings.yaml", []byte(strings.Replace(valid, "log_level: warn\n", "", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.LogLevel.Level()).To(Equal(slog.LevelInfo))
	})

	It("decodes the limits of the process", func() {
		s, err := static.Parse("settings.yaml", []byte(valid+"limits:\n  memory: 184MiB\n  descriptors: 4100\n  caller_memory: 40MiB\n  caller_connections: 900\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Limits).To(Equal(static.Limits{Memory: 184 << 20, Descriptors: 4100, CallerMemory: 40 << 20, CallerConnections: 900}))
	})

	It("accepts the example file", func() {
		_, err := static.Load("../../examples/settings.yaml")
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a size in the error that is not that of the file, which is read up to
	// the limit only.
	It("says of a file that is too long which limit it exceeds", func() {
		file := filepath.Join(GinkgoT().TempDir(), "large.yaml")
		Expect(os.WriteFile(file, []byte(valid+strings.Repeat("# comment\n", 100_000)), 0o600)).To(Succeed())
		_, err := static.Load(file)
		Expect(err).To(MatchError(ContainSubstring("the document has more than 262144 bytes")))
	})

	It("returns an error if the file is missing", func() {
		_, err := static.Load(filepath.Join(GinkgoT().TempDir(), "none.yaml"))
		Expect(err).To(MatchError(ContainSubstring("reading settings")))
	})

	DescribeTable("rejects invalid settings with the position of the problem and a remedy",
		func(from, to, place, field, message, instead string) {
			Expect(valid).To(ContainSubstring(from))
			_, err := static.Parse("settings.yaml", []byte(strings.Replace(valid, from, to, 1)))
			Expect(err).To(BeAssignableToTypeOf(&static.ParseError{}))
			p := err.(*static.ParseError).Problems
			Expect(p).To(HaveLen(1))
			Expect(p[0].String()).To(HavePrefix("settings.yaml:" + place + ": "))
			Expect(p[0].Field).To(Equal(field))
			Expect(p[0].Message).To(ContainSubstring(message))
			Expect(p[0].Remedy).To(ContainSubstring(instead))
		},
		Entry("a host name", "0.0.0.0:8080", "localhost:8080", "1:1", "listen", "IP number", "0.0.0.0:8080"),
		Entry("an address without a port", "0.0.0.0:8080", "0.0.0.0", "1:1", "listen", "IP number", "0.0.0.0:8080"),
		Entry("port 0", "0.0.0.0:8080", "0.0.0.0:0", "1:1", "listen", "IP number", "0.0.0.0:8080"),
		Entry("an unspecified address to advertise", "10.0.0.5:8080", "0.0.0.0:8080", "2:1", "advertise", "others can connect", "10.0.0.5:8080"),
		Entry("a missing zone", "zone: dakar-a\n", "", "1:1", "zone", "missing", "dakar-a"),
		Entry("a zone with spaces", "dakar-a", "Dakar A", "3:1", "zone", "small letters", "dakar-a"),
		Entry("a platform URL without a scheme", "http://10.0.0.2:7001", "10.0.0.2:7001", "5:3", "platform.log", "URL", "http://"),
		Entry("a platform URL with a host name", "http://10.0.0.2:7001", "http://log:7001", "5:3", "platform.log", "IP number", "http://"),
		Entry("a missing platform URL", "  log: http://10.0.0.2:7001\n", "", "4:1", "platform.log", "missing", "http://"),
		Entry("an unknown log level", "warn", "loud", "8:1", "log_level", "none of", "info"),
		Entry("too few descriptors", "zone: dakar-a\n", "zone: dakar-a\nlimits:\n  descriptors: 10\n", "5:3", "limits.descriptors", "", ""),
		Entry("a count that is no number", "zone: dakar-a\n", "zone: dakar-a\nlimits:\n  caller_connections: many\n", "5:3", "limits.caller_connections", "not a number", "1230"),
		Entry("an unknown field", "zone:", "weights: 3\nzone:", "3:1", "weights", "not known", "listen, advertise"),
	)
})
