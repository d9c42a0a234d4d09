package seal

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"
	"math"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/table"
)

// ErrInvalid is returned for an id that is malformed or that no configured key decrypts.
var ErrInvalid = eris.New("seal: id is not valid")

// An id consists of version, key id, salt, counter, and ciphertext with tag.
//
// One key shared by all hosts would exceed the limit of 2^32 random nonces after 14 minutes at
// 5.3 million tokens/s. Each stream therefore has its own key, derived from a random salt, and uses
// a counter as its nonce.
const (
	formatVersion = 1
	keyBytes      = 32
	keyIDBytes    = 4
	saltBytes     = 16
	counterBytes  = 8
	nonceBytes    = 12
	headerBytes   = 1 + keyIDBytes + saltBytes + counterBytes

	attemptOffset  = 0
	positionOffset = 4
	chainOffset    = 8
	bodyOffset     = chainOffset + chainBytes
	namesOffset    = bodyOffset + sha256.Size

	// maxIDBytes is the length above which an id is rejected before it is decoded. Four names of 256
	// bytes and the fixed part fit.
	maxIDBytes = 2048
	// maxNameBytes bounds each name, so that an id stays shorter than maxIDBytes.
	maxNameBytes = 256
)

var encoding = base64.RawURLEncoding

// Config describes a Sealer.
type Config struct {
	// Keys are 32 bytes each. The first key seals, and all keys open. To rotate, append the new key
	// on every host, then move it to the front, and remove the old key once the longest stream sealed
	// with it has ended.
	Keys [][]byte
	// Random is the source of salts; the daemon uses crypto/rand.Reader.
	Random io.Reader
}

type masterKey struct {
	id     [keyIDBytes]byte
	secret []byte
}

// Sealer seals and opens event ids. It is safe for concurrent use if its source of salts is.
type Sealer struct {
	keys   []masterKey
	random io.Reader
}

// New returns a sealer, or an error if the keys are missing, duplicate or not 32 bytes long.
func New(cfg Config) (*Sealer, error) {
	if len(cfg.Keys) == 0 || cfg.Random == nil {
		return nil, eris.New("seal.New: keys and a source of salts are required")
	}
	s := &Sealer{random: cfg.Random}
	seen := map[[keyIDBytes]byte]bool{}
	for i, k := range cfg.Keys {
		if len(k) != keyBytes {
			return nil, eris.Errorf("seal.New: key %d has %d bytes, not %d", i, len(k), keyBytes)
		}
		sum := derive(k, "key id")
		id := [keyIDBytes]byte(sum[:keyIDBytes])
		if seen[id] {
			return nil, eris.Errorf("seal.New: key %d has the same id as an earlier key", i)
		}
		seen[id] = true
		s.keys = append(s.keys, masterKey{id: id, secret: append([]byte(nil), k...)})
	}
	return s, nil
}

// Seal returns the id of one resume point. To seal many of one stream, use Prepare.
func (s *Sealer) Seal(point ResumePoint) (string, error) {
	p, err := s.Prepare(point)
	if err != nil {
		return "", err
	}
	return p.Seal(point.Position(), point.Chain()), nil
}

// StreamSealer seals the resume points of one stream. It is not safe for concurrent use.
type StreamSealer struct {
	gcm       cipher.AEAD
	header    [headerBytes]byte
	counter   uint64
	nonce     [nonceBytes]byte
	plaintext []byte
	sealed    []byte
	encoded   []byte
}

// Prepare derives the key of the stream and encodes the constant part of its resume points.
func (s *Sealer) Prepare(point ResumePoint) (*StreamSealer, error) {
	p := &StreamSealer{}
	key := s.keys[0]
	p.header[0] = formatVersion
	copy(p.header[1:], key.id[:])
	salt := p.header[1+keyIDBytes : 1+keyIDBytes+saltBytes]
	if _, err := io.ReadFull(s.random, salt); err != nil {
		return nil, eris.Wrap(err, "seal.Prepare: read salt")
	}
	gcm, err := newGCM(key.secret, salt)
	if err != nil {
		return nil, err
	}
	p.gcm = gcm
	if err := p.Reroute(point); err != nil {
		return nil, err
	}
	return p, nil
}

// Reroute replaces the constant part of the resume points after the route or the attempt changed. The nonce
// counter continues, because the key stays the same.
func (p *StreamSealer) Reroute(point ResumePoint) error {
	c := point.cfg
	if c.Attempt < 0 || c.Attempt > math.MaxUint32 {
		return eris.Errorf("seal.Reroute: attempt %d is out of range", c.Attempt)
	}
	p.plaintext = append(p.plaintext[:0], make([]byte, namesOffset)...)
	binary.BigEndian.PutUint32(p.plaintext[attemptOffset:], uint32(c.Attempt))
	copy(p.plaintext[bodyOffset:], c.Body[:])
	for _, name := range []string{string(c.Service), string(c.Workspace), string(c.Stream), c.Route} {
		if len(name) > maxNameBytes {
			return eris.Errorf("seal.Reroute: name of %d bytes is longer than %d", len(name), maxNameBytes)
		}
		p.plaintext = binary.BigEndian.AppendUint16(p.plaintext, uint16(len(name)))
		p.plaintext = append(p.plaintext, name...)
	}
	size := headerBytes + len(p.plaintext) + p.gcm.Overhead()
	p.sealed = make([]byte, 0, size)
	p.encoded = make([]byte, encoding.EncodedLen(size))
	return nil
}

// Seal returns the id of the resume point after the token at the position. chain is the digest of the text up
// to and including the token.
func (p *StreamSealer) Seal(position int, chain Chain) string {
	p.counter++
	binary.BigEndian.PutUint64(p.header[headerBytes-counterBytes:], p.counter)
	binary.BigEndian.PutUint64(p.nonce[nonceBytes-counterBytes:], p.counter)
	binary.BigEndian.PutUint32(p.plaintext[positionOffset:], uint32(position))
	copy(p.plaintext[chainOffset:], chain[:])
	out := append(p.sealed[:0], p.header[:]...)
	out = p.gcm.Seal(out, p.nonce[:], p.plaintext, p.header[:])
	encoding.Encode(p.encoded, out)
	return string(p.encoded)
}

// Open decrypts an id and returns its resume point, or ErrInvalid. The caller must compare the resume point
// with its own request by ResumePoint.Check.
func (s *Sealer) Open(id string) (ResumePoint, error) {
	if len(id) > maxIDBytes {
		return ResumePoint{}, ErrInvalid
	}
	raw, err := encoding.DecodeString(id)
	if err != nil || len(raw) < headerBytes || raw[0] != formatVersion {
		return ResumePoint{}, ErrInvalid
	}
	header, body := raw[:headerBytes], raw[headerBytes:]
	for _, k := range s.keys {
		if [keyIDBytes]byte(header[1:1+keyIDBytes]) != k.id {
			continue
		}
		gcm, err := newGCM(k.secret, header[1+keyIDBytes:1+keyIDBytes+saltBytes])
		if err != nil {
			return ResumePoint{}, err
		}
		var nonce [nonceBytes]byte
		copy(nonce[nonceBytes-counterBytes:], header[headerBytes-counterBytes:])
		plain, err := gcm.Open(nil, nonce[:], body, header)
		if err != nil {
			return ResumePoint{}, ErrInvalid
		}
		return decode(plain)
	}
	return ResumePoint{}, ErrInvalid
}

func decode(plain []byte) (ResumePoint, error) {
	if len(plain) < namesOffset {
		return ResumePoint{}, ErrInvalid
	}
	var names [4]string
	rest := plain[namesOffset:]
	for i := range names {
		if len(rest) < 2 {
			return ResumePoint{}, ErrInvalid
		}
		n := int(binary.BigEndian.Uint16(rest))
		if len(rest) < 2+n {
			return ResumePoint{}, ErrInvalid
		}
		names[i], rest = string(rest[2:2+n]), rest[2+n:]
	}
	return NewResumePoint(ResumePointConfig{
		Service:   table.ServiceID(names[0]),
		Workspace: table.WorkspaceID(names[1]),
		Stream:    table.StreamID(names[2]),
		Route:     names[3],
		Attempt:   int(binary.BigEndian.Uint32(plain[attemptOffset:])),
		Position:  int(binary.BigEndian.Uint32(plain[positionOffset:])),
		Body:      Digest(plain[bodyOffset : bodyOffset+sha256.Size]),
		Chain:     Chain(plain[chainOffset : chainOffset+chainBytes]),
	}), nil
}

func newGCM(secret, salt []byte) (cipher.AEAD, error) {
	key := derive(secret, "event id "+string(salt))
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, eris.Wrap(err, "seal: new cipher")
	}
	gcm, err := cipher.NewGCM(block)
	if err != nil {
		return nil, eris.Wrap(err, "seal: new GCM")
	}
	return gcm, nil
}

func derive(secret []byte, label string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(label))
	return h.Sum(nil)
}
