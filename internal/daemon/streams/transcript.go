package streams

// transcript holds delivered tokens in one buffer. With one string for each token, 650 streams of 4,096 tokens
// would exceed the 32 MB available on a host.
type transcript struct {
	data []byte
	ends []uint32
}

func (t *transcript) add(text string) {
	t.data = append(t.data, text...)
	t.ends = append(t.ends, uint32(len(t.data)))
}

func (t *transcript) clear() { *t = transcript{} }

// tokens returns the first n tokens.
func (t *transcript) tokens(n int) []string {
	n = min(n, len(t.ends))
	if n == 0 {
		return nil
	}
	all := string(t.data[:t.ends[n-1]])
	out := make([]string, n)
	from := uint32(0)
	for i, end := range t.ends[:n] {
		out[i], from = all[from:end], end
	}
	return out
}
