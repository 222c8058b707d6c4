package strict

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type wireSample struct {
	Name  string                 `json:"name"`
	Count int64                  `json:"count,omitempty"`
	Turn  uint64                 `json:"turn"`
	On    bool                   `json:"on"`
	Body  []byte                 `json:"body"`
	Tags  []string               `json:"tags"`
	More  map[string]*wireSample `json:"more"`
}

func TestDecode(t *testing.T) {
	tests := []struct {
		name    string
		content string
		want    wireSample
		problem string
	}{
		{
			"every kind", `{"name": "a", "count": -3, "turn": 18446744073709551615, "on": true, "body": "aGk=", "tags": ["x"], "more": {"b": {"name": "c"}}}`,
			wireSample{
				Name: "a", Count: -3, Turn: 1<<64 - 1, On: true, Body: []byte("hi"), Tags: []string{"x"},
				More: map[string]*wireSample{"b": {Name: "c"}},
			},
			"",
		},
		{"null in a map", `{"more": {"b": null}}`, wireSample{More: map[string]*wireSample{"b": nil}}, ""},
		{"null elsewhere", `{"name": null}`, wireSample{}, "1: name: must be a string, not null"},
		{"no bytes", `{"name": "a", "body": null}`, wireSample{Name: "a"}, ""},
		{"no base64", `{"body": "&"}`, wireSample{Body: []byte{}}, "1: body: must be bytes in base64"},
		{"too large", `{"count": 9223372036854775808}`, wireSample{Count: 9223372036854775807}, "1: count: must be a whole number"},
		{"below zero", `{"turn": -1}`, wireSample{}, "1: turn: must be a whole number of 0 or more, not -1"},
		{"unknown", "{\n\"nam\": 1}", wireSample{}, "2: nam: unknown key"},
		{"repeated", `{"on": true, "on": false}`, wireSample{On: true}, "1: on: the key stands twice, first on line 1"},
		{"trailing", `{} {}`, wireSample{}, "1: : is not valid JSON: there is more after its end"},
		{"cut", "{\n\n\"on\": tr", wireSample{}, "3: : is not valid JSON: it ends too early"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got wireSample
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
