package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/router"
)

// fleetSizes are the numbers of upstreams that the benchmarks run with.
var fleetSizes = []int{100, 1_000, 10_000}

// newUpstreams returns n upstreams of one pool in three availability zones.
func newUpstreams(n int) []balance.Upstream {
	all := make([]balance.Upstream, n)
	for i := range all {
		all[i] = balance.Upstream{
			ID: fmt.Sprintf("replica-%05d", i), Generation: 1, Pool: "m",
			Zone: fmt.Sprint(i % 3), Slots: 64,
		}
	}
	return all
}

// newLoadedRouter returns the service of one of seven nodes. It was sent n
// upstreams, and for each a load report and two cached prefixes.
func newLoadedRouter(n int) *router.Service {
	s := router.New(router.Config{Node: "n1", Zone: "1", Rand: rand.New(rand.NewPCG(1, 1))})
	s.Handle(start, router.NodesChanged{Nodes: 7})
	s.Handle(start, router.UpstreamsChanged{Upstreams: newUpstreams(n)})
	for i, u := range newUpstreams(n) {
		s.Handle(start, router.LoadReported{ID: u.ID, Running: i % 50, LoadAt: start})
		s.Handle(start, router.CacheEvents{ID: u.ID, Boot: "b", Events: []port.CacheEvent{
			{Seq: 1, PrefixHash: uint64(i % 8)}, {Seq: 2, PrefixHash: 100 + uint64(i)},
		}})
	}
	return s
}

// BenchmarkRequest measures one request: Pick, one Progressed and Finished.
func BenchmarkRequest(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newLoadedRouter(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				p := router.Pick{RequestID: "r", Class: "c", PromptBytes: 2000,
					PrefixHashes: []uint64{1_000_000 + uint64(i), uint64(i % 8)}}
				p.Pool = "m"
				id := s.Handle(now, p)[0].(kernel.Reply).Msg.(router.Picked).Upstream.ID
				s.Handle(now, router.Progressed{RequestID: "r", Upstream: id, FirstToken: 100 * time.Millisecond})
				s.Handle(now, router.Finished{RequestID: "r", Upstream: id, OK: true, PerToken: 40 * time.Millisecond})
			}
		})
	}
}

// BenchmarkUpstreamsChanged measures UpstreamsChanged when the generation of one
// upstream changes.
func BenchmarkUpstreamsChanged(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newLoadedRouter(n)
			all := newUpstreams(n)
			for i := 0; b.Loop(); i++ {
				all[i%n].Generation++
				s.Handle(start, router.UpstreamsChanged{Upstreams: all})
			}
		})
	}
}

// BenchmarkLoadReported measures a load report of an upstream that the node uses.
func BenchmarkLoadReported(b *testing.B) {
	s := newLoadedRouter(100)
	for i := 0; b.Loop(); i++ {
		at := start.Add(time.Duration(i) * time.Millisecond)
		s.Handle(at, router.LoadReported{ID: fmt.Sprintf("replica-%05d", i%96), Running: i % 60, LoadAt: at})
	}
}

// BenchmarkShare measures Service.Share, for pools of several sizes.
func BenchmarkShare(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newLoadedRouter(n)
			for b.Loop() {
				s.Share(start, "m")
			}
		})
	}
}
