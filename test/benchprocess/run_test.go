package benchprocess

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against quantiles that leave out the slowest stream.
func TestQuantile(t *testing.T) {
	is := is.New(t)
	var all []time.Duration
	for i := range 100 {
		all = append(all, time.Duration(100-i)*time.Millisecond)
	}
	is.Equal(quantile(all, 0.5), 51.0)
	is.Equal(quantile(all, 0.95), 96.0)
	is.Equal(quantile(all, 1), 100.0)
	is.Equal(quantile(nil, 0.5), 0.0)
}
