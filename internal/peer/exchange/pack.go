package exchange

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// maxUnpackedBytes bounds the memory that a message of a peer can take. It is far above the largest object of the store.
const maxUnpackedBytes = 16 << 20

// ErrTooLarge means that a packed value is larger than any configuration.
var ErrTooLarge = errors.New("exchange: packed value too large")

// Pack compresses a configuration, which a hub sends to all its followers at once over a slow link.
func Pack(value []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "exchange.Pack")
	}
	if _, err := w.Write(value); err != nil {
		return nil, eris.Wrap(err, "exchange.Pack")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "exchange.Pack")
	}
	return out.Bytes(), nil
}

// Unpack returns a configuration that Pack has compressed.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "exchange.Unpack")
	}
	value, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "exchange.Unpack")
	}
	if len(value) > maxUnpackedBytes {
		return nil, ErrTooLarge
	}
	return value, nil
}
