package members_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/members"
	"waxwingplank/internal/peer/host"
	"waxwingplank/internal/peer/hostpb"
)

// testHandler implements the server's handler interface with Members.
type testHandler struct{ *members.Members }

func (testHandler) ReportDemand(context.Context, *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error) {
	return &hostpb.ReportDemandReply{}, nil
}

func (testHandler) Forward(context.Context, *hostpb.ForwardRequest, *host.Sink) error {
	return errors.New("not part of this test")
}

// Guards against a heartbeat exchange that works only with calls inside one process.
func TestHostsFindEachOtherOverLoopback(t *testing.T) {
	const count = 4
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var hosts []membership.Host
	var listeners []net.Listener
	for i := range count {
		var lc net.ListenConfig
		lis, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, lis)
		hosts = append(hosts, membership.Host{
			ID: table.HostID(fmt.Sprintf("h%d", i)), Address: lis.Addr().String(), PeerAddress: lis.Addr().String(),
			FailureDomain: fmt.Sprintf("d%d", i%2),
		})
	}
	var all []*members.Members
	for i := range count {
		client := host.NewClient(host.ClientConfig{})
		m, err := members.New(members.Config{Self: hosts[i], SeedHosts: hosts, Peers: client, Log: log})
		is.NoErr(err)
		server, err := host.NewServer(host.ServerConfig{Listener: listeners[i], Handler: testHandler{m}})
		is.NoErr(err)
		m.Start()
		all = append(all, m)
		t.Cleanup(func() {
			m.Close()
			server.Close()
			client.Close()
		})
	}
	all[0].AdoptWritten(doc(t, 1).WithGeneration(1))
	eventually(t, 10*time.Second, all, live(count))
	eventually(t, 10*time.Second, all, adopted(1))
	eventually(t, 10*time.Second, all, func(m *members.Members) bool { return m.InForce("lots") == 1 })
}

func eventually(t *testing.T, d time.Duration, all []*members.Members, check func(*members.Members) bool) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		passed := 0
		for _, m := range all {
			if check(m) {
				passed++
			}
		}
		if passed == len(all) {
			return
		}
	}
	t.Fatalf("does not hold within %v", d)
}
