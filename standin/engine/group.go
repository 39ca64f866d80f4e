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

// Paths on which the VMs of one replica talk to each other.
const (
	groupLeavingPath = "/group/leaving"
	groupRunningPath = "/group/running"
)

const (
	// groupTimeout bounds one request to another member.
	groupTimeout = time.Second
	// groupPoll is the time between two questions of a leaving member.
	groupPoll = 100 * time.Millisecond
	// leaveFailures is the number of questions in a row without an answer after
	// which a leaving member takes rank 0 for gone. One that is only slow must not
	// lose the member in mid-work.
	leaveFailures = 10
	// memberFailures is the number of failed checks in a row after which a
	// member counts as missing.
	memberFailures = 2
)

// groupMember names a replica in a message between its members.
type groupMember struct {
	Replica    string `json:"replica"`
	Generation int64  `json:"generation"`
}

// groupLoad answers a leaving member.
type groupLoad struct {
	groupMember
	// Running counts the requests that need the member.
	Running int `json:"running"`
}

// groupLeaving takes the news on rank 0 that a member is going away.
func (s *Service) groupLeaving(w http.ResponseWriter, r *http.Request) {
	var m groupMember
	if !web.ReadJSON(w, r, &m) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.member.is(m.Replica, m.Generation) {
		s.leaveReplica()
	}
	web.WriteJSON(w, http.StatusOK, m)
}

func (s *Service) groupRunning(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := groupLoad{groupMember{s.member.replica, s.member.generation}, s.running.count()}
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, load)
}

// Leave makes the VM refuse new work and returns once no request in flight
// needs it: its own ones, or those of its replica's rank 0.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.member.leaving = true
	rank, members := s.member.rank, s.member.members
	self := groupMember{s.member.replica, s.member.generation}
	s.mu.Unlock()
	if rank != 0 && len(members) > 0 {
		s.leaveGroup(ctx, members[0], self)
	}
	select {
	case <-s.running.empty():
	case <-ctx.Done():
	}
}

// leaveGroup tells rank 0 and waits until it needs the member no more.
func (s *Service) leaveGroup(ctx context.Context, rank0 string, self groupMember) {
	for failures := 0; failures < leaveFailures; {
		load, err := tellAndAsk(ctx, rank0, self)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return
		case err != nil:
			failures++
		case load.groupMember != self || load.Running == 0:
			return
		default:
			failures = 0
		}
		if !fault.Sleep(ctx, groupPoll) {
			return
		}
	}
}

// tellAndAsk tells rank 0 that a member leaves and asks what still needs it.
func tellAndAsk(ctx context.Context, rank0 string, self groupMember) (groupLoad, error) {
	if err := tellLeaving(ctx, rank0, self); err != nil {
		return groupLoad{}, err
	}
	return askRunning(ctx, rank0)
}

// awaitMembers waits until all other members obey the same order and returns
// their boots by address.
func (s *Service) awaitMembers(ctx context.Context, o port.Order) (map[string]string, bool) {
	boots := map[string]string{}
	for _, address := range otherMembers(o) {
		for boots[address] == "" {
			boot, err := s.memberBoot(ctx, address, o)
			if err == nil {
				boots[address] = boot
				continue
			}
			if !fault.Sleep(ctx, s.settings.MemberCheck) {
				return nil, false
			}
		}
	}
	return boots, true
}

// otherMembers returns the addresses of all members but rank 0.
func otherMembers(o port.Order) []string { return o.Members[min(1, len(o.Members)):] }

// checkMembers frees rank 0 and cuts its streams when a member is missing.
func (s *Service) checkMembers(ctx context.Context, o port.Order, boots map[string]string) {
	failures := map[string]int{}
	for fault.Sleep(ctx, s.settings.MemberCheck) {
		for _, address := range otherMembers(o) {
			boot, err := s.memberBoot(ctx, address, o)
			if err == nil && boot == boots[address] {
				failures[address] = 0
				continue
			}
			failures[address]++
			if failures[address] >= memberFailures {
				s.memberLost(o)
				return
			}
		}
	}
}

// memberLost frees the VM from the order's replica and cuts its streams.
func (s *Service) memberLost(o port.Order) {
	if s.freeFrom(o.Replica, o.Generation) {
		s.running.cutAll(errMemberLost)
	}
}

// memberBoot returns the boot of a member that obeys the same order.
func (s *Service) memberBoot(ctx context.Context, address string, o port.Order) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	report, err := s.upstream.Report(ctx, address)
	if err != nil {
		return "", err
	}
	if report.Replica != o.Replica || report.Generation != o.Generation {
		return "", errors.New("member of another replica")
	}
	return report.Boot, nil
}

func tellLeaving(ctx context.Context, address string, self groupMember) error {
	body, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encoding the news")
	}
	return groupRequest(ctx, http.MethodPost, address, groupLeavingPath, body, &groupMember{})
}

func askRunning(ctx context.Context, address string) (groupLoad, error) {
	var load groupLoad
	err := groupRequest(ctx, http.MethodGet, address, groupRunningPath, nil, &load)
	return load, err
}

// groupRequest sends a message to another member and decodes its answer.
func groupRequest(ctx context.Context, method, address, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building the request")
	}
	resp, err := groupClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "asking rank 0")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("rank 0 answers %d", resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "decoding the answer")
}
