package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/standin/web"
)

// Paths on which rank 0 serves the other members of its replica.
const (
	groupLeavingPath = "/group/leaving"
	groupRunningPath = "/group/running"
)

const (
	// memberRequestTimeout bounds one request to another member of the replica.
	memberRequestTimeout = time.Second
	// leavePollInterval is the time between two polls of rank 0 by a member that
	// shuts down.
	leavePollInterval = 100 * time.Millisecond
	// leaveFailureLimit is the number of consecutive failed polls after which a
	// member that shuts down considers rank 0 gone. A lower limit would let the
	// member stop while a rank 0 that is only slow still runs requests on it.
	leaveFailureLimit = 10
	// memberFailureLimit is the number of consecutive failed checks after which
	// rank 0 considers a member missing.
	memberFailureLimit = 2
)

// replicaRef identifies a replica in a message between its members.
type replicaRef struct {
	Replica    string `json:"replica"`
	Generation int64  `json:"generation"`
}

// runningReply is rank 0's answer to a poll by a member that shuts down.
type runningReply struct {
	replicaRef
	// Running is the number of requests of the replica that wait or run.
	Running int `json:"running"`
}

// handleMemberLeaving makes rank 0 drain its replica when another member
// announces that it shuts down.
func (s *Service) handleMemberLeaving(w http.ResponseWriter, r *http.Request) {
	var m replicaRef
	if !web.ReadJSON(w, r, &m) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.member.isIn(m.Replica, m.Generation) {
		s.startDraining()
	}
	web.WriteJSON(w, http.StatusOK, m)
}

// handleRunningCount answers with the VM's replica and its number of requests.
func (s *Service) handleRunningCount(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	reply := runningReply{replicaRef{s.member.replica, s.member.generation}, s.requests.count()}
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, reply)
}

// Leave makes the VM refuse new work. It returns once neither the VM nor rank 0 of
// its replica has requests in flight, or when the context ends.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.member.stopping = true
	rank, members := s.member.rank, s.member.members
	replica := replicaRef{s.member.replica, s.member.generation}
	s.mu.Unlock()
	if rank != 0 && len(members) > 0 {
		s.awaitRank0(ctx, members[0], replica)
	}
	select {
	case <-s.requests.whenEmpty():
	case <-ctx.Done():
	}
}

// awaitRank0 tells rank 0 that this member shuts down and returns once rank 0
// has no requests, has left the replica or is gone, or when the context ends.
func (s *Service) awaitRank0(ctx context.Context, rank0 string, replica replicaRef) {
	for failures := 0; failures < leaveFailureLimit; {
		reply, err := notifyAndCountRunning(ctx, rank0, replica)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return
		case err != nil:
			failures++
		case reply.replicaRef != replica || reply.Running == 0:
			return
		default:
			failures = 0
		}
		if !fault.Sleep(ctx, leavePollInterval) {
			return
		}
	}
}

// notifyAndCountRunning tells rank 0 that this member shuts down and returns
// rank 0's count of requests in flight.
func notifyAndCountRunning(ctx context.Context, rank0 string, replica replicaRef) (runningReply, error) {
	if err := notifyLeaving(ctx, rank0, replica); err != nil {
		return runningReply{}, err
	}
	return fetchRunning(ctx, rank0)
}

// awaitMembers runs on rank 0 and waits until all other members report the
// order's replica and generation. It returns their boot identifiers by address,
// or false if the context ended first.
func (s *Service) awaitMembers(ctx context.Context, o port.Order) (map[string]string, bool) {
	boots := map[string]string{}
	for _, address := range otherMembers(o) {
		for boots[address] == "" {
			boot, err := s.memberBoot(ctx, address, o)
			if err == nil {
				boots[address] = boot
				continue
			}
			if !fault.Sleep(ctx, s.settings.MemberCheckInterval) {
				return nil, false
			}
		}
	}
	return boots, true
}

// otherMembers returns the addresses of all members of the order's replica
// except rank 0.
func otherMembers(o port.Order) []string { return o.Members[min(1, len(o.Members)):] }

// checkMembers runs on rank 0 and checks the other members until the context ends
// or a member is missing, because it doesn't answer, has restarted or has left the
// replica. Rank 0 then leaves the replica and cuts its streams.
func (s *Service) checkMembers(ctx context.Context, o port.Order, boots map[string]string) {
	failures := map[string]int{}
	for fault.Sleep(ctx, s.settings.MemberCheckInterval) {
		for _, address := range otherMembers(o) {
			boot, err := s.memberBoot(ctx, address, o)
			if err == nil && boot == boots[address] {
				failures[address] = 0
				continue
			}
			failures[address]++
			if failures[address] >= memberFailureLimit {
				s.handleMissingMember(o)
				return
			}
		}
	}
}

// handleMissingMember takes the VM out of the order's replica, if it still is in
// it, and cuts the VM's streams.
func (s *Service) handleMissingMember(o port.Order) {
	if s.exitReplica(o.Replica, o.Generation) {
		s.requests.cancelAll(errMemberLost)
	}
}

// memberBoot returns the boot identifier of the VM at an address. It fails if
// the VM isn't a member of the order's replica and generation.
func (s *Service) memberBoot(ctx context.Context, address string, o port.Order) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, memberRequestTimeout)
	defer cancel()
	report, err := s.upstream.Report(ctx, address)
	if err != nil {
		return "", err
	}
	if report.Replica != o.Replica || report.Generation != o.Generation {
		return "", errors.New("VM is not a member of the same replica and generation")
	}
	return report.Boot, nil
}

func notifyLeaving(ctx context.Context, address string, replica replicaRef) error {
	body, err := json.Marshal(replica)
	if err != nil {
		return errors.Wrap(err, "encoding the notice of leaving")
	}
	return memberRequest(ctx, http.MethodPost, address, groupLeavingPath, body, &replicaRef{})
}

func fetchRunning(ctx context.Context, address string) (runningReply, error) {
	var reply runningReply
	err := memberRequest(ctx, http.MethodGet, address, groupRunningPath, nil, &reply)
	return reply, err
}

// memberRequest sends a request to rank 0 and decodes its answer.
func memberRequest(ctx context.Context, method, address, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, memberRequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building the request")
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending a request to rank 0")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("rank 0 answered with status %d", resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "decoding the answer")
}
