package vmlist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/standin/vmlist"
)

var _ = Describe("the VM list stand-in", func() {
	var now time.Time
	var list *vmlist.Service

	BeforeEach(func() {
		now = time.Unix(0, 0)
		list = vmlist.New(vmlist.Settings{Lag: 2 * time.Second, Clock: func() time.Time { return now }})
		list.Schedule(vmlist.Change{Verb: vmlist.Register, VM: port.VM{ID: "b"}})
		list.Schedule(vmlist.Change{Verb: vmlist.Register, VM: port.VM{ID: "a"}})
	})

	It("shows changes after the lag, sorted by id", func() {
		Expect(list.VMs()).To(BeEmpty())
		now = now.Add(2 * time.Second)
		Expect(list.VMs()).To(Equal([]port.VM{{ID: "a"}, {ID: "b"}}))
		list.Schedule(vmlist.Change{Verb: vmlist.Leave, VM: port.VM{ID: "a"}})
		list.Schedule(vmlist.Change{Verb: vmlist.Remove, VM: port.VM{ID: "b"}})
		Expect(list.VMs()).To(Equal([]port.VM{{ID: "a"}, {ID: "b"}}))
		now = now.Add(2 * time.Second)
		Expect(list.VMs()).To(Equal([]port.VM{{ID: "a", Leaving: true}}))
	})

	It("shows no changes while it is frozen, and all due ones afterwards", func() {
		Expect(list.Faults.SetJSON(`{"freeze":true}`)).To(Succeed())
		now = now.Add(time.Minute)
		Expect(list.VMs()).To(BeEmpty())
		Expect(list.Faults.SetJSON(`{"freeze":false}`)).To(Succeed())
		Expect(list.VMs()).To(HaveLen(2))
	})

	It("accepts changes and reads over HTTP, but no reads during an outage", func() {
		server := httptest.NewServer(list)
		DeferCleanup(server.Close)
		post := func(body string) int {
			resp, err := http.Post(server.URL+"/v1/vms", "application/json", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			return resp.StatusCode
		}
		Expect(post(`{"verb":"register","vm":{"id":"c"}}`)).To(Equal(http.StatusOK))
		Expect(post(`{"verb":"vanish","vm":{"id":"c"}}`)).To(Equal(http.StatusBadRequest))
		Expect(post(`{"verb":"register","vm":{}}`)).To(Equal(http.StatusBadRequest))
		now = now.Add(2 * time.Second)
		inventory := porthttp.NewInventory(server.URL, server.URL, nil)
		vms, err := inventory.VMs(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(HaveLen(3))
		Expect(list.Faults.SetJSON(`{"outage":true}`)).To(Succeed())
		_, err = inventory.VMs(context.Background())
		Expect(err).To(HaveOccurred())
	})
})
