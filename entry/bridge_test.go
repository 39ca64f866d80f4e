package entry

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/admission"
	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/router"
)

// noReplicas implements health.Replicas without any replicas.
type noReplicas struct{}

func (noReplicas) Replicas() []ledger.Replica            { return nil }
func (noReplicas) Replica(string) (ledger.Replica, bool) { return ledger.Replica{}, false }
func (noReplicas) ReplicaOf(port.VMID) (string, bool)    { return "", false }

var _ = Describe("The bridge", func() {
	// Guards against a restarted daemon that already routes to four replicas while
	// its admission learns of their slots only up to 200 ms later and refuses the
	// requests that can't wait that long.
	It("tells admission of a pool's slots as soon as the router knows its first upstream", func() {
		selection := router.New(router.Config{Node: "n", Rand: rand.New(rand.NewPCG(1, 1))})
		watched := health.New("n", nil, nil, noReplicas{}, rand.New(rand.NewPCG(1, 1)))
		b := &bridge{
			liveNodes: func(time.Time) int { return 1 }, health: watched, router: selection, knownPools: map[string]bool{"draft": true},
		}
		now := time.Unix(1000, 0)
		slots := 0
		queue := b.Handle(now, health.Changed{Upstreams: []health.Upstream{{ID: "r", Pool: "draft", Slots: 8, EligibleUntil: now.Add(time.Minute)}}})
		for len(queue) > 0 {
			send, ok := queue[0].(kernel.Send)
			queue = queue[1:]
			if !ok {
				continue
			}
			switch m := send.Msg.(type) {
			case admission.Capacity:
				slots = m.Slots
			default:
				if send.To == router.Name {
					selection.Handle(now, m)
				} else if send.To == bridgeName {
					queue = append(queue, b.Handle(now, m)...)
				}
			}
		}
		Expect(slots).To(BeNumerically(">", 0))
	})
})
