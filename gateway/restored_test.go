package gateway

import (
	"encoding/json"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/keyed"
)

// Guards against requests to upstreams that are leaving or gone, and to evacuated zones, because
// a log that was restored from a backup says otherwise.
var _ = Describe("The state of a node whose log was restored from a backup", func() {
	var s *state
	record := func(id string, vm fleet.VM) keyed.Record {
		data, err := json.Marshal(vm)
		Expect(err).NotTo(HaveOccurred())
		return keyed.Record{Key: id, Value: data}
	}
	read := func(records ...keyed.Record) { s.applyVMs(keyed.Batch{Records: records, SentAt: bootclock.Now()}) }
	restore := func(records ...keyed.Record) {
		s.applyVMs(keyed.Batch{Records: records, Snapshot: true, Restored: true, SentAt: bootclock.Now()})
	}
	usable := func() []string {
		var out []string
		for _, t := range s.View().Targets("desk", "") {
			out = append(out, t.ID)
		}
		return out
	}
	BeforeEach(func() {
		s = newState(jsonDecoder{}, Streams{ConfigKey: "config", EvacuationPrefix: "evacuate/"}, slog.New(slog.DiscardHandler))
		config := fleet.NewConfig(1, nil)
		config.Services = map[string]fleet.Service{"desk": {Name: "desk"}}
		s.builder.SetConfig(config)
		read(record("a", fleet.VM{Boot: 5, Revision: 1}), record("b", fleet.VM{Boot: 5, Revision: 1}))
		s.readableSince = -time.Hour
	})

	It("keeps a report that is newer than the restored one", func() {
		read(record("a", fleet.VM{Boot: 5, Revision: 2, Leaving: true}), record("b", fleet.VM{Boot: 6, Revision: 1, Zone: "new"}))
		restore(record("a", fleet.VM{Boot: 5, Revision: 1}), record("b", fleet.VM{Boot: 5, Revision: 9, Zone: "old"}))
		Expect(usable()).To(Equal([]string{"b"}))
		vm, _ := s.View().VM("b")
		Expect(vm.Zone).To(Equal("new"))
		read(record("a", fleet.VM{Boot: 7, Revision: 1}))
		Expect(usable()).To(Equal([]string{"a", "b"}))
	})

	It("keeps a report that is newer than those that are written again, and a removal", func() {
		read(record("a", fleet.VM{Boot: 5, Revision: 3, Leaving: true}), record("b", fleet.VM{Boot: 5, Revision: 2}), keyed.Record{Key: "b"})
		restore(record("a", fleet.VM{Boot: 5, Revision: 1}), record("b", fleet.VM{Boot: 5, Revision: 1}))
		read(record("a", fleet.VM{Boot: 5, Revision: 2}), record("b", fleet.VM{Boot: 5, Revision: 2}))
		Expect(usable()).To(BeEmpty())
		read(record("b", fleet.VM{Boot: 5, Revision: 3}))
		Expect(usable()).To(Equal([]string{"b"}))
	})

	It("keeps an upstream that a later snapshot lists by an older report", func() {
		read(record("a", fleet.VM{Boot: 5, Revision: 9}))
		restore(record("b", fleet.VM{Boot: 5, Revision: 1}))
		Expect(s.goneAt).To(HaveKey("a"))
		s.applyVMs(keyed.Batch{Snapshot: true, Records: []keyed.Record{record("a", fleet.VM{Boot: 5, Revision: 2}), record("b", fleet.VM{Boot: 5, Revision: 1})}})
		Expect(s.goneAt).NotTo(HaveKey("a"))
	})

	It("takes what was written after the restoration", func() {
		restore(record("a", fleet.VM{Boot: 5, Revision: 2, Leaving: true}), record("b", fleet.VM{Boot: 5, Revision: 1}), record("c", fleet.VM{Boot: 5, Revision: 1}))
		Expect(usable()).To(Equal([]string{"b", "c"}))
	})

	It("keeps an upstream leaving whose reports bear no number", func() {
		read(record("a", fleet.VM{Boot: 5, Revision: 0, Leaving: true}))
		restore(record("a", fleet.VM{Boot: 5}), record("b", fleet.VM{Boot: 5, Revision: 1}))
		Expect(usable()).To(Equal([]string{"b"}))
	})

	It("does not use an upstream that was gone until it reports again or nothing removes it for some time", func() {
		read(keyed.Record{Key: "a"}, keyed.Record{Key: "b"})
		Expect(usable()).To(BeEmpty())
		restored := []keyed.Record{record("a", fleet.VM{Boot: 5, Revision: 1}), record("b", fleet.VM{Boot: 5, Revision: 1}), record("c", fleet.VM{Boot: 5, Revision: 1})}
		restore(restored...)
		Expect(usable()).To(Equal([]string{"c"}))
		s.applyVMs(keyed.Batch{Records: restored, Snapshot: true})
		Expect(usable()).To(Equal([]string{"c"}))
		read(record("a", fleet.VM{Boot: 5, Revision: 2}))
		Expect(usable()).To(Equal([]string{"a", "c"}))
		held := s.heldBack["b"]
		held.until = 0
		s.heldBack["b"] = held
		read()
		Expect(usable()).To(Equal([]string{"a", "b", "c"}))
		Expect(s.heldBack).To(BeEmpty())
	})

	It("leaves an upstream out that is removed again", func() {
		read(keyed.Record{Key: "a"})
		restore(record("a", fleet.VM{Boot: 5, Revision: 1}), record("b", fleet.VM{Boot: 5, Revision: 1}))
		read(keyed.Record{Key: "a"})
		Expect(s.heldBack).To(BeEmpty())
		Expect(usable()).To(Equal([]string{"b"}))
	})

	It("gives upstreams that the restored log lacks the time to report again", func() {
		restore(record("b", fleet.VM{Boot: 5, Revision: 1}))
		Expect(usable()).To(Equal([]string{"a", "b"}))
		s.goneAt["a"] = 0
		read()
		Expect(usable()).To(Equal([]string{"b"}))
	})

	It("does not count its reports as current before upstreams had time to report again", func() {
		before := s.vmsVerifiedAt.Load()
		restore()
		read()
		Expect(s.vmsVerifiedAt.Load()).To(Equal(before))
		s.restoredAt -= reappearGrace
		read()
		Expect(s.vmsVerifiedAt.Load()).To(BeNumerically(">", before))
	})

	It("forgets upstreams that were removed long ago", func() {
		read(keyed.Record{Key: "a"})
		Expect(s.gone).To(HaveLen(1))
		s.expireGone(bootclock.Now() + goneRetention)
		Expect(s.gone).To(BeEmpty())
	})

	Describe("and its evacuated zones", func() {
		config := func(b keyed.Batch) { s.applyConfig(b) }
		evacuated := func(zone string) bool { return s.evacuated[zone] }
		put := func(zone string) keyed.Record { return keyed.Record{Key: "evacuate/" + zone, Value: []byte("{}")} }
		BeforeEach(func() {
			config(keyed.Batch{Snapshot: true, Records: []keyed.Record{put("za"), put("zb")}})
			config(keyed.Batch{Snapshot: true, Restored: true, Records: []keyed.Record{put("zc")}})
		})

		It("keeps them evacuated, and takes what the log adds", func() {
			config(keyed.Batch{Snapshot: true, Records: []keyed.Record{put("zc")}})
			for _, zone := range []string{"za", "zb", "zc"} {
				Expect(evacuated(zone)).To(BeTrue(), zone)
			}
		})

		It("takes a zone back when the log says so, or when it has not confirmed it in time", func() {
			config(keyed.Batch{Records: []keyed.Record{put("za"), {Key: "evacuate/zb"}}})
			Expect(evacuated("zb")).To(BeFalse())
			Expect(s.unconfirmed).To(BeEmpty())
			s.unconfirmed["zd"], s.evacuated["zd"] = 1, true
			config(keyed.Batch{})
			Expect(evacuated("zd")).To(BeFalse())
			Expect(evacuated("za")).To(BeTrue())
		})
	})
})
