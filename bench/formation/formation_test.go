package formation

import (
	"bytes"
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/placement"
)

var _ = Describe("Run", func() {
	day := Span{Length: 24 * time.Hour, SpeedUp: 20}
	today, _ := FleetByName("today")

	It("gives equal results for equal seeds and different results for different seeds", func() {
		first := Run(today, Variants()[0], 7, day)
		Expect(Run(today, Variants()[0], 7, day)).To(Equal(first))
		Expect(Run(today, Variants()[0], 8, day).Formed).NotTo(Equal(first.Formed))
	})

	It("measures no downtime without faults, and only the spare VMs as stranded", func() {
		r := &run{planner: placement.NewPlanner(placement.DefaultPolicy()), vms: newFleet(today),
			desired: demands(today.VMs()), replicas: map[string]*replica{}}
		r.advance(2 * time.Hour)
		r.result = Result{}
		r.advance(26 * time.Hour)
		Expect(r.result.Downtime()).To(BeZero())
		Expect(r.result.Stranded).To(BeNumerically("~", 10*24, 0.1))
	})

	It("restores all wanted replicas after faults of every kind", func() {
		for _, v := range Variants()[:2] {
			r := &run{planner: placement.NewPlanner(v.Policy), lostAfter: lostAfter, vms: newFleet(today),
				desired: demands(today.VMs()), replicas: map[string]*replica{}}
			r.advance(2 * time.Hour)
			for kind := faultVMFailure; kind <= faultLogOutage; kind++ {
				x := fault{kind: kind, target: int(kind) % 3, duration: 10 * time.Minute}
				r.schedule(r.now+time.Duration(kind)*time.Minute, func() { r.applyFault(today, x) })
			}
			r.advance(4 * time.Hour)
			r.result = Result{}
			r.advance(5 * time.Hour)
			Expect(r.result.Downtime()).To(BeZero(), v.Name)
		}
	})

	It("prints one row for each policy", func() {
		results, err := RunAll(context.Background(), today, Variants()[:3], 1, 2, Span{Length: 6 * time.Hour, SpeedUp: 20})
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		Expect(writeTable(&out, results)).To(Succeed())
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(4))
	})
})
