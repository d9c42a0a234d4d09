package run

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/outcome"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/journal"
	"waxwingplank/internal/daemon/members"
	"waxwingplank/internal/ingress/caller"
	"waxwingplank/internal/peer/host"
	"waxwingplank/internal/peer/hostpb"
)

// maxHops limits how often a request is forwarded. The hosts' views of the membership can differ for a short time, and
// two hosts that each consider the other one the owner would otherwise forward a request forever.
const maxHops = 2

// peerHandler handles the calls of other hosts.
type peerHandler struct {
	*members.Members
	daemon *Daemon
}

// ReportDemand handles another host's demand for the pipelines that this host owns.
func (p peerHandler) ReportDemand(ctx context.Context, in *hostpb.ReportDemandRequest) (*hostpb.ReportDemandReply, error) {
	return p.daemon.fleet.ReportDemand(ctx, in)
}

func (d *Daemon) peerAddress(id table.HostID) (string, bool) {
	peer, ok := d.members.Host(id)
	return peer.PeerAddress, ok
}

// Forward serves a request that another host has forwarded.
func (p peerHandler) Forward(ctx context.Context, in *hostpb.ForwardRequest, sink *host.Sink) error {
	r, err := http.NewRequestWithContext(ctx, in.GetMethod(), in.GetPath(), bytes.NewReader(in.GetBody()))
	if err != nil {
		return eris.Wrap(err, "run.Forward")
	}
	w := &forwardWriter{sink: sink, header: http.Header{}, in: in}
	for _, h := range in.GetHeaders() {
		if h.GetName() == caller.HeaderRequestID {
			w.request = table.RequestID(h.GetValue())
			continue
		}
		r.Header.Add(h.GetName(), h.GetValue())
	}
	p.daemon.caller.ServeHTTP(w, r)
	return w.finish()
}

// forwardWriter is an http.ResponseWriter that sends the response to the forwarding host in parts.
type forwardWriter struct {
	in      *hostpb.ForwardRequest
	request table.RequestID
	sink    *host.Sink
	header  http.Header
	started bool
	err     error
}

var _ caller.ForwardedWriter = (*forwardWriter)(nil)

// Hops implements caller.Forwarded.
func (w *forwardWriter) Hops() int { return int(w.in.GetHops()) }

// Workspace implements caller.Forwarded.
func (w *forwardWriter) Workspace() table.WorkspaceID { return table.WorkspaceID(w.in.GetWorkspace()) }

// RequestID implements caller.Forwarded.
func (w *forwardWriter) RequestID() table.RequestID { return w.request }

// Header implements http.ResponseWriter.
func (w *forwardWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *forwardWriter) WriteHeader(status int) {
	if w.started {
		return
	}
	w.started = true
	var headers []*hostpb.Header
	for name, values := range w.header {
		for _, v := range values {
			headers = append(headers, &hostpb.Header{Name: name, Value: v})
		}
	}
	w.err = w.sink.Start(status, headers)
}

// Write implements http.ResponseWriter.
func (w *forwardWriter) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	if err := w.sink.Write(data); err != nil {
		w.err = err
		return 0, err
	}
	return len(data), nil
}

// Abort implements caller.Forwarded.
func (w *forwardWriter) Abort(err error) { w.err = err }

// Flush implements http.Flusher. It does nothing, because each part is sent immediately.
func (*forwardWriter) Flush() {}

// SetWriteDeadline is called by http.ResponseController for streams. It does nothing, because the sink has its own deadline.
func (*forwardWriter) SetWriteDeadline(time.Time) error { return nil }

func (w *forwardWriter) finish() error {
	w.WriteHeader(http.StatusOK)
	return w.err
}

// Forward implements caller.Backend.
func (d *Daemon) Forward(w http.ResponseWriter, r *http.Request, body []byte, req caller.Request, to table.HostID) (bool, error) {
	d.inflight.calls.Add(1)
	defer d.inflight.calls.Add(-1)
	peer, ok := d.members.Host(to)
	if !ok {
		return false, d.notForwarded(req, to, false)
	}
	in := &hostpb.ForwardRequest{
		Method: r.Method, Path: r.URL.RequestURI(), Body: body,
		Hops: uint32(req.Hops + 1), Workspace: string(req.Workspace),
		Headers: []*hostpb.Header{{Name: caller.HeaderRequestID, Value: string(req.ID)}},
	}
	for _, name := range []string{
		caller.HeaderIdempotencyKey, caller.HeaderAttempt, caller.HeaderTimeout, caller.HeaderKind, caller.HeaderLastEventID, "Content-Type", "Accept",
	} {
		if name == caller.HeaderAttempt && !d.isFirstSend(req) {
			continue
		}
		if v := r.Header.Get(name); v != "" {
			in.Headers = append(in.Headers, &hostpb.Header{Name: name, Value: v})
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), d.settings.MaxRequestTime())
	defer cancel()
	response, err := d.peers.Forward(ctx, peer.PeerAddress, in)
	if err != nil {
		var failed *host.Error
		sent := !errors.As(err, &failed) || failed.MayHaveSent()
		d.journalPassOnFailed(req, to, err)
		return false, d.notForwarded(req, to, sent)
	}
	defer response.Close()
	started, err := copyAnswer(w, response)
	if err != nil && !started {
		d.journalPassOnFailed(req, to, err)
		return false, d.notForwarded(req, to, true)
	}
	return started, err
}

// peerResponse is an HTTP response that is received in parts.
type peerResponse interface {
	Status() int
	Headers() []*hostpb.Header
	Next() ([]byte, error)
}

// copyAnswer copies a response to w and reports whether it has written any of it. It writes nothing before the first
// part of the body has arrived or the response has ended, so that a response that fails earlier can still be replaced.
func copyAnswer(w http.ResponseWriter, response peerResponse) (started bool, err error) {
	start := func() {
		for _, h := range response.Headers() {
			w.Header().Set(h.GetName(), h.GetValue())
		}
		w.WriteHeader(response.Status())
		started = true
	}
	ctl := http.NewResponseController(w)
	for {
		part, err := response.Next()
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			return started, eris.Wrap(err, "run.copyAnswer")
		}
		if !started {
			start()
		}
		if ended {
			return true, nil
		}
		if _, err := w.Write(part); err != nil {
			return true, eris.Wrap(err, "run.copyAnswer")
		}
		_ = ctl.Flush()
	}
}

func (d *Daemon) journalPassOnFailed(req caller.Request, to table.HostID, err error) {
	d.journal.Decision(req.ID, "pass_on_failed", journal.Fields{"to": string(to), "error": err.Error()})
}

func (d *Daemon) notForwarded(req caller.Request, to table.HostID, sent bool) error {
	return outcome.NewRefusal(outcome.RefusalConfig{
		Code: outcome.NoCapacity, Message: "host " + string(to) + ", which should serve the request, could not be reached",
		Facts: outcome.Facts{FirstSend: d.isFirstSend(req), BytesSent: sent}, RetryAfter: time.Second,
	})
}

// marks sends crash marks to peers.
type marks struct{ members *members.Members }

func (m marks) Spread(ctx context.Context, list []quarantine.Mark) error {
	var out []*hostpb.CrashMark
	now := time.Now()
	for _, x := range list {
		f := x.Fingerprint()
		out = append(out, &hostpb.CrashMark{
			Fingerprint: f[:], Crash: string(x.Crash()), AgeMs: now.Sub(x.At()).Milliseconds(), Cleared: x.Cleared(), Late: x.Late(),
		})
	}
	m.members.BroadcastMarks(ctx, out)
	return ctx.Err()
}

func (d *Daemon) receiveMark(in *hostpb.CrashMark) {
	var f quarantine.Fingerprint
	if len(in.GetFingerprint()) != len(f) {
		return
	}
	copy(f[:], in.GetFingerprint())
	at := time.Now().Add(-time.Duration(in.GetAgeMs()) * time.Millisecond)
	d.loop.AddMarks([]quarantine.Mark{quarantine.NewMark(quarantine.MarkConfig{
		Fingerprint: f, Crash: quarantine.CrashID(in.GetCrash()), At: at, Cleared: in.GetCleared(), Late: in.GetLate(),
	})})
}
