package strict

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 64

// NameRule is the problem text for an invalid name.
const NameRule = `a name has 1 to 64 letters, digits, "-" or "_"`

// NameProblem returns "" for a valid name and NameRule for others. Valid names can be used as they are in headers,
// metric names and field paths.
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
