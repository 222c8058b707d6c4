package folder

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// Overlay returns a configuration file that overrides the addresses of endpoints of built. Endpoints that addresses
// does not have keep theirs. It moves a configuration to the loopback addresses of simulated endpoints.
func Overlay(name string, built *catalog.Catalog, addresses map[unit.EndpointID]unit.Address) (File, error) {
	f := wireFile{Searches: make(map[string]*wireSearch)}
	for _, s := range built.Searches {
		moved := make(map[string]*wireEndpoint)
		for _, e := range s.Endpoints {
			if address, ok := addresses[e.ID]; ok {
				text := string(address)
				moved[string(e.ID)] = &wireEndpoint{Address: &text}
			}
		}
		f.Searches[string(s.Name)] = &wireSearch{Endpoints: moved}
	}
	content, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return File{}, errors.Wrap(err, "encode the addresses")
	}
	return File{Name: name, Content: content}, nil
}
