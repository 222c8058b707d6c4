package exchange

import (
	"basilspan/internal/config/folder"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/leaving"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/revision"
)

type (
	// wireBeat is sent and answered by methodBeat.
	wireBeat struct {
		From     string       `json:"from"`
		Revision uint64       `json:"rev"`
		Digest   string       `json:"sum"`
		Members  []wireMember `json:"vms"`
		Leaving  []wireSign   `json:"leaving,omitempty"`
	}

	wireMember struct {
		ID          string `json:"id"`
		Incarnation uint64 `json:"inc"`
		Beat        uint64 `json:"beat"`
		Centre      string `json:"dc"`
		Peer        string `json:"peer"`
		State       string `json:"state"`
	}

	wireSign struct {
		Endpoint    string `json:"id"`
		Incarnation uint64 `json:"inc,omitempty"`
		Address     string `json:"addr"`
	}

	// wireWanted asks for the configuration in force; the revision says which one was heard of.
	wireWanted struct {
		Revision uint64 `json:"rev"`
	}

	wireConfig struct {
		Revision uint64     `json:"rev"`
		Files    []wireFile `json:"files"`
	}

	wireFile struct {
		Name    string `json:"name"`
		Content string `json:"content"`
	}
)

func encodeBeat(from unit.Address, state *State) wireBeat {
	w := wireBeat{
		From:     string(from),
		Revision: uint64(state.Config.Version.Revision),
		Digest:   string(state.Config.Version.Digest),
		Members:  make([]wireMember, 0, len(state.Records)),
	}
	for _, r := range state.Records {
		w.Members = append(w.Members, wireMember{
			ID:          string(r.ID),
			Incarnation: uint64(r.Incarnation),
			Beat:        uint64(r.Beat),
			Centre:      string(r.Centre),
			Peer:        string(r.Peer),
			State:       string(r.State),
		})
	}
	for _, s := range state.Leaving {
		sign := wireSign{Endpoint: string(s.Endpoint), Incarnation: uint64(s.Incarnation), Address: string(s.Address)}
		w.Leaving = append(w.Leaving, sign)
	}
	return w
}

// decodeBeat reads a heartbeat; records without an id or incarnation are passed over.
func decodeBeat(from unit.Address, w wireBeat) Heartbeat {
	beat := Heartbeat{
		From:    from,
		Version: revision.Version{Revision: unit.Revision(w.Revision), Digest: revision.Digest(w.Digest)},
	}
	for _, m := range w.Members {
		if m.ID == "" || m.Incarnation == 0 {
			continue
		}
		beat.Records = append(beat.Records, member.Record{
			Member: member.Member{
				ID:          unit.NodeID(m.ID),
				Incarnation: unit.Incarnation(m.Incarnation),
				Centre:      unit.CentreName(m.Centre),
				Peer:        unit.Address(m.Peer),
				State:       member.State(m.State),
			},
			Beat: member.Beat(m.Beat),
		})
	}
	for _, s := range w.Leaving {
		beat.Leaving = append(beat.Leaving, leaving.Sign{
			Endpoint:    unit.EndpointID(s.Endpoint),
			Incarnation: unit.Incarnation(s.Incarnation),
			Address:     unit.Address(s.Address),
		})
	}
	return beat
}

func encodeFiles(files []folder.File) []wireFile {
	all := make([]wireFile, 0, len(files))
	for _, f := range files {
		all = append(all, wireFile{Name: f.Name, Content: string(f.Content)})
	}
	return all
}

func decodeFiles(files []wireFile) []folder.File {
	all := make([]folder.File, 0, len(files))
	for _, f := range files {
		all = append(all, folder.File{Name: f.Name, Content: []byte(f.Content)})
	}
	return all
}
