package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against configurations that take so long to reach all followers of a hub that they take the hub for lost.
func TestPackedConfigurationIsSmall(t *testing.T) {
	is := is.New(t)
	var value bytes.Buffer
	for i := range 1777 {
		fmt.Fprintf(&value, `{"name":"route-%d","host":"host.example","prefix":"/p%x/","kind":"streaming","timeout_ms":20000,"service":"model"},`, i, i*7919)
	}
	packed, err := Pack(value.Bytes())
	is.NoErr(err)
	is.True(len(packed)*8 < value.Len())
	unpacked, err := Unpack(packed)
	is.NoErr(err)
	is.Equal(string(unpacked), value.String())
}

// Guards against a message that takes the memory of the host, and against one that is damaged.
func TestUnpackOddValues(t *testing.T) {
	is := is.New(t)
	huge, err := Pack(make([]byte, maxUnpackedBytes+1))
	is.NoErr(err)
	_, err = Unpack(huge)
	is.True(errors.Is(err, ErrTooLarge))
	whole, err := Pack([]byte("a configuration"))
	is.NoErr(err)
	for _, packed := range [][]byte{nil, []byte("text"), whole[:len(whole)-6], append(bytes.Clone(whole), 1)} {
		_, err = Unpack(packed)
		is.True(err != nil)
	}
}
