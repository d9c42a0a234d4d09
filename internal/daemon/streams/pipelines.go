package streams

import (
	"context"
	"time"

	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/table"
)

// Pipelines assigns pipelines to streams; it is safe for concurrent use.
type Pipelines interface {
	// Acquire waits for a pipeline with a free slot; a refusal is an *outcome.Refusal.
	Acquire(ctx context.Context, req PipelineRequest) (Grant, error)
	// Release returns the slot of a grant; it must be called exactly once for each grant.
	Release(g Grant)
}

// PipelineRequest describes the pipeline that a stream needs.
type PipelineRequest struct {
	Stream    table.StreamID
	Service   table.ServiceID
	Workspace table.WorkspaceID
	Kind      string
	// Preamble and Prompt let the router prefer an engine that caches their prefix.
	Preamble     string
	Prompt       string
	Priority     int
	WaitingSince time.Time
	// Recovery is true if the stream has already run.
	Recovery bool
	// PreferredPipeline names the pipeline that may still hold the state of the stream; empty means none.
	PreferredPipeline string
	// Avoid lists endpoints on which the stream has failed; they are used only if there are no others.
	Avoid []table.EndpointID
	// CrashMarks lists the crashes with which the request is marked.
	CrashMarks []quarantine.CrashID
	// AvoidMarked lists endpoints that run another request marked with one of these crashes. A second crash there
	// would mark both requests, so these endpoints are the last choice, but better than no pipeline.
	AvoidMarked []table.EndpointID
	// Handle is the Handle of the RequestConfig.
	Handle any
}

// Grant is a slot on a pipeline.
type Grant struct {
	Pipeline table.Pipeline
	// FreeSlots is the number of free slots before this grant.
	FreeSlots int
	// Handle is private to the Pipelines that made the grant.
	Handle any
}
