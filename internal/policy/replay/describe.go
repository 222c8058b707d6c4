package replay

import (
	"fmt"
	"reflect"
	"strings"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/revision"
)

// describeOffer gives what was held, the verdict and what is in force afterwards.
func describeOffer(before ConfigVersion, verdict revision.Verdict, after unit.Revision) string {
	return fmt.Sprintf("revision %d %q held, verdict %d, revision %d in force", before.Revision, before.Digest, verdict, after)
}

// describeActions gives actions as text in which every field of each shows.
func describeActions(actions []fanout.Action) string {
	if len(actions) == 0 {
		return "no action"
	}
	texts := make([]string, 0, len(actions))
	for _, a := range actions {
		texts = append(texts, describeKind(a.Kind)+" "+fmt.Sprintf("%+v", a.Attempt))
	}
	return strings.Join(texts, "; ")
}

func describeKind(kind fanout.ActionKind) string {
	switch kind {
	case fanout.ActionSend:
		return "send"
	case fanout.ActionCancel:
		return "cancel"
	default:
		return fmt.Sprintf("action %d", kind)
	}
}

// describeAnswerDifference gives the first field in which two answers differ, or two equal texts.
func describeAnswerDifference(expected, got fanout.Answer) (expectedText, gotText string) {
	a, b := reflect.ValueOf(expected), reflect.ValueOf(got)
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		x, y := describeField(a.Field(i)), describeField(b.Field(i))
		if x != y {
			return name + " " + x, name + " " + y
		}
	}
	return "", ""
}

// describeField gives a field of an answer as text; an empty slice is the same as none.
func describeField(v reflect.Value) string {
	if parts, ok := v.Interface().([]fanout.Part); ok {
		texts := make([]string, 0, len(parts))
		for _, p := range parts {
			body := p.Body
			p.Body = nil
			texts = append(texts, fmt.Sprintf("%+v %q", p, body))
		}
		return "[" + strings.Join(texts, ", ") + "]"
	}
	return fmt.Sprintf("%+v", v.Interface())
}
