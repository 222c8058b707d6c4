package kernel

// The names of the services of an entry VM.
const (
	// ServiceSettings is the process's own settings.
	ServiceSettings Name = "settings"
	// ServiceControl is the control goroutine.
	ServiceControl Name = "control"
	// ServiceViews is the store of published views.
	ServiceViews Name = "views"
	// ServiceMetrics is the set of counters and histograms.
	ServiceMetrics Name = "metrics"
	// ServiceTrace is the recorder of traces.
	ServiceTrace Name = "trace"
	// ServiceEndpoint is the client of the endpoints.
	ServiceEndpoint Name = "endpoint"
	// ServicePeer is the link to the other entry VMs.
	ServicePeer Name = "peer"
	// ServiceExchange tells the other entry VMs what this one knows.
	ServiceExchange Name = "exchange"
	// ServicePlatform is the watcher of the platform's service.
	ServicePlatform Name = "platform"
	// ServiceRoute sends attempts to their endpoints.
	ServiceRoute Name = "route"
	// ServiceQuery runs queries.
	ServiceQuery Name = "query"
	// ServiceCaller is the port for callers.
	ServiceCaller Name = "caller"
	// ServiceOperator is the port for operators.
	ServiceOperator Name = "operator"
	// ServiceProbe is the port for the balancer.
	ServiceProbe Name = "probe"
	// ServiceMetricsPort is the port for metrics.
	ServiceMetricsPort Name = "metrics-port"
	// ServiceDispatch serves requests along a routing table.
	ServiceDispatch Name = "dispatch"
	// ServiceDiscovery is the belief about published routes and endpoints.
	ServiceDiscovery Name = "outlook"
	// ServiceRegistry is the client of the registry.
	ServiceRegistry Name = "registry"
	// ServiceTables follows the published routing tables.
	ServiceTables Name = "tables"
	// ServiceEndpoints follows the endpoints' registrations.
	ServiceEndpoints Name = "endpoints"
)
