package root

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/cmd/standin"
	"basilspan/internal/cmd/stream"
	"basilspan/internal/standin/proc"
)

// outputTimeout is the maximum wait for the expected output of a command.
const outputTimeout = 20 * time.Second

// readmeRunner runs the commands of a page in a temporary folder and within the test process.
type readmeRunner struct {
	t      *testing.T
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// addresses replaces the addresses on the page by free ones.
	addresses *strings.Replacer
}

// TestWalk guards against a README whose first steps don't work: it runs their commands in order and checks the output
// of each.
func TestWalk(t *testing.T) {
	expected := []struct {
		command string
		want    []string
	}{
		{"./basilspan config check conf", []string{"conf is valid: 2 ranks, 1 searches"}},
		{"./standin endpoint", []string{"endpoints 4"}},
		{"./standin platform", []string{"platform 127.0.0.1:"}},
		{"./basilspan serve", []string{"serving"}},
		{"./basilspan query", []string{"code 100", "2 of 2 shards", "p0 from", "p1 from"}},
		{"./basilspan status", []string{"e1, ready", "revision  1", "e1  here", "endpoints 4, 0 listed here"}},
		{"./basilspan top", []string{"search.rank", "parts.counter  0.0"}},
		{"./basilspan config show", []string{
			`p0-a.slots = 2  (20-parts.json:`, `p0-a.address = "127.0.0.1:`, "90-loopback.json:", "(default)",
		}},
		{"./basilspan config check conf", []string{"conf is valid"}},
		{"./basilspan config diff conf", []string{"settings differ"}},
		{"./basilspan status", []string{"p0-a", "leaving: set in the configuration"}},
		{"./basilspan drain", []string{"the planned stop of 127.0.0.1:"}},
	}
	page, err := os.ReadFile("../../../README.md")
	assert.NilError(t, err)
	w := newReadmeRunner(t)
	commands := w.commands(string(page))
	assert.Equal(t, len(commands), len(expected), "%q", commands)
	for i, command := range commands {
		assert.Assert(t, strings.HasPrefix(command, expected[i].command), "%s\nwant %s", command, expected[i].command)
		w.run(command, expected[i].want)
	}
	w.close()
}

// newReadmeRunner returns a runner with free addresses, which the commands also find in their environment.
func newReadmeRunner(t *testing.T) *readmeRunner {
	w := &readmeRunner{t: t}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	var pairs []string
	for _, port := range []string{"127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082", "127.0.0.1:8090"} {
		pairs = append(pairs, port, string(proc.FreePort(t)))
	}
	w.addresses = strings.NewReplacer(pairs...)
	t.Setenv("BASILSPAN_CALLER", pairs[1])
	t.Setenv("BASILSPAN_OPERATOR", pairs[3])
	t.Setenv("BASILSPAN_PEER", pairs[5])
	t.Setenv("BASILSPAN_LAG", "0s")
	return w
}

// commands changes to a temporary folder, creates the folders of the page's code blocks and returns their commands,
// each with the files to write before it as attachFiles returns them.
func (w *readmeRunner) commands(page string) []string {
	page, _, _ = strings.Cut(page, "## What is proved")
	w.t.Chdir(w.t.TempDir())
	var all []string
	for i, block := range strings.Split(page, "```") {
		if i%2 == 0 {
			continue
		}
		lines := strings.Split(strings.TrimPrefix(block, "sh\n"), "\n")
		for n := 0; n < len(lines); n++ {
			line := lines[n]
			switch {
			case line == "" || strings.HasPrefix(line, "go build "):
			case strings.HasPrefix(line, "mkdir "):
				assert.NilError(w.t, os.Mkdir(strings.Fields(line)[1], 0o700))
			case strings.HasPrefix(line, "cat > "):
				end := n + 1
				for lines[end] != "EOT" {
					end++
				}
				all = append(all, line+"\n"+strings.Join(lines[n+1:end], "\n"))
				n = end
			default:
				all = append(all, line)
			}
		}
	}
	return w.attachFiles(all)
}

// attachFiles joins each command with the "cat" commands before it, separated by NUL. The command comes first.
func (w *readmeRunner) attachFiles(all []string) []string {
	var commands []string
	pending := ""
	for _, c := range all {
		if strings.HasPrefix(c, "cat > ") {
			pending += c + "\x00"
			continue
		}
		commands = append(commands, c+"\x00"+pending)
		pending = ""
	}
	return commands
}

// run writes the files of a command and runs it until it prints all of want. A command that ends with "&" runs on in
// the background; others are repeated until the output fits or outputTimeout has passed.
func (w *readmeRunner) run(command string, want []string) {
	w.t.Helper()
	parts := strings.Split(command, "\x00")
	for _, file := range parts[1:] {
		if file != "" {
			w.writeFile(file)
		}
	}
	line := w.addresses.Replace(parts[0])
	background := strings.HasSuffix(line, " &")
	words := splitWords(strings.TrimSuffix(line, " &"))
	end := time.Now().Add(outputTimeout)
	for {
		out := &proc.Output{}
		code := make(chan stream.ExitCode, 1)
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			code <- w.runProgram(words, out)
		}()
		if background {
			w.waitForOutput(out, want, end)
			return
		}
		got := <-code
		if got == stream.ExitOK && containsAll(out.String(), want) {
			return
		}
		// A changed folder takes effect with a delay.
		assert.Assert(w.t, time.Now().Before(end), "%s ended with %d and printed:\n%s\nwant %q", line, got, out, want)
		time.Sleep(50 * time.Millisecond)
	}
}

// runProgram runs a command line in this process and returns its exit code.
func (w *readmeRunner) runProgram(words []string, out *proc.Output) stream.ExitCode {
	streams := stream.Streams{Out: out, Err: out}
	if words[0] == "./standin" {
		return standin.Main(w.ctx, streams, words)
	}
	return Main(w.ctx, streams, words)
}

// waitForOutput waits until out has all of want.
func (w *readmeRunner) waitForOutput(out *proc.Output, want []string, end time.Time) {
	w.t.Helper()
	for !containsAll(out.String(), want) {
		assert.Assert(w.t, time.Now().Before(end), "printed:\n%s\nwant %q", out, want)
		time.Sleep(10 * time.Millisecond)
	}
}

// writeFile writes the file of a "cat > FILE <<'EOT'" command, and renames it into place so that no reader sees a part.
func (w *readmeRunner) writeFile(text string) {
	head, content, _ := strings.Cut(text, "\n")
	name := filepath.FromSlash(strings.Fields(head)[2])
	assert.NilError(w.t, os.WriteFile(name+".new", []byte(content), 0o600))
	assert.NilError(w.t, os.Rename(name+".new", name))
}

// close stops the background commands and waits until all have ended.
func (w *readmeRunner) close() {
	w.cancel()
	w.wg.Wait()
}

func containsAll(text string, want []string) bool {
	for _, part := range want {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// splitWords splits a command line into words. Text in single quotes is one word.
func splitWords(line string) []string {
	var words []string
	for i, part := range strings.Split(line, "'") {
		if i%2 == 1 {
			words = append(words, part)
			continue
		}
		words = append(words, strings.Fields(part)...)
	}
	return words
}
