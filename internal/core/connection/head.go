package connection

// lineBytes is what a header line is counted for beyond its bytes: package net/textproto counts as much for the entry of a line
// in the map of a header.
const lineBytes = 200

// opaqueFactor is what a byte of an encrypted connection counts for: it is held encrypted and decrypted.
const opaqueFactor = 2

// head counts the bytes and lines of one request head.
type head struct {
	bytes int64
	lines int64
	// inLine is true once the current line has a byte that is no part of its end.
	inLine bool
	// complete is true once the empty line that ends the head has come.
	complete bool
}

// add counts what was received and returns how much of it belongs to the head. The rest is of the body or the next request.
func (h *head) add(p []byte) int {
	for i, b := range p {
		if h.complete {
			return i
		}
		h.bytes++
		switch {
		case b == '\n' && h.inLine:
			h.lines++
			h.inLine = false
		case b == '\n':
			// Empty lines before a request line end no head.
			h.complete = h.lines > 0
		case b != '\r':
			h.inLine = true
		}
	}
	return len(p)
}

// memory returns about how much memory the head takes.
func (h *head) memory() int64 { return h.bytes + h.lines*lineBytes }
