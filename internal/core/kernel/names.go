package kernel

// The names of the services of an entry VM.
const (
	// ServiceSettings is the settings of the process.
	ServiceSettings Name = "settings"
	// ServiceControl is the event loop of the control goroutine.
	ServiceControl Name = "control"
	// ServiceViews is the store of published views.
	ServiceViews Name = "views"
	// ServiceMetrics is the set of counters and histograms.
	ServiceMetrics Name = "metrics"
	// ServiceTrace is the recorder of traces.
	ServiceTrace Name = "trace"
	// ServiceEndpoint is the client of the endpoints.
	ServiceEndpoint Name = "endpoint"
	// ServiceReplyMemory, ServiceRequestMemory, ServicePeerMemory and ServiceProbeMemory bound what the endpoints' replies,
	// the callers' requests, the messages of other entry VMs, and probes with their responses take.
	ServiceReplyMemory   Name = "reply-memory"
	ServiceRequestMemory Name = "request-memory"
	ServicePeerMemory    Name = "peer-memory"
	ServiceProbeMemory   Name = "probe-memory"
	// ServicePeer is the RPC link to the other entry VMs.
	ServicePeer Name = "peer"
	// ServiceExchange exchanges state with the other entry VMs.
	ServiceExchange Name = "exchange"
	// ServicePlatform watches the platform's configuration and list of VMs.
	ServicePlatform Name = "platform"
	// ServiceRoute sends attempts to endpoints, directly or through the VM that owns the endpoint.
	ServiceRoute Name = "route"
	// ServiceQuery runs queries.
	ServiceQuery Name = "query"
	// ServiceCaller is the port for callers.
	ServiceCaller Name = "caller"
	// ServiceOperator is the port for operators.
	ServiceOperator Name = "operator"
	// ServiceProbe is the port for the load balancer's readiness probe.
	ServiceProbe Name = "probe"
	// ServiceMetricsPort is the port that serves metrics.
	ServiceMetricsPort Name = "metrics-port"
	// ServiceDispatch serves requests according to the routing table.
	ServiceDispatch Name = "dispatch"
	// ServiceDiscovery is the discovery state: the routing table, the known endpoints and the other entry VMs.
	ServiceDiscovery Name = "outlook"
	// ServiceRegistry is the client of the registry.
	ServiceRegistry Name = "registry"
	// ServiceTables follows the published routing tables.
	ServiceTables Name = "tables"
	// ServiceEndpoints follows the published registrations of endpoints.
	ServiceEndpoints Name = "endpoints"
)
