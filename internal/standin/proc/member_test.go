package proc

import (
	"testing"
	"time"

	"basilspan/internal/config/example"
	"basilspan/internal/policy/member"
)

// silenceTimeout bounds the wait until a silent VM counts as lost.
const silenceTimeout = 2 * member.DeadAfter

// seesState says whether a node has another one in that state.
func seesState(other *Node, want member.State) func(n *Node) bool {
	return func(n *Node) bool {
		for _, m := range readStatus(n).Members {
			if m.ID == other.Name {
				return m.State == string(want)
			}
		}
		return false
	}
}

// TestMembersFollowHeartbeats has one of three nodes fail in several ways, while the platform's list goes on showing
// it as live unless the test steers it.
func TestMembersFollowHeartbeats(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 3})
	others, one := d.Nodes[:2], d.Nodes[2]
	eventuallyOnEach(t, readyTimeout, others, "it is live", seesState(one, member.StateLive))
	tests := []struct {
		name string
		do   func()
		want []member.State
	}{
		{"frozen", one.Freeze, []member.State{member.StateSuspect}},
		{"thawed", one.Thaw, []member.State{member.StateLive}},
		{"killed", one.Kill, []member.State{member.StateSuspect, member.StateDead}},
		{"started again", func() { d.StartNode(one) }, []member.State{member.StateLive}},
		{"stopped as planned", func() { one.Terminate() }, []member.State{member.StateLeaving}},
		{"the stale list says live", func() { d.SetPlatform("vm=e3&state=live") }, []member.State{member.StateLeaving}},
		{"started again after a planned stop", func() {
			one.Wait()
			d.StartNode(one)
		}, []member.State{member.StateLive}},
		{"the list says leaving", func() { d.SetPlatform("vm=e3&state=leaving") }, []member.State{member.StateLeaving}},
		{"the list says live again", func() {
			d.SetPlatform("vm=e3&state=live")
			time.Sleep(settleTime)
		}, []member.State{member.StateLeaving}},
		{"killed and started again", func() {
			one.Kill()
			d.StartNode(one)
		}, []member.State{member.StateLive}},
	}
	for _, tt := range tests {
		tt.do()
		for _, want := range tt.want {
			eventuallyOnEach(t, silenceTimeout, others, tt.name+": "+string(want), seesState(one, want))
		}
	}
	eventuallyOnEach(t, silenceTimeout, []*Node{one}, "the others are live", seesState(others[0], member.StateLive))
}
