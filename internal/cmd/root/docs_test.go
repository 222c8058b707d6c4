package root

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/process"
	"basilspan/internal/core/unit"
)

// repoRoot is the repository's folder.
const repoRoot = "../../.."

// TestDocs holds the pages against the code; each check gives what is missing.
func TestDocs(t *testing.T) {
	tests := []struct {
		name  string
		check func(t *testing.T) []string
	}{
		{"RESULTS has every result code and no other", resultCodes},
		{"RESULTS has every exit code and no other", exitCodes},
		{"CONFIG has every flag of serve with its variable and default", serveFlags},
		{"OPERATIONS has every counter", counters},
		{"PROTOCOLS has every method between entry VMs", peerMethods},
		{"PROTOCOLS has every header of a call of an endpoint", endpointHeaders},
		{"the pages name every command", commandsNamed},
		{"the pages use only commands and flags that exist", commandsExist},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			missing := tt.check(t)
			assert.Equal(t, len(missing), 0, "%q", missing)
		})
	}
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(repoRoot, name))
	assert.NilError(t, err)
	return string(content)
}

func resultCodes(t *testing.T) []string {
	var missing []string
	text := readPage(t, "docs/RESULTS.md")
	for code, words := range unit.Codes() {
		if row := "| " + strconv.Itoa(int(code)) + " | " + words + " | "; !strings.Contains(text, row) {
			missing = append(missing, row)
		}
	}
	rows := len(regexp.MustCompile(`(?m)^\| \d{3} \|`).FindAllString(text, -1))
	if rows != len(unit.Codes()) {
		missing = append(missing, "the page has "+strconv.Itoa(rows)+" codes")
	}
	return missing
}

func exitCodes(t *testing.T) []string {
	var missing []string
	text := readPage(t, "docs/RESULTS.md")
	all := []stream.ExitCode{stream.ExitOK, stream.ExitFailed, stream.ExitUsage, stream.ExitNegative}
	for _, code := range all {
		if row := "\n| " + strconv.Itoa(int(code)) + " | "; !strings.Contains(text, row) {
			missing = append(missing, row)
		}
	}
	rows := len(regexp.MustCompile(`(?m)^\| \d \|`).FindAllString(text, -1))
	if rows != len(all) {
		missing = append(missing, "the page has "+strconv.Itoa(rows)+" exit codes")
	}
	return missing
}

func serveFlags(t *testing.T) []string {
	var missing []string
	text := readPage(t, "docs/CONFIG.md")
	for _, f := range findCommand(t, "serve").Flags {
		name := f.Names()[0]
		row := "| `--" + name + "` | `" + process.Env(name) + "` | "
		if flag, ok := f.(*cli.StringFlag); ok && flag.Value != "" {
			row += "`" + flag.Value + "` |"
		}
		if name != "help" && !strings.Contains(text, row) {
			missing = append(missing, row)
		}
	}
	return missing
}

// counters finds the counters in the code by the calls that add to them.
func counters(t *testing.T) []string {
	return undocumented(t, `etrics\.Add\("([a-z.]+)"|counter[A-Z]\w* += "([a-z.]+)"`, 20, "docs/OPERATIONS.md")
}

func peerMethods(t *testing.T) []string {
	return undocumented(t, `method[A-Z]\w* +(?:peer\.)?Method += "([a-z]+)"`, 6, "docs/PROTOCOLS.md")
}

func endpointHeaders(t *testing.T) []string {
	return undocumented(t, `header[A-Z]\w* += "([A-Z][A-Za-z-]+)"`, 6, "docs/PROTOCOLS.md")
}

// undocumented gives the names that a pattern finds in the code, at least so many, and that the page doesn't have.
func undocumented(t *testing.T, pattern string, minFound int, name string) []string {
	t.Helper()
	text := readPage(t, name)
	names := regexp.MustCompile(pattern)
	var missing []string
	found := 0
	err := filepath.WalkDir(filepath.Join(repoRoot, "internal"), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, m := range names.FindAllStringSubmatch(string(content), -1) {
			found++
			if one := strings.Join(m[1:], ""); !strings.Contains(text, "`"+one) {
				missing = append(missing, one)
			}
		}
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, found >= minFound, "the pattern finds %d names", found)
	return missing
}

func commandsNamed(t *testing.T) []string {
	text := readPage(t, "README.md") + readPage(t, "docs/OPERATIONS.md") + readPage(t, "docs/CONFIG.md")
	var missing []string
	visitCommands(New(stream.Streams{}), "basilspan", func(path string, cmd *cli.Command) {
		if len(cmd.Commands) == 0 && path != "basilspan version" && !strings.Contains(text, path) {
			missing = append(missing, path)
		}
	})
	return missing
}

// commandsExist checks the command lines in the pages' blocks.
func commandsExist(t *testing.T) []string {
	var wrong []string
	found := 0
	for _, name := range []string{"README.md", "docs/OPERATIONS.md"} {
		for i, block := range strings.Split(readPage(t, name), "```") {
			if i%2 == 0 {
				continue
			}
			for _, line := range strings.Split(block, "\n") {
				line = strings.TrimPrefix(line, "./")
				if strings.HasPrefix(line, "basilspan ") {
					found++
					wrong = append(wrong, unknownWords(splitWords(line))...)
				}
			}
		}
	}
	assert.Assert(t, found > 10, "the pattern finds %d commands", found)
	return wrong
}

// unknownWords gives the words of a command line that name no command or flag.
func unknownWords(words []string) []string {
	var wrong []string
	cmd := New(stream.Streams{})
	for _, word := range words[1:] {
		if name, ok := strings.CutPrefix(word, "--"); ok {
			if !hasFlag(cmd, name) {
				wrong = append(wrong, strings.Join(words, " ")+": "+word)
			}
			continue
		}
		if sub := cmd.Command(word); sub != nil {
			cmd = sub
		} else if len(cmd.Commands) > 0 {
			wrong = append(wrong, strings.Join(words, " ")+": "+word)
		}
	}
	return wrong
}

func hasFlag(cmd *cli.Command, name string) bool {
	for _, f := range cmd.Flags {
		if f.Names()[0] == name {
			return true
		}
	}
	return false
}

func findCommand(t *testing.T, name string) *cli.Command {
	t.Helper()
	cmd := New(stream.Streams{}).Command(name)
	assert.Assert(t, cmd != nil)
	return cmd
}

// visitCommands visits every command below cmd.
func visitCommands(cmd *cli.Command, path string, visit func(path string, cmd *cli.Command)) {
	for _, sub := range cmd.Commands {
		visit(path+" "+sub.Name, sub)
		visitCommands(sub, path+" "+sub.Name, visit)
	}
}
