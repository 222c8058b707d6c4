package fleet

import (
	"cmp"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/divide"
)

// newFleet returns the exchange of a VM without seeds.
func newFleet(self unit.NodeID) *Fleet {
	f := &Fleet{
		Self: divide.Candidate{Node: self, Centre: "z"},
		Now:  time.Now,
		Rand: func() float64 { return 0 },
		Log:  slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	f.SetSeeds(nil)
	f.Install(kernel.NewLoop(time.Now), peer.New("127.0.0.1:0"))
	return f
}

// TestCensusCandidates checks that a VM has the candidates of its seeds, and that a seed sends them only to VMs that have
// others.
func TestCensusCandidates(t *testing.T) {
	a, b, c := wireVM{Node: "a", Centre: "z"}, wireVM{Node: "b", Centre: "z"}, wireVM{Node: "c", Centre: "y"}
	tests := []struct {
		name string
		// calls are made to the seed before the VM's first and second census.
		calls  [2][]wireCensusCall
		others []wireCensus
		want   []wireVM
		// same is whether the seed leaves the candidates out in its second response.
		same bool
	}{
		{"nothing changes", [2][]wireCensusCall{{{wireVM: a}, {wireVM: b}}}, nil, []wireVM{a, b}, true},
		{
			"a VM more", [2][]wireCensusCall{{{wireVM: a}}, {{wireVM: b}}}, nil, []wireVM{a, b}, false,
		},
		{
			"a VM less", [2][]wireCensusCall{{{wireVM: a}, {wireVM: b}}, {{wireVM: b, Leaving: true}}}, nil, []wireVM{a}, false,
		},
		{
			"another seed has just started",
			[2][]wireCensusCall{{{wireVM: a}, {wireVM: b}}},
			[]wireCensus{{Count: 1, Candidates: []wireVM{a}}},
			[]wireVM{a, b},
			true,
		},
		{
			"another seed knows more",
			[2][]wireCensusCall{{{wireVM: a}, {wireVM: b}}},
			[]wireCensus{{Count: 3, Candidates: []wireVM{a, b, c}}},
			[]wireVM{a, b, c},
			true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			seed, vm := newFleet("seed"), newFleet("vm")
			call := func(w wireCensusCall) wireCensus {
				reply := make(chan wireCensus, 1)
				seed.onCensusCall(now, censusCall{caller: w.decode(), known: w.Known, leaving: w.Leaving, reply: reply})
				return <-reply
			}
			var answer wireCensus
			for round, calls := range tt.calls {
				for _, w := range calls {
					call(w)
				}
				// A seed lists the same VMs for a while.
				now = now.Add(time.Second)
				answer = call(wireCensusCall{wireVM: a, Known: vm.known.Load()})
				answers := []wireCensus{answer}
				if round == 1 {
					answers = append(answers, tt.others...)
				}
				vm.onCensusAnswers(now, censusAnswers{counts: answers, reply: make(chan time.Duration, 1)})
			}
			var got []wireVM
			for _, m := range vm.candidates {
				got = append(got, encodeVM(m))
			}
			slices.SortFunc(got, func(a, b wireVM) int { return cmp.Compare(a.Node, b.Node) })
			assert.DeepEqual(t, got, tt.want)
			assert.Equal(t, answer.Same, tt.same)
			assert.Equal(t, len(answer.Candidates) > 0, !tt.same)
		})
	}
}
