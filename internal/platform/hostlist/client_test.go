package hostlist_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/platform/hostlist"
	"waxwingplank/internal/standin/script"
)

// Guards against treating hosts as removed because a response was damaged or missing.
func TestListContract(t *testing.T) {
	cases, err := script.ReadCases("testdata/lists.txtar")
	is.New(t).NoErr(err)
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := script.New(c.Part("script"))
			is.NoErr(server.Start("127.0.0.1:0"))
			defer func() { _ = server.Close() }()
			client := hostlist.New(hostlist.Config{Address: server.Address(), Timeout: c.Timeout(200 * time.Millisecond)})
			hosts, err := client.List(context.Background())
			got := ""
			if err != nil {
				got = "error\n"
			}
			for _, h := range hosts {
				got += fmt.Sprintln(h.ID(), h.Address(), h.PeerAddress(), h.FailureDomain(), h.Region(), h.State())
			}
			is.Equal(got, c.Part("want"))
		})
	}
}
