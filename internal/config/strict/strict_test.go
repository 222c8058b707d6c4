package strict

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type wireThing struct {
	Name  string                `json:"name"`
	Count int64                 `json:"count,omitempty"`
	Turn  uint64                `json:"turn"`
	On    bool                  `json:"on"`
	Body  []byte                `json:"body"`
	Tags  []string              `json:"tags"`
	More  map[string]*wireThing `json:"more"`
}

func TestDecode(t *testing.T) {
	tests := []struct {
		name    string
		content string
		want    wireThing
		problem string
	}{
		{
			"every kind", `{"name": "a", "count": -3, "turn": 18446744073709551615, "on": true, "body": "aGk=", "tags": ["x"], "more": {"b": {"name": "c"}}}`,
			wireThing{
				Name: "a", Count: -3, Turn: 1<<64 - 1, On: true, Body: []byte("hi"), Tags: []string{"x"},
				More: map[string]*wireThing{"b": {Name: "c"}},
			},
			"",
		},
		{"null in a map", `{"more": {"b": null}}`, wireThing{More: map[string]*wireThing{"b": nil}}, ""},
		{"null elsewhere", `{"name": null}`, wireThing{}, "1: name: must be a string, not null"},
		{"no bytes", `{"name": "a", "body": null}`, wireThing{Name: "a"}, ""},
		{"no base64", `{"body": "&"}`, wireThing{Body: []byte{}}, "1: body: must be bytes in base64"},
		{"too large", `{"count": 9223372036854775808}`, wireThing{Count: 9223372036854775807}, "1: count: must be a whole number"},
		{"below zero", `{"turn": -1}`, wireThing{}, "1: turn: must be a whole number of 0 or more, not -1"},
		{"unknown", "{\n\"nam\": 1}", wireThing{}, "2: nam: unknown key"},
		{"repeated", `{"on": true, "on": false}`, wireThing{On: true}, "1: on: the key stands twice, first on line 1"},
		{"trailing", `{} {}`, wireThing{}, "1: : is not valid JSON: there is more after its end"},
		{"cut", "{\n\n\"on\": tr", wireThing{}, "3: : is not valid JSON: it ends too early"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got wireThing
			r := Decode([]byte(tt.content), &got, Options{})
			assert.DeepEqual(t, got, tt.want)
			assert.Equal(t, len(r.Problems) > 0, tt.problem != "", "%v", r.Problems)
			for _, p := range r.Problems {
				text := strings.Join([]string{string(rune('0' + p.Line)), p.Field, p.Text}, ": ")
				assert.Assert(t, strings.HasPrefix(text, tt.problem), text)
			}
		})
	}
}
