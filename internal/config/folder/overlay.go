package folder

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// Overlay makes a file that moves the endpoints of built to the given addresses; endpoints without one stay.
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
