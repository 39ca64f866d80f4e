package porthttp_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
)

// Guards against nodes that no longer follow the VM list: one odd entry made the whole list
// unreadable, for as long as the entry was there.
var _ = Describe("An odd entry of the VM list", func() {
	const nested = 100_000
	DescribeTable("is left out, and the others are returned", func(odd string) {
		list := fmt.Sprintf(`{"vms":[{"id":"a","kind":"engine","address":"10.0.0.1:80"},%s,{"id":"b \"[{","kind":"engine","address":"10.0.0.2:80","tags":["]}"]}]}`, odd)
		address, _ := startServer(fixedResponse(http.StatusOK, "application/json", list))
		vms, err := porthttp.NewInventory("http://"+address, "http://"+address, nil).VMs(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(HaveLen(2))
		Expect([]port.VMID{vms[0].ID, vms[1].ID}).To(Equal([]port.VMID{"a", `b "[{`}))
	},
		Entry("lists within lists", `{"id":"x","address":`+strings.Repeat("[", nested)+strings.Repeat("]", nested)+"}"),
		Entry("objects within objects, in place of an entry", strings.Repeat(`{"a":`, nested)+"0"+strings.Repeat("}", nested)),
		Entry("a number that no type holds", `{"id":"x","address":"10.0.0.3:80","accelerators":1e999}`),
		Entry("a number that is too large", `{"id":"x","address":"10.0.0.3:80","accelerators":99999999999999999999}`),
		Entry("a port out of range", `{"id":"x","address":"10.0.0.3:65536"}`),
		Entry("port 0", `{"id":"x","address":"10.0.0.3:0"}`),
		Entry("no host", `{"id":"x","address":":80"}`),
		Entry("no id", `{"address":"10.0.0.3:80"}`),
		Entry("another type", `7`),
		Entry("null", `null`),
	)

	It("keeps fields that are nested a little", func() {
		list := `{"vms":[{"id":"a","address":"10.0.0.1:80","labels":{"x":[[1],[2]]}}]}`
		address, _ := startServer(fixedResponse(http.StatusOK, "application/json", list))
		vms, err := porthttp.NewInventory("http://"+address, "http://"+address, nil).VMs(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(HaveLen(1))
	})
})
