package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleet Suite")
}

// openReplica returns three VMs that report an open replica.
func openReplica() []fleet.VM {
	var out []fleet.VM
	for rank := range 3 {
		state := fleet.MemberReady
		if rank == 0 {
			state = fleet.MemberOpen
		}
		out = append(out, fleet.VM{
			ID: fmt.Sprintf("vm-%d", rank), Service: "llm", Model: "m",
			Member: fleet.Membership{Replica: "r1", Generation: 1, Rank: rank, State: state},
		})
	}
	return out
}

var _ = DescribeTable("A view's targets", func(modify func(vms []fleet.VM), targets int, endingSince time.Duration) {
	vms := openReplica()
	modify(vms)
	c := fleet.NewConfig(1, nil)
	c.Services = map[string]fleet.Service{"llm": {Name: "llm", Engine: &fleet.Engine{Models: []fleet.Model{{Name: "m", Size: 3}}}}}
	byID := map[string]fleet.VM{}
	for _, vm := range vms {
		byID[vm.ID] = vm
	}
	got := fleet.NewView(c, 0, byID).Targets("llm", "m")
	Expect(got).To(HaveLen(targets))
	if targets > 0 {
		Expect(got[0].ID).To(Equal("vm-0"))
		Expect(got[0].MemberLeavingSince).To(Equal(endingSince))
	}
},
	Entry("are complete, open replicas", func([]fleet.VM) {}, 1, time.Duration(0)),
	Entry("exclude a replica whose head is leaving", func(vms []fleet.VM) { vms[0].Leaving, vms[0].LeavingSince = true, 5 }, 0, time.Duration(0)),
	Entry("say since when the first of a replica's leaving members has been leaving", func(vms []fleet.VM) {
		vms[1].Leaving, vms[1].LeavingSince = true, 7
		vms[2].Leaving, vms[2].LeavingSince = true, 5
	}, 1, time.Duration(5)),
	Entry("exclude a replica with a member that is still joining", func(vms []fleet.VM) { vms[2].Member.State = fleet.MemberJoining }, 0, time.Duration(0)),
)
