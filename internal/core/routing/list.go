package routing

import "waxwingplank/internal/core/table"

// Service returns the service.
func (p Pipelines) Service() table.ServiceID { return p.service }

// List returns the pipelines; callers must not change it.
func (p Pipelines) List() []PipelineConfig { return p.list }

// List returns the grants; callers must not change it.
func (g Grants) List() []GrantConfig { return g.list }

// List returns the load reports; callers must not change it.
func (l Load) List() []LoadConfig { return l.list }

// Endpoint returns the endpoint.
func (c CacheEvents) Endpoint() table.EndpointID { return c.endpoint }

// List returns the changes; callers must not change it.
func (c CacheEvents) List() []CacheEventConfig { return c.list }
