package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/keyed"
)

// textDecoder decodes a report that is the name of a VM's service, followed by a "!" if
// the VM is leaving. It counts the reports.
type textDecoder struct{ decoded int }

func (*textDecoder) Config([]byte) (*fleet.Config, error) { return nil, errors.New("no configuration") }

func (d *textDecoder) VM(id string, data []byte) (fleet.VM, error) {
	d.decoded++
	if len(data) > 0 && data[0] == '?' {
		return fleet.VM{}, errors.New("unreadable")
	}
	leaving := data[len(data)-1] == '!'
	return fleet.VM{ID: id, Service: "desk", Address: string(data), Leaving: leaving}, nil
}

var _ = Describe("The state of a node", func() {
	var (
		decoder   *textDecoder
		s         *state
		detailed  bool
		published int
	)
	report := func(records ...keyed.Record) { s.applyVMs(keyed.Batch{Records: records}) }
	record := func(id, value string) keyed.Record { return keyed.Record{Key: id, Value: []byte(value)} }
	BeforeEach(func() {
		decoder, detailed, published = &textDecoder{}, false, 0
		s = newState(decoder, Streams{ConfigKey: "config"}, slog.New(slog.DiscardHandler))
		s.detailed = func() bool { return detailed }
		s.changed = func() { published++ }
		config := fleet.NewConfig(1, nil)
		config.Services = map[string]fleet.Service{"desk": {Name: "desk"}}
		s.builder.SetConfig(config)
	})

	// A new holder of the lease planned with reports whose age it did not know.
	It("knows how recent its reports are, also if a read shows no change", func() {
		s.applyVMs(keyed.Batch{Records: []keyed.Record{record("a", "x")}, SentAt: time.Second})
		s.applyVMs(keyed.Batch{SentAt: 2 * time.Second})
		Expect(published).To(Equal(1))
		Expect(time.Duration(s.vmsVerifiedAt.Load())).To(Equal(2 * time.Second))
	})

	It("neither decodes nor publishes a report that repeats the last one", func() {
		report(record("a", "x"), record("b", "x"))
		Expect(published).To(Equal(1))
		for range 5 {
			report(record("a", "x"), record("b", "x"))
		}
		Expect(decoder.decoded).To(Equal(2))
		Expect(published).To(Equal(1))
		report(record("a", "x!"))
		Expect(published).To(Equal(2))
		Expect(s.View().Targets("desk", "")).To(HaveLen(1))
	})

	It("takes a VM back whose record was dropped, also if its report is the same as before", func() {
		report(record("a", "x"))
		report(record("a", ""))
		s.readableSince = -time.Hour
		report(record("a", ""))
		Expect(s.View().Len()).To(BeZero())
		report(record("a", "x"))
		Expect(s.View().Targets("desk", "")).To(HaveLen(1))
	})

	It("keeps a VM whose next report can't be read", func() {
		report(record("a", "x"))
		report(record("a", "?"))
		report(record("a", "?"))
		Expect(s.View().Len()).To(Equal(1))
	})

	It("has the times of the latest reports in its views once the node holds the control lease", func() {
		report(record("a", "x"))
		first, _ := s.View().VM("a")
		time.Sleep(2 * time.Millisecond)
		report(record("a", "x"))
		stale, _ := s.View().VM("a")
		Expect(stale.LastSeen).To(Equal(first.LastSeen))
		detailed = true
		report()
		fresh, _ := s.View().VM("a")
		Expect(fresh.LastSeen).To(BeNumerically(">", first.LastSeen))
	})
})

// BenchmarkReports measures a batch with the report of each VM, none of which changes
// anything, and of one VM that changes.
func BenchmarkReports(b *testing.B) {
	for _, count := range []int{66, 875, 10_000} {
		s := newState(&textDecoder{}, Streams{ConfigKey: "config"}, slog.New(slog.DiscardHandler))
		s.detailed = func() bool { return false }
		config := fleet.NewConfig(1, nil)
		config.Services = map[string]fleet.Service{"desk": {Name: "desk"}}
		s.builder.SetConfig(config)
		all := keyed.Batch{}
		for i := range count {
			all.Records = append(all.Records, keyed.Record{Key: fmt.Sprintf("vm-%05d", i), Value: []byte("x")})
		}
		s.applyVMs(all)
		b.Run(fmt.Sprintf("repeated/%d", count), func(b *testing.B) {
			for range b.N {
				s.applyVMs(all)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/report")
		})
		b.Run(fmt.Sprintf("changed/%d", count), func(b *testing.B) {
			for i := range b.N {
				value := []byte{byte('a' + i%2)}
				s.applyVMs(keyed.Batch{Records: []keyed.Record{{Key: all.Records[i%count].Key, Value: value}}})
			}
		})
	}
}
