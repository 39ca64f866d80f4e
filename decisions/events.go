package decisions

// Names of events. They are a closed set: docs/OPERATIONS.md lists them from
// Events.
const (
	RequestSent          = "request.sent"
	RequestRetried       = "request.retried"
	RequestAnswered      = "request.answered"
	RequestRefused       = "request.refused"
	RequestFailed        = "request.failed"
	RequestBroken        = "request.broken"
	RequestAbandoned     = "request.abandoned"
	RequestCrashed       = "request.crashed"
	ConfigInForce        = "config.in_force"
	ConfigUnreadable     = "config.unreadable"
	UpstreamChanged      = "upstream.changed"
	UpstreamUnreadable   = "upstream.unreadable"
	UpstreamLapsed       = "upstream.lapsed"
	UpstreamGone         = "upstream.gone"
	UpstreamSilent       = "upstream.silent"
	UpstreamSuspected    = "upstream.suspected"
	UpstreamDead         = "upstream.dead"
	UpstreamEvicted      = "upstream.evicted"
	UpstreamBack         = "upstream.back"
	ReplicaFormed        = "replica.formed"
	ReplicaOpening       = "replica.opening"
	ReplicaAdopted       = "replica.adopted"
	ReplicaDismantled    = "replica.dismantled"
	ReplicaReleased      = "replica.released"
	OrderNotAccepted     = "order.not_accepted"
	ReplicaTraded        = "replica.traded"
	ModelStaged          = "model.staged"
	LeaseChanged         = "lease.changed"
	LeaseHeld            = "lease.held"
	LeaseHolderEnded     = "lease.holder_ended"
	LeaseHandedOver      = "lease.handed_over"
	LeaseAppendFailed    = "lease.append_failed"
	LeaseUnreadable      = "lease.unreadable"
	LeaseEncode          = "lease.encode"
	PeerRegistered       = "peer.registered"
	PeerHeard            = "peer.heard"
	PeerSilent           = "peer.silent"
	PeerParentLost       = "peer.parent_lost"
	PeerUnreadable       = "peer.unreadable"
	PeerUnreadableRecord = "peer.unreadable_record"
	PeerRegisterFailed   = "peer.register_failed"
	PeerMessageNotSent   = "peer.message_not_sent"
	PeerReceiveFailed    = "peer.receive_failed"
	PeerEncode           = "peer.encode"
	LogReadFailed        = "log.read_failed"
	StreamTruncated      = "stream.truncated"
	StreamSource         = "stream.source"
	StreamSourceLost     = "stream.source_lost"
	RelayFailed          = "relay.failed"
	LogDropped           = "log.dropped"
	NodeStarted          = "node.started"
	NodeDraining         = "node.draining"
	NodeStopped          = "node.stopped"
	MetricsFailed        = "metrics.failed"
	SettingsReloaded     = "settings.reloaded"
	SettingsRejected     = "settings.rejected"
)

// Event describes an event for operators.
type Event struct{ Name, Meaning string }

// Events lists all events, those of requests first.
func Events() []Event {
	return []Event{
		{RequestSent, "An attempt of a request went to an upstream: its load there, the last event passed on, the time waited."},
		{RequestRetried, "An attempt failed and the request is sent again: reason, verdict and number of the attempt."},
		{RequestAnswered, "The answer was passed on whole: status, attempts, time to the first byte and to the end."},
		{RequestRefused, "The request has not run and will not: reason, detail, when to come back."},
		{RequestFailed, "The node answered with a failure of its own to a request that may have run: verdict, reason, detail."},
		{RequestBroken, "An answer that had begun was cut off: reason and events passed on."},
		{RequestAbandoned, "The caller left before the answer was whole."},
		{RequestCrashed, "A request was on an upstream whose process ended: how many its content has crashed."},
		{ConfigInForce, "A configuration took effect: version, offset, routes, services, keys."},
		{ConfigUnreadable, "A record of the configuration could not be decoded; the one before stays in force."},
		{UpstreamChanged, "An upstream reported something new: boot, replica, rank, state, models."},
		{UpstreamUnreadable, "An upstream's entry or its answer to a probe could not be decoded; an entry names no upstream then."},
		{UpstreamLapsed, "A member of a replica is no longer listed; it is remembered for a while."},
		{UpstreamGone, "An upstream is no longer listed."},
		{UpstreamSilent, "A replica sent nothing for too long; its requests were moved."},
		{UpstreamSuspected, "A request failed in a way that says the upstream can't take others."},
		{UpstreamDead, "A VM left probes unanswered; its replica is repaired without it."},
		{UpstreamEvicted, "A slow VM is taken out of its replica, which is formed anew without it: pace and its age."},
		{UpstreamBack, "A dead VM answers again."},
		{ReplicaFormed, "VMs were ordered to join a replica or a standby: model, members, loads, expected time."},
		{ReplicaOpening, "All members are ready and the head was ordered to open."},
		{ReplicaAdopted, "A new holder of the lease found a replica of a former one."},
		{ReplicaDismantled, "A replica lost a member or is to lose one: planned or not, members reporting."},
		{ReplicaReleased, "The members of a replica are free for others: why."},
		{ReplicaTraded, "A replica is closed for one of a model that is further behind its part: ranks of both, free VMs."},
		{ModelStaged, "A VM's host loads another model, so that the VM can join its replicas at once."},
		{OrderNotAccepted, "A VM did not accept an order or did not answer; it may be carried out late."},
		{LeaseChanged, "The control lease has another holder or term."},
		{LeaseHeld, "This node began or ceased to hold the control lease."},
		{LeaseHolderEnded, "Another process has the holder's address, so the holder's has ended; its lease is not waited for."},
		{LeaseHandedOver, "A holder gave the control lease up, because larger nodes are reachable."},
		{LeaseAppendFailed, "A claim or renewal was not confirmed; what became of it is read back."},
		{LeaseUnreadable, "A record of the lease could not be decoded and is skipped."},
		{LeaseEncode, "A record of the lease could not be encoded."},
		{PeerRegistered, "Another node was found through the log."},
		{PeerHeard, "A peer's messages arrive."},
		{PeerSilent, "A peer's messages ceased; its loads count no more."},
		{PeerParentLost, "The node through which this one hears of the others fell silent; another one is chosen."},
		{PeerUnreadable, "A peer's message could not be decoded."},
		{PeerUnreadableRecord, "A node's record in the log could not be decoded."},
		{PeerRegisterFailed, "This node's record was not confirmed; it is tried again."},
		{PeerMessageNotSent, "The message to peers could not be encoded or is too large."},
		{PeerReceiveFailed, "The socket for peers' messages failed."},
		{PeerEncode, "This node's record could not be encoded."},
		{LogReadFailed, "A read of a stream of the log failed; it is tried again."},
		{StreamTruncated, "The log no longer keeps this node's place in a stream; the newest records are read."},
		{StreamSource, "This node polls another peer for the streams, or reads the log itself."},
		{StreamSourceLost, "The peer that handed the streams on does not respond; the log is read until one does."},
		{RelayFailed, "Peers' polls of streams can't be served; they read the log."},
		{LogDropped, "Lines were dropped because the writer was behind: how many."},
		{NodeStarted, "The process serves callers."},
		{NodeDraining, "The process was told to stop: requests in flight."},
		{NodeStopped, "The process ends: requests in flight, time since it was told."},
		{MetricsFailed, "The metrics' address can't be served; requests are served without."},
		{SettingsReloaded, "The settings were read again: whether bounds changed."},
		{SettingsRejected, "Settings that were read again are not valid and change nothing."},
	}
}
