package script

import (
	"io"
	"net/http"
)

// WriteRaw writes a text, byte for byte, in place of the response to a request of net/http's server, and closes the connection.
func WriteRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	// The client may close the connection first.
	_, _ = io.WriteString(conn, text)
}
