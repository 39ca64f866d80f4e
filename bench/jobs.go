package bench

import "container/heap"

// jobHeap is a heap of jobs, highest priority first and equal priorities in order
// of arrival.
type jobHeap []*job

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h jobHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

// remove removes a job from the heap and reports whether the heap held it.
func (h *jobHeap) remove(j *job) bool {
	for i, o := range *h {
		if o == j {
			heap.Remove(h, i)
			return true
		}
	}
	return false
}

// decodeHeap is a heap of decoding jobs, in order of the value that the position
// of their engine has when they end.
type decodeHeap []*job

// Len implements heap.Interface.
func (h decodeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h decodeHeap) Less(i, j int) bool {
	return h[i].start+float64(h[i].tokens) < h[j].start+float64(h[j].tokens)
}

// Swap implements heap.Interface.
func (h decodeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *decodeHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *decodeHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

// batchIndex returns the index of the job in its engine's decodeHeap, or -1 if
// the job is not decoding.
func (j *job) batchIndex() int {
	for i, o := range j.engine.decoding {
		if o == j {
			return i
		}
	}
	return -1
}
