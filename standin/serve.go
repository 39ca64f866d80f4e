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
	// leaveTimeout bounds the graceful stop of a VM.
	leaveTimeout = 5 * time.Minute
	// shutdownTimeout bounds the wait for answers in flight.
	shutdownTimeout = 2 * time.Second
	// registerTimeout bounds the registration of a VM with the VM list.
	registerTimeout = 5 * time.Second
	// headerTimeout ends the wait for a request's header.
	headerTimeout = 10 * time.Second
)

// leaver is a VM that can stop gracefully.
type leaver interface {
	http.Handler
	// Leave refuses new work and returns when none is in flight.
	Leave(ctx context.Context)
}

// listen opens an address and logs it.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listening")
	}
	slog.Info("listening", "address", l.Addr().String())
	return l, nil
}

// serve answers requests on an address until the context ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	return serveOn(ctx, l, h)
}

// serveOn answers requests on a listener until the context ends. It returns
// once the answers in flight are written, at most after shutdownTimeout.
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

// shutdown lets the answers in flight be written and closes the server.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// serveVM answers requests to a VM. When the context ends, the VM leaves
// gracefully.
func serveVM(ctx context.Context, l net.Listener, h leaver) error {
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

// register puts a VM on the VM list.
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
