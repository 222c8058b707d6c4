package replay

import (
	"fmt"
	"reflect"
	"strings"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/revision"
)

// describeOffer returns the configuration in force before an offer, the verdict and the revision in force after it.
func describeOffer(before ConfigVersion, verdict revision.Verdict, after unit.Revision) string {
	return fmt.Sprintf("revision %d %q held, verdict %d, revision %d in force",
		before.Revision, before.Digest, verdict, after)
}

// describeActions returns actions as text that shows every field, so that the text differs whenever the actions do.
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

// describeAnswerDifference returns the first field in which two answers differ, with the value of each, or two empty
// texts if they are equal. Fields are printed under their Go names.
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

// describeField returns a field of an answer as text, in which an empty slice equals a nil one.
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
