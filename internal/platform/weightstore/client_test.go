package weightstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/platform/weightstore"
	"waxwingplank/internal/standin/script"
)

// Guards against loading weights without a limit because a response was damaged or missing.
func TestLimitsContract(t *testing.T) {
	cases, err := script.ReadCases("testdata/limits.txtar")
	is.New(t).NoErr(err)
	for _, c := range cases {
		t.Run(c.Name(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := script.New(c.Part("script"))
			is.NoErr(server.Start("127.0.0.1:0"))
			defer func() { _ = server.Close() }()
			client := weightstore.New(weightstore.Config{Address: server.Address(), Timeout: c.Timeout(200 * time.Millisecond)})
			limits, err := client.Limits(context.Background())
			got := fmt.Sprintln(limits.BytesPerSecond(), limits.LoadsAtOnce())
			if err != nil {
				got = "error\n"
			}
			is.Equal(got, c.Part("want"))
		})
	}
}
