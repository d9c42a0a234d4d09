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

// ErrInvalid is returned for an id that no known key opens.
var ErrInvalid = eris.New("seal: id is not valid")

// The id is: version, key id, salt, counter, ciphertext with tag.
//
// One key shared by all hosts would pass the limit of 2^32 random nonces after 14 minutes at
// 5.3 million tokens/s. So each stream has its own key, derived from a random salt, and counts its nonces.
const (
	formatVersion = 1
	keyBytes      = 32
	keyIDBytes    = 4
	saltBytes     = 16
	counterBytes  = 8
	nonceBytes    = 12
	headerBytes   = 1 + keyIDBytes + saltBytes + counterBytes

	attemptAt  = 0
	positionAt = 4
	chainAt    = 8
	bodyAt     = chainAt + chainBytes
	namesAt    = bodyAt + sha256.Size

	// maxIDBytes refuses oversized input before any work: four names of 256 bytes and the fixed part fit.
	maxIDBytes = 2048
	// maxNameBytes bounds each name, so that an id stays below maxIDBytes.
	maxNameBytes = 256
)

var encoding = base64.RawURLEncoding

// Config describes a Sealer.
type Config struct {
	// Keys are 32 bytes each. The first one seals, all open. To rotate, append the new key on every
	// host, then move it to the front, then remove the old one after the longest stream.
	Keys [][]byte
	// Random yields the salts; the daemon passes crypto/rand.Reader.
	Random io.Reader
}

type masterKey struct {
	id     [keyIDBytes]byte
	secret []byte
}

// Sealer seals and opens event ids; it is safe for concurrent use when its source of salts is.
type Sealer struct {
	keys   []masterKey
	random io.Reader
}

// New returns a sealer.
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

// Seal returns the id of one mark; a host that seals many marks of a stream uses Prepare.
func (s *Sealer) Seal(m Mark) (string, error) {
	p, err := s.Prepare(m)
	if err != nil {
		return "", err
	}
	return p.Seal(m.Position(), m.Chain()), nil
}

// Prepared seals the marks of one attempt of a stream; the goroutine of the stream owns it.
type Prepared struct {
	gcm     cipher.AEAD
	header  [headerBytes]byte
	counter uint64
	nonce   [nonceBytes]byte
	plain   []byte
	sealed  []byte
	text    []byte
}

// Prepare derives the key of the stream and encodes the part of the mark that stays the same.
func (s *Sealer) Prepare(m Mark) (*Prepared, error) {
	p := &Prepared{}
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
	if err := p.Reroute(m); err != nil {
		return nil, err
	}
	return p, nil
}

// Reroute replaces the constant part after the route or the attempt changed; the nonces count on.
func (p *Prepared) Reroute(m Mark) error {
	c := m.cfg
	if c.Attempt < 0 || c.Attempt > math.MaxUint32 {
		return eris.Errorf("seal.Reroute: attempt %d is out of range", c.Attempt)
	}
	p.plain = append(p.plain[:0], make([]byte, namesAt)...)
	binary.BigEndian.PutUint32(p.plain[attemptAt:], uint32(c.Attempt))
	copy(p.plain[bodyAt:], c.Body[:])
	for _, name := range []string{string(c.Service), string(c.Workspace), string(c.Stream), c.Route} {
		if len(name) > maxNameBytes {
			return eris.Errorf("seal.Reroute: name of %d bytes is longer than %d", len(name), maxNameBytes)
		}
		p.plain = binary.BigEndian.AppendUint16(p.plain, uint16(len(name)))
		p.plain = append(p.plain, name...)
	}
	size := headerBytes + len(p.plain) + p.gcm.Overhead()
	p.sealed = make([]byte, 0, size)
	p.text = make([]byte, encoding.EncodedLen(size))
	return nil
}

// Seal returns the id of the token at the position.
func (p *Prepared) Seal(position int, chain Chain) string {
	p.counter++
	binary.BigEndian.PutUint64(p.header[headerBytes-counterBytes:], p.counter)
	binary.BigEndian.PutUint64(p.nonce[nonceBytes-counterBytes:], p.counter)
	binary.BigEndian.PutUint32(p.plain[positionAt:], uint32(position))
	copy(p.plain[chainAt:], chain[:])
	out := append(p.sealed[:0], p.header[:]...)
	out = p.gcm.Seal(out, p.nonce[:], p.plain, p.header[:])
	encoding.Encode(p.text, out)
	return string(p.text)
}

// Open returns the mark in an id; the caller checks it against its own request by Mark.Check.
func (s *Sealer) Open(id string) (Mark, error) {
	if len(id) > maxIDBytes {
		return Mark{}, ErrInvalid
	}
	raw, err := encoding.DecodeString(id)
	if err != nil || len(raw) < headerBytes || raw[0] != formatVersion {
		return Mark{}, ErrInvalid
	}
	header, body := raw[:headerBytes], raw[headerBytes:]
	for _, k := range s.keys {
		if [keyIDBytes]byte(header[1:1+keyIDBytes]) != k.id {
			continue
		}
		gcm, err := newGCM(k.secret, header[1+keyIDBytes:1+keyIDBytes+saltBytes])
		if err != nil {
			return Mark{}, err
		}
		var nonce [nonceBytes]byte
		copy(nonce[nonceBytes-counterBytes:], header[headerBytes-counterBytes:])
		plain, err := gcm.Open(nil, nonce[:], body, header)
		if err != nil {
			return Mark{}, ErrInvalid
		}
		return decode(plain)
	}
	return Mark{}, ErrInvalid
}

func decode(plain []byte) (Mark, error) {
	if len(plain) < namesAt {
		return Mark{}, ErrInvalid
	}
	var names [4]string
	rest := plain[namesAt:]
	for i := range names {
		if len(rest) < 2 {
			return Mark{}, ErrInvalid
		}
		n := int(binary.BigEndian.Uint16(rest))
		if len(rest) < 2+n {
			return Mark{}, ErrInvalid
		}
		names[i], rest = string(rest[2:2+n]), rest[2+n:]
	}
	return NewMark(MarkConfig{
		Service:   table.ServiceID(names[0]),
		Workspace: table.WorkspaceID(names[1]),
		Stream:    table.StreamID(names[2]),
		Route:     names[3],
		Attempt:   int(binary.BigEndian.Uint32(plain[attemptAt:])),
		Position:  int(binary.BigEndian.Uint32(plain[positionAt:])),
		Body:      Digest(plain[bodyAt : bodyAt+sha256.Size]),
		Chain:     Chain(plain[chainAt : chainAt+chainBytes]),
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
