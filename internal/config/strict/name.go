package strict

// maxNameBytes is the longest name, in bytes.
const maxNameBytes = 64

// NameRule is the text for a name that NameFault refuses.
const NameRule = `a name has 1 to 64 letters, digits, "-" or "_"`

// NameProblem gives NameRule for a name that may not stand in headers, metrics and field paths, and "" for others.
func NameProblem(name string) string {
	if name == "" || len(name) > maxNameBytes {
		return NameRule
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return NameRule
		}
	}
	return ""
}
