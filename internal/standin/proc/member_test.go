package proc

import (
	"testing"
	"time"

	"basilspan/internal/config/example"
	"basilspan/internal/policy/member"
)

// silenceTimeout bounds the wait until a silent VM counts as dead.
const silenceTimeout = 2 * member.DeadAfter

// seesState returns a check that a node sees another one in a state.
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

// TestMembersFollowHeartbeats makes one of three nodes fail in several ways. The others must detect its state from
// missing heartbeats, although the platform's list still shows it as live unless the test changes the list.
func TestMembersFollowHeartbeats(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 3})
	others, one := d.Nodes[:2], d.Nodes[2]
	eventuallyOnEach(t, readyTimeout, others, "the node is live", seesState(one, member.StateLive))
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
		{"the stale list has it as live", func() { d.SetPlatform("vm=e3&state=live") }, []member.State{member.StateLeaving}},
		{"restarted after a planned stop", func() {
			one.Wait()
			d.StartNode(one)
		}, []member.State{member.StateLive}},
		{"the list has it as leaving", func() { d.SetPlatform("vm=e3&state=leaving") }, []member.State{member.StateLeaving}},
		{"the list has it as live again", func() {
			d.SetPlatform("vm=e3&state=live")
			time.Sleep(settleTime)
		}, []member.State{member.StateLeaving}},
		{"killed and restarted", func() {
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
