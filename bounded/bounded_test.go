package bounded_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bounded"
)

func TestBounded(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Bounded Suite")
}

// endless is a reader without an end that counts what is read.
type endless struct{ read int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

var errBroken = errors.New("broken")

var _ = Describe("Bounded input", func() {
	const limit = 8

	DescribeTable("is read up to its limit", func(input string, tooLong bool) {
		data, err := bounded.ReadAll(strings.NewReader(input), "test_input", limit)
		Expect(errors.Is(err, bounded.ErrTooLong)).To(Equal(tooLong))
		Expect(errors.Is(bounded.Discard(strings.NewReader(input), "test_input", limit), bounded.ErrTooLong)).To(Equal(tooLong))
		if tooLong {
			Expect(data).To(BeNil())
			what, ok := bounded.Exceeded(errors.Wrap(err, "reading"))
			Expect(ok).To(BeTrue())
			Expect(what).To(Equal("test_input"))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(Equal(input))
	},
		Entry("empty", "", false),
		Entry("at the limit", strings.Repeat("a", limit), false),
		Entry("one byte above the limit", strings.Repeat("a", limit+1), true),
	)

	It("is not read far beyond its limit", func() {
		e := &endless{}
		Expect(errors.Is(bounded.Discard(e, "test_input", limit), bounded.ErrTooLong)).To(BeTrue())
		Expect(e.read).To(BeNumerically("<=", limit+1))
	})

	It("keeps the error of its source", func() {
		r := io.MultiReader(bytes.NewReader([]byte("ab")), &failing{})
		_, err := bounded.ReadAll(r, "test_input", limit)
		Expect(errors.Is(err, errBroken)).To(BeTrue())
		_, ok := bounded.Exceeded(err)
		Expect(ok).To(BeFalse())
	})

	It("has a limit that can be set and removed while it is read", func() {
		r := bounded.NewReader(&endless{})
		buf := make([]byte, 2*limit)
		Expect(r.Read(buf)).To(Equal(2 * limit))
		r.SetLimit("test_input", limit)
		Expect(r.Read(buf)).To(Equal(limit))
		Expect(r.Cause(errBroken)).To(MatchError(errBroken))
		_, err := r.Read(buf)
		Expect(errors.Is(err, bounded.ErrTooLong)).To(BeTrue())
		Expect(r.Cause(errBroken)).To(MatchError(bounded.ErrTooLong))
		r.RemoveLimit()
		Expect(r.Read(buf)).To(Equal(2 * limit))
	})
})

var _ = It("ends without an error at the limit", func() {
	r := bounded.NewReader(strings.NewReader("ab"))
	r.SetLimit("test_input", 2)
	Expect(io.ReadAll(r)).To(Equal([]byte("ab")))
})

var _ = Describe("A budget", func() {
	const max = 1 << 20
	text := func(in *bounded.Input) string {
		var b bytes.Buffer
		n, err := in.WriteTo(&b)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(in.Len()))
		return b.String()
	}

	It("is shared by the inputs that are read, and given back", func() {
		b := bounded.NewBudget("test_memory", max)
		large := strings.Repeat("ab", max/3)
		first, err := b.ReadAll(iotest.OneByteReader(strings.NewReader(large)), "test_input", max)
		Expect(err).NotTo(HaveOccurred())
		Expect(text(first)).To(Equal(large))
		second, err := b.ReadAll(strings.NewReader(large), "test_input", max)
		what, _ := bounded.Exceeded(err)
		Expect(what).To(Equal("test_memory"))
		second.Release()
		first.Release()
		third, err := b.ReadAll(strings.NewReader(large), "test_input", max)
		Expect(err).NotTo(HaveOccurred())
		third.Release()
		third.Release()
		Expect(third.Len()).To(BeZero())
	})

	It("does not count small inputs", func() {
		b := bounded.NewBudget("test_memory", 0)
		small := strings.Repeat("a", 10<<10)
		in, err := b.ReadAll(strings.NewReader(small), "test_input", max)
		Expect(err).NotTo(HaveOccurred())
		Expect(text(in)).To(Equal(small))
	})

	It("is taken for the whole of an input that states its size, before the input is read", func() {
		b := bounded.NewBudget("test_memory", max)
		large := strings.Repeat("ab", max/3)
		first, err := b.ReadSized(iotest.OneByteReader(strings.NewReader(large)), int64(len(large)), "test_input", max)
		Expect(err).NotTo(HaveOccurred())
		Expect(text(first)).To(Equal(large))
		unread := strings.NewReader(large)
		second, err := b.ReadSized(unread, int64(len(large)), "test_input", max)
		what, _ := bounded.Exceeded(err)
		Expect(what).To(Equal("test_memory"))
		Expect(unread.Len()).To(Equal(len(large)))
		second.Release()
		small, err := b.ReadSized(strings.NewReader("abc"), 3, "test_input", max)
		Expect(err).NotTo(HaveOccurred())
		Expect(text(small)).To(Equal("abc"))
		first.Release()
		again, err := b.ReadSized(strings.NewReader(large), int64(len(large)), "test_input", max)
		Expect(err).NotTo(HaveOccurred())
		again.Release()
	})

	It("does not take a wrong size for the end of an input", func() {
		b := bounded.NewBudget("test_memory", max)
		_, err := b.ReadSized(strings.NewReader("abcd"), 3, "test_input", max)
		Expect(err).To(MatchError(ContainSubstring("more than the 3 bytes")))
		in, err := b.ReadSized(io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(io.ErrUnexpectedEOF)), 3, "test_input", max)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		in.Release()
		_, err = b.ReadSized(strings.NewReader(""), max+1, "test_input", max)
		what, _ := bounded.Exceeded(err)
		Expect(what).To(Equal("test_input"))
	})

	It("keeps the limit of each input and the error of its source", func() {
		b := bounded.NewBudget("test_memory", max)
		_, err := b.ReadAll(strings.NewReader("123456789"), "test_input", 8)
		what, _ := bounded.Exceeded(err)
		Expect(what).To(Equal("test_input"))
		_, err = b.ReadAll(io.MultiReader(strings.NewReader("1"), &failing{}), "test_input", 8)
		Expect(err).To(MatchError(errBroken))
		_, err = b.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), "test_input", 8)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})
})

type failing struct{}

func (*failing) Read([]byte) (int, error) { return 0, errBroken }
