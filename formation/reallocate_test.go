package formation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

var _ = Describe("Closing a replica for one of another model", func() {
	// Guards against replicas that are closed for each other in turn: a replica that waited
	// to be formed counted as one more of its model, so one that served was closed.
	DescribeTable("requires that enough others of its model are formed", func(formed, waiting int, improves bool) {
		large, small := fleet.Model{Name: "large"}, fleet.Model{Name: "small"}
		d := &demand{
			formed:  map[string]int{"large": formed, "small": 7},
			waiting: map[string]int{"large": waiting},
			desired: map[string]float64{"large": 6, "small": 10},
		}
		Expect(closingImproves(d, small, large)).To(Equal(improves))
	},
		Entry("all are formed", 6, 0, true),
		Entry("one of them waits", 5, 1, false),
	)
})
