package standin

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/folder"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/revision"
	"basilspan/internal/standin/control"
	"basilspan/internal/standin/platform"
)

// folderPollPeriod is the time between two reads of the served folder.
const folderPollPeriod = 100 * time.Millisecond

// platformOptions are the arguments and dependencies of the platform command.
type platformOptions struct {
	streams stream.Streams
	listen  string
	folder  string
	vms     []string
	control string
}

// newPlatform returns the command that simulates the platform's service.
func newPlatform(streams stream.Streams) *cli.Command {
	opts := &platformOptions{streams: streams}
	return &cli.Command{
		Name:        "platform",
		Usage:       "serve a folder as configuration, with a new revision at each change, and a list of VMs",
		Description: "Examples:\n   standin platform --folder conf --vm e1=amman=127.0.0.1:9001",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8090", Destination: &opts.listen},
			&cli.StringFlag{Name: "folder", Required: true, Destination: &opts.folder},
			&cli.StringFlag{Name: "control", Usage: "listen address for setting faults", Destination: &opts.control},
			&cli.StringSliceFlag{Name: "vm", Usage: "NAME=CENTRE=PEER-ADDRESS", Destination: &opts.vms},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return runPlatform(ctx, opts) },
	}
}

// runPlatform starts the service with the VMs of --vm, opens the control port if its flag is set, and publishes the
// folder after each change until ctx ends.
func runPlatform(ctx context.Context, opts *platformOptions) error {
	members, err := parseVMs(opts.vms)
	if err != nil {
		return stream.WithExitCode(err, stream.ExitUsage)
	}
	s := platform.New()
	if err := s.Start(unit.Address(opts.listen)); err != nil {
		return err
	}
	s.SetVMs(members)
	port, err := startControl(opts.control, control.Targets{SetDown: s.SetDown, SetFrozen: s.SetFrozen, SetVM: s.SetState})
	if err != nil {
		return errors.CombineErrors(err, s.Close())
	}
	opts.streams.Printf("platform %s\n", s.Address())
	publishChanges(ctx, s, opts.folder)
	return errors.CombineErrors(port.Close(), s.Close())
}

// publishChanges publishes the folder after each change until ctx ends. While the platform is frozen, it tries again at
// each poll.
func publishChanges(ctx context.Context, s *platform.Server, dir string) {
	ticker := time.NewTicker(folderPollPeriod)
	defer ticker.Stop()
	var published, last revision.Digest
	for {
		files, err := folder.Read(dir)
		sum := folder.Sum(files)
		// A folder that changed since the last read may still be incomplete, so wait for two equal reads.
		settled := err == nil && sum == last
		last = sum
		if settled && sum != published && s.Publish(files) {
			published = sum
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// parseVMs parses the values of --vm.
func parseVMs(texts []string) ([]member.Member, error) {
	var members []member.Member
	for _, text := range texts {
		fields := strings.Split(text, "=")
		if len(fields) != 3 {
			return nil, errors.Newf("--vm %q: must be NAME=CENTRE=PEER-ADDRESS", text)
		}
		members = append(members, member.Member{
			ID:     unit.NodeID(fields[0]),
			Centre: unit.CentreName(fields[1]),
			Peer:   unit.Address(fields[2]),
			State:  member.StateLive,
		})
	}
	return members, nil
}
