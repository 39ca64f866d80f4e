package process

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// FreeAddress takes ports from firstPort on, below the range from which the kernel takes the
// ports of outgoing connections. Otherwise such a connection could take the port before the
// process that is to listen there starts, or before it starts again.
const (
	firstPort = 20000
	ports     = 12000
)

// lastPort is the number of the last port that was tried. It begins at random, because several
// test processes run at a time.
var lastPort atomic.Uint32

func init() { lastPort.Store(rand.Uint32N(ports)) }

// FreeAddress returns an address on a local IP address at which nobody listened when it was
// checked. A process doesn't get the same port twice soon.
func FreeAddress(ip string) (netip.AddrPort, error) {
	local, err := netip.ParseAddr(ip)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "looking for a free port")
	}
	for range ports {
		address := netip.AddrPortFrom(local, uint16(firstPort+lastPort.Add(1)%ports))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		return address, errors.Wrap(l.Close(), "closing a listener")
	}
	return netip.AddrPort{}, errors.Newf("no free port of %s", ip)
}
