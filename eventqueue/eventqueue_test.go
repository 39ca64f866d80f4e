package eventqueue_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/eventqueue"
)

func TestEventqueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Event queue Suite")
}

var _ = Describe("Queue", func() {
	at := func(s int64) time.Time { return time.Unix(s, 0) }

	It("returns values by due time, and those due at the same time in the order in which they were added", func() {
		var q eventqueue.Queue[string]
		for _, v := range []string{"3 a", "1 a", "2 a", "1 b", "3 b", "1 c"} {
			q.Push(at(int64(v[0]-'0')), v)
		}
		next, ok := q.Next()
		Expect(ok).To(BeTrue())
		Expect(next).To(Equal(at(1)))
		var got []string
		for {
			due, v, ok := q.PopDue(at(9))
			if !ok {
				break
			}
			Expect(due).To(Equal(at(int64(v[0] - '0'))))
			got = append(got, v)
		}
		Expect(got).To(Equal([]string{"1 a", "1 b", "1 c", "2 a", "3 a", "3 b"}))
	})

	It("keeps a value until it is due, and then returns it", func() {
		var q eventqueue.Queue[int]
		_, _, ok := q.PopDue(at(1))
		Expect(ok).To(BeFalse())
		q.Push(at(2), 7)
		_, _, ok = q.PopDue(at(1))
		Expect(ok).To(BeFalse())
		_, v, ok := q.PopDue(at(2))
		Expect(ok).To(BeTrue())
		Expect(v).To(Equal(7))
	})
})
