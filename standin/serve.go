package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/vmlist"
)

const (
	// leaveTimeout bounds the time in which a VM that stops finishes its work.
	leaveTimeout = 5 * time.Minute
	// shutdownTimeout bounds the time in which a server that stops writes the
	// answers in flight.
	shutdownTimeout = 2 * time.Second
	// registerTimeout bounds the registration of a VM with the VM list.
	registerTimeout = 5 * time.Second
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
)

// leavingHandler handles the requests to a VM that can stop gracefully.
type leavingHandler interface {
	http.Handler
	// Leave makes the VM refuse new work and returns when no work is in flight
	// or the context ends.
	Leave(ctx context.Context)
}

// listen opens a TCP listener on an address and logs the address that it got.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listening")
	}
	slog.Info("listening", "address", l.Addr().String())
	return l, nil
}

// serve handles requests on an address until the context ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	return serveOn(ctx, l, h)
}

// serveOn handles requests on a listener until the context ends. It then returns
// as soon as the answers in flight are written, or after shutdownTimeout at the
// latest.
func serveOn(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutdown(server)
	})
	err := server.Serve(l)
	if stop() {
		return errors.Wrap(err, "serving")
	}
	<-closed
	return nil
}

// shutdown closes the server once the answers in flight are written, or after
// shutdownTimeout at the latest.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// serveVM handles requests to a VM. When the context ends, it makes the VM leave,
// for at most leaveTimeout, and goes on handling requests until the VM has left.
func serveVM(ctx context.Context, l net.Listener, h leavingHandler) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	context.AfterFunc(ctx, func() {
		leaving, cancel := context.WithTimeout(serving, leaveTimeout)
		defer cancel()
		h.Leave(leaving)
		stop()
	})
	return serveOn(serving, l, h)
}

// register adds a VM to the VM list at the base URL list. It does nothing if the
// URL is empty.
func register(ctx context.Context, list string, vm port.VM) error {
	if list == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(vmlist.Change{Verb: vmlist.Register, VM: vm})
	if err != nil {
		return errors.Wrap(err, "encoding a VM")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, list+"/v1/vms", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "registering a VM")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "registering a VM")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("registering a VM: status %d", resp.StatusCode)
	}
	return nil
}
