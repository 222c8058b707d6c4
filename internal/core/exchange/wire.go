package exchange

import (
	"basilspan/internal/config/folder"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/leaving"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/revision"
)

type (
	// wireHeartbeat is both the request and the response of methodHeartbeat.
	wireHeartbeat struct {
		From     string        `json:"from"`
		Revision uint64        `json:"rev"`
		Digest   string        `json:"sum"`
		Members  []wireMember  `json:"vms"`
		Leaving  []wireLeaving `json:"leaving,omitempty"`
	}

	// wireMember is the record of one entry VM.
	wireMember struct {
		ID          string `json:"id"`
		Incarnation uint64 `json:"inc"`
		Beat        uint64 `json:"beat"`
		Centre      string `json:"dc"`
		Peer        string `json:"peer"`
		State       string `json:"state"`
	}

	// wireLeaving reports that an endpoint is leaving.
	wireLeaving struct {
		Endpoint    string `json:"id"`
		Incarnation uint64 `json:"inc,omitempty"`
		Address     string `json:"addr"`
	}

	// wireFetch requests the configuration in force. The revision is that of the version that the caller wants; the
	// peer may answer with another one.
	wireFetch struct {
		Revision uint64 `json:"rev"`
	}

	// wireConfig is the response of methodConfig.
	wireConfig struct {
		Revision uint64     `json:"rev"`
		Files    []wireFile `json:"files"`
	}

	// wireFile is one file of a configuration.
	wireFile struct {
		Name    string `json:"name"`
		Content string `json:"content"`
	}
)

// encodeHeartbeat encodes what this VM, which peers reach at from, sends to its peers.
func encodeHeartbeat(from unit.Address, state *State) wireHeartbeat {
	w := wireHeartbeat{
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
		notice := wireLeaving{Endpoint: string(s.Endpoint), Incarnation: uint64(s.Incarnation), Address: string(s.Address)}
		w.Leaving = append(w.Leaving, notice)
	}
	return w
}

// decodeHeartbeat decodes the heartbeat of the peer at from. It skips records without an id or an incarnation.
func decodeHeartbeat(from unit.Address, w wireHeartbeat) Heartbeat {
	heartbeat := Heartbeat{
		From:    from,
		Version: revision.Version{Revision: unit.Revision(w.Revision), Digest: revision.Digest(w.Digest)},
	}
	for _, m := range w.Members {
		if m.ID == "" || m.Incarnation == 0 {
			continue
		}
		heartbeat.Records = append(heartbeat.Records, member.Record{
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
		heartbeat.Leaving = append(heartbeat.Leaving, leaving.Sign{
			Endpoint:    unit.EndpointID(s.Endpoint),
			Incarnation: unit.Incarnation(s.Incarnation),
			Address:     unit.Address(s.Address),
		})
	}
	return heartbeat
}

func encodeFiles(files []folder.File) []wireFile {
	all := make([]wireFile, 0, len(files))
	for _, f := range files {
		all = append(all, wireFile{Name: f.Name, Content: string(f.Content)})
	}
	return all
}

// decodeFiles returns a non-nil slice also without files, since nil stands for a failed fetch.
func decodeFiles(files []wireFile) []folder.File {
	all := make([]folder.File, 0, len(files))
	for _, f := range files {
		all = append(all, folder.File{Name: f.Name, Content: []byte(f.Content)})
	}
	return all
}
