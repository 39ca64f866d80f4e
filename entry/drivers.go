package entry

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/controller"
	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/logfollow"
	"github.com/tamarackcleat/tamarackcleat/peers"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
)

const (
	// appendTimeout limits an append to the log.
	appendTimeout = 2 * time.Second
	// longPollMargin is the time by which the timeout of a log read exceeds the
	// longest time that the log may delay its response.
	longPollMargin = 2 * time.Second
	// inventoryTimeout limits a read of the VM list and the models.
	inventoryTimeout = 2 * time.Second
	// probeTimeout limits a probe of a VM.
	probeTimeout = time.Second
	// heartbeatTimeout limits an exchange of heartbeats with a peer.
	heartbeatTimeout = time.Second
	// snapshotTimeout limits a read of a peer's snapshots.
	snapshotTimeout = 5 * time.Second
)

// post delivers a message to a kernel service.
type post func(to string, msg kernel.Message)

// logDriver performs the effects of the log service.
type logDriver struct {
	ctx  context.Context
	log  port.Log
	post post
}

// Perform implements kernel.Driver.
func (d *logDriver) Perform(effect kernel.Effect) bool {
	switch e := effect.(type) {
	case logfollow.Read:
		go d.read(e)
	case logfollow.AppendEntry:
		go d.append(e)
	default:
		return false
	}
	return true
}

func (d *logDriver) read(e logfollow.Read) {
	ctx, cancel := context.WithTimeout(d.ctx, logfollow.MaxReadWait+longPollMargin)
	defer cancel()
	res, err := d.log.Read(ctx, e.Stream, e.From, e.Wait)
	d.post(logfollow.Name, logfollow.ReadDone{Stream: e.Stream, From: e.From, Result: res, Err: err})
}

func (d *logDriver) append(e logfollow.AppendEntry) {
	ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
	defer cancel()
	res, err := d.log.Append(ctx, e.Stream, e.Data)
	d.post(logfollow.Name, logfollow.AppendDone{Stream: e.Stream, Result: res, Err: err})
}

// healthDriver performs the effects of the health service.
type healthDriver struct {
	ctx       context.Context
	inventory *porthttp.Inventory
	upstream  *porthttp.Upstream
	listener  *listener
	post      post
}

// Perform implements kernel.Driver.
func (d *healthDriver) Perform(effect kernel.Effect) bool {
	switch e := effect.(type) {
	case health.FetchInventory:
		go d.fetchInventory()
	case health.Probe:
		go d.probe(e)
	default:
		return false
	}
	return true
}

func (d *healthDriver) fetchInventory() {
	ctx, cancel := context.WithTimeout(d.ctx, inventoryTimeout)
	defer cancel()
	vms, err := d.inventory.VMs(ctx)
	models, modelsErr := d.inventory.Models(ctx)
	if modelsErr != nil {
		models = port.ModelList{}
	}
	d.post(health.Name, health.InventoryFetched{VMs: vms, Models: models, Err: err})
}

func (d *healthDriver) probe(e health.Probe) {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	var said porthttp.Said
	report, err := d.upstream.Report(porthttp.WithTrace(ctx, &porthttp.Trace{
		GotHead: func(s porthttp.Said) { said = s },
	}), e.Address)
	d.listener.noted(port.Incarnation{VM: e.VM, Boot: cmp.Or(report.Boot, e.Boot)}, said)
	d.post(health.Name, health.Probed{
		VM: e.VM, SentAt: e.SentAt, Report: report, Leaving: said.Leaving, Boot: said.Boot, Err: err,
	})
}

// orderDriver sends the controller's orders to VMs.
type orderDriver struct {
	ctx      context.Context
	upstream *porthttp.Upstream
	listener *listener
	post     post
}

// errLeaseEnded is the result of an order that was not sent because the control
// lease had ended.
var errLeaseEnded = errors.New("the lease ended before the order was sent")

// Perform implements kernel.Driver.
func (d *orderDriver) Perform(effect kernel.Effect) bool {
	e, ok := effect.(controller.SendOrder)
	if ok {
		go d.send(e)
	}
	return ok
}

func (d *orderDriver) send(e controller.SendOrder) {
	d.post(controller.Name, controller.OrderDone{VM: e.VM, Err: d.order(e)})
}

// order sends an order unless its time limit, the end of the lease, has passed.
func (d *orderDriver) order(e controller.SendOrder) error {
	ctx, cancel := context.WithTimeout(d.ctx, controller.OrderTimeout)
	defer cancel()
	if time.Now().After(e.NotAfter) {
		return errLeaseEnded
	}
	err := d.upstream.Order(d.listener.listen(ctx, port.Incarnation{VM: e.VM}), e.Address, e.Order)
	if errors.Is(err, porthttp.ErrStaleFencing) {
		return controller.ErrStaleFencing
	}
	return err
}

// peerDriver performs the effects of the peers service.
type peerDriver struct {
	ctx    context.Context
	client *peerClient
	post   post
}

// Perform implements kernel.Driver.
func (d *peerDriver) Perform(effect kernel.Effect) bool {
	switch e := effect.(type) {
	case peers.Send:
		go d.sendHeartbeat(e)
	case peers.FetchSnapshots:
		go d.fetchSnapshots(e)
	default:
		return false
	}
	return true
}

func (d *peerDriver) sendHeartbeat(e peers.Send) {
	ctx, cancel := context.WithTimeout(d.ctx, heartbeatTimeout)
	defer cancel()
	answer, err := d.client.heartbeat(ctx, e.Address, e.Heartbeat)
	if err == nil {
		d.post(peers.Name, peers.Received{Heartbeat: answer})
	}
}

func (d *peerDriver) fetchSnapshots(e peers.FetchSnapshots) {
	ctx, cancel := context.WithTimeout(d.ctx, snapshotTimeout)
	defer cancel()
	snapshots, err := d.client.snapshots(ctx, e.Address)
	if err != nil {
		return
	}
	for _, s := range snapshots {
		d.post(logfollow.Name, logfollow.OfferSnapshot(s))
	}
}
