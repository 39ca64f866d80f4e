package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackcleat/tamarackcleat/admission"
	"github.com/tamarackcleat/tamarackcleat/kernel"
)

// BenchmarkRequest measures Arrive and Done of one request in a pool with running
// and waiting requests of ten teams, for several numbers of slots.
func BenchmarkRequest(b *testing.B) {
	for _, slots := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(slots), func(b *testing.B) {
			s := admission.New(nil)
			s.Handle(start, admission.Configure{Classes: classes()})
			s.Handle(start, admission.Capacity{Pool: "m", Slots: slots})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				s.Handle(now, admission.Arrive{
					Ask: kernel.AskID(i), RequestID: fmt.Sprint(i), Class: "draft", Team: fmt.Sprint("team-", i%10),
				})
				done := fmt.Sprint(i - slots - slots/10)
				s.Handle(now, admission.Done{RequestID: done, Service: time.Second})
			}
		})
	}
}
