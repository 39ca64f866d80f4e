package relay_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/relay"
)

// noConfiguration is the configuration of a node that has none.
func noConfiguration() []byte { return nil }

// Guards against a node that goes on with an older configuration because what a peer gives is cut
// off, not decompressed or no answer at all.
var _ = DescribeTable("A configuration fetched from a peer", func(handler http.Handler, want []byte, failure string) {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	peer := relay.Peer{ID: "p", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	got, err := relay.NewConfigurationClient().Fetch(context.Background(), peer)
	if failure != "" {
		Expect(err).To(MatchError(ContainSubstring(failure)))
		return
	}
	Expect(err).NotTo(HaveOccurred())
	Expect(bytes.Equal(got, want)).To(BeTrue())
},
	Entry("small", relay.Handler(nil, func() []byte { return []byte("c") }), []byte("c"), ""),
	Entry("large", relay.Handler(nil, func() []byte { return configuration(1400) }), configuration(1400), ""),
	Entry("none", relay.Handler(nil, noConfiguration), nil, "404"),
	Entry("unreadable", answer(`{"v":7}`), nil, "decoding"),
	Entry("wrongly compressed", answer(`{"z":"eA=="}`), nil, "decompressing"),
	Entry("endless", answer(`{"v":"`+strings.Repeat("x", 9<<20)), nil, "peer_configuration"),
)

// answer returns a handler that answers with a body.
func answer(body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
}
