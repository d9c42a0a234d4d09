package table

// HostID identifies an entry host.
type HostID string

// EndpointID identifies a model engine or an instance of a plain service.
type EndpointID string

// WorkspaceID identifies a workspace.
type WorkspaceID string

// ServiceID is the name of a service.
type ServiceID string

// StreamID identifies one response stream across all its attempts.
type StreamID string

// RequestID identifies one copy of a request on one host.
type RequestID string
