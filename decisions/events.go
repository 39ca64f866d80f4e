package decisions

// Names of the events in the log, the "msg" field of a line. The set is closed:
// Events describes each of them, and docs/OPERATIONS.md lists the descriptions.
const (
	RequestSent           = "request.sent"
	RequestRetried        = "request.retried"
	RequestFailureRelayed = "request.failure_relayed"
	RequestNotMoved       = "request.not_moved"
	RequestAnswered       = "request.answered"
	RequestRefused        = "request.refused"
	RequestFailed         = "request.failed"
	RequestBroken         = "request.broken"
	RequestAbandoned      = "request.abandoned"
	RequestCrashed        = "request.crashed"
	PartSuspected         = "part.suspected"
	PartQuarantined       = "part.quarantined"
	PartCleared           = "part.cleared"
	ConfigInForce         = "config.in_force"
	ConfigUnreadable      = "config.unreadable"
	ConfigFetchFailed     = "config.fetch_failed"
	ZoneEvacuated         = "zone.evacuated"
	ZoneReturned          = "zone.returned"
	UpstreamChanged       = "upstream.changed"
	UpstreamsChanged      = "upstreams.changed"
	UpstreamUnreadable    = "upstream.unreadable"
	UpstreamLapsed        = "upstream.lapsed"
	UpstreamGone          = "upstream.gone"
	UpstreamHeldBack      = "upstream.held_back"
	UpstreamSilent        = "upstream.silent"
	UpstreamSuspected     = "upstream.suspected"
	UpstreamPaused        = "upstream.paused"
	UpstreamLeaving       = "upstream.leaving"
	UpstreamCold          = "upstream.cold"
	UpstreamUnusedWord    = "upstream.unused_word"
	UpstreamProbed        = "upstream.probed"
	UpstreamTooLong       = "upstream.too_long"
	UpstreamUnattributed  = "upstream.unattributed"
	UpstreamMalformed     = "upstream.malformed"
	UpstreamDead          = "upstream.dead"
	UpstreamEvicted       = "upstream.evicted"
	UpstreamBack          = "upstream.back"
	UpstreamRestarted     = "upstream.restarted"
	UpstreamOutdated      = "upstream.outdated"
	ReplicaFormed         = "replica.formed"
	ReplicaOpening        = "replica.opening"
	ReplicaAdopted        = "replica.adopted"
	ReplicaDismantled     = "replica.dismantled"
	ReplicaReleased       = "replica.released"
	ReplicaDissolved      = "replica.dissolved"
	PlanningBegun         = "planning.begun"
	PlanningReport        = "planning.report"
	OrderNotAccepted      = "order.not_accepted"
	ReplicaTraded         = "replica.traded"
	ShareCorrected        = "share.corrected"
	ModelStaged           = "model.staged"
	LeaseChanged          = "lease.changed"
	LeaseHeld             = "lease.held"
	LeaseHolderEnded      = "lease.holder_ended"
	LeaseHandedOver       = "lease.handed_over"
	LeaseEra              = "lease.era"
	LeaseVoid             = "lease.void"
	LeaseAppendFailed     = "lease.append_failed"
	LeaseUnreadable       = "lease.unreadable"
	LeaseEncode           = "lease.encode"
	PeerRegistered        = "peer.registered"
	PeerHeard             = "peer.heard"
	PeerSilent            = "peer.silent"
	PeerParentLost        = "peer.parent_lost"
	PeerUnreadable        = "peer.unreadable"
	PeerUnreadableRecord  = "peer.unreadable_record"
	PeerRegisterFailed    = "peer.register_failed"
	PeerMessageNotSent    = "peer.message_not_sent"
	PeerReceiveFailed     = "peer.receive_failed"
	PeerEncode            = "peer.encode"
	LogReadFailed         = "log.read_failed"
	LogEra                = "log.era"
	StreamReadPartly      = "stream.read_partly"
	StreamRestored        = "stream.restored"
	StreamStart           = "upstream.stream_start"
	StreamTruncated       = "stream.truncated"
	UpstreamsUnreachable  = "upstreams.unreachable"
	UpstreamsReachable    = "upstreams.reachable"
	TunnelRefused         = "tunnel.refused"
	TunnelPauseUntold     = "tunnel.pause_untold"
	StreamSource          = "stream.source"
	StreamSourceLost      = "stream.source_lost"
	RelayFailed           = "relay.failed"
	LogDropped            = "log.dropped"
	CallersLimited        = "callers.limited"
	NodeStarted           = "node.started"
	NodeDraining          = "node.draining"
	NodeCutRequests       = "node.cut_requests"
	NodeStopped           = "node.stopped"
	MetricsFailed         = "metrics.failed"
	ExplanationUnsent     = "explanation.unsent"
	SettingsReloaded      = "settings.reloaded"
	SettingsRejected      = "settings.rejected"
)

// Event is the name of an event and its meaning, described for operators.
type Event struct{ Name, Meaning string }

// Events returns all events, those of requests first.
func Events() []Event {
	return []Event{
		{RequestSent, "An attempt of a request was sent to an upstream: load of the upstream, last event relayed to the caller, time since the request arrived, ids of the parts of its prompt that others may share."},
		{RequestRetried, "An attempt failed and the request will be sent again: reason, verdict and number of the failed attempt."},
		{RequestFailureRelayed, "The caller gets the failure that an upstream had answered with, because no other upstream gave an answer: status, reason and detail of the last attempt or of the lack of one."},
		{RequestNotMoved, "An attempt at a silent or slow upstream goes on because the request can't be sent elsewhere now: reason, detail."},
		{RequestAnswered, "The complete answer was sent to the caller: status, attempts, time to the first byte and to the end."},
		{RequestRefused, "The request was refused; it has not run and will not: reason, detail, delay after which the caller may retry."},
		{RequestFailed, "The node itself answered with a failure to a request that may have run: verdict, reason, detail."},
		{RequestBroken, "An answer was cut off after a part of it had been sent to the caller: reason, number of events sent."},
		{RequestAbandoned, "The caller disconnected before the answer was complete."},
		{RequestCrashed, "An upstream's process ended while it ran a request: number of upstreams that requests with this content have crashed, whether the answer had begun, ids of the shared parts of its prompt; tamarackcleatd says whether the attempt was a trial and whether the crash counts against the content."},
		{PartSuspected, "Requests with a part of a prompt run one at a time on all nodes: crashes that no other part explains, time since the last one."},
		{PartQuarantined, "Requests with a part of a prompt are refused: crashes that no other part explains, time since the last one."},
		{PartCleared, "Requests with a part of a prompt run freely again: an answer began, or ended whole if crashes cut off answers that had begun, another part explains the crashes, or they are long past."},
		{ConfigInForce, "A configuration took effect: version, routes, services, keys, and whether it came from the log, with its offset, or from a peer, because a restored log lacks it."},
		{ConfigUnreadable, "A configuration record could not be decoded; the previous configuration stays in force."},
		{ConfigFetchFailed, "A peer that says that it has a later configuration in force than this node did not give it, or gave one that is not later or can't be decoded; the previous configuration stays in force, and a peer is asked again later."},
		{ZoneEvacuated, "The operator evacuates an availability zone: its upstreams get no new requests, and no replica is formed there while another zone can be used."},
		{ZoneReturned, "The evacuation of an availability zone has ended: whether only a snapshot showed it, in which the zone's key is missing."},
		{UpstreamChanged, "An upstream's report of itself changed: boot, replica, rank, state, models, for how long it is cold."},
		{UpstreamsChanged, "Reports of upstreams changed that are not logged one by one, which the holder of the control lease does, and each node for upstreams with requests of its own: number of reports, of new, leaving, open and cold upstreams, last offset."},
		{UpstreamUnreadable, "An upstream's record in the log or its answer to a probe could not be decoded; such a record is ignored."},
		{UpstreamLapsed, "The record of a replica's member is no longer in the log; the node keeps the member in its view for some seconds."},
		{UpstreamGone, "The record of an upstream is no longer in the log, and the node has removed the upstream from its view."},
		{UpstreamHeldBack, "A log that was restored from a backup lists an upstream again that was known to be gone; it gets no request unless it reports again or no later record removes it for some seconds: boot and number of the report, number of the latest one known."},
		{UpstreamSilent, "A replica sent nothing for longer than its limit; the requests that could be are being moved to other replicas: their number."},
		{UpstreamSuspected, "A request failed in a way that shows that the upstream can't take other requests either; it gets none for a while unless no other can take them."},
		{UpstreamPaused, "An upstream refused a request and wants none from this node for a time: its boot, the time."},
		{UpstreamLeaving, "The process on a VM said in an answer that it is about to end, so it gets no new requests and is replaced; or that mark ended because another process reports from the VM: the boot of the process that said it."},
		{UpstreamCold, "An upstream that counted as warm said in an answer that it is cold, so it gets few requests: for how long. Reports that say so are part of upstream.changed and upstreams.changed."},
		{UpstreamUnusedWord, "A value of the header Retry-After in an upstream's answer, or the time for which the upstream says that it is cold, was not used as it is: what is wrong with it."},
		{UpstreamProbed, "tamarackcleatd asked an upstream that broke the answer to a request whether it has crashed: the finding, number of probes, time they took, error of the last one."},
		{UpstreamUnattributed, "A response could not be attributed to the request, because it names none or another one; it counts as no answer, and the connection was closed: error, request."},
		{UpstreamMalformed, "The head or the trailer of a response is malformed; it counts as no answer, and the connection was closed: what is wrong, request."},
		{UpstreamTooLong, "An upstream sent more than a limit allows, so its answer was cut off and the connection closed: name of the limit, request."},
		{UpstreamDead, "A VM did not answer several probes; its replica is repaired without it."},
		{UpstreamEvicted, "A slow VM is removed from its replica, which is formed again without it: the VM's pace and the age of that measurement."},
		{UpstreamBack, "A VM that was considered dead answers probes again."},
		{UpstreamsUnreachable, "This node can connect to no upstream, so its requests go through other nodes until it can: number of upstreams that failed and of those that it tried to connect to in vain, time since the first failure, whether open connections still work."},
		{UpstreamsReachable, "This node can connect to upstreams again: how long it could not, number of tunnels through other nodes meanwhile."},
		{TunnelRefused, "Another node did not open a tunnel to an upstream for this one, and another was asked or the attempt failed: that node, reason."},
		{TunnelPauseUntold, "The node that serves a tunnel could not be told that the upstream wants no requests from it for a while: the time, error."},
		{UpstreamRestarted, "A member of a replica no longer reports the membership that it reported before, as after a restart, so the replica is dissolved: both reports, how long ago the VM gave them and the nodes that probed it."},
		{UpstreamOutdated, "A report that contradicts a VM's membership of its replica is ignored, because it may be older than the report of the membership: both reports, how long ago the VM gave them and the nodes that probed it."},
		{ReplicaFormed, "VMs were ordered to join a new replica or standby replica: model, members, number of model loads, expected time."},
		{ReplicaOpening, "All members of a replica are ready, and its head was ordered to accept requests."},
		{ReplicaAdopted, "A new holder of the control lease took over a replica that an earlier holder had formed."},
		{ReplicaDismantled, "A replica is ended because it lost a member or will lose one: whether planned, members that still report."},
		{ReplicaReleased, "The members of a replica may join other replicas: reason."},
		{ReplicaDissolved, "The holder of the control lease of tamarackcleatd ends a replica: cause, and of each member the latest report, how long ago the VM gave it and the node that probed it."},
		{ShareCorrected, "A model's share of the work was corrected by the measured demand: the configured and the corrected share, and the VMs that the requests in flight fill."},
		{ReplicaTraded, "A replica is closed so that its VMs can form a replica of a model that is further below its share: ranks of both models, free VMs."},
		{ModelStaged, "A VM was ordered to load another model onto its host in advance, so that it can join a replica of that model without delay."},
		{PlanningBegun, "A new holder of the control lease has reports that show what earlier holders ordered, and begins to form and repair replicas: how long it waited, age of the reports."},
		{PlanningReport, "What the planning rounds of the holder of the control lease did since the last such line: number of rounds, time spent in them, longest one, replicas and standbys formed, open replicas, VMs, replicas that wait for answers to probes or for their loads to be allowed."},
		{OrderNotAccepted, "A VM did not accept an order or did not answer it; the VM may still carry the order out later."},
		{LeaseChanged, "The control lease has a new holder or a new term."},
		{LeaseHeld, "This node acquired or lost the control lease."},
		{LeaseHolderEnded, "A new process has registered the address of the lease's holder, so the holder's process has ended; the lease may be claimed before it expires."},
		{LeaseHandedOver, "This node gave up the control lease because nodes with more processor cores are reachable, or because it can't connect to upstreams."},
		{LeaseEra, "The log was restored from a backup, so the control lease must be claimed anew: both eras, whether this node held the lease and claims it at once, its latest term."},
		{LeaseVoid, "A record of the control lease was appended by a node that did not know the log's present era, and counts for nothing: its holder and term, both eras."},
		{LeaseAppendFailed, "The log did not confirm a claim or renewal of the control lease; reading the log will show whether it was appended."},
		{LeaseUnreadable, "A record of the control lease could not be decoded and is skipped."},
		{LeaseEncode, "A record of the control lease could not be encoded."},
		{PeerRegistered, "Another node registered itself in the log."},
		{PeerHeard, "The first message of a peer arrived, or the first one since the peer was silent."},
		{PeerSilent, "Messages from a peer stopped arriving; the loads that it reported are no longer counted."},
		{PeerParentLost, "The node that forwards other nodes' messages to this one stopped sending; another node is chosen."},
		{PeerUnreadable, "A message from a peer could not be decoded."},
		{PeerUnreadableRecord, "The registration record of a node could not be decoded."},
		{PeerRegisterFailed, "The log did not confirm this node's registration record; the node will append it again."},
		{PeerMessageNotSent, "A message to peers was not sent because it could not be encoded or is too large."},
		{PeerReceiveFailed, "Receiving on the socket for peers' messages failed."},
		{PeerEncode, "This node's registration record could not be encoded."},
		{LogReadFailed, "A read of a stream of the log failed; the node will retry it."},
		{LogEra, "A response of the log shows a later era than those before it: both eras. From the second such line of a process on, the log was restored from a backup and has lost its latest records."},
		{StreamStart, "A stream began with another event than the first stream of its service, and its second event confirmed that: both ids, number of such streams. While there are few, a stream that begins elsewhere is refused if the request can be sent once more."},
		{StreamReadPartly, "A read of a stream did not reach its end, because a response of the log is limited; it proves nothing about the newest records, and the next read follows at once."},
		{StreamTruncated, "The log no longer holds the offset from which this node reads a stream; the node reads the newest record of each key instead."},
		{StreamRestored, "The log was restored from a backup, and the node's copy of a stream now goes on from the restored one: both eras, and the offsets at which the copies end. What the node has in force stays until the log has something newer."},
		{StreamSource, "This node now polls another peer for the streams of the log, or reads the log itself."},
		{StreamSourceLost, "The peer that this node polls for the streams does not respond; the node reads the log until a peer responds."},
		{RelayFailed, "This node can't serve peers' polls for the streams; the peers read the log themselves."},
		{LogDropped, "Log lines were dropped because the output could not keep up: number of lines."},
		{CallersLimited, "Connections or requests were ended, refused or had to wait, because their senders hold too much or send too little: listener, cause, number since the last such line, of which there is at most one a second for each cause."},
		{NodeStarted, "The process started to serve callers."},
		{NodeDraining, "The process received the signal to stop and is draining: requests in flight."},
		{NodeCutRequests, "The process ends although requests are still in flight, because the time for a planned stop is over: number of requests."},
		{NodeStopped, "The process ends: requests still in flight, time since it received the signal to stop."},
		{MetricsFailed, "The address for metrics can't be served; requests are still served."},
		{ExplanationUnsent, "The explanation of a route could not be sent to the operator who asked for it: error."},
		{SettingsReloaded, "The settings were reloaded: whether any bound changed."},
		{SettingsRejected, "Reloaded settings are not valid; the earlier settings stay in force."},
	}
}
