package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// list is a flag value of elements separated by commas.
type list []string

func (l *list) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *list) Set(text string) error {
	*l = strings.Split(text, ",")
	return nil
}

// plays are the days to play in the current directory's tree, each with each seed.
type plays struct {
	bench, site, out, why string
	days, seeds           list
	jobs                  int
}

// run plays all days, and writes a report of each into the output directory. It returns the errors of all failed plays.
func (p *plays) run(ctx context.Context) error {
	if p.bench == "" || p.site == "" || p.out == "" || p.why == "" || len(p.days) == 0 || len(p.seeds) == 0 {
		return errUsage
	}
	if err := os.MkdirAll(p.out, 0o755); err != nil {
		return err
	}
	if output, err := exec.CommandContext(ctx, p.bench, "build").CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, output)
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed error
	slots := make(chan struct{}, max(p.jobs, 1))
	for _, seed := range p.seeds {
		for _, day := range p.days {
			group.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				if err := p.play(ctx, day, seed); err != nil {
					mu.Lock()
					defer mu.Unlock()
					failed = errors.Join(failed, err)
				}
			})
		}
	}
	group.Wait()
	return failed
}

func (p *plays) play(ctx context.Context, day, seed string) error {
	name := strings.TrimSuffix(filepath.Base(day), ".toml") + "_" + seed
	report := filepath.Join(p.out, name+".json")
	output, err := exec.CommandContext(
		ctx, p.bench, "run", p.site, day, "--no-cpu", "--seed", seed, "--report", report, "--why", p.why,
	).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w\n%s", name, err, output)
	}
	return os.WriteFile(filepath.Join(p.out, name+".txt"), output, 0o644)
}
