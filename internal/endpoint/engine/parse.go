package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"waxwingplank/internal/core/table"
)

// parser decodes lines as events. It caches the values that consecutive tokens of a stream share, so
// that a token costs one allocation for its text and one for the event.
type parser struct {
	stream    table.StreamID
	layersRaw []byte
	layers    []table.Layers
}

func (p *parser) parse(line []byte) (Event, error) {
	if t, ok := p.fastToken(line); ok {
		return t, nil
	}
	return p.parseJSON(line)
}

type wireToken struct {
	Stream   *string `json:"stream"`
	Attempt  *int    `json:"attempt"`
	Position *int    `json:"position"`
	Text     string  `json:"text"`
	Layers   []pair  `json:"layers"`
}

// pair is the JSON form of a half-open range. It has its own decoder because encoding/json decodes an
// array of any length into a [2]int, and would accept a receipt with a malformed range.
type pair [2]int

// UnmarshalJSON implements json.Unmarshaler.
func (p *pair) UnmarshalJSON(b []byte) error {
	var numbers []int
	if err := json.Unmarshal(b, &numbers); err != nil {
		return err
	}
	if len(numbers) != len(p) {
		return fmt.Errorf("layer range of %d numbers", len(numbers))
	}
	copy(p[:], numbers)
	return nil
}

type wireLine struct {
	Token     *wireToken `json:"token"`
	Heartbeat *struct{}  `json:"heartbeat"`
	Done      *struct {
		Tokens       *int   `json:"tokens"`
		FinishReason string `json:"finish_reason"`
	} `json:"done"`
	Error *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Stage   string `json:"stage"`
	} `json:"error"`
}

// parseJSON decodes any valid line with encoding/json.
func (p *parser) parseJSON(line []byte) (Event, error) {
	var w wireLine
	if err := json.Unmarshal(line, &w); err != nil {
		return nil, err
	}
	switch {
	case w.Token != nil:
		return p.token(*w.Token)
	case w.Heartbeat != nil:
		return Heartbeat{}, nil
	case w.Done != nil:
		if w.Done.Tokens == nil || *w.Done.Tokens < 0 {
			return nil, errors.New("done without a token count")
		}
		return Done{tokens: *w.Done.Tokens, finishReason: w.Done.FinishReason}, nil
	case w.Error != nil:
		return Failure{code: w.Error.Code, message: w.Error.Message, stage: w.Error.Stage}, nil
	}
	return nil, errors.New("line of no known kind")
}

func (p *parser) token(w wireToken) (Event, error) {
	if w.Stream == nil || w.Attempt == nil || w.Position == nil {
		return nil, errors.New("token without a stream, attempt or position")
	}
	if *w.Position < 0 || *w.Attempt < 0 {
		return nil, fmt.Errorf("token with position %d, attempt %d", *w.Position, *w.Attempt)
	}
	layers := make([]table.Layers, len(w.Layers))
	for i, l := range w.Layers {
		layers[i] = table.Layers{From: l[0], To: l[1]}
	}
	return Token{
		stream: table.StreamID(*w.Stream), attempt: *w.Attempt, position: *w.Position,
		text: w.Text, layers: layers,
	}, nil
}

var (
	prefixStream   = []byte(`{"token":{"stream":"`)
	prefixAttempt  = []byte(`,"attempt":`)
	prefixPosition = []byte(`,"position":`)
	prefixText     = []byte(`,"text":"`)
	prefixLayers   = []byte(`,"layers":`)
	suffixToken    = []byte(`]}}`)
)

// fastToken decodes a token whose fields are in the documented order, without spaces or escapes. It
// rejects anything else, and parse then uses encoding/json. Both must decode a line to the same event.
func (p *parser) fastToken(line []byte) (Token, bool) {
	var t Token
	rest, ok := bytes.CutPrefix(line, prefixStream)
	if !ok {
		return t, false
	}
	stream, rest, ok := cutText(rest)
	if !ok {
		return t, false
	}
	if t.attempt, rest, ok = cutNumber(rest, prefixAttempt); !ok {
		return t, false
	}
	if t.position, rest, ok = cutNumber(rest, prefixPosition); !ok {
		return t, false
	}
	if rest, ok = bytes.CutPrefix(rest, prefixText); !ok {
		return t, false
	}
	text, rest, ok := cutText(rest)
	if !ok {
		return t, false
	}
	if rest, ok = bytes.CutPrefix(rest, prefixLayers); !ok || !bytes.HasSuffix(rest, suffixToken) {
		return t, false
	}
	if t.layers, ok = p.sharedLayers(rest[:len(rest)-2]); !ok {
		return t, false
	}
	if string(p.stream) != string(stream) {
		p.stream = table.StreamID(stream)
	}
	t.stream = p.stream
	t.text = string(text)
	return t, true
}

// sharedLayers decodes a receipt, or returns that of the previous token if the bytes are equal.
func (p *parser) sharedLayers(raw []byte) ([]table.Layers, bool) {
	if p.layers != nil && bytes.Equal(raw, p.layersRaw) {
		return p.layers, true
	}
	var pairs []pair
	if err := json.Unmarshal(raw, &pairs); err != nil {
		return nil, false
	}
	layers := make([]table.Layers, len(pairs))
	for i, l := range pairs {
		layers[i] = table.Layers{From: l[0], To: l[1]}
	}
	p.layersRaw = append(p.layersRaw[:0], raw...)
	p.layers = layers
	return layers, true
}

// cutText returns the text up to the closing quote and the bytes after it. It rejects escapes, control
// characters and bytes outside ASCII, which might not be valid UTF-8, and leaves them to encoding/json.
func cutText(b []byte) (text, rest []byte, ok bool) {
	for i, c := range b {
		if c == '"' {
			return b[:i], b[i+1:], true
		}
		if c == '\\' || c < 0x20 || c >= 0x80 {
			return nil, nil, false
		}
	}
	return nil, nil, false
}

// maxDigits ensures that a number fits in a 64-bit int.
const maxDigits = 18

// cutNumber returns the decimal number after the prefix and the bytes after it. It rejects leading zeros,
// signs and numbers of more than maxDigits digits.
func cutNumber(b, prefix []byte) (n int, rest []byte, ok bool) {
	b, ok = bytes.CutPrefix(b, prefix)
	if !ok {
		return 0, nil, false
	}
	i := 0
	for i < len(b) && i < maxDigits && b[i] >= '0' && b[i] <= '9' {
		n = n*10 + int(b[i]-'0')
		i++
	}
	if i == 0 || (b[0] == '0' && i > 1) {
		return 0, nil, false
	}
	return n, b[i:], true
}
